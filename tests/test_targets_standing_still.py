"""Choice of targets while many of them stand still.

The load pattern: the VMs of half of the targets are suspended for seconds. A target
that stands still accepts requests, and runs them when it goes on although their
callers have left. So requests must go elsewhere after the first few, and return when it
answers.
"""

import heapq
import itertools
import random
from collections import Counter

import msgspec
import pytest

from lavenderfold.direct._choice import choose_target
from lavenderfold.direct._load import SILENCE_S, LoadTracker
from tests.test_direct_decisions import make_request, make_target

TARGETS = 8
REQUESTS_PER_S = 40.0
FREEZE_START_S, FREEZE_END_S = 2.0, 5.0
END_S = 9.0
# Callers leave after this time without an answer.
PATIENCE_S = 2.4
# A sound target sends the head of an answer, and then events until its end.
HEAD_S, EVENT_PERIOD_S, EVENTS = 0.15, 0.05, 20
# A target that stood still gets a request now and then, which shows that it goes on.
PROBES_PER_S = 2


class Simulation:
    """One router's choices in simulated time."""

    def __init__(self, *, seed: int):
        self.now = 0.0
        self.load_tracker = LoadTracker()
        self.targets = [make_target(f"t{number}") for number in range(TARGETS)]
        self.frozen_ids = {each.id for each in self.targets[: TARGETS // 2]}
        self.sent: list[tuple[float, str]] = []
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._due: list = []

    def run(self) -> None:
        self._at(0.0, self._send_next)
        while self._due and self._due[0][0] < END_S:
            self.now, _, action = heapq.heappop(self._due)
            action()

    def count_sent(self, start_s: float, end_s: float) -> Counter[str]:
        return Counter(
            target_id for at, target_id in self.sent if start_s <= at < end_s
        )

    def _at(self, due_at: float, action) -> None:
        heapq.heappush(self._due, (due_at, next(self._numbers), action))

    def _send_next(self) -> None:
        self._at(self.now + self._random.expovariate(REQUESTS_PER_S), self._send_next)
        request = msgspec.structs.replace(
            make_request(), attempt_id=str(next(self._numbers))
        )
        choice = choose_target(
            self.targets,
            self.load_tracker,
            request,
            avoid=frozenset(),
            failure_domain="here",
            now=self.now,
        )
        self.sent.append((self.now, choice.target.id))
        self.load_tracker.record_start(choice.target, now=self.now)
        _Run(self, choice.target).start()

    def thaw_at(self, target) -> float:
        """Return from when on a target answers."""
        is_frozen = FREEZE_START_S <= self.now < FREEZE_END_S
        return FREEZE_END_S if is_frozen and target.id in self.frozen_ids else self.now


class _Run:
    """One request at a target, until it ends or its caller leaves."""

    def __init__(self, simulation: Simulation, target):
        self._simulation = simulation
        self._target = target
        self._events = 0
        self._has_ended = False
        self._heard_at = simulation.now

    def start(self) -> None:
        self._wait(HEAD_S)

    def _wait(self, delay_s: float) -> None:
        simulation = self._simulation
        simulation._at(simulation.now + delay_s, self._send_event)
        simulation._at(simulation.now + PATIENCE_S, self._leave)

    def _send_event(self) -> None:
        simulation = self._simulation
        thaw_at = simulation.thaw_at(self._target)
        if self._has_ended:
            return
        if thaw_at > simulation.now:
            simulation._at(thaw_at, self._send_event)
            return
        self._heard_at = simulation.now
        simulation.load_tracker.record_sign(self._target, now=simulation.now)
        self._events += 1
        if self._events == EVENTS:
            simulation.load_tracker.record_success(self._target)
            self._end()
            return
        self._wait(EVENT_PERIOD_S)

    def _leave(self) -> None:
        if self._simulation.now - self._heard_at >= PATIENCE_S - 1e-6:
            self._end()

    def _end(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._simulation.load_tracker.record_end(
                self._target, now=self._simulation.now
            )


@pytest.fixture(params=range(5))
def simulation(request) -> Simulation:
    simulation = Simulation(seed=request.param)
    simulation.run()
    return simulation


def test_targets_that_stand_still_get_few_requests(simulation):
    """Guards against requests that run after their callers have left."""
    learnt_s = FREEZE_START_S + SILENCE_S + 0.1
    sent = simulation.count_sent(learnt_s, FREEZE_END_S)
    limit = PROBES_PER_S * (FREEZE_END_S - learnt_s)
    for target_id in simulation.frozen_ids:
        assert sent[target_id] <= limit


def test_targets_that_go_on_get_requests_at_once(simulation):
    """Guards against sound targets that are left out for longer than their silence."""
    sent = simulation.count_sent(FREEZE_END_S + 0.1, FREEZE_END_S + 1.1)
    for target_id in simulation.frozen_ids:
        assert sent[target_id] >= REQUESTS_PER_S / TARGETS / 3


def test_sound_targets_share_the_requests_of_the_others(simulation):
    """Guards against one target that gets what all the others don't."""
    sent = simulation.count_sent(FREEZE_START_S, FREEZE_END_S)
    sound = [each.id for each in simulation.targets]
    sound = [each for each in sound if each not in simulation.frozen_ids]
    assert max(sent[each] for each in sound) < 2 * min(sent[each] for each in sound)


def test_sound_targets_are_not_taken_for_silent(simulation):
    """Guards against a pattern that also fits slow answers of sound targets."""
    sent = simulation.count_sent(0.0, FREEZE_START_S)
    expected = REQUESTS_PER_S * FREEZE_START_S / TARGETS
    assert min(sent[each.id] for each in simulation.targets) > expected / 2


def test_all_targets_are_used_if_all_stand_still():
    """Guards against refusals while the targets pause for a moment."""
    load_tracker = LoadTracker()
    targets = [make_target(f"t{number}") for number in range(3)]
    for target in targets:
        load_tracker.record_start(target, now=0.0)
    choice = choose_target(
        targets,
        load_tracker,
        make_request(),
        avoid=frozenset(),
        failure_domain="here",
        now=1.0,
    )
    assert choice is not None
    assert choice.is_last_resort


def test_second_attempt_goes_to_a_target_with_a_recent_sign():
    """Guards against a second attempt at a target that stands still like the first."""
    load_tracker = LoadTracker()
    silent = [make_target("t0"), make_target("t1")]
    unknown, sound = make_target("t2"), make_target("t3")
    for target in [*silent, sound]:
        load_tracker.record_start(target, now=0.0)
    load_tracker.record_sign(sound, now=SILENCE_S)
    choice = choose_target(
        [*silent, unknown, sound],
        load_tracker,
        make_request(),
        avoid={"t0"},
        failure_domain="here",
        now=SILENCE_S + 0.1,
    )
    assert choice.target == sound
    assert not choice.is_last_resort


def test_first_attempts_are_not_drawn_to_the_few_targets_with_a_recent_sign():
    """Each router of a large fleet has such a sign from a few targets only."""
    load_tracker = LoadTracker()
    silent = [make_target("t0"), make_target("t1")]
    others = [make_target(f"t{number}") for number in range(2, 20)]
    for target in [*silent, others[0]]:
        load_tracker.record_start(target, now=0.0)
    load_tracker.record_sign(others[0], now=SILENCE_S)
    chosen_ids = {
        choose_target(
            [*silent, *others],
            load_tracker,
            msgspec.structs.replace(make_request(), attempt_id=f"a{number}"),
            avoid=frozenset(),
            failure_domain="here",
            now=SILENCE_S + 0.1,
        ).target.id
        for number in range(200)
    }
    assert len(chosen_ids) > 10
    assert not chosen_ids & {"t0", "t1"}
