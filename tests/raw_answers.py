"""Answers as bytes, for targets that don't keep to the protocol."""

import trio

from lavenderfold.http import HttpRequest, ResponseWriter
from tests.direct_support import valid_headers

# Linger with a time of zero, so that closing the socket resets the connection.
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"
CHUNKED = ("transfer-encoding", "chunked")
EVENT_STREAM = ("content-type", "text/event-stream")


def encode_head(status: str, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of an answer; ``status`` holds the code and the reason."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode()


def encode_success(
    request: HttpRequest, *headers: tuple[str, str], body: bytes = b""
) -> bytes:
    """Return a valid success with additional headers, followed by ``body``."""
    return encode_head("200 OK", [*valid_headers(request), *headers]) + body


def encode_refusal(attempt_id: str, *, body: bytes = b"{}") -> bytes:
    """Return the refusal of a target that guarantees that it didn't run a request."""
    headers = [
        ("x-attempt", attempt_id),
        ("x-not-run", "1"),
        ("content-length", str(len(body))),
    ]
    return encode_head("503 Service Unavailable", headers) + body


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def send_and_close(
    writer: ResponseWriter, data: bytes, *, is_reset: bool = False
) -> None:
    """Send bytes as they are and end the connection.

    A reset discards what the peer hasn't read, so it comes a moment later.
    """
    stream = writer._stream
    await stream.send_all(data)
    if is_reset:
        await trio.sleep(0.05)
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE)
    await stream.aclose()


async def wait_for_next_request(writer: ResponseWriter) -> None:
    """Wait until the next request has arrived on a kept connection."""
    await trio.lowlevel.wait_readable(writer._stream.socket)
