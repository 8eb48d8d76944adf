"""Stand-in for the link between two regions: a TCP relay that can be cut.

Run it with ``python -m standins.link_relay --port N --forward IP:PORT=IP:PORT``:
each connection to the first address of a forward is relayed to the second one.
"""

from functools import partial

import msgspec
import trio
from absl import app, flags

from lavenderfold.http import HttpRequest, ResponseWriter, serve
from lavenderfold.settings import Address, parse_address
from standins.common import Count, Dispatcher, Faults, define_flags

RECEIVE_BYTES = 16384
CHUNKS_IN_FLIGHT_LIMIT = 256


class LinkFaults(Faults, kw_only=True):
    """Fault switches of the link.

    ``cut``: no bytes are delivered and connections stay open, as in a network
    partition. ``down``: open connections are closed, and new ones are closed as
    soon as they're accepted. ``delay_s``: one-way latency. ``bytes_per_s``: limit
    for all connections together in each direction; 0 means no limit.
    """

    cut: bool = False
    bytes_per_s: Count = 0


class _Counts(msgspec.Struct):
    connections: int = 0
    open: int = 0
    bytes_to_target: int = 0
    bytes_to_caller: int = 0


class _Direction:
    """One direction of the link, whose bandwidth all connections share."""

    def __init__(self, *, faults: LinkFaults):
        self._faults = faults
        self._free_at = 0.0

    def schedule(self, size: int) -> float:
        """Reserve bandwidth for a chunk and return the time of its delivery."""
        now = trio.current_time()
        transmission_s = 0.0
        if self._faults.bytes_per_s:
            transmission_s = size / self._faults.bytes_per_s
        self._free_at = max(now, self._free_at) + transmission_s
        return self._free_at + self._faults.delay_s


class LinkRelay:
    """Relays TCP connections, subject to the fault switches in force."""

    def __init__(self, *, faults: LinkFaults):
        self.faults = faults
        self._counts_by_forward: dict[str, _Counts] = {}
        self._to_target = _Direction(faults=faults)
        self._to_caller = _Direction(faults=faults)
        self._changed = trio.Event()
        self._dispatcher = Dispatcher(faults=self.faults, stats=self.stats)

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Serve a control request of ``lavenderfold.http.serve``."""
        await self._dispatcher.handle(request, writer)
        self._changed.set()
        self._changed = trio.Event()

    def stats(self) -> dict:
        """Return connections and bytes of each forward, and the bytes of all."""
        counts = self._counts_by_forward.values()
        return {
            "forwards": self._counts_by_forward,
            "bytes_to_target": sum(count.bytes_to_target for count in counts),
            "bytes_to_caller": sum(count.bytes_to_caller for count in counts),
        }

    async def run_forward(
        self,
        listen: Address,
        target: Address,
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Relay connections from ``listen`` to ``target`` until cancelled."""
        counts = self._counts_by_forward.setdefault(f"{listen}={target}", _Counts())
        relay = partial(self._relay, target=target, counts=counts)
        await trio.serve_tcp(
            relay, listen.port, host=listen.host, task_status=task_status
        )

    async def _relay(
        self, caller: trio.SocketStream, *, target: Address, counts: _Counts
    ) -> None:
        counts.connections += 1
        counts.open += 1
        try:
            await self._wait_while_cut()
            if not self.faults.down:
                await self._connect(caller, target, counts)
        except OSError:
            # Connecting failed or a connection broke; the caller's side is closed.
            return
        finally:
            counts.open -= 1

    async def _connect(
        self, caller: trio.SocketStream, target: Address, counts: _Counts
    ) -> None:
        stream = await trio.open_tcp_stream(target.host, target.port)

        def count_to_target(size: int) -> None:
            counts.bytes_to_target += size

        def count_to_caller(size: int) -> None:
            counts.bytes_to_caller += size

        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(self._close_when_down, nursery.cancel_scope)
            async with trio.open_nursery() as pumps:
                pump = partial(self._pump, nursery=pumps)
                pumps.start_soon(pump, caller, stream, self._to_target, count_to_target)
                pumps.start_soon(pump, stream, caller, self._to_caller, count_to_caller)
            nursery.cancel_scope.cancel()

    async def _pump(
        self, source, sink, direction: _Direction, count_bytes, *, nursery: trio.Nursery
    ) -> None:
        """Relay bytes in one direction; if either end breaks, close both."""
        send, receive = trio.open_memory_channel(CHUNKS_IN_FLIGHT_LIMIT)
        try:
            async with trio.open_nursery() as tasks:
                tasks.start_soon(self._deliver, receive, sink, count_bytes)
                async with send:
                    while data := await source.receive_some(RECEIVE_BYTES):
                        await send.send((direction.schedule(len(data)), data))
            await sink.send_eof()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            nursery.cancel_scope.cancel()

    async def _deliver(self, receive, sink: trio.SocketStream, count_bytes) -> None:
        async with receive:
            async for deliver_at, data in receive:
                await trio.sleep_until(deliver_at)
                await self._wait_while_cut()
                await sink.send_all(data)
                count_bytes(len(data))

    async def _wait_while_cut(self) -> None:
        while self.faults.cut and not self.faults.down:
            await self._changed.wait()

    async def _close_when_down(self, cancel_scope: trio.CancelScope) -> None:
        while not self.faults.down:
            await self._changed.wait()
        cancel_scope.cancel()


async def serve_relay(
    relay: LinkRelay, address: Address, forwards: list[tuple[Address, Address]]
) -> None:
    """Serve until cancelled; prints ``listening HOST:PORT`` when ready."""
    async with trio.open_nursery() as nursery:
        for listen, target in forwards:
            await nursery.start(relay.run_forward, listen, target)
        bound = await nursery.start(partial(serve, relay.handle, address=address))
        print(f"listening {bound}", flush=True)


def main(_: list[str]) -> None:
    """Serve the relay that the flags describe until killed."""
    values = flags.FLAGS
    faults = LinkFaults(delay_s=values.delay_s, bytes_per_s=values.bytes_per_s)
    forwards = []
    for text in values.forward:
        listen, _, target = text.partition("=")
        forwards.append((parse_address(listen), parse_address(target)))
    address = Address(host=values.host, port=values.port)

    async def run() -> None:
        await serve_relay(LinkRelay(faults=faults), address, forwards)

    trio.run(run)


if __name__ == "__main__":
    define_flags()
    flags.DEFINE_multi_string(
        "forward", [], "IP:PORT=IP:PORT: listen and target address."
    )
    flags.DEFINE_float("delay_s", 0.0, "One-way latency in seconds.")
    flags.DEFINE_integer("bytes_per_s", 0, "Bytes per second each way; 0: no limit.")
    app.run(main)
