"""Memory of a router by the number and kind of hostile callers, and who is served.

Starts a router process of the platform beside stand-ins in this process, as the tests
of hostile clients do, with a limit of 300 MB and bodies of 4 MB. The cost is that of
the accounting alone, and of a whole request, each with a body of 16 KB.
With --returning the callers come back when they are refused, for RETURNING_S, and
ordinary requests are sent beside them, one after the other.
Run: python -m bench.caller_memory [--requests | --returning]
"""

import os
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

import trio

from lavenderfold.http import HttpClient, HttpRequest
from tests import (
    hostile_support as support,
    test_hostile_clients as hostile,
    test_returning_callers as returning,
)

CROWDS = (10, 100, 1000)
MEMORY_MB = 300
OPEN_FILES = 4100
BODY_BYTES = 4 * 1024 * 1024
CROWD_S = 2.5
RETURNING_CROWDS = (10, 30, 100)
RETURNING_S = 12.0
# An ordinary caller gives up after this time.
PATIENCE_S = 3.0
KINDS = (
    hostile.send_length,
    hostile.send_chunks,
    hostile.send_ahead,
    hostile.send_endless_head,
    hostile.read_nothing,
)
COUNTED_REQUESTS = 100_000
SERVED_REQUESTS = 3000
SERVED_BODY = b"x" * 16384


def raise_limits() -> None:
    """Have the stand-ins use the limits of this measurement."""
    support.MEMORY_MB, support.OPEN_FILES = MEMORY_MB, OPEN_FILES
    support.CONFIG["limits"]["max_body_bytes"] = BODY_BYTES


async def measure(attack, crowd: int, folder: Path) -> float:
    """Return the router's peak memory in MB after CROWD_S of an attack."""
    raise_limits()
    async with (
        support.running("router", folder) as process,
        trio.open_nursery() as nursery,
    ):
        for _ in range(crowd):
            nursery.start_soon(hostile.attack_once, attack, process.listen, BODY_BYTES)
        await trio.sleep(CROWD_S)
        nursery.cancel_scope.cancel()
        return process.peak_memory_mb


async def ask_beside(process, asked: list[bool]) -> None:
    """Send ordinary requests until cancelled, and note which were answered in time."""
    while True:
        status = None
        with trio.move_on_after(PATIENCE_S):
            status = await support.ask(process.listen)
        asked.append(status == 200)
        await trio.sleep(0.5)


async def measure_returning(attack, crowd: int, folder: Path) -> str:
    """Return the peak memory, that after the crowd, and who was served beside it."""
    raise_limits()
    asked: list[bool] = []
    async with support.running("router", folder) as process:
        async with trio.open_nursery() as nursery:
            for _ in range(crowd):
                nursery.start_soon(
                    returning.attack_again, attack, process.listen, BODY_BYTES
                )
            nursery.start_soon(ask_beside, process, asked)
            await trio.sleep(RETURNING_S)
            nursery.cancel_scope.cancel()
        await trio.sleep(PATIENCE_S)
        return (
            f"peak_mb={process.peak_memory_mb:.0f} after_mb={process.memory_mb:.0f} "
            f"served={sum(asked)} of {len(asked)}"
        )


def print_returning() -> None:
    for name, attack in returning.ALL_ATTACKS.items():
        for crowd in RETURNING_CROWDS:
            with tempfile.TemporaryDirectory() as folder:
                line = trio.run(partial(measure_returning, attack, crowd, Path(folder)))
            print(f"{name} crowd={crowd} {line}", flush=True)


def processor_s(process) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.child.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


async def measure_request_us(folder: Path) -> float:
    """Return the router's processor time for a request, one after the other."""
    fields = [("host", "host"), ("attempt-id", "a")]
    request = HttpRequest(method="POST", target="/x", headers=fields, body=SERVED_BODY)
    async with support.running("router", folder) as process:
        client = HttpClient(address=process.listen)
        before_s = processor_s(process)
        for _ in range(SERVED_REQUESTS):
            await client.request(request)
        elapsed_s = processor_s(process) - before_s
        await client.close()
    return elapsed_s / SERVED_REQUESTS * 1e6


def accounting_us() -> float | None:
    """Return the time of the accounting for one request, None if there is none."""
    try:
        from lavenderfold.http._open_connections import OpenConnections, Stage
        from lavenderfold.process_memory import ProcessMemory
    except ImportError:
        return None
    memory = ProcessMemory(limit_bytes=100_000_000)
    connections = OpenConnections(limit=None, memory=memory)
    held = connections.open(on_evicted=lambda: None, on_closed=lambda: None)
    started_at = time.perf_counter()
    for _ in range(COUNTED_REQUESTS):
        held.enter(Stage.IDLE)
        held.enter(Stage.READING)
        held.keep(16384)
        held.enter(Stage.READING)
        held.enter(Stage.RUNNING)
        held.share.set(8192)
    return (time.perf_counter() - started_at) / COUNTED_REQUESTS * 1e6


def main() -> None:
    if sys.argv[1:] == ["--returning"]:
        print_returning()
        return
    cost_us = accounting_us()
    if cost_us is not None:
        print(f"accounting: {cost_us:.2f} us per request")
    with tempfile.TemporaryDirectory() as folder:
        request_us = trio.run(measure_request_us, Path(folder))
    print(f"router's processor time: {request_us:.0f} us per request", flush=True)
    if sys.argv[1:] == ["--requests"]:
        return
    for attack in KINDS:
        for crowd in CROWDS:
            with tempfile.TemporaryDirectory() as folder:
                peak_mb = trio.run(partial(measure, attack, crowd, Path(folder)))
            print(f"{attack.__name__} crowd={crowd} peak_mb={peak_mb:.0f}", flush=True)


if __name__ == "__main__":
    main()
