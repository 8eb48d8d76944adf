"""Bytes that a process sends and receives over its TCP connections."""

import trio

# Headers of the packets that carry one write, at least.
WRITE_OVERHEAD_BYTES = 66
# Long writes are counted in parts of this size. Counted as a whole at its end, a large
# answer to a slow reader would look like a full link.
PART_BYTES = 65536

_traffic_of_run: trio.lowlevel.RunVar["LinkTraffic"] = trio.lowlevel.RunVar("traffic")


class LinkTraffic:
    """Counts the bytes of all counted streams since the start."""

    __slots__ = ("sent_bytes", "received_bytes")

    def __init__(self):
        self.sent_bytes = 0
        self.received_bytes = 0


class CountedStream(trio.abc.HalfCloseableStream):
    """A TCP connection whose bytes are counted in the traffic of its event loop.

    Its methods are those of ``trio.SocketStream``, which can't be subclassed.
    """

    __slots__ = ("socket", "setsockopt", "getsockopt", "_stream", "_traffic")

    def __init__(self, socket: trio.socket.SocketType):
        self._stream = trio.SocketStream(socket)
        self._traffic = link_traffic()
        self.socket = socket
        self.setsockopt = self._stream.setsockopt
        self.getsockopt = self._stream.getsockopt

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        if len(data) <= PART_BYTES:
            await self._send_part(data)
            return
        with memoryview(data) as view:
            for start in range(0, len(view), PART_BYTES):
                with view[start : start + PART_BYTES] as part:
                    await self._send_part(part)

    async def _send_part(self, data: bytes | bytearray | memoryview) -> None:
        await self._stream.send_all(data)
        self._traffic.sent_bytes += len(data) + WRITE_OVERHEAD_BYTES

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        data = await self._stream.receive_some(max_bytes)
        self._traffic.received_bytes += len(data) + WRITE_OVERHEAD_BYTES
        return data

    async def aclose(self) -> None:
        await self._stream.aclose()


def link_traffic() -> LinkTraffic:
    """Return the traffic of the running event loop."""
    traffic = _traffic_of_run.get(None)
    if traffic is None:
        traffic = LinkTraffic()
        _traffic_of_run.set(traffic)
    return traffic
