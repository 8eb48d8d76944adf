"""Runs an agent over real links, with its target and platform in the same process."""

from contextlib import asynccontextmanager
from functools import partial

import msgspec
import trio

from lavenderfold.agent import Agent, AgentSettings, Limits, TargetKind
from lavenderfold.http import HttpResponse, json_response, serve
from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.links import LinkClosedError, connect
from lavenderfold.messages import (
    Frame,
    LoadReport,
    MessageToRouter,
    RouterHello,
    Run,
    RunEnded,
)
from lavenderfold.settings import Address
from lavenderfold.timers import TimerService
from standins.engine_core import EngineOptions
from standins.model_engine import ModelEngine
from standins.target_common import serve_target

ANY_PORT = Address(host="127.0.0.1", port=0)
KEY = RequestKey(BudgetKey("regina", "main"), "request")
LIMITS = Limits(
    report_period_s=0.02,
    frame_window_s=0.002,
    probe_period_s=0.02,
    usage_resend_s=0.05,
    probe_timeout_s=5.0,
)


class FakeGate:
    """A gate that admits every incarnation that wasn't fenced."""

    def __init__(self):
        self.fenced = set()

    def admits(self, payer):
        return payer not in self.fenced

    def fence(self, incarnation):
        self.fenced.add(incarnation)

    def greet(self, incarnation, grant_sequence):
        pass

    def complete_after(self, incarnation):
        return 0


class PausingEngine(ModelEngine):
    """An engine that pauses once a stream has 10 words, until ``released`` is set.

    Tests that act during a run then don't depend on the engine's speed.
    """

    def __init__(self):
        super().__init__(options=EngineOptions(step_s=0.001, report_lag_s=0.0))
        self.released = False
        self._step = self.engine.step
        self.engine.step = self._step_until_pause

    def _step_until_pause(self, *, now):
        streams = self.engine.stream_by_id.values()
        if self.released or all(len(stream.words) < 10 for stream in streams):
            self._step(now=now)


class FakePlatform:
    """A key-value service that has no member record, and the VM list."""

    def __init__(self):
        self.is_up = True
        self.vm_state = "live"

    async def handle(self, request, writer):
        if request.path == "/v1/vms":
            listed = [{"name": "v", "state": self.vm_state}]
            await writer.send(json_response(200, {"vms": listed}))
            return
        assert request.path == "/v1/kv/members/routers"
        await writer.send(HttpResponse(status=404 if self.is_up else 503))


class FakeRouter:
    """The router's end of a link, which keeps all received messages."""

    def __init__(self, address):
        self.link = connect(address=address, message_type=MessageToRouter)
        self.messages = []
        self.closed = trio.Event()
        self._arrived = trio.Event()

    async def run(self):
        try:
            while True:
                self.messages += await self.link.receive()
                self._wake()
        except LinkClosedError:
            self.closed.set()

    async def wait_for(self, matches):
        """Return the first message for which ``matches`` returns true."""
        seen = 0
        while True:
            for message in self.messages[seen:]:
                if matches(message):
                    return message
            seen = len(self.messages)
            arrived = self._arrived
            await arrived.wait()

    async def wait_for_type(self, message_type):
        return await self.wait_for(lambda message: isinstance(message, message_type))

    async def ended(self, run_id):
        return await self.wait_for(
            lambda message: isinstance(message, RunEnded) and message.run_id == run_id
        )

    async def wait_ready(self):
        await self.wait_for(
            lambda message: isinstance(message, LoadReport) and message.ready
        )

    def received_answer(self, run_id, start=0):
        """Return the bytes of a run's frames; assert that they are contiguous."""
        data = b""
        for message in self.messages:
            if isinstance(message, Frame) and message.run_id == run_id:
                assert message.offset == start + len(data)
                data += message.data
        return data

    def _wake(self):
        self._arrived.set()
        self._arrived = trio.Event()


class AgentHarness:
    """A running agent with its target, its platform and links from routers."""

    def __init__(self, *, nursery, agent, address, platform, target):
        self.agent = agent
        self.address = address
        self.platform = platform
        self.target = target
        self.exited = trio.Event()
        self._nursery = nursery

    def connect(self, incarnation=1, grant_sequence=0):
        router = FakeRouter(self.address)
        self._nursery.start_soon(router.link.run)
        self._nursery.start_soon(router.run)
        router.link.post(make_router_hello(incarnation, grant_sequence))
        return router


def make_router_hello(incarnation, grant_sequence=0):
    return RouterHello(
        router=f"r{incarnation}",
        incarnation=incarnation,
        region="s",
        failure_domain="f",
        revision=0,
        grant_sequence=grant_sequence,
    )


@asynccontextmanager
async def running_agent(target, *, kind, limits=LIMITS, is_store_up=True):
    platform = FakePlatform()
    platform.is_up = is_store_up
    async with trio.open_nursery() as nursery:
        target_address = await nursery.start(serve_target, target, ANY_PORT)
        store_address = await nursery.start(
            partial(serve, platform.handle, address=ANY_PORT)
        )
        settings = AgentSettings(
            target="t",
            vm="v",
            kind=kind,
            region="s",
            failure_domain="f",
            models=["quick"] if kind is TargetKind.MODEL else [],
            listen=ANY_PORT,
            target_address=target_address,
            store_address=store_address,
            vm_list_address=store_address,
            limits=limits,
        )
        agent = Agent(
            settings=settings,
            timers=TimerService(),
            gate_factory=lambda data: FakeGate(),
        )
        harness = AgentHarness(
            nursery=nursery, agent=agent, address=None, platform=platform, target=target
        )

        async def run(task_status):
            await agent.run(task_status=task_status)
            harness.exited.set()

        harness.address = await nursery.start(run)
        with trio.fail_after(15):
            yield harness
        nursery.cancel_scope.cancel()


def make_model_order(run_id, prompt, **changes):
    order = Run(
        run_id=run_id,
        key=KEY,
        attempt=1,
        payer=1,
        grant_id="g",
        reserved=len(prompt.split()) + 400,
        idempotent=True,
        priority=0,
        deadline_s=30.0,
        model="quick",
        prompt=prompt,
        max_tokens=400,
    )
    return msgspec.structs.replace(order, **changes)


def make_sign_off_order(run_id, **changes):
    order = Run(
        run_id=run_id,
        key=KEY,
        attempt=1,
        payer=1,
        grant_id="g",
        reserved=7,
        idempotent=False,
        priority=0,
        deadline_s=30.0,
        method="POST",
        path="/sign",
        content_type="application/json",
        body=b"{}",
        cost_tokens=7,
    )
    return msgspec.structs.replace(order, **changes)
