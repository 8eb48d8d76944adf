"""HTTP/1.1 on asyncio streams, as far as the stand-ins and clients need it."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}
RESET_LINGER = struct.pack("ii", 1, 0)


@dataclass
class Request:
    """One request that a stand-in received; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        values = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: each[0] for name, each in values.items()}


@dataclass
class Answer:
    """What a client got: status 0 if the connection failed before a head came."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""
    elapsed_s: float = 0.0

    @property
    def events(self) -> int:
        return self.body.count(b"\n\n")


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; raises EOFError at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _chunks(reader: asyncio.StreamReader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the bytes of the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    return head(status, {**headers, "Content-Length": str(len(body))}) + body


def whole_json(status: int, value: object, headers: dict[str, str]) -> bytes:
    body = json.dumps(value).encode()
    return whole(status, {"Content-Type": "application/json", **headers}, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()


class Server:
    """Calls ``handler`` for each request; it returns whether to keep the connection."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, backlog=512
        )

    def stop(self) -> None:
        """Stop listening, and reset all connections, as when the process ends."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = Request(method, target, headers, body)
                if not await self._handler(request, writer):
                    break
        except (OSError, EOFError, asyncio.CancelledError):
            # The peer has left, or the case ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float,
    on_sent: Callable[[], None] | None = None,
) -> Answer:
    """Send one request on a new connection and return what came until the timeout."""
    answer = Answer()
    started_at = asyncio.get_running_loop().time()
    try:
        async with asyncio.timeout(timeout_s):
            await _exchange(address, method, target, headers, body, answer, on_sent)
    except (OSError, EOFError, ValueError) as error:
        # TimeoutError is an OSError.
        answer.error = type(error).__name__
    answer.elapsed_s = asyncio.get_running_loop().time() - started_at
    return answer


async def _exchange(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    answer: Answer,
    on_sent: Callable[[], None] | None,
) -> None:
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        if on_sent is not None:
            on_sent()
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            async for chunk in _chunks(reader):
                answer.body += chunk
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        answer.is_complete = True
    finally:
        writer.close()
