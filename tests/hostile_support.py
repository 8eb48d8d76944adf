"""Processes beside stand-ins of their store and target, and requests to them."""

from contextlib import asynccontextmanager
from functools import partial

import trio

from lavenderfold.http import (
    HttpClient,
    HttpClientError,
    HttpRequest,
    HttpResponse,
    ResponseWriter,
    serve,
)
from lavenderfold.settings import Address
from tests.platform_processes import (
    READY_TIMEOUT_S,
    PlatformProcess,
    PlatformStoreStandIn,
)

MEMORY_MB = 100
OPEN_FILES = 400
BODY_BYTES = 1024 * 1024
RELAY_BODY_BYTES = 4 * 1024 * 1024
ANSWER_BYTES = 768 * 1024
ANSWER_TIMEOUT_S = 15.0

TARGET_ENTRY = {
    "backend": "ledger",
    "zone": "zone-a",
    "state": "ready",
    "capacity": 200,
}
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "sign",
            "hostname": "host",
            "path_prefix": "/",
            "route_type": "idempotent",
            "timeout_ms": 20000,
            "backend": "ledger",
            "anonymous": True,
        }
    ],
    "backends": [{"name": "ledger", "max_connections": 200}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": BODY_BYTES,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def head(path: str, *lines: str) -> bytes:
    fields = ["host: host", "attempt-id: a", *lines]
    return "\r\n".join([f"POST {path} HTTP/1.1", *fields, "", ""]).encode()


def chunk(size: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


async def answer_target(request: HttpRequest, writer: ResponseWriter) -> None:
    headers = [
        ("attempt-id", request.header("attempt-id") or ""),
        ("replica-signature", "sound"),
    ]
    body = b"x" * ANSWER_BYTES if request.path == "/long" else b"done"
    await writer.send(HttpResponse(status=200, headers=headers, body=body))


@asynccontextmanager
async def running(
    role: str,
    folder,
    *,
    memory_mb: int | None = None,
    stored: dict[str, object] | None = None,
):
    """Run a process beside the stand-ins of its store and its target.

    ``stored`` are further values in the store.
    """
    loopback = Address(host="127.0.0.1", port=0)
    async with trio.open_nursery() as nursery:
        target = await nursery.start(partial(serve, answer_target, address=loopback))
        entry = {**TARGET_ENTRY, "address": str(target)}
        store = PlatformStoreStandIn(
            {"op/config": CONFIG, "servers/t1": entry, **(stored or {})}
        )
        store_address = await nursery.start(
            partial(serve, store.handle, address=loopback)
        )
        process = PlatformProcess(
            role=role,
            store=store_address,
            folder=folder,
            memory_mb=memory_mb or MEMORY_MB,
            open_files=OPEN_FILES,
        )
        try:
            await wait_ready(role, process)
            yield process
        finally:
            process.end()
            nursery.cancel_scope.cancel()


async def wait_ready(role: str, process: PlatformProcess) -> None:
    for _ in range(int(READY_TIMEOUT_S / 0.1)):
        if await ask_ready(role, process) == 200:
            return
        await trio.sleep(0.1)
    raise AssertionError(process.log_path.read_text())


async def ask_ready(role: str, process: PlatformProcess) -> int | None:
    if role == "relay":
        return await ask(process.listen)
    return await ask(process.ready)


async def ask(address: Address) -> int | None:
    """Send an ordinary request; return its status, or None without an answer."""
    target = "/kv-range?path_prefix=servers/"
    fields = [("host", "host"), ("attempt-id", "ordinary")]
    request = HttpRequest(method="POST", target=target, headers=fields, body=b"x" * 600)
    client = HttpClient(address=address)
    try:
        return (await client.request(request)).status
    except HttpClientError:
        return None
    finally:
        await client.close()
