"""A router's requests in virtual time: silent targets, and callers that leave.

Requests run as in a router. Only the connections to callers and targets are replaced,
the event loop is late now and then, and targets send what was planned for them.
"""

import math
import random
from contextlib import asynccontextmanager

import msgspec
import trio
from trio.testing import MockClock

from lavenderfold.direct._event_loop_monitor import EventLoopMonitor
from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._metrics import RouterMetrics
from lavenderfold.direct._notices import TargetNotices
from lavenderfold.direct._reachability import Reachability
from lavenderfold.direct._request_execution import RequestExecution
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.direct._time_limits import time_limits
from lavenderfold.fleet import Route, RouteTable, Target
from lavenderfold.http import ResponseLostError
from lavenderfold.quarantine import PromptQuarantine
from lavenderfold.routing import RetryBudget
from lavenderfold.timers import TimerService
from tests.direct_support import PLATFORM_CODEC, event, make_config
from tests.patience_plans import (
    CALLER_TIMEOUT_S,
    EVENTS,
    SOUND_SILENCE_S,
    TRICKLE,
    Plan,
)

TARGETS = 3
# One way between the router and a caller.
TRANSFER_S = 0.005
FREEZE_S = 3.0
# A delay of the event loop with which a router still takes new callers.
LATE_LIMIT_S = 0.2


class SentAttempt(msgspec.Struct, kw_only=True):
    """One attempt that reached a target. Times are those of the trio clock."""

    target_id: str
    plan: Plan
    sent_at: float
    is_sound: bool
    closed_at: float = math.inf


class SimulatedCall(msgspec.Struct, kw_only=True):
    """A caller's request and what became of it.

    ``left_at`` is when the caller left, None if it didn't.
    """

    id: str
    route: Route
    sent_at: float
    startup_s: float = 0.0
    left_at: float | None = None
    ended_at: float = math.inf
    status: int | None = None
    is_finished: bool = False
    body: bytes = b""
    write_times: list[float] = msgspec.field(default_factory=list)
    attempts: list[SentAttempt] = msgspec.field(default_factory=list)

    def leaves_at(self) -> float:
        """Return when the caller leaves unless more is written."""
        patience_s = self.route.patience_s
        leaves_at = self.sent_at + patience_s
        for written_at in self.write_times:
            received_at = written_at + TRANSFER_S
            if received_at > leaves_at:
                break
            leaves_at = received_at + patience_s
        return leaves_at

    @property
    def has_events(self) -> bool:
        return b"id:" in self.body

    @property
    def is_whole(self) -> bool:
        whole = b"".join(event(number) for number in range(1, EVENTS + 1))
        return self.is_finished and self.body == whole


class CallWriter:
    """Stands in for the ResponseWriter of one call."""

    def __init__(self, *, call: SimulatedCall):
        self.started = False
        self.finished = False
        self.deadline = math.inf
        self._call = call

    async def send(self, response) -> None:
        await self.start(response.status, response.headers)
        await self._write(response.body)
        await self.finish()

    async def start(self, status: int, headers) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        self.started = True
        self._call.status = status

    async def write(self, data: bytes) -> None:
        await self._write(data)

    async def finish(self) -> None:
        self.finished = self._call.is_finished = True

    async def _write(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        self._call.body += data
        self._call.write_times.append(trio.current_time())


class PlannedResponse:
    """Stands in for a StreamedResponse that follows a plan."""

    def __init__(self, *, attempt_id: str, attempt: SentAttempt, target):
        plan = attempt.plan
        is_rejected = plan.end == "rejected"
        self.status = 503 if is_rejected else 200
        self.headers = [
            ("x-attempt", attempt_id),
            ("x-signature", "yes"),
            ("content-type", "text/event-stream"),
        ]
        if is_rejected:
            self.headers.append(("x-not-run", "1"))
        if plan.pause_s is not None:
            self.headers.append(("x-pause", str(plan.pause_s)))
        self._attempt = attempt
        self._target = target

    async def chunks(self):
        plan = self._attempt.plan
        for after_s, data in plan.chunks:
            await self._target.sleep_until(self._attempt.sent_at + after_s)
            yield data
        await self._target.sleep_until(self._attempt.sent_at + plan.end_s)
        if plan.end == "lost":
            raise ResponseLostError(None, "the target broke off")


class SimulatedTarget:
    """Stands in for a target and for the HTTP client that sends to it.

    It sends nothing for FREEZE_S from ``frozen_from`` on.
    """

    def __init__(self, *, simulation: "Simulation", frozen_from: float):
        self._simulation = simulation
        self._frozen_from = frozen_from
        self._frozen_until = frozen_from + FREEZE_S

    async def sleep_until(self, time: float) -> None:
        if not math.isfinite(time):
            await trio.sleep_forever()
        await trio.sleep_until(self._thawed(time))

    def is_on_time(self, sent_at: float, plan: Plan) -> bool:
        """Whether a whole answer comes without a longer silence than a sound one's."""
        if plan.end != "whole" or not math.isfinite(plan.end_s):
            return False
        times_s = [each for each, data in plan.chunks if data != TRICKLE]
        times = [sent_at, *(self._thawed(sent_at + each) for each in times_s)]
        gaps_s = (later - at for at, later in zip(times, times[1:], strict=False))
        return max(gaps_s) <= SOUND_SILENCE_S

    @asynccontextmanager
    async def stream(self, request, *, on_sending, exchange_id, **_):
        await trio.lowlevel.checkpoint()
        call = self._simulation.call_by_id[exchange_id]
        first = int(request.header("x-last") or 0) + 1
        on_sending()
        plan = self._simulation.new_plan(call, first)
        sent_at = trio.current_time()
        attempt = SentAttempt(
            target_id=request.header("x-target"),
            plan=plan,
            sent_at=sent_at,
            is_sound=self.is_on_time(sent_at, plan),
        )
        call.attempts.append(attempt)
        try:
            await self.sleep_until(sent_at + min(plan.head_s, plan.end_s))
            if plan.end == "lost" and plan.head_s > plan.end_s:
                raise ResponseLostError(None, "the target broke off")
            yield PlannedResponse(attempt_id=exchange_id, attempt=attempt, target=self)
        finally:
            attempt.closed_at = trio.current_time()

    def _thawed(self, time: float) -> float:
        is_frozen = self._frozen_from <= time < self._frozen_until
        return self._frozen_until if is_frozen else time


class Simulation:
    """Calls to one router, whose answers follow ``new_plan(call, first_event)``.

    With ``is_disturbed`` targets freeze once and the event loop is late now and then.
    ``retries`` is how many a burst may take.
    """

    def __init__(
        self, *, seed: int, new_plan, is_disturbed: bool = True, retries: float = 40.0
    ):
        self.call_by_id: dict[str, SimulatedCall] = {}
        self.new_plan = new_plan
        self._random = random.Random(seed)
        self._is_disturbed = is_disturbed
        self._retries = retries
        self._clock = MockClock(autojump_threshold=0)
        self._services: RouterServices | None = None

    def run(self, calls: list[SimulatedCall]) -> None:
        """Run calls, whose ``sent_at`` are seconds after the start, to their ends."""
        self.call_by_id = {each.id: each for each in calls}
        trio.run(self._run, calls, clock=self._clock)

    async def _run(self, calls: list[SimulatedCall]) -> None:
        timers = TimerService(clock=trio.current_time)
        self._services = self._new_services(timers)
        started_at = trio.current_time()
        async with trio.open_nursery() as background:
            background.start_soon(timers.run)
            if self._is_disturbed:
                background.start_soon(self._delay_event_loop)
            async with trio.open_nursery() as nursery:
                for call in calls:
                    call.sent_at += started_at
                    nursery.start_soon(self._call, call)
            background.cancel_scope.cancel()

    async def _delay_event_loop(self) -> None:
        while True:
            await trio.sleep(self._random.uniform(0.7, 1.5))
            self._clock.jump(self._random.uniform(0.0, LATE_LIMIT_S))

    async def _call(self, call: SimulatedCall) -> None:
        await trio.sleep_until(call.sent_at + TRANSFER_S)
        read_at = call.sent_at + TRANSFER_S
        await trio.sleep_until(read_at + call.startup_s)
        writer = CallWriter(call=call)
        request = _new_request(call)
        execution = RequestExecution(
            services=self._services,
            table=RouteTable(make_config(routes=(call.route,), organisations=())),
            request=request,
            route=call.route,
            organisation=None,
            writer=writer,
            limits=time_limits(
                call.route, request, waits_since=read_at, request_delay_s=0.0
            ),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leave, call, nursery.cancel_scope)
            await execution.run()
            nursery.cancel_scope.cancel()
        call.ended_at = trio.current_time()
        received = [each + TRANSFER_S for each in call.write_times]
        if call.left_at is None and any(each > call.leaves_at() for each in received):
            call.left_at = call.leaves_at()

    async def _leave(self, call: SimulatedCall, scope: trio.CancelScope) -> None:
        leaves_at = call.sent_at
        while leaves_at < call.leaves_at():
            leaves_at = call.leaves_at()
            await trio.sleep_until(leaves_at)
        call.left_at = leaves_at
        await trio.sleep(TRANSFER_S)
        scope.cancel()

    def _new_services(self, timers: TimerService) -> RouterServices:
        load_tracker, metrics = LoadTracker(), RouterMetrics()
        targets = [_new_target(number) for number in range(TARGETS)]
        client_by_id = {each.id: self._new_client() for each in targets}
        return RouterServices(
            balance_manager=None,
            load_tracker=load_tracker,
            clients=_Clients(client_by_id),
            codec=PLATFORM_CODEC,
            directory=_Directory(targets),
            metrics=metrics,
            notices=TargetNotices(
                load_tracker=load_tracker, metrics=metrics, timers=timers
            ),
            quarantine=PromptQuarantine(timers=timers),
            event_loop_monitor=EventLoopMonitor(),
            reachability=Reachability(timers=timers),
            timers=timers,
            new_retry_budget=lambda: RetryBudget(share=0.1, reserve=self._retries),
            domain="domain",
        )

    def _new_client(self) -> SimulatedTarget:
        frozen_from = math.inf
        if self._is_disturbed:
            frozen_from = trio.current_time() + self._random.uniform(2.0, 12.0)
        return SimulatedTarget(simulation=self, frozen_from=frozen_from)


class _Clients(msgspec.Struct):
    client_by_id: dict

    def client(self, target: Target) -> SimulatedTarget:
        return self.client_by_id[target.id]


class _Directory(msgspec.Struct):
    targets: list[Target]

    def usable(self, service: str) -> list[Target]:
        return self.targets


def _new_target(number: int) -> Target:
    return Target(
        id=f"t{number}",
        service="service",
        host="127.0.0.1",
        port=1 + number,
        domain="domain",
        slots=8,
    )


def _new_request(call: SimulatedCall) -> CallerRequest:
    return CallerRequest(
        attempt_id=call.id,
        host="host",
        method="POST",
        target=f"/{call.route.name}/x",
        path=f"/{call.route.name}/x",
        forwarded_headers=[("x-attempt", call.id)],
        body=b"body",
        caller_timeout_s=CALLER_TIMEOUT_S,
    )
