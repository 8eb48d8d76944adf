"""Crowds of callers that come back, or send very small chunks, end no process."""

import itertools
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import pytest
import trio

from lavenderfold.settings import Address
from tests.hostile_support import (
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
from tests.platform_processes import EXIT_TIMEOUT_S

RETURNING_CROWD = 20
SMALL_CHUNKS_CROWD = 60
MIXED_CROWD = 40
CROWD_S = 4.0
# Each way of attacking is used for this long.
TURN_S = 0.7
RETRY_AFTER_S = 0.5
ASKED_AT_MOST = 30
SMALL_CHUNK_BYTES = 16
SEND_BYTES = 32768


async def announce_too_much(stream: trio.SocketStream, body_bytes: int) -> None:
    await stream.send_all(head("/x", f"content-length: {1000 * body_bytes}"))
    while True:
        await stream.send_all(b"x" * SEND_BYTES)


async def send_endless_chunks(stream: trio.SocketStream, body_bytes: int) -> None:
    await stream.send_all(head("/x", "transfer-encoding: chunked"))
    while True:
        await stream.send_all(chunk(65536))


async def send_length(stream: trio.SocketStream, body_bytes: int) -> None:
    """Send a body whose last byte is missing, and wait for a refusal."""
    await stream.send_all(head("/x", f"content-length: {body_bytes}"))
    await stream.send_all(b"x" * (body_bytes - 1))
    await stream.receive_some(SEND_BYTES)


async def send_whole(stream: trio.SocketStream, body_bytes: int) -> None:
    """Send whole bodies and read the answers, as an ordinary caller may."""
    while True:
        await stream.send_all(head("/x", f"content-length: {body_bytes}"))
        await stream.send_all(b"x" * body_bytes)
        answer = await stream.receive_some(SEND_BYTES)
        if not answer.startswith(b"HTTP/1.1 200"):
            return


async def send_chunks_of(
    chunk_bytes: int, stream: trio.SocketStream, body_bytes: int
) -> None:
    """Send a body in chunks, without the last one, and wait for a refusal."""
    await stream.send_all(head("/x", "transfer-encoding: chunked"))
    chunks = chunk(chunk_bytes) * max(1, SEND_BYTES // len(chunk(chunk_bytes)))
    sent_bytes = chunk_bytes * (len(chunks) // len(chunk(chunk_bytes)))
    for _ in range(body_bytes // sent_bytes):
        await stream.send_all(chunks)
    await stream.receive_some(SEND_BYTES)


async def send_head_in_parts(stream: trio.SocketStream, body_bytes: int) -> None:
    """Send the longest head that is allowed, again and again without its end."""
    await stream.send_all(b"POST /x HTTP/1.1\r\nhost: host\r\n")
    await stream.send_all(b"a:\r\n" * 4000)
    await stream.receive_some(SEND_BYTES)


async def attack_again(attack, address: Address, body_bytes: int) -> None:
    """Attack until cancelled, on a new connection whenever the last one has ended."""
    while True:
        with suppress(OSError, trio.BrokenResourceError):
            stream = await trio.open_tcp_stream(address.host, address.port)
            async with stream:
                await attack(stream, body_bytes)
        await trio.lowlevel.checkpoint()


async def served(asking: Callable[[], Awaitable[int | None]]) -> bool:
    """Ask as an ordinary caller does, which comes again when it is refused."""
    with trio.move_on_after(ANSWER_TIMEOUT_S):
        for _ in range(ASKED_AT_MOST):
            if await asking() == 200:
                return True
            await trio.sleep(RETRY_AFTER_S)
    return False


async def check(role: str, attack, folder, *, crowd: int) -> None:
    """Attack, and send an ordinary request beside the crowd and one after it."""
    body_bytes = BODY_BYTES if role == "router" else RELAY_BODY_BYTES
    open_files = 0
    async with running(role, folder) as process:
        async with trio.open_nursery() as nursery:
            for _ in range(crowd):
                nursery.start_soon(attack_again, attack, process.listen, body_bytes)
            for _ in range(25):
                await trio.sleep(CROWD_S / 25)
                assert process.is_alive
                open_files = max(open_files, process.open_files)
            beside = await served(partial(ask, process.listen))
            nursery.cancel_scope.cancel()
        assert process.is_alive
        after = await served(partial(ask, process.listen))
        ready = await served(partial(ask_ready, role, process))
        peak_mb = process.peak_memory_mb
        seen = {
            "within memory": peak_mb < MEMORY_MB,
            "within descriptors": open_files < OPEN_FILES,
            "answered beside": beside,
            "answered after": after,
            "ready": ready,
        }
        figures = f"peak {peak_mb:.0f} MB, {open_files} files"
        log = process.log_path.read_text()[-2000:]
        assert all(seen.values()), f"{seen}, {figures}\n{log}"


RETURNING_ATTACKS = {
    "announced": announce_too_much,
    "endless": send_endless_chunks,
    "length": send_length,
    "whole": send_whole,
    "chunks": partial(send_chunks_of, 16384),
    "head": send_head_in_parts,
}
SMALL_CHUNK_ATTACKS = {
    "small": partial(send_chunks_of, SMALL_CHUNK_BYTES),
    "bytes": partial(send_chunks_of, 1),
}


ALL_ATTACKS = RETURNING_ATTACKS | SMALL_CHUNK_ATTACKS


@pytest.mark.parametrize("role", ("router", "relay"))
@pytest.mark.parametrize("name", RETURNING_ATTACKS)
def test_callers_that_come_back_leave_the_process_within_its_memory(
    name, role, tmp_path
):
    """Guards against bytes of refused requests that are kept after the refusal."""
    attack = RETURNING_ATTACKS[name]
    trio.run(partial(check, role, attack, tmp_path, crowd=RETURNING_CROWD))


@pytest.mark.parametrize("role", ("router", "relay"))
@pytest.mark.parametrize("name", SMALL_CHUNK_ATTACKS)
def test_small_chunks_leave_other_callers_their_turn(name, role, tmp_path):
    """Guards against a process that decodes the chunks of a few callers only."""
    attack = SMALL_CHUNK_ATTACKS[name]
    trio.run(partial(check, role, attack, tmp_path, crowd=SMALL_CHUNKS_CROWD))


async def check_changes(role: str, folder) -> None:
    """Attack in all ways, reload the settings and stop the process meanwhile."""
    body_bytes = BODY_BYTES if role == "router" else RELAY_BODY_BYTES
    kinds = list(ALL_ATTACKS.values())
    async with running(role, folder) as process:
        async with trio.open_nursery() as nursery:
            for number in range(MIXED_CROWD):
                nursery.start_soon(
                    attack_in_turn, number, kinds, process.listen, body_bytes
                )
            await trio.sleep(CROWD_S)
            process.child.send_signal(signal.SIGHUP)
            beside = await served(partial(ask, process.listen))
            peak_mb = process.peak_memory_mb
            process.child.send_signal(signal.SIGTERM)
            with trio.move_on_after(EXIT_TIMEOUT_S):
                await trio.to_thread.run_sync(
                    process.child.wait, abandon_on_cancel=True
                )
            nursery.cancel_scope.cancel()
        log = process.log_path.read_text()
    seen = {
        "answered beside": beside,
        "within memory": peak_mb < MEMORY_MB,
        "stopped": process.child.returncode == 0,
        "nothing failed": "Traceback" not in log,
    }
    assert all(seen.values()), f"{seen}, peak {peak_mb:.0f} MB\n{log[-2000:]}"


async def attack_in_turn(
    number: int, kinds: list, address: Address, body_bytes: int
) -> None:
    """Attack in another way for TURN_S each, beginning with that of a number."""
    for turn in itertools.count(number):
        with trio.move_on_after(TURN_S):
            await attack_again(kinds[turn % len(kinds)], address, body_bytes)


@pytest.mark.parametrize("role", ("router", "relay"))
def test_crowd_that_changes_its_ways_beside_a_reload_and_a_stop(role, tmp_path):
    """Guards against a process that a crowd keeps from stopping."""
    trio.run(check_changes, role, tmp_path)
