"""One idle router's processor time, memory and traffic by number of links.

A running router process keeps links to stand-ins of agents that live in one
other process and send nothing but load reports. The bytes are those of the
links, counted at the stand-ins. Run: python -m bench.idle_router
"""

import argparse
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

import msgspec
import trio
import yaml

from bench.processes import CONFIGURATION, ProcessUsage, read_usage
from bench.slopes import fit_line
from lavenderfold.links import Link, LinkClosedError
from lavenderfold.messages import AgentHello, LoadReport, MessageToAgent, RouterHello
from lavenderfold.settings import Address, parse_address
from scripts.fleet import (
    READY_TIMEOUT_S,
    Fleet,
    FleetError,
    Member,
    call_json,
    is_healthy,
)

LINK_COUNTS = (10, 50, 100)
SUBSET_TARGETS = 100
SUBSET_LINKS = 9
WARM_UP_S = 2.0
IDLE_S = 8.0
BATCH_WINDOW_S = 0.005
# Report period for routers whose hello names none.
DEFAULT_PERIOD_S = 0.25
MODEL = "model-1"
REPORT = LoadReport(
    running=3,
    queued=0,
    queued_tokens=0,
    slots=32,
    tokens_per_s=500.0,
    ready=True,
    draining=False,
    revision=1,
    models=[MODEL],
)


class CountingStream:
    """A socket stream that adds the bytes sent and received to ``totals``."""

    def __init__(self, *, stream: trio.SocketStream, totals: dict[str, int]):
        self.socket = stream.socket
        self._stream = stream
        self._totals = totals

    async def send_all(self, data: bytes) -> None:
        await self._stream.send_all(data)
        self._totals["sent"] += len(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        data = await self._stream.receive_some(max_bytes)
        self._totals["received"] += len(data)
        return data


class AgentStandIn:
    """Sends each router a hello, then load reports at the requested period."""

    def __init__(self, *, target: str, totals: dict[str, int]):
        self._target = target
        self._totals = totals
        self._period_s = DEFAULT_PERIOD_S

    async def serve(self, stream: trio.SocketStream) -> None:
        counting_stream = CountingStream(stream=stream, totals=self._totals)

        async def open_accepted_stream() -> CountingStream:
            return counting_stream

        link = Link(
            peer=self._target,
            open_stream=open_accepted_stream,
            message_type=MessageToAgent,
            batch_window_s=BATCH_WINDOW_S,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            nursery.start_soon(self._report, link)
            await self._receive(link)
            nursery.cancel_scope.cancel()

    async def _receive(self, link: Link) -> None:
        try:
            while True:
                for message in await link.receive():
                    if isinstance(message, RouterHello):
                        self._period_s = getattr(
                            message, "report_period_s", DEFAULT_PERIOD_S
                        )
        except LinkClosedError:
            return

    async def _report(self, link: Link) -> None:
        hello = AgentHello(
            target=self._target,
            boot_id="boot",
            region="region-1",
            failure_domain="here",
            models=[MODEL],
        )
        link.post(hello)
        while not link.closed:
            link.post(REPORT)
            await trio.sleep(self._period_s)


async def run_stand_ins(addresses: list[Address]) -> None:
    """Serve one stand-in per address.

    For each line on standard input, print the number of bytes carried so far.
    """
    totals = {"sent": 0, "received": 0}
    async with trio.open_nursery() as nursery:
        for number, address in enumerate(addresses):
            stand_in = AgentStandIn(target=f"target-{number}", totals=totals)
            serve = partial(
                trio.serve_tcp, stand_in.serve, address.port, host=address.host
            )
            await nursery.start(serve)
        print("ready", flush=True)
        while await trio.to_thread.run_sync(sys.stdin.readline):
            print(totals["sent"] + totals["received"], flush=True)
        nursery.cancel_scope.cancel()


class StandInProcess:
    """Context manager for the process that runs the agent stand-ins."""

    def __init__(self, *, addresses: list[str]):
        command = [sys.executable, "-m", "bench.idle_router", "--serve", *addresses]
        self._process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def __enter__(self) -> "StandInProcess":
        self._process.stdout.readline()
        return self

    def __exit__(self, *_: object) -> None:
        self._process.stdin.close()
        self._process.wait(timeout=20)

    def bytes_carried(self) -> int:
        """Return the bytes carried so far by all links, in both directions."""
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        return int(self._process.stdout.readline())


class IdleCost(msgspec.Struct, frozen=True):
    """The measured cost of one idle router that has ``links`` links."""

    links: int
    core_percent: float
    resident_mb: float
    bytes_per_s: float


def write_configuration(folder: Path, addresses: list[str]) -> None:
    targets = {
        f"target-{number}": {
            **CONFIGURATION["targets"]["engine"],
            "agent": address,
            "vm": f"vm-{number}",
        }
        for number, address in enumerate(addresses)
    }
    routes = {"question": CONFIGURATION["routes"]["question"]}
    text = yaml.safe_dump({**CONFIGURATION, "routes": routes, "targets": targets})
    (folder / "10-bench.yaml").write_text(text)


def start_router(fleet: Fleet, addresses: list[str], links: int) -> tuple[Member, str]:
    """Start a configured store and a router; return it and its operator address."""
    store = fleet.add_stand_in("store", "config_store")
    fleet.wait_ready()
    with tempfile.TemporaryDirectory() as folder:
        write_configuration(Path(folder), addresses)
        arguments = ["apply", folder, f"--store={store.address}", "--base=0"]
        completed = fleet.run("ctl", arguments)
    if completed.returncode != 0:
        raise FleetError("lavenderfoldctl", completed.stdout + completed.stderr)
    listen, operator, peer = (fleet.allocate_address() for _ in range(3))
    settings = {
        "router": "router-1",
        "region": "region-1",
        "failure_domain": "here",
        "listen": listen,
        "operator_listen": operator,
        "peer_listen": peer,
        "store_address": store.address,
        "limits": {"targets_per_group": links},
    }
    router = fleet.add_component(
        "router", "router", settings, address=listen, is_ready=is_healthy
    )
    return router, operator


def wait_for_links(operator: str, links: int) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        try:
            targets = call_json(operator, "GET", "/v1/status")["targets"]
            if sum(target["ready"] for target in targets) == links:
                return
        except FleetError:
            pass  # The router isn't listening yet.
        if time.monotonic() > deadline:
            raise FleetError("router", f"hasn't {links} links in {READY_TIMEOUT_S} s")
        time.sleep(0.1)


def measure(links: int, *, targets: int) -> IdleCost:
    """Measure an idle router with links to ``links`` of the ``targets`` targets."""
    with Fleet() as fleet:
        addresses = [fleet.allocate_address() for _ in range(targets)]
        with StandInProcess(addresses=addresses) as stand_ins:
            router, operator = start_router(fleet, addresses, links)
            wait_for_links(operator, links)
            time.sleep(WARM_UP_S)
            start, carried_bytes = time.monotonic(), stand_ins.bytes_carried()
            before: ProcessUsage = read_usage(router)
            time.sleep(IDLE_S)
            after = read_usage(router)
            elapsed = time.monotonic() - start
            carried_bytes = stand_ins.bytes_carried() - carried_bytes
    return IdleCost(
        links=links,
        core_percent=(after.cpu_s - before.cpu_s) / elapsed * 100,
        resident_mb=after.resident_mb,
        bytes_per_s=carried_bytes / elapsed,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", nargs="+", metavar="ADDRESS")
    addresses = parser.parse_args().serve
    if addresses:
        trio.run(run_stand_ins, [parse_address(address) for address in addresses])
        return
    points = [measure(links, targets=links) for links in LINK_COUNTS]
    subset = measure(SUBSET_LINKS, targets=SUBSET_TARGETS)
    for point in [*points, subset]:
        print(
            f"links={point.links:<4} core_percent={point.core_percent:5.2f}"
            f" resident_mb={point.resident_mb:.1f}"
            f" bytes_per_s={point.bytes_per_s:.0f}"
        )
    for name in ("core_percent", "resident_mb", "bytes_per_s"):
        fit = fit_line([(point.links, getattr(point, name)) for point in points])
        print(
            f"  {name}: {fit.intercept:.3f} + {fit.slope:.4f} per link,"
            f" residual {fit.residual:.3f}"
        )


if __name__ == "__main__":
    main()
