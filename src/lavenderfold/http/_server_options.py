"""Options and limits of an HTTP server, and why its connections end."""

import enum
from collections.abc import Callable

import msgspec
import trio

from lavenderfold.process_memory import ProcessMemory

HEADER_BYTES_LIMIT = 32768
BODY_BYTES_LIMIT = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
REQUEST_READ_TIMEOUT_S = 20.0
# Descriptors that are kept for files.
FILE_DESCRIPTORS = 200
# Connections of callers take at most this part of the other descriptors, as each
# request may need a connection to a target.
CALLERS_FRACTION = 0.5
# Connections to a server that only the platform calls, such as that of readiness.
PLATFORM_CONNECTIONS_LIMIT = 32


class ServerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of a request and on the time that it may take to arrive.

    A caller that reads nothing of a response counts as idle as well.
    """

    header_bytes: int = HEADER_BYTES_LIMIT
    body_bytes: int = BODY_BYTES_LIMIT
    idle_timeout_s: float = IDLE_TIMEOUT_S
    read_timeout_s: float = REQUEST_READ_TIMEOUT_S


class CloseReason(enum.Enum):
    """Why the connection of a caller ended.

    IDLE: no request came within the idle timeout.
    LEFT: the caller closed it.
    ANSWERED: it was closed after a whole answer.
    CUT: it was closed without a whole answer to a request.
    EVICTED: it was given up for the memory or the descriptors of others.
    """

    IDLE = "idle"
    LEFT = "left"
    ANSWERED = "answered"
    CUT = "cut"
    EVICTED = "evicted"


def connections_limit(descriptor_limit: int | None) -> int | None:
    """Return how many connections of callers a process may hold; None is no bound."""
    if descriptor_limit is None:
        return None
    return max(1, int(CALLERS_FRACTION * (descriptor_limit - FILE_DESCRIPTORS)))


def platform_connections_limit(descriptor_limit: int | None) -> int | None:
    """Return how many connections a server for the platform's own calls may hold."""
    return None if descriptor_limit is None else PLATFORM_CONNECTIONS_LIMIT


def _ignore_close(reason: CloseReason) -> None:
    """Ignore the end of a connection."""


class ServerOptions(msgspec.Struct, kw_only=True):
    """Options of a server.

    ``limits`` is called for each request and returns the limits in force.
    ``is_closing`` returns whether responses should close their connections. With
    ``cancels_on_disconnect`` a handler is cancelled when its caller closes the
    connection. ``on_closed`` is called with the reason when a connection ends. When
    ``stop_requested`` is set, the server accepts no more connections, closes those
    that are idle, answers the requests that have begun to arrive, and ends. ``memory``
    counts what is held for callers. Beyond ``connections_limit`` connections, an idle
    one is closed for a new one. With ``closes_each`` each response closes its
    connection.
    """

    limits: Callable[[], ServerLimits] = ServerLimits
    is_closing: Callable[[], bool] = bool
    cancels_on_disconnect: bool = False
    on_closed: Callable[[CloseReason], None] = _ignore_close
    stop_requested: trio.Event = msgspec.field(default_factory=trio.Event)
    memory: ProcessMemory = msgspec.field(default_factory=ProcessMemory)
    connections_limit: int | None = None
    closes_each: bool = False
