"""Parts of the stop of a server that loses no request which has arrived."""

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import trio


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


def close_listeners(
    listeners: list[trio.SocketListener],
) -> list[trio.SocketStream]:
    """Close listeners; return the connections that waited to be accepted.

    Closing a listener resets those. Nothing is awaited here, so that no more arrive
    between the last one and the close.
    """
    streams = []
    for listener in listeners:
        if listener.socket.fileno() < 0:
            # The server was cancelled in the same moment, which has closed it.
            continue
        with socket.socket(fileno=os.dup(listener.socket.fileno())) as pending:
            listener.socket.close()
            pending.setblocking(False)
            with suppress(OSError):
                while True:
                    accepted = trio.socket.from_stdlib_socket(pending.accept()[0])
                    streams.append(trio.SocketStream(accepted))
    return streams
