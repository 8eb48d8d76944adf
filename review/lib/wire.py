"""Minimal HTTP/1.1 for the stand-ins: heads, bodies with a length or in chunks."""

import asyncio


class Head:
    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])

    def get(self, name):
        return next((v for k, v in self.headers if k == name), None)


async def read_head(reader):
    """Return the next head, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Head(lines[0], headers)


async def read_body(reader, head):
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    length = int(head.get("content-length") or 0)
    return await reader.readexactly(length) if length else b""


def response(status, body=b"", headers=()):
    reason = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
