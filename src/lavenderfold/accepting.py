"""Accepts connections, and bounds how long each of them has waited in the queue."""

import errno
import logging
import math
import socket
from collections.abc import Callable
from contextlib import ExitStack

import msgspec
import trio

from lavenderfold.event_loop import event_loop_turns
from lavenderfold.link_traffic import CountedStream

# More would keep the connections that are open already waiting for longer.
ACCEPTS_PER_TURN = 32
# Connections that may have waited for as long as this are logged, once in a period.
LOGGED_WAIT_S = 0.5
LOG_PERIOD_S = 1.0
MS_PER_S = 1000
# With one of these errors the process or the system has too little left for another
# connection, which stays in the queue.
EXHAUSTED_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
EXHAUSTED_PAUSE_S = 0.1
# The connection that was due ended in the queue.
LOST_CONNECTION_ERRORS = (errno.ECONNABORTED, errno.EPROTO)

logger = logging.getLogger(__name__)


class AcceptedConnection(msgspec.Struct, frozen=True, kw_only=True):
    """A connection that was accepted.

    It didn't enter the queue before ``queued_since``, on the trio clock.
    """

    stream: trio.SocketStream
    queued_since: float


async def open_listening_sockets(host: str, port: int) -> list[socket.socket]:
    """Return sockets that listen on an address; raises OSError."""
    listeners = await trio.open_tcp_listeners(port, host=host)
    return [socket.socket(fileno=each.socket.detach()) for each in listeners]


class Acceptor:
    """Accepts the connections of one listening socket.

    ``on_accepted`` is called with each of them and must not block.
    """

    __slots__ = (
        "_accepted_count",
        "_is_emptied",
        "_listening",
        "_logged_at",
        "_on_accepted",
        "_queued_since",
    )

    def __init__(
        self,
        *,
        listening: socket.socket,
        on_accepted: Callable[[AcceptedConnection], None],
    ):
        listening.setblocking(False)
        self._listening = listening
        self._on_accepted = on_accepted
        self._is_emptied = True
        self._queued_since = 0.0
        self._accepted_count = 0
        self._logged_at = -math.inf

    async def run(self) -> None:
        """Accept until cancelled; raises OSError if the socket can't be used."""
        turns = event_loop_turns()
        while True:
            asked_in = turns.count
            await trio.lowlevel.wait_readable(self._listening)
            if self._is_emptied or turns.was_missing(asked_in):
                self._queued_since = turns.input_since
                self._accepted_count = 0
            try:
                self._is_emptied = self._accept(limit=ACCEPTS_PER_TURN)
            except OSError as error:
                if error.errno not in EXHAUSTED_ERRORS:
                    raise
                self._is_emptied = False
                logger.error("connections_not_accepted", extra={"cause": repr(error)})
                await trio.sleep(EXHAUSTED_PAUSE_S)
                continue
            self._report_wait()

    def accept_rest(self) -> None:
        """Accept what waits, and close the socket.

        Nothing is awaited, so that no connection arrives between the last one and the
        close, which would reset it.
        """
        if self._is_emptied:
            self._queued_since = event_loop_turns().input_since
        with self._listening:
            try:
                self._accept(limit=None)
            except OSError as error:
                logger.error("connections_not_accepted", extra={"cause": repr(error)})

    def _accept(self, *, limit: int | None) -> bool:
        """Accept up to ``limit`` connections; return whether that emptied the queue."""
        accepted_count = 0
        while limit is None or accepted_count < limit:
            try:
                accepted, _ = self._listening.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno not in LOST_CONNECTION_ERRORS:
                    raise
                continue
            accepted_count += 1
            self._accepted_count += 1
            stream = CountedStream(trio.socket.from_stdlib_socket(accepted))
            connection = AcceptedConnection(
                stream=stream, queued_since=self._queued_since
            )
            self._on_accepted(connection)
        return False

    def _report_wait(self) -> None:
        now = trio.current_time()
        wait_s = now - self._queued_since
        if wait_s < LOGGED_WAIT_S or now < self._logged_at + LOG_PERIOD_S:
            return
        self._logged_at = now
        fields = {
            "waited_ms": round(wait_s * MS_PER_S),
            "accepted": self._accepted_count,
        }
        logger.warning("connections_waited", extra=fields)


async def accept_until_cancelled(
    sockets: list[socket.socket], on_accepted: Callable[[AcceptedConnection], None]
) -> None:
    """Accept from listening sockets, and close them when cancelled.

    Raises OSError if one of them can't be used.
    """
    with ExitStack() as open_sockets:
        for each in sockets:
            open_sockets.enter_context(each)
        async with trio.open_nursery() as nursery:
            for each in sockets:
                acceptor = Acceptor(listening=each, on_accepted=on_accepted)
                nursery.start_soon(acceptor.run)
