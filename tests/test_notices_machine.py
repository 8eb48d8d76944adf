"""A router's choice among targets that leave and pause, as a Hypothesis state machine.

The directory changes in any order, targets restart, and their answers may be late.
"""

import math

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lavenderfold.direct import AnswerHead
from lavenderfold.direct._choice import choose_target
from lavenderfold.direct._load import PAUSE_LIMIT_S, LoadTracker, target_key
from lavenderfold.direct._metrics import RouterMetrics
from lavenderfold.direct._notices import TargetNotices
from lavenderfold.direct._router import CLEANUP_PERIOD_S
from lavenderfold.fleet import Target, TargetDirectory
from tests.quarantine_support import FakeTimers
from tests.test_direct_decisions import make_request

IDS = ("a", "b", "c")
# With 50 steps a run is shorter than the time for which a leaving target is kept.
LONGEST_WAIT_S = 5.0
LONG_WAITS = 3

ids = st.sampled_from(IDS)
# Which incarnation an entry or an answer is of: 0 is the current one, 1 the one
# before it, and so on.
ages = st.sampled_from((0, 0, 0, 1, 2))
# Rare, because a target that leaves or drains can't show other faults.
seldom = st.sampled_from((False, False, False, False, True))
pauses = st.sampled_from((None, 0.0, 0.3, 2.0, 20.0, 1e9, math.inf, math.nan, -1.0))


class NoticesMachine(RuleBasedStateMachine):
    """Compares the available targets with what the answers have said.

    All targets use one address after the other.
    """

    tracker_type = LoadTracker

    @initialize()
    def start(self):
        self.timers = FakeTimers()
        self.directory = TargetDirectory()
        self.load_tracker = self.tracker_type()
        self.notices = TargetNotices(
            load_tracker=self.load_tracker, metrics=RouterMetrics(), timers=self.timers
        )
        self.revision = 10
        self.born_by_id = dict.fromkeys(IDS, 5)
        self.leaving_keys = set()
        self.pause_end_by_key = {}
        self.long_waits = 0
        for id in IDS:
            self.put(id)

    def target(self, id: str, age: int = 0, *, is_draining: bool = False) -> Target:
        return Target(
            id=id,
            service="service",
            host="127.0.0.1",
            port=1,
            domain="here",
            slots=8,
            is_draining=is_draining,
            born=self.born_by_id[id] - age,
        )

    def put(
        self, id: str, age: int = 0, revision_step: int = 1, is_draining: bool = False
    ):
        self.revision += max(0, revision_step)
        target = self.target(id, age, is_draining=is_draining)
        revision = self.revision + min(0, revision_step)
        self.directory.put(id, target, revision=revision)

    def should_be_available(self, target: Target) -> bool:
        key = target_key(target)
        is_pausing = self.pause_end_by_key.get(key, -math.inf) > self.timers.now()
        return key not in self.leaving_keys and not is_pausing

    def record_answer(self, target: Target, head: AnswerHead) -> None:
        """Note what an answer says, as the rules are written for the callers."""
        if head.is_misdirected:
            return
        if head.is_leaving:
            self.leaving_keys.add(target_key(target))
        if head.pause_s is not None and head.pause_s > 0:
            end_at = self.timers.now() + min(head.pause_s, PAUSE_LIMIT_S)
            earlier_end = self.pause_end_by_key.get(target_key(target), end_at)
            self.pause_end_by_key[target_key(target)] = max(earlier_end, end_at)

    @rule(
        id=ids,
        age=ages,
        status=st.sampled_from((200, 421, 500)),
        is_leaving=seldom,
    )
    def answer(self, id, age, status, is_leaving):
        """An answer comes that turns nothing away, perhaps of an old incarnation."""
        self.receive(self.target(id, age), status, is_leaving=is_leaving)

    @rule(id=ids, pause_s=pauses, is_leaving=seldom)
    def turn_away(self, id, pause_s, is_leaving):
        """An answer comes that may ask for a pause."""
        self.receive(self.target(id), 503, is_leaving=is_leaving, pause_s=pause_s)

    @rule(id=ids, pauses_s=st.permutations((0.3, 20.0)))
    def turn_two_away(self, id, pauses_s):
        """Two requests were on their way when the target began to turn away."""
        for pause_s in pauses_s:
            self.receive(self.target(id), 503, is_leaving=False, pause_s=pause_s)

    def receive(
        self,
        target: Target,
        status: int,
        *,
        is_leaving: bool,
        pause_s: float | None = None,
    ) -> None:
        head = AnswerHead(
            status=status,
            attempt_id="a",
            is_signed=True,
            is_not_run=status in (421, 503),
            is_misdirected=status == 421,
            is_encoded=False,
            headers=[],
            is_leaving=is_leaving,
            pause_s=pause_s,
        )
        self.load_tracker.record_start(target, now=self.timers.now())
        self.notices.record(target, head, request_id="a")
        self.load_tracker.record_end(target, now=self.timers.now())
        self.record_answer(target, head)
        if head.is_success:
            self.load_tracker.record_success(target)
        elif status != 503:
            self.load_tracker.record_failure(target, now=self.timers.now())

    @rule(
        id=ids,
        age=ages,
        revision_step=st.sampled_from((1, 0, -1)),
        is_draining=seldom,
    )
    def list_entry(self, id, age, revision_step, is_draining):
        """The store or a hub's copy names an entry, perhaps of an old incarnation."""
        self.put(id, age, revision_step, is_draining)

    @rule(id=ids, is_certain=st.booleans())
    def remove_entry(self, id, is_certain):
        if is_certain:
            self.revision += 1
            self.directory.remove(id, revision=self.revision)
        else:
            self.directory.remove_after_grace(id, now=self.timers.now())

    @rule(id=ids)
    def restart(self, id):
        """A target starts again with the same id and registers."""
        self.born_by_id[id] += 1
        self.put(id)

    @rule(seconds=st.floats(0.1, LONGEST_WAIT_S))
    def wait(self, seconds):
        """Time passes; the router cleans up as it does periodically."""
        end_at = self.timers.elapsed_s + seconds
        while self.timers.elapsed_s < end_at:
            step_s = min(CLEANUP_PERIOD_S, end_at - self.timers.elapsed_s)
            self.timers.elapsed_s += step_s
            now = self.timers.now()
            self.directory.expire(now=now)
            self.load_tracker.keep_only(self.directory.targets(), now=now)

    @precondition(lambda self: self.long_waits < LONG_WAITS)
    @rule()
    def wait_for_the_longest_pause(self):
        self.long_waits += 1
        self.wait(PAUSE_LIMIT_S)

    @invariant()
    def requests_reach_all_available_targets_and_no_others(self):
        tried = set()
        reachable = set()
        while True:
            choice = choose_target(
                self.directory.usable("service"),
                self.load_tracker,
                make_request(),
                avoid=frozenset(tried),
                failure_domain="here",
                now=self.timers.now(),
            )
            if choice is None:
                break
            tried.add(choice.target.id)
            reachable.add(target_key(choice.target))
        assert reachable == {
            target_key(each)
            for each in self.directory.usable("service")
            if self.should_be_available(each)
        }


TestNoticesMachine = NoticesMachine.TestCase
TestNoticesMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=50
)


class PauseLiftedBySuccess(LoadTracker):
    def record_success(self, target):
        super().record_success(target)
        self.state(target).paused_until = -math.inf


class PauseCutByNextPause(LoadTracker):
    def record_pause(self, target, pause_s, *, now):
        self.state(target).paused_until = -math.inf
        return super().record_pause(target, pause_s, now=now)


class PauseWithoutLimit(LoadTracker):
    def record_pause(self, target, pause_s, *, now):
        is_reported = super().record_pause(target, pause_s, now=now)
        state = self.state(target)
        state.paused_until = max(state.paused_until, now + pause_s)
        return is_reported


class LeavingUndoneByListing(LoadTracker):
    def keep_only(self, targets, *, now):
        super().keep_only(targets, now=now)
        for target in targets:
            self.state(target).is_leaving = False


class LeavingDroppedWithEntry(LoadTracker):
    def keep_only(self, targets, *, now):
        keys = {target_key(each) for each in targets}
        for key in set(self._state_by_key) - keys:
            del self._state_by_key[key]


class NoticesKeptById(LoadTracker):
    def state(self, target):
        return self._state_by_key.setdefault(target.id, LoadTracker().state(target))

    def keep_only(self, targets, *, now):
        pass


class FallbackToAllTargets(LoadTracker):
    def available(self, targets, *, now):
        return super().available(targets, now=now) or targets


@pytest.mark.parametrize(
    "planted",
    [
        PauseLiftedBySuccess,
        PauseCutByNextPause,
        PauseWithoutLimit,
        LeavingUndoneByListing,
        LeavingDroppedWithEntry,
        NoticesKeptById,
        FallbackToAllTargets,
    ],
)
def test_machine_finds_a_planted_fault(planted):
    """Guards against a state machine that never comes to the faults it is for."""

    class FaultyMachine(NoticesMachine):
        tracker_type = planted

    found = settings(
        TestNoticesMachine.settings, max_examples=600, phases=(Phase.generate,)
    )
    with pytest.raises(AssertionError, match="assert"):
        run_state_machine_as_test(FaultyMachine, settings=found)
