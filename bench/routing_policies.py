"""Route choice under rising load and faults, against two baselines.

The router's own dispatch, class queue and load view run in virtual time in
front of small models of engines with a prefix cache, slots and priorities.
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
# The same shape as today's fleets: nine replicas, six of them in one region.
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
ONE_WAY_S = 0.01
RETRY_S = 0.05
QUICK_WAIT_S, LONG_WAIT_S = 5.0, 60.0
LONG_SHARE = 0.3
LONG_PROMPTS = 60
LONG_BLOCKS, QUICK_BLOCKS = 128, 4
LONG_OUTPUT, QUICK_OUTPUT = 200, 40
RATES_PER_S = (15, 30, 38, 50)
FAULT_S = 15.0
FAULTS = ("slow_replica", "replica_gone", "cache_gaps")
FAULT_RATE_PER_S = 30
POLICIES: dict[str, Callable] = {
    "prefix and load": choose_target,
    "round robin": choose_round_robin,
    "least outstanding": choose_least_outstanding,
}


class Stream:
    """One request at an engine."""

    def __init__(self, *, request: CallerRequest, lost: bool = False):
        self.request = request
        self.prefill_steps = 0
        self.first_at = 0.0
        self.left = request.max_tokens
        self.first_token = trio.Event()
        self.ended = trio.Event()
        self.lost = lost


class EngineModel:
    """Continuous batching with a prefix cache; a step advances each stream."""

    def __init__(self, *, name: str, fault: str, randomness: random.Random):
        self.name = name
        self.waiting: list[Stream] = []
        self.running: list[Stream] = []
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.hit_blocks = 0
        self.asked_blocks = 0
        self.is_gone = False
        self._fault = fault if name == "engine-0" or fault == "cache_gaps" else ""
        self._randomness = randomness
        self._has_work = trio.Event()

    def submit(self, stream: Stream) -> None:
        if self.is_gone:
            self._lose(stream)
            return
        self.waiting.append(stream)
        self.waiting.sort(key=lambda each: each.request.request_class.priority)
        self._has_work.set()

    async def run(self) -> None:
        while True:
            if not (self.waiting or self.running):
                self._has_work = trio.Event()
                await self._has_work.wait()
            await trio.sleep(self._step_s())
            if self._fault == "replica_gone" and trio.current_time() > FAULT_S:
                self.is_gone = True
                for stream in [*self.waiting, *self.running]:
                    self._lose(stream)
                return
            self._step()

    def report(self) -> LoadReport:
        sends_prefixes = trio.current_time() % PREFIX_PERIOD_S < REPORT_PERIOD_S
        known = [block for block in self.blocks if self._is_reported()]
        return LoadReport(
            running=len(self.running),
            queued=len(self.waiting),
            queued_tokens=sum(each.request.worst_case for each in self.waiting),
            slots=SLOTS,
            tokens_per_s=SLOTS / self._step_s(),
            ready=True,
            draining=False,
            revision=1,
            prefixes=known if sends_prefixes else [],
            prefixes_known=sends_prefixes,
        )

    def _is_reported(self) -> bool:
        return self._fault != "cache_gaps" or self._randomness.random() < 0.5

    def _step_s(self) -> float:
        is_slow = self._fault == "slow_replica" and trio.current_time() > FAULT_S
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
            stream.left -= 1
            stream.first_token.set()
            if stream.left == 0:
                self.running.remove(stream)
                stream.ended.set()

    def _prefill(self, request: CallerRequest) -> int:
        blocks = request.prefixes
        hits = 0
        while hits < len(blocks) and blocks[hits] in self.blocks:
            hits += 1
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > CACHE_BLOCKS:
            self.blocks.popitem(last=False)
        if request.request_class.priority > 0:
            self.hit_blocks += hits
            self.asked_blocks += len(blocks)
        tokens = request.prompt_tokens - hits * BLOCK_TOKENS
        return math.ceil(tokens / PREFILL_TOKENS_PER_STEP)

    def _lose(self, stream: Stream) -> None:
        stream.lost = True
        stream.first_token.set()
        stream.ended.set()


class Tally(msgspec.Struct):
    """What happened to the requests of one run; times in seconds."""

    quick_first: list[float] = msgspec.field(default_factory=list)
    long_first: list[float] = msgspec.field(default_factory=list)
    good: int = 0
    refused_quick: int = 0
    refused_long: int = 0
    link_bytes: int = 0


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
    output = LONG_OUTPUT if is_long else QUICK_OUTPUT
    # The same large requests come each morning; a quick question is new.
    prompt = randomness.randrange(LONG_PROMPTS) if is_long else 10**6 + number
    organisation = f"organisation-{prompt % 10}"
    return CallerRequest(
        key=RequestKey(BudgetKey(organisation, "main"), make_id(number)),
        route_name="any",
        route=config.routes["any"],
        request_class=RequestClass(
            priority=int(is_long), wait_s=LONG_WAIT_S if is_long else QUICK_WAIT_S
        ),
        weight=1.0,
        worst_case=blocks * BLOCK_TOKENS + output,
        fingerprint="",
        prompt_tokens=blocks * BLOCK_TOKENS,
        prefixes=[prompt * 1000 + block for block in range(blocks)],
        max_tokens=output,
    )


class RouterModel:
    """The dispatch of one router in front of the engine models."""

    def __init__(
        self, *, region: str, choose: Callable, engines: dict[str, EngineModel]
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
                if engine.is_gone:
                    self.view.remove_target(name)
                else:
                    self.view.record_report(
                        name, engine.report(), now=trio.current_time()
                    )
            self._dispatcher.dispatch_waiting()
            await trio.sleep(REPORT_PERIOD_S)

    async def call(self, request: CallerRequest, tally: Tally) -> None:
        start = trio.current_time()
        deadline = start + request.request_class.wait_s
        is_long = request.request_class.priority > 0
        while True:
            stream = await self._send(request, deadline, tally)
            if stream is None:
                tally.refused_long += is_long
                tally.refused_quick += not is_long
                return
            if not stream.lost:
                break
        first_s = stream.first_at - start
        (tally.long_first if is_long else tally.quick_first).append(first_s)
        tally.good += 1

    async def _send(
        self, request: CallerRequest, deadline: float, tally: Tally
    ) -> Stream | None:
        turn = await self._dispatcher.wait_for_permit(request, deadline)
        if isinstance(turn, NotRun):
            return None
        choice = self._dispatcher.choose(request, frozenset())
        turn.release()
        if isinstance(choice, NotRun):
            await trio.sleep(0.1)
            return Stream(request=request, lost=True)
        run_id = f"{request.request_id}-{trio.current_time()}"
        self.view.record_sent(
            choice.target,
            run_id,
            tokens=request.worst_case,
            prefixes=request.prefixes,
            now=trio.current_time(),
        )
        if ENGINE_REGIONS[choice.target] != self.region:
            tally.link_bytes += request.worst_case * BYTES_PER_TOKEN
            await trio.sleep(ONE_WAY_S)
        stream = Stream(request=request)
        self._engines[choice.target].submit(stream)
        await stream.first_token.wait()
        stream.first_at = trio.current_time()
        await stream.ended.wait()
        self.view.record_ended(choice.target, run_id)
        if stream.lost:
            # The router's link closes with the agent, and a retry backs off.
            self.view.remove_target(choice.target)
            await trio.sleep(RETRY_S)
        self._dispatcher.dispatch_waiting()
        return stream


async def measure(choose: Callable, rate: float, fault: str) -> tuple[Tally, float]:
    """Return the tally and the share of long prompts' blocks found cached."""
    randomness = random.Random(SEED)
    engines = {
        name: EngineModel(name=name, fault=fault, randomness=random.Random(SEED))
        for name in ENGINE_REGIONS
    }
    tally = Tally()
    config = make_config()
    async with trio.open_nursery() as nursery:
        for engine in engines.values():
            nursery.start_soon(engine.run)
        routers = [
            RouterModel(region=region, choose=choose, engines=engines)
            for region in REGIONS
            for _ in range(ROUTERS_PER_REGION)
        ]
        for router in routers:
            nursery.start_soon(router.run)
        async with trio.open_nursery() as callers:
            for number in range(int(rate * DURATION_S)):
                await trio.sleep(randomness.expovariate(rate))
                request = make_request(number, config, randomness)
                # Two thirds of the callers stand in the first region.
                pick = randomness.choice((0, 0, 1)) * ROUTERS_PER_REGION
                router = routers[pick + randomness.randrange(ROUTERS_PER_REGION)]
                callers.start_soon(router.call, request, tally)
        nursery.cancel_scope.cancel()
    asked = sum(engine.asked_blocks for engine in engines.values())
    hits = sum(engine.hit_blocks for engine in engines.values())
    return tally, hits / asked if asked else 0.0


def percentile(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * 0.95)] if ordered else math.nan


def print_row(policy: str, rate: float, fault: str) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    tally, hits = trio.run(measure, POLICIES[policy], rate, fault, clock=clock)
    print(
        f"  {policy:18} {rate:4} {fault or 'none':13} {tally.good:6}"
        f" {percentile(tally.quick_first):10.2f} {percentile(tally.long_first):9.2f}"
        f" {hits:6.2f} {tally.link_bytes / 1e6:8.2f}"
        f" {tally.refused_quick:7} {tally.refused_long:6}",
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
