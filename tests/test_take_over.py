"""Takes over requests from silent targets, in virtual time and without network.

The load pattern: targets that fall silent for about a second, while others refuse,
accept or ignore the requests that they are asked to take over.
"""

import msgspec
import pytest
import trio
from trio.testing import MockClock

from lavenderfold.direct._attempt_starter import StartedAttempt
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._take_over import TakeOver
from lavenderfold.direct._target_wait import TargetWait
from lavenderfold.timers import TimerService

# Two targets may run the same generation for this long.
BOTH_RUNNING_LIMIT_S = 0.4
DEADLINE_S = 5.0


class FakeAttempt:
    """An attempt whose connection and first part take a given time."""

    def __init__(self, *, connect_s: float, first_s: float, outcome=None):
        self.sent_at = None
        self.closed_at = None
        self._connect_s = connect_s
        self._first_s = first_s
        self._outcome = outcome

    async def open(self, *, on_sending):
        await trio.sleep(self._connect_s)
        if self._outcome is AttemptOutcome.NOT_CONNECTED:
            return self._outcome
        self.sent_at = trio.current_time()
        on_sending()
        await trio.sleep(self._first_s)
        return self._outcome

    async def close(self):
        self.closed_at = trio.current_time()


class Recorded(msgspec.Struct):
    """What a take-over reported."""

    ended: list = msgspec.field(default_factory=list)
    observed: list = msgspec.field(default_factory=list)


def run_take_over(attempts, work, *, accepts_unanswered=True):
    """Run ``work(take_over, target_wait)`` with these attempts in their order."""
    recorded = Recorded()
    left = list(attempts)

    def start(_):
        if not left:
            return None
        attempt = left.pop(0)
        return StartedAttempt(
            attempt=attempt,
            target=None,
            reason="",
            opening=attempt.open,
            started_at=trio.current_time(),
        )

    async def observe(started, outcome):
        recorded.observed.append(outcome)

    async def main():
        timers = TimerService(clock=trio.current_time)
        take_over = TakeOver(
            timers=timers,
            start=start,
            on_accepted=lambda: target_wait.end_taken_over(),
            on_end=lambda started, outcome: recorded.ended.append(outcome),
            on_outcome=observe,
            accepts_unanswered=accepts_unanswered,
        )
        target_wait = TargetWait(
            timers=timers,
            deadline=trio.current_time() + DEADLINE_S,
            try_take_over=lambda: take_over.try_take_over("silent"),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            result = await take_over.run(lambda: work(take_over, target_wait))
            nursery.cancel_scope.cancel()
        return result

    result = trio.run(main, clock=MockClock(autojump_threshold=0))
    return result, recorded


async def wait_silently(take_over, target_wait):
    """Wait for a silent target; return when another one took over, or None."""
    with target_wait.until_silent(trio.current_time()):
        await trio.sleep_forever()
    return trio.current_time() if target_wait.is_taken_over else None


def test_target_that_answers_takes_over_at_once():
    """Guards against events that wait for the next check of the silent target."""
    attempt = FakeAttempt(connect_s=0.01, first_s=0.02)

    async def work(take_over, target_wait):
        began = trio.current_time()
        taken_at = await wait_silently(take_over, target_wait)
        started = take_over.adopt()
        assert await started.opening() is None
        return taken_at - began

    taken_s, recorded = run_take_over([attempt], work)
    assert taken_s == pytest.approx(0.03)
    assert (recorded.ended, attempt.closed_at) == ([], None)


@pytest.mark.parametrize("connect_s", [0.0, 0.05, 0.11, 0.15, 0.19, 0.25, 0.9])
def test_silent_target_is_given_up_soon_after_another_one_has_begun(connect_s):
    """Guards against two targets that run the same generation for long."""
    attempt = FakeAttempt(connect_s=connect_s, first_s=2.0)

    async def work(take_over, target_wait):
        taken_at = await wait_silently(take_over, target_wait)
        return taken_at - attempt.sent_at

    both_s, _ = run_take_over([attempt], work)
    assert 0.0 < both_s < BOTH_RUNNING_LIMIT_S


@pytest.mark.parametrize("refused_after_s", [0.02, 0.2])
@pytest.mark.parametrize(
    "outcome",
    [
        AttemptOutcome.REJECTED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.LOST,
        AttemptOutcome.INVALID,
        AttemptOutcome.FAILED,
    ],
)
def test_silent_target_is_kept_if_the_other_one_does_not_take_the_request(
    outcome, refused_after_s
):
    """Guards against requests that end without an answer after a refusal."""
    attempt = FakeAttempt(connect_s=0.01, first_s=refused_after_s, outcome=outcome)
    taken_at, recorded = run_take_over([attempt], wait_silently)
    assert taken_at is None
    assert recorded.ended == recorded.observed == [outcome]
    assert attempt.closed_at is not None


def test_plain_request_waits_for_both_targets_until_one_answers():
    """Guards against an answer that is given up for a target that stands still."""
    attempt = FakeAttempt(connect_s=0.01, first_s=99.0)
    taken_at, recorded = run_take_over(
        [attempt], wait_silently, accepts_unanswered=False
    )
    assert taken_at is None
    assert recorded.ended == [AttemptOutcome.SUPERSEDED]


def test_another_target_is_asked_after_a_refusal():
    """Guards against a request that waits although a third target would take it."""
    refusing = FakeAttempt(
        connect_s=0.01, first_s=0.02, outcome=AttemptOutcome.NOT_CONNECTED
    )
    accepting = FakeAttempt(connect_s=0.01, first_s=0.02)

    async def work(take_over, target_wait):
        assert await wait_silently(take_over, target_wait) is not None
        return take_over.adopt().attempt

    adopted, _ = run_take_over([refusing, accepting], work)
    assert adopted is accepting


@pytest.mark.parametrize("drop_after_s", [0.005, 0.02, 0.05])
def test_other_target_is_dropped_when_the_silent_one_goes_on(drop_after_s):
    """Guards against events of two targets in one stream."""
    attempt = FakeAttempt(connect_s=0.01, first_s=0.02)

    async def work(take_over, target_wait):
        take_over.try_take_over("silent")
        await trio.sleep(drop_after_s)
        take_over.drop()
        assert take_over.adopt() is None
        await trio.sleep(0.01)
        assert attempt.closed_at is not None

    _, recorded = run_take_over([attempt], work)
    assert recorded.ended == [AttemptOutcome.SUPERSEDED]


def test_dropped_attempt_that_is_answered_in_the_same_turn_ends_no_wait():
    """Guards against a target that has just gone on and is given up all the same."""
    attempt = FakeAttempt(connect_s=0.01, first_s=0.02)

    async def work(take_over, target_wait):
        began = trio.current_time()
        take_over.try_take_over("silent")
        await trio.sleep(0.03)
        take_over.drop()
        with target_wait.until_silent(began + 9.0):
            await trio.sleep(1.0)
        return trio.current_time() - began

    waited_s, _ = run_take_over([attempt], work)
    assert waited_s == pytest.approx(1.03)


def test_attempt_that_is_left_ends_with_its_request():
    """Guards against attempts that go on after their request has ended."""
    attempt = FakeAttempt(connect_s=0.01, first_s=9.0)

    async def work(take_over, target_wait):
        take_over.try_take_over("silent")
        await trio.sleep(0.05)
        return trio.current_time()

    ended_at, recorded = run_take_over([attempt], work)
    assert recorded.ended == [AttemptOutcome.SUPERSEDED]
    assert attempt.closed_at == ended_at


def test_error_of_a_request_is_raised_as_it_is():
    """Guards against a broken connection that is reported as a fault of the router."""

    async def work(take_over, target_wait):
        raise trio.BrokenResourceError("the caller left")

    with pytest.raises(ExceptionGroup) as caught:
        run_take_over([], work)
    # This group is that of the test's own nursery.
    assert [type(each) for each in caught.value.exceptions] == [
        trio.BrokenResourceError
    ]
