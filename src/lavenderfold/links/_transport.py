"""Links over TCP, using trio's streams.

grpcio was measured first: it exceeds the processor budget for a daemon's control
traffic. The figures are in docs/measurements.md.
"""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from lavenderfold.accepting import (
    AcceptedConnection,
    accept_until_cancelled,
    open_listening_sockets,
)
from lavenderfold.links._link import BATCH_WINDOW_S, Link
from lavenderfold.settings import Address

CONNECT_TIMEOUT_S = 2.0


class ListenError(Exception):
    """The listener's address can't be bound."""

    def __init__(self, address: Address, cause: object):
        super().__init__(f"can't listen on {address}: {cause}")
        self.address = address


class Listener:
    """Listens on one address and accepts links from peers."""

    def __init__(
        self,
        *,
        address: Address,
        message_type: Any,
        batch_window_s: float = BATCH_WINDOW_S,
    ):
        self._address = address
        self._message_type = message_type
        self._batch_window_s = batch_window_s

    async def run(
        self,
        serve_link: Callable[[Link], Awaitable[None]],
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Call ``serve_link`` in a task of its own for each link until cancelled.

        The bound address is passed to ``task_status``. Raises ListenError.
        """
        sockets = await self._bind()
        host, port = sockets[0].getsockname()[:2]
        task_status.started(Address(host=host, port=port))
        async with trio.open_nursery() as links:

            def start_link(accepted: AcceptedConnection) -> None:
                links.start_soon(self._serve_stream, serve_link, accepted.stream)

            await accept_until_cancelled(sockets, start_link)

    async def _bind(self) -> list[socket.socket]:
        try:
            return await open_listening_sockets(self._address.host, self._address.port)
        except OSError as error:
            raise ListenError(self._address, error) from error

    async def _serve_stream(
        self,
        serve_link: Callable[[Link], Awaitable[None]],
        stream: trio.SocketStream,
    ) -> None:
        async def return_accepted_stream() -> trio.SocketStream:
            return stream

        link = Link(
            peer=_peer_name(stream),
            open_stream=return_accepted_stream,
            message_type=self._message_type,
            batch_window_s=self._batch_window_s,
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.run)
                await serve_link(link)
                nursery.cancel_scope.cancel()
        finally:
            link.close()
            await trio.aclose_forcefully(stream)


def _peer_name(stream: trio.SocketStream) -> str:
    try:
        host, port = stream.socket.getpeername()[:2]
    except OSError:
        return "closed"
    return str(Address(host=host, port=port))


def connect(
    *, address: Address, message_type: Any, batch_window_s: float = BATCH_WINDOW_S
) -> Link:
    """Return a link to a peer's listener.

    The connection is opened by the first ``link.receive`` or by ``link.run``, which
    the caller runs in a task. If the peer can't be reached, ``receive`` raises
    LinkClosedError.
    """

    async def open_stream() -> trio.SocketStream:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                return await trio.open_tcp_stream(address.host, address.port)
        except trio.TooSlowError as error:
            raise TimeoutError(
                f"connecting took longer than {CONNECT_TIMEOUT_S:g} s"
            ) from error

    return Link(
        peer=str(address),
        open_stream=open_stream,
        message_type=message_type,
        batch_window_s=batch_window_s,
    )
