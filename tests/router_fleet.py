"""A router with fake agents over real links and a store in memory."""

import hashlib
from contextlib import asynccontextmanager
from functools import partial

import trio

from lavenderfold.budgets import LedgerShard
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
from lavenderfold.http import HttpClient, HttpRequest, HttpResponse
from lavenderfold.identifiers import BudgetKey, make_request_id
from lavenderfold.links import Link, LinkClosedError, Listener
from lavenderfold.messages import (
    AgentHello,
    Frame,
    LoadReport,
    ResumeRun,
    Run,
    RunAccepted,
    RunEnded,
    RunUnknown,
    ToAgent,
    UsageStored,
)
from lavenderfold.outcomes import Ran
from lavenderfold.router import Router, RouterLimits, RouterSettings
from lavenderfold.settings import Address
from lavenderfold.timers import TimerService
from tests.ledger_store import MemoryStore

ANY_PORT = Address(host="127.0.0.1", port=0)
REGINA = BudgetKey("regina", "main")
PREPAID = 100_000
ANSWER = "Überblick: clear night over the whole park. ".encode() * 4


def hash_key(text: str) -> ApiKey:
    return ApiKey(sha256=hashlib.sha256(text.encode()).hexdigest(), budget="main")


def make_config(agents: dict[str, Address], prepaid: int = PREPAID) -> FleetConfig:
    organisations = {
        name: Organisation(
            keys={"k": hash_key(f"{name}.secret")},
            budgets={"main": Budget(prepaid={"first": prepaid})},
        )
        for name in ("regina", "hobart")
    }
    app = {"kind": RouteKind.APP, "service": "station", "cost_tokens": 10}
    return FleetConfig(
        failure_domains={"f1": FailureDomain(region="west")},
        request_classes={
            "quick": RequestClass(priority=0, wait_s=2.0, run_s=10.0),
            "long": RequestClass(priority=1, wait_s=5.0, run_s=10.0),
        },
        routes={
            "ask": Route(
                kind=RouteKind.MODEL, request_class="quick", model="m", max_tokens=500
            ),
            "private": Route(
                kind=RouteKind.MODEL,
                request_class="quick",
                model="m",
                max_tokens=500,
                organisations=["hobart"],
            ),
            "signoff": Route(**app, request_class="quick", idempotent=False),
            "readings": Route(**app, request_class="quick", methods=["GET"]),
        },
        targets={
            name: Target(
                kind=RouteKind.APP if name.startswith("app") else RouteKind.MODEL,
                agent=address,
                vm=f"vm-{name}",
                failure_domain="f1",
                models=["m"],
                service="station",
            )
            for name, address in agents.items()
        },
        organisations=organisations,
    )


def ran(answer: bytes, tokens: int = 20) -> Ran:
    digest = hashlib.sha256(answer).hexdigest()
    return Ran(tokens=tokens, length=len(answer), digest=digest)


def frames_of(name: str, answer: bytes, offset: int = 0, size: int = 7) -> list[Frame]:
    return [
        Frame(run_id=name, offset=start, data=answer[start : start + size], tokens=1)
        for start in range(offset, len(answer), size)
    ]


def end_of(name: str, outcome) -> RunEnded:
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
        listener = Listener(address=ANY_PORT, message_type=ToAgent)
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
            case _:
                self.take_other(message, link)

    def take_other(self, message, link: Link) -> None:
        pass

    def answer_resume(self, message: ResumeRun) -> list:
        if message.key not in [run.key for run in self.runs]:
            return [RunUnknown(message.subscription)]
        return [
            *frames_of(message.subscription, ANSWER, message.offset),
            end_of(message.subscription, ran(ANSWER)),
        ]

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
        *frames_of(run.run_id, ANSWER),
        end_of(run.run_id, ran(ANSWER)),
    ]


async def wait_until(condition) -> None:
    """Wait at most ten seconds for a condition."""
    for _ in range(1000):
        if condition():
            return
        await trio.sleep(0.01)
    raise AssertionError("the condition didn't come true")


class Fleet:
    """One router and its agents; sends requests as a caller."""

    def __init__(self, *, router: Router, store: MemoryStore, nursery: trio.Nursery):
        self.router = router
        self.store = store
        self.nursery = nursery
        self.client = HttpClient(address=router.addresses["listen"])
        self.operators = HttpClient(address=router.addresses["operator_listen"])

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        key="regina.secret",
        **headers,
    ) -> HttpResponse:
        given = [(name.replace("_", "-"), value) for name, value in headers.items()]
        if key is not None:
            given.append(("authorization", f"Bearer {key}"))
        request = HttpRequest(method=method, target=target, headers=given, body=body)
        with trio.fail_after(20):
            return await self.client.request(request)

    def record(self, key: BudgetKey = REGINA):
        """Return the budget's record in the ledger, or None."""
        number = key.shard(self.router.settings.shard_count)
        found = self.store.value_by_key.get(f"ledger/{number:04d}")
        if found is None:
            return None
        return LedgerShard.decode(found.value).records_by_key.get(key)


def make_settings(name: str = "r1", **limits) -> RouterSettings:
    return RouterSettings(
        router=name,
        region="west",
        failure_domain="f1",
        listen=ANY_PORT,
        operator_listen=ANY_PORT,
        peer_listen=ANY_PORT,
        store_address=ANY_PORT,
        limits=RouterLimits(**{"link_batch_s": 0.001, **limits}),
    )


def new_id(age_s: float = 0.0) -> str:
    now = TimerService().unix_time()
    new_id.count += 1
    return make_request_id(unix_time=now - age_s, random_bits=new_id.count)


new_id.count = 0


@asynccontextmanager
async def open_fleet(*agents: FakeAgent, prepaid: int = PREPAID, **limits):
    """Start agents and a router that is connected to them."""
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        addresses = {agent.name: await nursery.start(agent.run) for agent in agents}
        router = Router(
            settings=make_settings(**limits), timers=TimerService(), store=store
        )
        nursery.start_soon(router.run)
        with trio.fail_after(20):
            await router.listening.wait()
        router.install(1, make_config(addresses, prepaid))
        await wait_until(lambda: all(router.is_ready(agent.name) for agent in agents))
        yield Fleet(router=router, store=store, nursery=nursery)
        nursery.cancel_scope.cancel()


def run_fleet(test, *agents: FakeAgent, **options) -> None:
    """Run ``test(fleet)`` against a fleet of these agents."""

    async def main():
        async with open_fleet(*agents, **options) as fleet:
            await test(fleet)

    trio.run(partial(main))
