"""Carries links over grpcio's bidirectional streams.

Grpcio has no trio interface, so its synchronous API is used: its threads wait
on a queue of outgoing batches, and a worker thread waits for each incoming
one. Everything else runs on the trio loop.
"""

import queue
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

import grpc
import trio

from lavenderfold.links._link import BATCH_WINDOW_S, END_OF_STREAM, Link
from lavenderfold.settings import Address

SERVICE = "lavenderfold.Links"
METHOD = "Exchange"
LINKS_LIMIT = 512
MESSAGE_BYTES_LIMIT = 16 * 1024 * 1024
CHANNEL_OPTIONS = (
    ("grpc.max_send_message_length", MESSAGE_BYTES_LIMIT),
    ("grpc.max_receive_message_length", MESSAGE_BYTES_LIMIT),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


class ListenError(Exception):
    """The address can't be bound."""

    def __init__(self, address: Address):
        super().__init__(f"can't listen on {address}")
        self.address = address


class Listener:
    """Accepts links from peers on one address."""

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
        self._token: trio.lowlevel.TrioToken | None = None
        self._accepted, self._accept = trio.open_memory_channel[Link](LINKS_LIMIT)

    async def run(
        self,
        serve_link: Callable[[Link], Awaitable[None]],
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Call ``serve_link`` in a task for each link until cancelled."""
        self._token = trio.lowlevel.current_trio_token()
        server = self._build_server()
        port = self._bind(server)
        server.start()
        task_status.started(Address(host=self._address.host, port=port))
        try:
            async with trio.open_nursery() as nursery:
                async for link in self._accept:
                    nursery.start_soon(_serve_and_close, link, serve_link)
        finally:
            server.stop(grace=0)

    def _bind(self, server: grpc.Server) -> int:
        try:
            port = server.add_insecure_port(str(self._address))
        except RuntimeError as error:
            raise ListenError(self._address) from error
        if port == 0:
            raise ListenError(self._address)
        return port

    def _build_server(self) -> grpc.Server:
        # A bidirectional stream occupies one thread of the pool while it's open.
        server = grpc.server(
            ThreadPoolExecutor(max_workers=LINKS_LIMIT), options=CHANNEL_OPTIONS
        )
        handler = grpc.stream_stream_rpc_method_handler(self._exchange)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
        )
        return server

    def _exchange(self, inbox: Any, context: grpc.ServicerContext) -> Any:
        """Run on a grpcio thread: hand the stream over to the trio loop."""
        outbox: queue.SimpleQueue = queue.SimpleQueue()
        context.add_callback(partial(outbox.put, END_OF_STREAM))
        self._token.run_sync_soon(self._open, inbox, outbox, context.peer())
        return iter(outbox.get, END_OF_STREAM)

    def _open(self, inbox: Any, outbox: queue.SimpleQueue, peer: str) -> None:
        link = Link(
            peer=peer,
            inbox=inbox,
            outbox=outbox,
            message_type=self._message_type,
            batch_window_s=self._batch_window_s,
            hang_up=lambda: None,
        )
        try:
            self._accepted.send_nowait(link)
        except trio.WouldBlock:
            link.close()


async def _serve_and_close(
    link: Link, serve_link: Callable[[Link], Awaitable[None]]
) -> None:
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            await serve_link(link)
            nursery.cancel_scope.cancel()
    finally:
        link.close()


def connect(
    *, address: Address, message_type: Any, batch_window_s: float = BATCH_WINDOW_S
) -> Link:
    """Open a link to a peer's listener.

    Returns at once; a peer that can't be reached shows as a closed link at the
    first ``receive``. The caller runs ``link.run`` in a task.
    """
    channel = grpc.insecure_channel(str(address), options=CHANNEL_OPTIONS)
    outbox: queue.SimpleQueue = queue.SimpleQueue()
    method = channel.stream_stream(f"/{SERVICE}/{METHOD}")
    call = method(iter(outbox.get, END_OF_STREAM))

    def hang_up() -> None:
        call.cancel()
        channel.close()

    return Link(
        peer=str(address),
        inbox=call,
        outbox=outbox,
        message_type=message_type,
        batch_window_s=batch_window_s,
        hang_up=hang_up,
    )
