"""Processor time of a link per batch and per message, at one end.

The peer runs in a process of its own, so that the figure is one side's cost.
Run: python -m bench.links
"""

import argparse
import subprocess
import sys
import time

import trio

from bench.slopes import MICROSECONDS_PER_SECOND, fit_line, resident_bytes
from lavenderfold.links import Link, LinkClosedError, Listener, connect
from lavenderfold.messages import Frame, Heartbeat, MessageToAgent, MessageToRouter
from lavenderfold.settings import Address, parse_address

FRAME_BYTES = 120
BATCHES = 1000
BATCH_SIZES = (1, 8, 32, 64)
LINK_COUNTS = (1, 32, 128, 256)


async def echo_link(link: Link) -> None:
    """Answer each heartbeat with as many frames as its revision says."""
    frame = Frame(run_id="r" * 32, offset=0, data=b"x" * FRAME_BYTES, tokens=4)
    try:
        while True:
            for message in await link.receive():
                for _ in range(message.revision):
                    link.post(frame)
                link.flush()
    except LinkClosedError:
        return


async def run_server() -> None:
    listener = Listener(
        address=Address(host="127.0.0.1", port=0), message_type=MessageToAgent
    )
    async with trio.open_nursery() as nursery:
        address = await nursery.start(listener.run, echo_link)
        print(address, flush=True)
        await trio.to_thread.run_sync(sys.stdin.read)
        nursery.cancel_scope.cancel()


async def exchange_batches(link: Link, batch_size: int, batches: int) -> None:
    for _ in range(batches):
        link.post(Heartbeat(revision=batch_size))
        link.flush()
        received = 0
        while received < batch_size:
            received += len(await link.receive())


def open_link(address: Address, nursery: trio.Nursery) -> Link:
    link = connect(address=address, message_type=MessageToRouter)
    nursery.start_soon(link.run)
    return link


async def measure_batches(
    address: Address, nursery: trio.Nursery
) -> list[tuple[float, float]]:
    points = []
    link = open_link(address, nursery)
    await exchange_batches(link, 1, 20)
    for batch_size in BATCH_SIZES:
        start = time.process_time()
        await exchange_batches(link, batch_size, BATCHES)
        used_s = time.process_time() - start
        points.append((batch_size, used_s / BATCHES * MICROSECONDS_PER_SECOND))
    link.close()
    return points


async def measure_idle_links(
    address: Address, nursery: trio.Nursery
) -> list[tuple[float, float, float]]:
    points = []
    links: list[Link] = []
    for count in LINK_COUNTS:
        while len(links) < count:
            link = open_link(address, nursery)
            await exchange_batches(link, 1, 1)
            links.append(link)
        start = time.process_time()
        await trio.sleep(3)
        idle = (time.process_time() - start) / 3
        points.append((count, resident_bytes() / 1024, idle * 100))
    for link in links:
        link.close()
    return points


async def run_client(address: Address) -> None:
    async with trio.open_nursery() as nursery:
        batches = await measure_batches(address, nursery)
        idle = await measure_idle_links(address, nursery)
    fit = fit_line(batches)
    print("one side's processor time per received batch (and one sent message)")
    for size, cost in batches:
        print(f"  messages_per_batch={size:<4.0f} cpu_us_per_batch={cost:8.1f}")
    print(
        f"  fit: {fit.intercept:.1f} us per batch + {fit.slope:.2f} us per message,"
        f" residual {fit.residual:.3f}"
    )
    print("links open and idle at the connecting side")
    for count, kilobytes, percent in idle:
        print(
            f"  links={count:<4.0f} rss_kb={kilobytes:9.0f} core_percent={percent:.2f}"
        )
    memory = fit_line([(count, kilobytes) for count, kilobytes, _ in idle])
    print(f"  fit: {memory.slope:.0f} KB per link, residual {memory.residual:.3f}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--server", action="store_true")
    if parser.parse_args().server:
        trio.run(run_server)
        return
    server = subprocess.Popen(
        [sys.executable, "-m", "bench.links", "--server"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        address = parse_address(server.stdout.readline().strip())
        trio.run(run_client, address)
    finally:
        server.stdin.close()
        server.wait(timeout=20)


if __name__ == "__main__":
    main()
