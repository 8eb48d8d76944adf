"""Target choice under rising load and faults, compared with two baselines.

The router's dispatcher, class queue and load view run in virtual time against
simulated engines that have a prefix cache, slots and priorities.
Run: python -m bench.routing_policies
"""

import math
import random
from collections import OrderedDict
from collections.abc import Callable

import msgspec
import trio
import trio.testing

from bench.decisions import make_id
from lavenderfold.config import (
    FailureDomain,
    FleetConfig,
    RequestClass,
    Route,
    RouteKind,
    Target,
)
from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.messages import LoadReport
from lavenderfold.outcomes import NotRun
from lavenderfold.router._dispatcher import Dispatcher
from lavenderfold.router._requests import CallerRequest
from lavenderfold.routing import (
    LoadView,
    choose_least_outstanding,
    choose_round_robin,
    choose_target,
)
from lavenderfold.settings import parse_address
from lavenderfold.timers import TimerService

SEED = 20261204
DURATION_S = 40.0
REGIONS = ("region-1", "region-2")
# Nine replicas with six of them in one region, like the fleets in production.
ENGINE_REGIONS = {f"engine-{number}": REGIONS[number >= 6] for number in range(9)}
ROUTERS_PER_REGION = 2
SLOTS = 8
STEP_S = 0.02
PREFILL_TOKENS_PER_STEP = 64
CACHE_BLOCKS = 1024
BLOCK_TOKENS = 16
REPORT_PERIOD_S = 0.25
PREFIX_PERIOD_S = 5.0
BYTES_PER_TOKEN = 6
ONE_WAY_LATENCY_S = 0.01
RETRY_DELAY_S = 0.05
QUICK_WAIT_S, LONG_WAIT_S = 5.0, 60.0
LONG_SHARE = 0.3
LONG_PROMPTS = 60
LONG_BLOCKS, QUICK_BLOCKS = 128, 4
LONG_OUTPUT_TOKENS, QUICK_OUTPUT_TOKENS = 200, 40
RATES_PER_S = (15, 30, 38, 50)
FAULT_START_S = 15.0
FAULTS = ("slow_replica", "replica_gone", "cache_gaps")
FAULT_RATE_PER_S = 30
POLICIES: dict[str, Callable] = {
    "prefix and load": choose_target,
    "round robin": choose_round_robin,
    "least outstanding": choose_least_outstanding,
}


class Stream:
    """The state of one request at an engine."""

    def __init__(self, *, request: CallerRequest, is_lost: bool = False):
        self.request = request
        self.prefill_steps = 0
        self.first_token_at = 0.0
        self.remaining_tokens = request.max_tokens
        self.first_token = trio.Event()
        self.ended = trio.Event()
        self.is_lost = is_lost


class SimulatedEngine:
    """An engine with continuous batching and a prefix cache.

    Each step advances every running stream by a prefill chunk or a token.
    """

    def __init__(self, *, name: str, fault: str, randomness: random.Random):
        self.name = name
        self.waiting: list[Stream] = []
        self.running: list[Stream] = []
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.hit_blocks = 0
        self.looked_up_blocks = 0
        self.has_stopped = False
        self._fault = fault if name == "engine-0" or fault == "cache_gaps" else ""
        self._randomness = randomness
        self._has_work = trio.Event()

    def submit(self, stream: Stream) -> None:
        if self.has_stopped:
            self._fail_stream(stream)
            return
        self.waiting.append(stream)
        self.waiting.sort(key=lambda stream: stream.request.request_class.priority)
        self._has_work.set()

    async def run(self) -> None:
        while True:
            if not (self.waiting or self.running):
                self._has_work = trio.Event()
                await self._has_work.wait()
            await trio.sleep(self._step_s())
            if self._fault == "replica_gone" and trio.current_time() > FAULT_START_S:
                self.has_stopped = True
                for stream in [*self.waiting, *self.running]:
                    self._fail_stream(stream)
                return
            self._step()

    def report(self) -> LoadReport:
        sends_prefixes = trio.current_time() % PREFIX_PERIOD_S < REPORT_PERIOD_S
        reported_blocks = [block for block in self.blocks if self._is_reported()]
        return LoadReport(
            running=len(self.running),
            queued=len(self.waiting),
            queued_tokens=sum(stream.request.worst_case for stream in self.waiting),
            slots=SLOTS,
            tokens_per_s=SLOTS / self._step_s(),
            ready=True,
            draining=False,
            revision=1,
            prefixes=reported_blocks if sends_prefixes else [],
            prefixes_known=sends_prefixes,
        )

    def _is_reported(self) -> bool:
        return self._fault != "cache_gaps" or self._randomness.random() < 0.5

    def _step_s(self) -> float:
        is_slow = self._fault == "slow_replica" and trio.current_time() > FAULT_START_S
        return STEP_S * (4 if is_slow else 1)

    def _step(self) -> None:
        while self.waiting and len(self.running) < SLOTS:
            stream = self.waiting.pop(0)
            stream.prefill_steps = self._prefill(stream.request)
            self.running.append(stream)
        for stream in list(self.running):
            if stream.prefill_steps > 0:
                stream.prefill_steps -= 1
                continue
            stream.remaining_tokens -= 1
            stream.first_token.set()
            if stream.remaining_tokens == 0:
                self.running.remove(stream)
                stream.ended.set()

    def _prefill(self, request: CallerRequest) -> int:
        blocks = request.prefixes
        hit_blocks = 0
        while hit_blocks < len(blocks) and blocks[hit_blocks] in self.blocks:
            hit_blocks += 1
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > CACHE_BLOCKS:
            self.blocks.popitem(last=False)
        if request.request_class.priority > 0:
            self.hit_blocks += hit_blocks
            self.looked_up_blocks += len(blocks)
        tokens = request.prompt_tokens - hit_blocks * BLOCK_TOKENS
        return math.ceil(tokens / PREFILL_TOKENS_PER_STEP)

    def _fail_stream(self, stream: Stream) -> None:
        stream.is_lost = True
        stream.first_token.set()
        stream.ended.set()


class RunStats(msgspec.Struct):
    """Counts and latencies of the requests of one run.

    The lists hold the time to first token (TTFT) of each request.
    """

    quick_ttft_s: list[float] = msgspec.field(default_factory=list)
    long_ttft_s: list[float] = msgspec.field(default_factory=list)
    completed: int = 0
    refused_quick: int = 0
    refused_long: int = 0
    cross_region_bytes: int = 0


def make_config() -> FleetConfig:
    route = Route(kind=RouteKind.MODEL, request_class="any", model="m", max_tokens=1)
    targets = {
        name: Target(
            kind=RouteKind.MODEL,
            agent=parse_address("127.0.0.1:1"),
            vm=name,
            failure_domain=region,
            models=["m"],
        )
        for name, region in ENGINE_REGIONS.items()
    }
    return FleetConfig(
        failure_domains={name: FailureDomain(region=name) for name in REGIONS},
        routes={"any": route},
        targets=targets,
    )


def make_request(number: int, config: FleetConfig, randomness: random.Random):
    is_long = randomness.random() < LONG_SHARE
    blocks = LONG_BLOCKS if is_long else QUICK_BLOCKS
    output_tokens = LONG_OUTPUT_TOKENS if is_long else QUICK_OUTPUT_TOKENS
    # Long prompts repeat, as the same ones come each morning; short ones are unique.
    prompt_id = randomness.randrange(LONG_PROMPTS) if is_long else 10**6 + number
    organisation = f"organisation-{prompt_id % 10}"
    return CallerRequest(
        key=RequestKey(BudgetKey(organisation, "main"), make_id(number)),
        route_name="any",
        route=config.routes["any"],
        request_class=RequestClass(
            priority=int(is_long), wait_s=LONG_WAIT_S if is_long else QUICK_WAIT_S
        ),
        weight=1.0,
        worst_case=blocks * BLOCK_TOKENS + output_tokens,
        fingerprint="",
        prompt_tokens=blocks * BLOCK_TOKENS,
        prefixes=[prompt_id * 1000 + block for block in range(blocks)],
        max_tokens=output_tokens,
    )


class SimulatedRouter:
    """One router's dispatcher, connected to the simulated engines."""

    def __init__(
        self, *, region: str, choose: Callable, engines: dict[str, SimulatedEngine]
    ):
        self.region = region
        self.view = LoadView()
        self._engines = engines
        self._dispatcher = Dispatcher(
            load_view=self.view,
            timers=TimerService(clock=trio.current_time),
            region=region,
            queue_length=1000,
            choose=choose,
        )
        self._dispatcher.install_config(make_config())

    async def run(self) -> None:
        while True:
            for name, engine in self._engines.items():
                if engine.has_stopped:
                    self.view.remove_target(name)
                else:
                    self.view.record_report(
                        name, engine.report(), now=trio.current_time()
                    )
            self._dispatcher.dispatch_waiting()
            await trio.sleep(REPORT_PERIOD_S)

    async def call(self, request: CallerRequest, stats: RunStats) -> None:
        start = trio.current_time()
        deadline = start + request.request_class.wait_s
        is_long = request.request_class.priority > 0
        while True:
            stream = await self._send(request, deadline, stats)
            if stream is None:
                stats.refused_long += is_long
                stats.refused_quick += not is_long
                return
            if not stream.is_lost:
                break
        ttft_s = stream.first_token_at - start
        (stats.long_ttft_s if is_long else stats.quick_ttft_s).append(ttft_s)
        stats.completed += 1

    async def _send(
        self, request: CallerRequest, deadline: float, stats: RunStats
    ) -> Stream | None:
        permit = await self._dispatcher.wait_for_permit(request, deadline)
        if isinstance(permit, NotRun):
            return None
        choice = self._dispatcher.choose(request, frozenset())
        permit.release()
        if isinstance(choice, NotRun):
            await trio.sleep(0.1)
            return Stream(request=request, is_lost=True)
        run_id = f"{request.request_id}-{trio.current_time()}"
        self.view.record_sent(
            choice.target,
            run_id,
            tokens=request.worst_case,
            prefixes=request.prefixes,
            now=trio.current_time(),
        )
        if ENGINE_REGIONS[choice.target] != self.region:
            stats.cross_region_bytes += request.worst_case * BYTES_PER_TOKEN
            await trio.sleep(ONE_WAY_LATENCY_S)
        stream = Stream(request=request)
        self._engines[choice.target].submit(stream)
        await stream.first_token.wait()
        stream.first_token_at = trio.current_time()
        await stream.ended.wait()
        self.view.record_ended(choice.target, run_id)
        if stream.is_lost:
            # The link closes when the agent stops, and the retry is delayed.
            self.view.remove_target(choice.target)
            await trio.sleep(RETRY_DELAY_S)
        self._dispatcher.dispatch_waiting()
        return stream


async def measure(choose: Callable, rate: float, fault: str) -> tuple[RunStats, float]:
    """Return the statistics and the cache hit rate of the blocks of long prompts."""
    randomness = random.Random(SEED)
    engines = {
        name: SimulatedEngine(name=name, fault=fault, randomness=random.Random(SEED))
        for name in ENGINE_REGIONS
    }
    stats = RunStats()
    config = make_config()
    async with trio.open_nursery() as nursery:
        for engine in engines.values():
            nursery.start_soon(engine.run)
        routers = [
            SimulatedRouter(region=region, choose=choose, engines=engines)
            for region in REGIONS
            for _ in range(ROUTERS_PER_REGION)
        ]
        for router in routers:
            nursery.start_soon(router.run)
        async with trio.open_nursery() as callers:
            for number in range(int(rate * DURATION_S)):
                await trio.sleep(randomness.expovariate(rate))
                request = make_request(number, config, randomness)
                # Two thirds of the callers are in the first region.
                first_router = randomness.choice((0, 0, 1)) * ROUTERS_PER_REGION
                router = routers[
                    first_router + randomness.randrange(ROUTERS_PER_REGION)
                ]
                callers.start_soon(router.call, request, stats)
        nursery.cancel_scope.cancel()
    looked_up_blocks = sum(engine.looked_up_blocks for engine in engines.values())
    hit_blocks = sum(engine.hit_blocks for engine in engines.values())
    return stats, hit_blocks / looked_up_blocks if looked_up_blocks else 0.0


def percentile(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * 0.95)] if ordered else math.nan


def print_row(policy: str, rate: float, fault: str) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    stats, hit_rate = trio.run(measure, POLICIES[policy], rate, fault, clock=clock)
    print(
        f"  {policy:18} {rate:4} {fault or 'none':13} {stats.completed:6}"
        f" {percentile(stats.quick_ttft_s):10.2f} {percentile(stats.long_ttft_s):9.2f}"
        f" {hit_rate:6.2f} {stats.cross_region_bytes / 1e6:8.2f}"
        f" {stats.refused_quick:7} {stats.refused_long:6}",
        flush=True,
    )


def main() -> None:
    print(f"seed={SEED} engines={len(ENGINE_REGIONS)} slots={SLOTS}")
    print(
        "  policy              req/s fault      good  quick95(s) long95(s)  hits"
        "  link MB  refused quick/long"
    )
    for rate in RATES_PER_S:
        for policy in POLICIES:
            print_row(policy, rate, "")
    for fault in FAULTS:
        for policy in POLICIES:
            print_row(policy, FAULT_RATE_PER_S, fault)


if __name__ == "__main__":
    main()
