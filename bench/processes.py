"""Processor time and memory of running routers and agents.

Starts one router and two agents with a small configuration, sends requests and
reads the counters of the processes from /proc.
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


class ProcessUsage(msgspec.Struct, frozen=True):
    """Processor time of a process in seconds and its resident memory in MB."""

    cpu_s: float
    resident_mb: float


def read_usage(member: Member) -> ProcessUsage:
    """Read the processor time and memory of a process from /proc."""
    folder = Path("/proc") / str(member.process_id)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    pages = int((folder / "statm").read_text().split()[1])
    return ProcessUsage(
        cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND,
        resident_mb=pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
    )


async def send_requests(address: str, request: HttpRequest, count: int) -> None:
    """Send ``count`` equal requests, at most ``CONCURRENCY`` at a time."""
    client = HttpClient(address=parse_address(address))
    limiter = trio.CapacityLimiter(CONCURRENCY)

    async def send_one() -> None:
        async with limiter:
            response = await client.request(request)
        if response.status != 200:
            raise RuntimeError(
                f"request failed with {response.status}: {response.body[:200]!r}"
            )

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(send_one)
    await client.close()


def make_model_request(max_tokens: int) -> HttpRequest:
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


def make_app_request() -> HttpRequest:
    return HttpRequest(
        method="GET",
        target="/v1/apps/reading/latest",
        headers=[("authorization", f"Bearer {API_KEY}")],
    )


class FleetBenchmark:
    """Measures the router and the agents of a running fleet."""

    def __init__(self, *, fleet: ConfiguredFleet):
        self.fleet = fleet
        self.router = fleet.routers[0]
        self.address = fleet.router_specs[0].listen

    def measure_cpu_s(
        self, agent: str, request: HttpRequest, count: int
    ) -> tuple[float, float]:
        """Return the processor seconds that the router and the agent spend."""
        members = (self.router, self.fleet[agent])
        before = [read_usage(member).cpu_s for member in members]
        trio.run(send_requests, self.address, request, count)
        # Settlement and acknowledgement happen after the response was sent.
        time.sleep(0.5)
        after = [read_usage(member).cpu_s for member in members]
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
            router, agent = self.measure_cpu_s(
                "service-agent", make_app_request(), count
            )
            points.append((count, router, agent))
        self.print_fit("application requests", points, "request")

    def measure_tokens(self) -> None:
        points = []
        requests = 64
        for tokens in TOKEN_COUNTS:
            router, agent = self.measure_cpu_s(
                "engine-agent", make_model_request(tokens), requests
            )
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
        calls_before = call_json(self.fleet.store.address, "GET", "/stats")
        before = {name: read_usage(member) for name, member in members.items()}
        time.sleep(IDLE_S)
        print(f"idle for {IDLE_S:g} s")
        for name, member in members.items():
            after = read_usage(member)
            percent = (after.cpu_s - before[name].cpu_s) / IDLE_S * 100
            print(
                f"  {name}: {percent:.2f}% of a core,"
                f" {after.resident_mb:.1f} MB resident"
            )
        calls_after = call_json(self.fleet.store.address, "GET", "/stats")
        print(f"  store before {calls_before}\n  store after  {calls_after}")


def write_configuration(folder: Path) -> Path:
    (folder / "10-bench.yaml").write_text(yaml.safe_dump(CONFIGURATION))
    return folder


def main() -> None:
    engine_options = {"step_s": 0.02, "slots": CONCURRENCY}
    with (
        tempfile.TemporaryDirectory() as folder,
        ConfiguredFleet(
            folder=write_configuration(Path(folder)),
            routers_per_region=1,
            engine_options=engine_options,
        ) as fleet,
    ):
        benchmark = FleetBenchmark(fleet=fleet)
        benchmark.measure_idle()
        trio.run(send_requests, benchmark.address, make_app_request(), 50)
        benchmark.measure_requests()
        benchmark.measure_tokens()
        print("after load")
        benchmark.measure_idle()


if __name__ == "__main__":
    main()
