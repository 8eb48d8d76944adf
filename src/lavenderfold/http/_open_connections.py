"""The open connections of a server, bounded in their number."""

import enum
import logging
import math
import time
from collections.abc import Callable

from lavenderfold.process_memory import MemoryShare, OutOfMemoryError, ProcessMemory

# Memory of the objects of one connection; those of an idle one take 6 KB.
CONNECTION_BYTES = 8 * 1024
LOG_PERIOD_S = 1.0

logger = logging.getLogger(__name__)


class Stage(enum.IntEnum):
    """What a connection does; lower ones are closed first for a new connection.

    IDLE: it waits for a request. READING: a request arrives. RUNNING: one is served.
    """

    IDLE = 0
    READING = 1
    RUNNING = 2


class OpenConnection:
    """The state of one connection, and the share of its bytes in the memory.

    ``on_closed`` closes the connection at once. ``is_closable`` says that it may be
    closed in any stage: its caller sends requests ahead of their answers, or only its
    close is waited for.
    """

    __slots__ = ("share", "stage", "is_closable", "on_closed")

    def __init__(self, *, share: MemoryShare, on_closed: Callable[[], None]):
        self.share = share
        self.stage = Stage.IDLE
        self.is_closable = False
        self.on_closed = on_closed
        share.is_evictable = False

    def enter(self, stage: Stage) -> None:
        """Change the stage. Only requests that arrive can be given up for memory."""
        self.stage = stage
        self.share.is_evictable = stage is Stage.READING
        self.share.progressed_at = time.monotonic()

    def keep(self, added_bytes: int) -> None:
        """Count bytes that were received; raises OutOfMemoryError."""
        self.share.add(added_bytes, now=time.monotonic())


class OpenConnections:
    """The open connections of one server, at most ``limit`` of them."""

    __slots__ = ("_limit", "_memory", "_connections", "_given_up", "_logged_at")

    def __init__(self, *, limit: int | None, memory: ProcessMemory):
        self._given_up = 0
        self._logged_at = -math.inf
        self._limit = limit
        self._memory = memory
        self._connections: set[OpenConnection] = set()

    def has_room(self) -> bool:
        """Return whether another connection may be opened, closing one if needed.

        Those that wait for a request go first, the one without progress for longest,
        then those whose request arrives, then those that don't read their answer, send
        requests ahead of it or have got it. Other requests are never given up.
        """
        if self._limit is None or len(self._connections) < self._limit:
            return True
        closable = [
            each
            for each in self._connections
            if each.stage is not Stage.RUNNING
            or each.share.is_evictable
            or each.is_closable
        ]
        if not closable:
            self.report(None, "descriptors")
            return False
        victim = min(closable, key=_closing_order)
        self._connections.discard(victim)
        self.report(victim, "descriptors")
        victim.on_closed()
        return True

    def open(
        self, *, on_evicted: Callable[[], None], on_closed: Callable[[], None]
    ) -> OpenConnection | None:
        """Return a new connection, or None if no memory is left for it."""
        share = self._memory.open_share(
            "request", on_evicted, rest_bytes=CONNECTION_BYTES
        )
        connection = OpenConnection(share=share, on_closed=on_closed)
        try:
            share.add(CONNECTION_BYTES, now=time.monotonic())
        except OutOfMemoryError:
            self.report(None, "memory")
            share.close()
            return None
        self._connections.add(connection)
        return connection

    def report(self, connection: OpenConnection | None, cause: str) -> None:
        """Count a connection that is given up, None if it wasn't opened.

        At most one in LOG_PERIOD_S is logged.
        """
        self._given_up += 1
        now = time.monotonic()
        if now < self._logged_at + LOG_PERIOD_S:
            return
        self._logged_at = now
        fields = {
            "cause": cause,
            "stage": connection.stage.name.lower() if connection else "new",
            "open": len(self._connections),
            "given_up": self._given_up,
            "held_bytes": self._memory.held_bytes,
        }
        logger.warning("caller_evicted", extra=fields)

    def close(self, connection: OpenConnection) -> None:
        """Forget a connection that has ended."""
        connection.share.close()
        connection.on_closed = _ignore_close
        self._connections.discard(connection)


def _ignore_close() -> None:
    """Close nothing: the connection has ended."""


def _closing_order(connection: OpenConnection) -> tuple[Stage, float]:
    return connection.stage, connection.share.progressed_at
