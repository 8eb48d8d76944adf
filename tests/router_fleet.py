"""A router with fake agents over real links and a store in memory."""

import hashlib
import itertools
from collections import Counter
from functools import partial

import msgspec
import trio

from lavenderfold.budgets import BudgetRecord, LedgerShard
from lavenderfold.config import (
    ApiKey,
    Budget,
    FailureDomain,
    FleetConfig,
    Organisation,
    RequestClass,
    Route,
    RouteKind,
    Target,
)
from lavenderfold.http import HttpClient, HttpRequest, HttpResponse, serve
from lavenderfold.identifiers import BudgetKey, RequestKey, make_request_id
from lavenderfold.links import Link, LinkClosedError, Listener
from lavenderfold.messages import (
    AgentHello,
    Fence,
    FenceReport,
    Frame,
    LoadReport,
    MessageToAgent,
    ResumeRun,
    Run,
    RunAccepted,
    RunEnded,
    RunUnknown,
    Snapshot,
    UsageStored,
)
from lavenderfold.outcomes import Ran
from lavenderfold.router import Router, RouterLimits, RouterSettings
from lavenderfold.settings import Address
from lavenderfold.store import Store
from lavenderfold.timers import TimerService
from standins.config_store import ConfigStore

ANY_PORT = Address(host="127.0.0.1", port=0)
REGINA_BUDGET = BudgetKey("regina", "main")
PREPAID_TOKENS = 100_000
MODEL_TOKENS = 20
FAST_LIMITS = {
    "link_batch_s": 0.001,
    "ledger_batch_s": 0.002,
    "relink_wait_s": 0.3,
    "relink_wait_once_s": 0.3,
    "member_lease_s": 0.6,
    "reclaim_period_s": 0.2,
}
SIGNOFF_PATH = "/v1/apps/signoff/s/1"
ANSWER_PATH = "/v1/requests/{}/answer"
ANSWER = "Überblick: clear night over the whole park. ".encode() * 4


def make_api_key(text: str) -> ApiKey:
    return ApiKey(sha256=hashlib.sha256(text.encode()).hexdigest(), budget="main")


def make_config(
    agents: dict[str, Address], *, prepaid: int = PREPAID_TOKENS, wait_s: float = 2.0
) -> FleetConfig:
    """Return a configuration; targets named ``app...`` serve the applications."""
    has_app = any(name.startswith("app") for name in agents)
    has_model = any(not name.startswith("app") for name in agents)
    return FleetConfig(
        failure_domains={"f1": FailureDomain(region="west")},
        request_classes={
            "quick": RequestClass(priority=0, wait_s=wait_s, run_s=10.0),
            "long": RequestClass(priority=1, wait_s=max(wait_s, 5.0), run_s=10.0),
        },
        routes={
            **(make_model_routes() if has_model else {}),
            **(make_app_routes() if has_app else {}),
        },
        targets={name: make_target(name, agent) for name, agent in agents.items()},
        organisations={
            name: Organisation(
                keys={"k": make_api_key(f"{name}.secret")},
                budgets={"main": Budget(prepaid={"first": prepaid})},
            )
            for name in ("regina", "hobart")
        },
    )


def make_model_routes() -> dict[str, Route]:
    model = {"kind": RouteKind.MODEL, "model": "m", "max_tokens": 500}
    return {
        "ask": Route(**model, request_class="quick"),
        "summary": Route(**model, request_class="long"),
        "private": Route(**model, request_class="quick", organisations=["hobart"]),
    }


def make_app_routes() -> dict[str, Route]:
    app = {"kind": RouteKind.APP, "service": "station", "cost_tokens": 10}
    return {
        "signoff": Route(**app, request_class="quick", idempotent=False),
        "readings": Route(**app, request_class="quick", methods=["GET"]),
    }


def make_target(name: str, agent: Address) -> Target:
    is_app = name.startswith("app")
    return Target(
        kind=RouteKind.APP if is_app else RouteKind.MODEL,
        agent=agent,
        vm=f"vm-{name}",
        failure_domain="f1",
        models=[] if is_app else ["m"],
        service="station" if is_app else "",
    )


def config_text(config: FleetConfig) -> dict[str, str]:
    """Return a configuration as the text of its only file."""
    value = msgspec.to_builtins(config, enc_hook=str)
    return {"00-all.yaml": msgspec.yaml.encode(_without_defaults(value)).decode()}


def _without_defaults(value):
    """Leave out empty fields, which some items must not have."""
    if not isinstance(value, dict):
        return value
    kept = {name: _without_defaults(item) for name, item in value.items()}
    return {name: item for name, item in kept.items() if item not in ("", [])}


def ran_outcome(answer: bytes, tokens: int = MODEL_TOKENS) -> Ran:
    digest = hashlib.sha256(answer).hexdigest()
    return Ran(tokens=tokens, length=len(answer), digest=digest)


def make_frames(
    name: str, answer: bytes, offset: int = 0, size: int = 7
) -> list[Frame]:
    return [
        Frame(run_id=name, offset=start, data=answer[start : start + size], tokens=1)
        for start in range(offset, len(answer), size)
    ]


def run_ended(name: str, outcome) -> RunEnded:
    return RunEnded(run_id=name, outcome=outcome, status=201, content_type="text/plain")


class FakeAgent:
    """Answers runs as ``answer_run(agent, run)`` says: a list of messages.

    A number in the list is a pause in seconds; None closes the link.
    """

    def __init__(self, name: str, *, answer_run=None):
        self.name = name
        self.answer_run = answer_run or answer_at_once
        self.runs: list[Run] = []
        self.resumes: list[ResumeRun] = []
        self.stored: list[str] = []
        self.fenced: list[int] = []
        self.report = LoadReport(
            running=0,
            queued=0,
            queued_tokens=0,
            slots=8,
            tokens_per_s=100.0,
            ready=True,
            draining=False,
            revision=1,
        )
        self.links: list[Link] = []

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        listener = Listener(address=ANY_PORT, message_type=MessageToAgent)
        await listener.run(self._serve, task_status=task_status)

    async def _serve(self, link: Link) -> None:
        self.links.append(link)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_load, link)
            link.post(AgentHello(self.name, "boot", "west", "f1", ["m"]))
            try:
                while True:
                    for message in await link.receive():
                        self._take(message, link, nursery)
            except LinkClosedError:
                nursery.cancel_scope.cancel()

    def _take(self, message, link: Link, nursery: trio.Nursery) -> None:
        match message:
            case Run():
                self.runs.append(message)
                steps = self.answer_run(self, message)
                nursery.start_soon(self._play, link, steps)
            case ResumeRun():
                self.resumes.append(message)
                nursery.start_soon(self._play, link, self.answer_resume(message))
            case UsageStored(run_ids=run_ids):
                self.stored += run_ids
            case Fence(incarnation=incarnation):
                self.fenced.append(incarnation)
                link.post(FenceReport(self.name, incarnation, {}, complete_after=0))

    def answer_resume(self, message: ResumeRun) -> list:
        if message.key not in [run.key for run in self.runs]:
            return [RunUnknown(message.subscription)]
        return [
            *make_frames(message.subscription, ANSWER, message.offset),
            run_ended(message.subscription, self.outcome_of_latest_run(message.key)),
        ]

    def outcome_of_latest_run(self, key: RequestKey) -> Ran:
        """Return the outcome of the latest run of a request."""
        run = [run for run in self.runs if run.key == key][-1]
        return ran_outcome(ANSWER, run.cost_tokens or MODEL_TOKENS)

    async def _play(self, link: Link, steps: list) -> None:
        for step in steps:
            if step is None:
                link.close()
            elif isinstance(step, trio.Event):
                await step.wait()
            elif not link.closed:
                link.post(step)

    async def _report_load(self, link: Link) -> None:
        while not link.closed:
            link.post(self.report)
            await trio.sleep(0.1)


def answer_at_once(agent: FakeAgent, run: Run) -> list:
    return [
        RunAccepted(run.run_id),
        *make_frames(run.run_id, ANSWER),
        run_ended(run.run_id, agent.outcome_of_latest_run(run.key)),
    ]


def completion(**changes) -> bytes:
    body = {"model": "ask", "prompt": "how dark is it", "max_tokens": 100}
    return msgspec.json.encode({**body, **changes})


def response_error(response) -> dict:
    return msgspec.json.decode(response.body)["error"]


async def wait_until(condition) -> None:
    """Wait at most ten seconds for a condition."""
    for _ in range(1000):
        if condition():
            return
        await trio.sleep(0.01)
    raise AssertionError("the condition didn't come true")


class Fleet:
    """A store, agents and routers; sends requests as a caller."""

    def __init__(self, *, nursery: trio.Nursery, agents: dict[str, Address]):
        self.nursery = nursery
        self.agents = agents
        self.config_store = ConfigStore()
        self.values = self.config_store.values
        self.reads_by_path: Counter[str] = Counter()
        self.routers: list[Router] = []
        self.cancel_scope_by_router: dict[Router, trio.CancelScope] = {}
        self.store_address = ANY_PORT
        self.revision = 0

    @property
    def router(self) -> Router:
        return self.routers[0]

    async def start_store(self) -> None:
        start = partial(serve, self._handle_store_call, address=ANY_PORT)
        self.store_address = await self.nursery.start(start)

    async def _handle_store_call(self, request, writer) -> None:
        if request.method == "GET":
            self.reads_by_path[request.path] += 1
        await self.config_store.handle(request, writer)

    async def start_router(
        self,
        *,
        peers: list[Router] = (),
        vm_list_address: Address | None = None,
        **limits,
    ) -> Router:
        """Start a router; it's connected to all agents if it has a configuration."""
        settings = RouterSettings(
            router=f"r{len(self.routers) + 1}",
            region="west",
            failure_domain="f1",
            listen=ANY_PORT,
            operator_listen=ANY_PORT,
            peer_listen=ANY_PORT,
            peers=[peer.addresses["peer_listen"] for peer in peers],
            store_address=self.store_address,
            vm_list_address=vm_list_address,
            shard_count=2,
            limits=RouterLimits(**{**FAST_LIMITS, **limits}),
        )
        store = Store(address=self.store_address)
        router = Router(settings=settings, timers=TimerService(), store=store)
        self.nursery.start_soon(self._run_router, router)
        with trio.fail_after(20):
            await router.listening.wait()
        self.routers.append(router)
        return router

    async def _run_router(self, router: Router) -> None:
        with trio.CancelScope() as self.cancel_scope_by_router[router]:
            await router.run()

    def kill(self, router: Router) -> None:
        """End a router at once, without a drain."""
        self.cancel_scope_by_router[router].cancel()

    async def install(self, config: FleetConfig, *routers: Router) -> None:
        """Give routers the next revision and wait until they are connected."""
        self.revision += 1
        snapshot = Snapshot(self.revision, config_text(config))
        for router in routers or self.routers:
            assert router.watcher.offer(snapshot, source="test"), router.state.errors
        for router in routers or self.routers:
            await self.wait_connected(router)

    async def wait_connected(self, router: Router) -> None:
        await wait_until(
            lambda: (
                router.incarnation > 0
                and all(router.is_ready(name) for name in self.agents)
            )
        )

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        key: str | None = "regina.secret",
        router: Router | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Send a request to a router, the first one by default."""
        given = list((headers or {}).items())
        if key is not None:
            given.append(("authorization", f"Bearer {key}"))
        request = HttpRequest(method=method, target=target, headers=given, body=body)
        address = (router or self.router).addresses["listen"]
        client = HttpClient(address=address)
        try:
            with trio.fail_after(20):
                return await client.request(request)
        finally:
            await client.close()

    async def call_operator_api(self, target: str) -> HttpResponse:
        client = HttpClient(address=self.router.addresses["operator_listen"])
        response = await client.request(HttpRequest(method="GET", target=target))
        await client.close()
        return response

    def budget_record(self, key: BudgetKey = REGINA_BUDGET) -> BudgetRecord:
        """Return the budget's record in the ledger."""
        entry = self.values.entry_by_key.get(f"ledger/{key.shard(2):04d}")
        if entry is None:
            return BudgetRecord()
        shard = LedgerShard.decode(entry.value)
        return shard.records_by_key.get(key) or BudgetRecord()


def new_id(age_s: float = 0.0) -> str:
    """Return a request id that was made ``age_s`` seconds ago."""
    now = TimerService().unix_time()
    return make_request_id(unix_time=now - age_s, random_bits=next(_numbers))


_numbers = itertools.count(1)


def run_fleet(
    test,
    *agents: FakeAgent,
    prepaid: int = PREPAID_TOKENS,
    wait_s: float = 2.0,
    **limits,
) -> None:
    """Run ``test(fleet)`` with these agents and one router."""

    async def main():
        async with trio.open_nursery() as nursery:
            addresses = {agent.name: await nursery.start(agent.run) for agent in agents}
            fleet = Fleet(nursery=nursery, agents=addresses)
            await fleet.start_store()
            await fleet.start_router(**limits)
            await fleet.install(make_config(addresses, prepaid=prepaid, wait_s=wait_s))
            await test(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main)
