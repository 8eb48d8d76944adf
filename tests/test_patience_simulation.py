"""Silent targets and callers that leave at their patience, in virtual time."""

import itertools
import random

import pytest
import trio

from lavenderfold.direct import _patience
from lavenderfold.direct._patience import CallerPatience
from lavenderfold.fleet import RepeatPolicy
from tests.direct_support import event, make_route
from tests.patience_plans import EVENTS, Plan, random_plan, stream_plan
from tests.patience_simulation import (
    LATE_LIMIT_S,
    TRANSFER_S,
    SimulatedCall,
    Simulation,
)

SEEDS = range(12)
CALLS = 60
RUN_S = 15.0
# Time for an attempt to be closed once its caller has left or was told the end.
CLOSE_LIMIT_S = LATE_LIMIT_S + 0.05
# A request may wait for this long before its first attempt.
STARTUP_LIMIT_S = 0.6
# Silences of sound targets.
SILENCES_S = (0.5, 0.7, 1.0, 1.3, 1.5)
# An attempt that begins later may have less time than a sound target is silent.
SOUND_START_S = 0.1
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
# Objective and patience of the routes, in seconds.
TIMES = ((0.2, 2.0), (0.5, 2.4), (1.0, 4.0))
ROUTES = tuple(
    make_route(
        f"{name}-{patience_s}",
        RepeatPolicy.STREAM,
        timeout_s=12.0,
        latency_objective_s=objective_s,
        pause_limit_s=0.3,
        patience_s=patience_s,
        attempt_limit=attempt_limit,
        is_resumable=is_resumable,
    )
    for objective_s, patience_s in TIMES
    for name, attempt_limit, is_resumable in (
        ("chat", 2, False),
        ("once", 1, True),
        ("draft", 3, True),
    )
)


def can_be_taken_over(call: SimulatedCall) -> bool:
    return call.route.is_repeatable and call.route.attempt_limit > 1


def find_faults(call: SimulatedCall) -> list[str]:
    """Return what went wrong with a call."""
    faults = []
    received = [each + TRANSFER_S for each in call.write_times]
    if call.left_at is not None and not any(each <= call.left_at for each in received):
        faults.append("the caller left without an answer")
    end = call.ended_at if call.left_at is None else call.left_at + TRANSFER_S
    if any(each.closed_at > end + CLOSE_LIMIT_S for each in call.attempts):
        faults.append("a target worked on")
    if len(call.attempts) > call.route.attempt_limit:
        faults.append("too many attempts")
    sent = [each for each in call.attempts if each.plan.end != "rejected"]
    if not call.route.is_repeatable and len(sent) > 1:
        faults.append("a single run ran twice")
    if call.status == 200 and not WHOLE_STREAM.startswith(call.body):
        faults.append("the stream has a gap")
    if call.is_finished and call.status == 200 and call.body != WHOLE_STREAM:
        faults.append("a part of a stream looks whole")
    if call.attempts and not can_be_taken_over(call):
        last = call.attempts[-1]
        is_early = last.sent_at <= call.sent_at + TRANSFER_S + SOUND_START_S
        if last.is_sound and is_early and not call.is_whole:
            faults.append("a sound target was given up")
    is_cut = call.has_events and not call.is_finished and call.left_at is None
    if is_cut and all(each.plan.end == "whole" for each in call.attempts):
        faults.append("a stream was cut for a silence")
    return faults


def run_simulation(seed: int) -> tuple[list[SimulatedCall], list[str]]:
    rng = random.Random(seed)
    calls = [
        SimulatedCall(
            id=f"a{number}",
            route=rng.choice(ROUTES),
            sent_at=rng.uniform(0.0, RUN_S),
            startup_s=rng.choice((0.0, rng.uniform(0.0, STARTUP_LIMIT_S))),
        )
        for number in range(CALLS)
    ]

    def new_plan(call, first_event):
        plan_seed = f"{seed}/{call.id}/{len(call.attempts)}"
        return random_plan(random.Random(plan_seed), first_event)

    Simulation(seed=seed, new_plan=new_plan).run(calls)
    faults = [
        f"seed {seed}, {call.id} on {call.route.name}: {fault}"
        for call in calls
        for fault in find_faults(call)
    ]
    return calls, faults


@pytest.mark.parametrize("seed", SEEDS)
def test_no_caller_leaves_without_an_answer_and_no_sound_target_is_given_up(seed):
    """Guards against callers that leave first, and against ends that come too early."""
    calls, faults = run_simulation(seed)
    assert not faults
    statuses = {call.status for call in calls}
    assert {200, 504} <= statuses, "the run shows too little"


def ignore_patience(self, deadline):
    return deadline


def restart_with_any_byte(self, deadline):
    if self._progress.last_event_at is not None:
        return deadline
    return min(deadline, trio.current_time() + self._patience_s - self._margin_s)


def end_streams_too(self, deadline):
    return min(deadline, self.leaves_at - self._margin_s)


@pytest.mark.parametrize(
    ("answer_by", "fault"),
    [
        (ignore_patience, "the caller left without an answer"),
        (restart_with_any_byte, "the caller left without an answer"),
        (end_streams_too, "a stream was cut for a silence"),
    ],
)
def test_simulation_finds_a_wrong_end(monkeypatch, answer_by, fault):
    """Planted: the patience is ignored, restarted, or ends streams with events."""
    monkeypatch.setattr(CallerPatience, "answer_by", answer_by)
    assert fault in str([run_simulation(seed)[1] for seed in SEEDS])


def test_simulation_finds_a_missing_margin(monkeypatch):
    """Planted: requests end when their callers leave."""
    monkeypatch.setattr(_patience, "ANSWER_MARGIN_S", 0.0)
    faults = [run_simulation(seed)[1] for seed in SEEDS]
    assert "the caller left without an answer" in str(faults)


def sound_faults() -> list[str]:
    """Run targets that are silent for a while and that no other may take over."""
    calls = [
        SimulatedCall(id=f"{route.name} {silent_s} s", route=route, sent_at=0.0)
        for route, silent_s in itertools.product(ROUTES, SILENCES_S)
    ]

    def new_plan(call, first_event):
        silence_s = float(call.id.split()[1])
        number = ROUTES.index(call.route) % 4
        return stream_plan(
            "paused",
            first=first_event,
            first_s=0.01 if number else silence_s,
            silence_before=number and number + 1,
            silence_s=silence_s,
        )

    Simulation(seed=0, new_plan=new_plan, is_disturbed=False, retries=0.0).run(calls)
    return [call.id for call in calls if not call.is_whole or find_faults(call)]


def test_sound_target_that_no_other_may_take_over_is_waited_for():
    """Guards against answers that are given up although their caller would wait."""
    assert not sound_faults()


def test_margin_that_takes_the_time_of_sound_targets_is_found(monkeypatch):
    """Planted: requests end 0.55 s before their callers leave."""
    monkeypatch.setattr(_patience, "ANSWER_MARGIN_S", 0.55)
    assert sound_faults()


def run_take_over(
    first: Plan, *, route, first_event_s: float, startup_s: float = 0.0
) -> SimulatedCall:
    """Run a call whose first target does as planned, and whose second one is sound."""
    usual = [
        SimulatedCall(id=f"u{number}", route=route, sent_at=number * 0.1)
        for number in range(20)
    ]
    call = SimulatedCall(id="a", route=route, sent_at=9.0, startup_s=startup_s)

    def new_plan(each, first_event):
        if each is call and not each.attempts:
            return first
        return stream_plan("sound", first=first_event, first_s=first_event_s)

    Simulation(seed=0, new_plan=new_plan, is_disturbed=False).run([*usual, call])
    return call


DEAD_PLANS = (
    Plan(kind="dead"),
    stream_plan("head_only", first_s=0.1, silence_before=1, silence_s=9e9),
    stream_plan("trickle", first_s=0.1, silence_before=1, silence_s=9e9, trickles=True),
)


def take_over_faults() -> list[str]:
    faults = []
    routes = [each for each in ROUTES if each.is_resumable and each.attempt_limit > 1]
    for route, plan, first_event_s, startup_s in itertools.product(
        routes, DEAD_PLANS, (0.05, 0.2, 0.4, 0.6), (0.0, 0.3)
    ):
        call = run_take_over(
            plan, route=route, first_event_s=first_event_s, startup_s=startup_s
        )
        if not call.is_whole or find_faults(call):
            faults.append(f"{route.name}, {plan.kind}, {first_event_s}, {startup_s}")
    return faults


def test_second_target_answers_before_the_caller_leaves():
    """Guards against callers that leave a request that another target could answer."""
    assert not take_over_faults()


def test_take_overs_without_a_plan_are_found(monkeypatch):
    """Planted: another target is asked after the limit of a wait only."""
    monkeypatch.setattr(
        CallerPatience, "silent_at", lambda self, now, limit_s: now + limit_s
    )
    assert take_over_faults()


def test_single_run_is_not_repeated_for_the_patience():
    """Guards against a second run of a request that may run once."""
    route = next(each for each in ROUTES if not each.is_resumable)
    call = run_take_over(DEAD_PLANS[0], route=route, first_event_s=0.1)
    assert (call.status, len(call.attempts)) == (504, 1)
