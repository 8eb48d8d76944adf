"""Processor time and memory of running routers and agents.

Starts one router and two agents of a small configuration as processes, sends
requests and reads the processes' own counters.
Run: python -m bench.processes
"""

import hashlib
import os
import tempfile
import time
from pathlib import Path

import msgspec
import trio
import yaml

from bench.slopes import MICROSECONDS_PER_SECOND, fit_line
from lavenderfold.http import HttpClient, HttpRequest
from lavenderfold.settings import parse_address
from scripts.configured_fleet import ConfiguredFleet
from scripts.fleet import Member, call_json

API_KEY = "bench.example-key"
REQUEST_COUNTS = (100, 200, 400)
TOKEN_COUNTS = (16, 128, 512)
CONCURRENCY = 16
IDLE_S = 8.0
PROMPT = "word " * 100
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

CONFIGURATION = {
    "failure_domains": {"here": {"region": "region-1"}},
    "request_classes": {"quick": {"priority": 0, "wait_s": 30.0}},
    "routes": {
        "question": {
            "kind": "model",
            "request_class": "quick",
            "model": "model-1",
            "max_tokens": 1000,
        },
        "reading": {
            "kind": "app",
            "request_class": "quick",
            "service": "service-1",
            "methods": ["GET"],
            "cost_tokens": 1,
        },
    },
    "targets": {
        "engine": {
            "kind": "model",
            "agent": "127.0.0.1:1",
            "vm": "vm-1",
            "failure_domain": "here",
            "models": ["model-1"],
        },
        "service": {
            "kind": "app",
            "agent": "127.0.0.1:2",
            "vm": "vm-2",
            "failure_domain": "here",
            "service": "service-1",
        },
    },
    "organisations": {
        "bench": {
            "keys": {
                "first": {
                    "sha256": hashlib.sha256(API_KEY.encode()).hexdigest(),
                    "budget": "main",
                }
            },
            "budgets": {"main": {"prepaid": {"first": 10**9}}},
        }
    },
}


class Sample(msgspec.Struct, frozen=True):
    """A process's processor time in seconds and resident memory in MB."""

    cpu_s: float
    resident_mb: float


def sample(member: Member) -> Sample:
    """Read the counters of a process."""
    folder = Path("/proc") / str(member.process_id)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    pages = int((folder / "statm").read_text().split()[1])
    return Sample(
        cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND,
        resident_mb=pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
    )


async def send_all(address: str, request: HttpRequest, count: int) -> None:
    """Send equal requests, a bounded number at a time."""
    client = HttpClient(address=parse_address(address))
    limiter = trio.CapacityLimiter(CONCURRENCY)

    async def send_one() -> None:
        async with limiter:
            response = await client.request(request)
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {response.body[:200]!r}")

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(send_one)
    await client.close()


def question(max_tokens: int) -> HttpRequest:
    body = {
        "model": "question",
        "prompt": PROMPT,
        "max_tokens": max_tokens,
        "stream": True,
    }
    return HttpRequest(
        method="POST",
        target="/v1/completions",
        headers=[("authorization", f"Bearer {API_KEY}")],
        body=msgspec.json.encode(body),
    )


def reading() -> HttpRequest:
    return HttpRequest(
        method="GET",
        target="/v1/apps/reading/latest",
        headers=[("authorization", f"Bearer {API_KEY}")],
    )


class Bench:
    """The fleet under measurement and the two processes whose cost is read."""

    def __init__(self, *, fleet: ConfiguredFleet):
        self.fleet = fleet
        self.router = fleet.routers[0]
        self.address = fleet.router_specs[0].listen

    def cost(self, agent: str, request: HttpRequest, count: int) -> tuple[float, float]:
        """Return the router's and the agent's processor seconds."""
        members = (self.router, self.fleet[agent])
        before = [sample(member).cpu_s for member in members]
        trio.run(send_all, self.address, request, count)
        # Settlement and acknowledgement follow the answer.
        time.sleep(0.5)
        after = [sample(member).cpu_s for member in members]
        return after[0] - before[0], after[1] - before[1]

    def print_fit(
        self, title: str, points: list[tuple[float, float, float]], unit: str
    ) -> None:
        print(title)
        for index, role in ((1, "router"), (2, "agent")):
            fit = fit_line([(point[0], point[index]) for point in points])
            costs = " ".join(f"{point[0]:g}:{point[index]:.3f}s" for point in points)
            print(
                f"  {role}: {fit.slope * MICROSECONDS_PER_SECOND:.1f} us per {unit}"
                f" ({costs}), residual {fit.residual:.3f}"
            )

    def measure_requests(self) -> None:
        points = []
        for count in REQUEST_COUNTS:
            router, agent = self.cost("service-agent", reading(), count)
            points.append((count, router, agent))
        self.print_fit("application requests", points, "request")

    def measure_tokens(self) -> None:
        points = []
        requests = 64
        for tokens in TOKEN_COUNTS:
            router, agent = self.cost("engine-agent", question(tokens), requests)
            points.append((tokens * requests, router, agent))
        self.print_fit(
            f"model requests of {TOKEN_COUNTS} tokens, {requests} each, {CONCURRENCY}"
            " at a time",
            points,
            "token",
        )

    def measure_idle(self) -> None:
        members = {
            "router (2 links)": self.router,
            "agent (1 link)": self.fleet["engine-agent"],
        }
        calls = call_json(self.fleet.store.address, "GET", "/stats")
        before = {name: sample(member) for name, member in members.items()}
        time.sleep(IDLE_S)
        print(f"idle for {IDLE_S:g} s")
        for name, member in members.items():
            now = sample(member)
            percent = (now.cpu_s - before[name].cpu_s) / IDLE_S * 100
            print(
                f"  {name}: {percent:.2f}% of a core, {now.resident_mb:.1f} MB resident"
            )
        later = call_json(self.fleet.store.address, "GET", "/stats")
        print(f"  store before {calls}\n  store after  {later}")


def write_configuration(folder: Path) -> Path:
    (folder / "10-bench.yaml").write_text(yaml.safe_dump(CONFIGURATION))
    return folder


def main() -> None:
    engine = {"step_s": 0.02, "slots": CONCURRENCY}
    with (
        tempfile.TemporaryDirectory() as folder,
        ConfiguredFleet(
            folder=write_configuration(Path(folder)),
            routers_per_region=1,
            engine_options=engine,
        ) as fleet,
    ):
        bench = Bench(fleet=fleet)
        bench.measure_idle()
        trio.run(send_all, bench.address, reading(), 50)
        bench.measure_requests()
        bench.measure_tokens()
        print("after load")
        bench.measure_idle()


if __name__ == "__main__":
    main()
