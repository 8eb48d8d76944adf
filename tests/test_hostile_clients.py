"""Processes stay within their memory and descriptors, whatever their callers send."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import pytest
import trio

from lavenderfold.settings import Address
from tests.hostile_support import (
    ANSWER_BYTES,
    ANSWER_TIMEOUT_S,
    BODY_BYTES,
    MEMORY_MB,
    OPEN_FILES,
    RELAY_BODY_BYTES,
    ask,
    ask_ready,
    chunk,
    head,
    running,
)

CROWD = 100
# For a fault that needs a larger crowd with MEMORY_MB.
SMALL_MEMORY_MB = 64
# More than the process may hold open.
IDLE_CROWD = 500
PIPELINED_REQUESTS = 3000
# They fit into a head of 16 KB.
HEAD_LINES = 2300
CROWD_S = 2.5

Attack = Callable[[trio.SocketStream, int], Awaitable[None]]


async def send_length(stream: trio.SocketStream, body_bytes: int) -> None:
    """Send a body whose last byte is missing, and stay."""
    await stream.send_all(head("/x", f"content-length: {body_bytes}"))
    await stream.send_all(b"x" * (body_bytes - 1))


async def send_chunks(stream: trio.SocketStream, body_bytes: int) -> None:
    """Send a body in chunks, without the last one, and stay."""
    await stream.send_all(head("/x", "transfer-encoding: chunked"))
    for _ in range(body_bytes // 16384):
        await stream.send_all(chunk(16384))


async def announce_too_much(stream: trio.SocketStream, body_bytes: int) -> None:
    await stream.send_all(head("/x", f"content-length: {1000 * body_bytes}"))
    for _ in range(64):
        await stream.send_all(b"x" * 65536)


async def send_endless_chunks(stream: trio.SocketStream, body_bytes: int) -> None:
    await stream.send_all(head("/x", "transfer-encoding: chunked"))
    for _ in range(64):
        await stream.send_all(chunk(65536))


async def send_ahead(stream: trio.SocketStream, body_bytes: int) -> None:
    """Send many requests, and read none of the answers."""
    request = head("/kv-range?path_prefix=none", "content-length: 0")
    for _ in range(PIPELINED_REQUESTS // 100):
        await stream.send_all(100 * request)


async def send_endless_head(stream: trio.SocketStream, body_bytes: int) -> None:
    await stream.send_all(b"POST /x HTTP/1.1\r\n")
    for _ in range(4000):
        await stream.send_all(b"x-field: " + b"y" * 1000 + b"\r\n")


async def send_many_lines(stream: trio.SocketStream, body_bytes: int) -> None:
    """Send a head of many short lines and a body without its last byte, and stay."""
    lines = [f"{number:x}:" for number in range(HEAD_LINES)]
    await stream.send_all(head("/x", *lines, "content-length: 1000"))
    await stream.send_all(b"x" * 999)


async def read_nothing(stream: trio.SocketStream, body_bytes: int) -> None:
    """Ask for long answers, one after the other, and read none."""
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
    await stream.send_all(head("/long", "content-length: 0"))


async def list_and_read_nothing(stream: trio.SocketStream, body_bytes: int) -> None:
    """Ask a relay for a long listing, and read nothing."""
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
    await stream.send_all(head("/kv-range?path_prefix=long/", "content-length: 0"))


async def stay_idle(stream: trio.SocketStream, body_bytes: int) -> None:
    """Send nothing."""


async def attack_once(attack: Attack, address: Address, body_bytes: int) -> None:
    """Attack on one connection, and keep it open until cancelled."""
    with suppress(OSError, trio.BrokenResourceError):
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await attack(stream, body_bytes)
            await trio.sleep_forever()


async def check(
    role: str,
    attack: Attack,
    folder,
    *,
    crowd: int = CROWD,
    at_ready: bool = False,
    memory_mb: int = MEMORY_MB,
    stored: dict[str, object] | None = None,
) -> None:
    body_bytes = BODY_BYTES if role == "router" else RELAY_BODY_BYTES
    open_files = 0
    async with running(role, folder, memory_mb=memory_mb, stored=stored) as process:
        attacked = process.ready if at_ready else process.listen
        async with trio.open_nursery() as nursery:
            for _ in range(crowd):
                nursery.start_soon(attack_once, attack, attacked, body_bytes)
            for _ in range(25):
                await trio.sleep(CROWD_S / 25)
                assert process.is_alive
                open_files = max(open_files, process.open_files)
            status = None
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                status = await ask(process.listen)
            ready_status = None
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                ready_status = await ask_ready(role, process)
            nursery.cancel_scope.cancel()
        assert process.is_alive
        peak_mb = process.peak_memory_mb
        seen = {
            "within memory": peak_mb < memory_mb,
            "within descriptors": open_files < OPEN_FILES,
            "answered": status == 200,
            "ready": ready_status == 200,
        }
        figures = f"peak {peak_mb:.0f} MB, {open_files} files"
        log = process.log_path.read_text()[-2000:]
        statuses = f"statuses {status} and {ready_status}"
        assert all(seen.values()), f"{seen}, {figures}, {statuses}\n{log}"


ATTACKS = (
    send_length,
    send_chunks,
    announce_too_much,
    send_endless_chunks,
    send_ahead,
    send_endless_head,
)


@pytest.mark.parametrize("role", ("router", "relay"))
@pytest.mark.parametrize("attack", ATTACKS, ids=lambda each: each.__name__)
def test_crowd_leaves_the_process_within_its_memory(attack, role, tmp_path):
    """Guards against a kill by the platform, which loses all requests in progress."""
    trio.run(partial(check, role, attack, tmp_path))


def test_unread_answers_leave_the_router_within_its_memory(tmp_path):
    """Guards against whole answers that are held for callers that read nothing."""
    trio.run(partial(check, "router", read_nothing, tmp_path))


def test_unread_store_answers_leave_the_relay_within_its_memory(tmp_path):
    """Guards against long answers of the store that a relay holds for a crowd."""
    stored = {"long/1": "x" * ANSWER_BYTES}
    trio.run(partial(check, "relay", list_and_read_nothing, tmp_path, stored=stored))


@pytest.mark.parametrize(
    "attack", (send_length, send_ahead, send_endless_head), ids=lambda a: a.__name__
)
def test_crowd_at_the_readiness_path(attack, tmp_path):
    """Guards against a readiness server that takes the whole event loop or memory."""
    trio.run(partial(check, "router", attack, tmp_path, at_ready=True))


@pytest.mark.parametrize("role", ("router", "relay"))
def test_heads_of_many_lines_leave_the_process_within_its_memory(role, tmp_path):
    """Guards against heads that are counted by their bytes, not by their objects."""
    check_it = partial(check, role, send_many_lines, tmp_path)
    trio.run(partial(check_it, memory_mb=SMALL_MEMORY_MB))


@pytest.mark.parametrize("role", ("router", "relay"))
def test_idle_connections_leave_descriptors(role, tmp_path):
    """Guards against a process that can't open connections to targets any more."""
    trio.run(partial(check, role, stay_idle, tmp_path, crowd=IDLE_CROWD))


async def check_refusal(folder) -> None:
    """Hold back many bodies, and read the answer of the first one."""
    request = head("/x", f"content-length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 1)
    async with running("router", folder) as process:
        streams = []
        for _ in range(CROWD):
            stream = await trio.open_tcp_stream(
                process.listen.host, process.listen.port
            )
            streams.append(stream)
            with trio.move_on_after(1.0):
                await stream.send_all(request)
            await trio.sleep(0.02)
        with trio.fail_after(ANSWER_TIMEOUT_S):
            answer = await streams[0].receive_some(65536)
        for stream in streams:
            await trio.aclose_forcefully(stream)
    lines = answer.lower().splitlines()
    assert lines[0].startswith(b"http/1.1 503 ")
    assert {b"retry-after: 1.000", b"connection: close"} <= set(lines)
    assert b'"not_run"' in answer


def test_evicted_request_is_refused_as_not_run(tmp_path):
    """Guards against callers that don't know whether they may try again."""
    trio.run(check_refusal, tmp_path)
