"""A client of the platform: sends requests and keeps what it sent and got."""

import asyncio
import time

from review.lib.wire import Head

# The error of a request whose client closed the connection itself.
LEFT = "left without an answer"


class Result:
    """One client attempt: ``status`` is None if its connection ended without one."""

    def __init__(self, attempt_id, kind):
        self.attempt_id = attempt_id
        self.kind = kind
        self.began_at = time.monotonic()
        self.sent_at = None
        self.ended_at = None
        self.status = None
        self.headers = []
        self.body = b""
        self.is_whole = False
        self.error = ""
        self.is_kept = False

    def header(self, name):
        return next((v for k, v in self.headers if k == name), None)

    def line(self):
        sent = f"{self.sent_at:.3f}" if self.sent_at else "-"
        ended = f"{self.ended_at:.3f}" if self.ended_at else "-"
        return (
            f"client {self.attempt_id} {self.kind} sent {sent} ended {ended} "
            f"status {self.status} whole {self.is_whole} {self.error}"
        )


class Client:
    """Sends one request after the other, on a kept connection where it can."""

    def __init__(self, address, *, host, key):
        self.address = address
        self.host = host
        self.key = key
        self.reader = None
        self.writer = None

    async def request(
        self,
        attempt_id,
        *,
        kind,
        path,
        method="POST",
        body=b"",
        deadline_ms=2000,
        headers=(),
        fresh=False,
        leaves_after_s=None,
    ):
        result = Result(attempt_id, kind)
        try:
            await asyncio.wait_for(
                self._exchange(result, path, method, body, deadline_ms, headers, fresh),
                leaves_after_s or deadline_ms / 1000 + 1.0,
            )
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            result.error = repr(error)
            self.close()
        except TimeoutError:
            result.error = LEFT
            self.close()
        result.ended_at = time.monotonic()
        return result

    async def _exchange(self, result, path, method, body, deadline_ms, headers, fresh):
        if fresh:
            self.close()
        result.is_kept = self.writer is not None
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(*self.address), 1.0
            )
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.host}",
            f"Attempt-Id: {result.attempt_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Key: {self.key}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()
        result.sent_at = time.monotonic()
        head_bytes = await self.reader.readuntil(b"\r\n\r\n")
        rows = head_bytes.decode("latin-1").split("\r\n")
        result.headers = [
            (name.strip().lower(), value.strip())
            for name, _, value in (row.partition(":") for row in rows[1:] if row)
        ]
        result.status = Head(rows[0], []).status
        if (result.header("transfer-encoding") or "") == "chunked":
            while size := int((await self.reader.readline()) or b"!", 16):
                result.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        else:
            length = int(result.header("content-length") or 0)
            result.body = await self.reader.readexactly(length)
        result.is_whole = True
        if result.header("connection") == "close":
            self.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
