"""Parts of the stop of a server, and of connections, that lose nothing."""

from collections.abc import Iterator
from contextlib import contextmanager, suppress

import trio

# Small, because many callers that are refused at once are waited for together.
RECEIVE_BYTES = 8192
# A peer that sends more than this after its last answer is not waited for.
LINGER_BYTES = 1024 * 1024


class IdleConnections:
    """Ends the waits for a request of all connections at once."""

    __slots__ = ("_is_closed", "_scopes")

    def __init__(self):
        self._is_closed = False
        self._scopes: set[trio.CancelScope] = set()

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Enclose a connection's wait for a request, which ``close`` cancels."""
        scope = trio.CancelScope()
        if self._is_closed:
            scope.cancel()
        self._scopes.add(scope)
        try:
            with scope:
                yield
        finally:
            self._scopes.discard(scope)

    def close(self) -> None:
        """Cancel all waits, also those that begin later."""
        self._is_closed = True
        for scope in self._scopes:
            scope.cancel()


async def wait_for_close(
    stream: trio.SocketStream, *, timeout_s: float, limit_bytes: int = LINGER_BYTES
) -> None:
    """End the sending side, then drop what arrives until the peer closes as well.

    At most ``limit_bytes`` are dropped.

    Bytes that arrive at a closed socket, or that weren't read before, reset the
    connection, and the peer loses what it hasn't received yet.
    """
    with (
        trio.move_on_after(timeout_s),
        suppress(trio.BrokenResourceError, trio.ClosedResourceError),
    ):
        await stream.send_eof()
        dropped_bytes = 0
        while dropped_bytes <= limit_bytes:
            data = await stream.receive_some(RECEIVE_BYTES)
            if not data:
                break
            dropped_bytes += len(data)
