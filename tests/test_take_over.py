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

# A target that two attempts work on at the same time may do so for this long.
BOTH_RUNNING_LIMIT_S = 0.4
ASK_PERIOD_S = 0.2


class FakeAttempt:
    """An attempt whose connection and head take a given time."""

    def __init__(self, *, connect_s: float, head_s: float, outcome, is_successful=True):
        self.sent_at = None
        self.closed_at = None
        self.is_successful = is_successful
        self._connect_s = connect_s
        self._head_s = head_s
        self._outcome = outcome

    async def open(self):
        await trio.sleep(self._connect_s)
        if self._outcome is AttemptOutcome.NOT_CONNECTED:
            return self._outcome
        self.sent_at = trio.current_time()
        await trio.sleep(self._head_s)
        return self._outcome

    async def close(self):
        self.closed_at = trio.current_time()


class Recorded(msgspec.Struct):
    """What a take-over reported."""

    ended: list = msgspec.field(default_factory=list)
    observed: list = msgspec.field(default_factory=list)
    accepted_at: list = msgspec.field(default_factory=list)


def run_take_over(attempts, work):
    """Run ``work(take_over, recorded)`` with the given attempts in their order."""
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

    take_over = TakeOver(
        start=start,
        on_end=lambda started, outcome: recorded.ended.append(outcome),
        on_outcome=observe,
    )

    async def main():
        return await take_over.run(lambda: work(take_over, recorded))

    result = trio.run(main, clock=MockClock(autojump_threshold=0))
    return result, recorded


async def wait_silently(take_over, recorded, *, limit_s=5.0):
    """Ask as a silent target is waited for; return when another one took over."""
    accepted = trio.Event()

    def accept():
        recorded.accepted_at.append(trio.current_time())
        accepted.set()

    end = trio.current_time() + limit_s
    while trio.current_time() < end:
        if take_over.ask("silent", accept):
            return trio.current_time()
        with trio.move_on_after(ASK_PERIOD_S):
            await accepted.wait()
    return None


def test_target_that_answers_takes_over_at_once():
    """Guards against events that wait for the next check of the silent target."""
    attempt = FakeAttempt(connect_s=0.01, head_s=0.02, outcome=None)

    async def work(take_over, recorded):
        began = trio.current_time()
        taken_at = await wait_silently(take_over, recorded)
        started = take_over.adopt()
        assert await started.opening() is None
        return taken_at - began

    taken_s, recorded = run_take_over([attempt], work)
    assert taken_s == pytest.approx(0.03)
    assert (recorded.ended, attempt.closed_at) == ([], None)


@pytest.mark.parametrize("connect_s", [0.0, 0.05, 0.15, 0.19, 0.25, 0.9])
def test_silent_target_is_given_up_soon_after_another_one_has_begun(connect_s):
    """Guards against two targets that run the same request for long."""
    attempt = FakeAttempt(connect_s=connect_s, head_s=2.0, outcome=None)

    async def work(take_over, recorded):
        taken_at = await wait_silently(take_over, recorded)
        return taken_at - attempt.sent_at

    both_s, _ = run_take_over([attempt], work)
    assert 0.0 < both_s < BOTH_RUNNING_LIMIT_S


@pytest.mark.parametrize(
    "outcome",
    [
        AttemptOutcome.REJECTED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.LOST,
        AttemptOutcome.INVALID,
    ],
)
def test_silent_target_is_kept_if_the_other_one_does_not_take_the_request(outcome):
    """Guards against requests that end without an answer after a refusal."""
    attempt = FakeAttempt(connect_s=0.01, head_s=0.02, outcome=outcome)
    taken_at, recorded = run_take_over([attempt], wait_silently)
    assert taken_at is None
    assert recorded.ended == recorded.observed == [outcome]
    assert attempt.closed_at is not None


def test_silent_target_is_kept_if_the_other_one_fails():
    """Guards against an error response in place of the answer that was to come."""
    attempt = FakeAttempt(
        connect_s=0.01, head_s=0.02, outcome=None, is_successful=False
    )
    taken_at, recorded = run_take_over([attempt], wait_silently)
    assert taken_at is None
    assert recorded.ended == [AttemptOutcome.FAILED]


def test_another_target_is_asked_after_a_refusal():
    """Guards against a request that waits although a third target would take it."""
    refusing = FakeAttempt(
        connect_s=0.01, head_s=0.02, outcome=AttemptOutcome.NOT_CONNECTED
    )
    accepting = FakeAttempt(connect_s=0.01, head_s=0.02, outcome=None)

    async def work(take_over, recorded):
        assert await wait_silently(take_over, recorded) is not None
        return take_over.adopt().attempt

    adopted, _ = run_take_over([refusing, accepting], work)
    assert adopted is accepting


@pytest.mark.parametrize("drop_after_s", [0.005, 0.02, 0.05])
def test_other_target_is_dropped_when_the_silent_one_goes_on(drop_after_s):
    """Guards against events of two targets in one stream."""
    attempt = FakeAttempt(connect_s=0.01, head_s=0.02, outcome=None)

    async def work(take_over, recorded):
        take_over.ask("silent", lambda: None)
        await trio.sleep(drop_after_s)
        take_over.drop()
        assert recorded.ended == [None]
        assert take_over.adopt() is None
        await trio.sleep(0.01)
        assert attempt.closed_at is not None

    _, recorded = run_take_over([attempt], work)
    assert recorded.ended == [None]


def test_attempt_that_is_left_ends_with_its_request():
    """Guards against attempts that go on after their request has ended."""
    attempt = FakeAttempt(connect_s=0.01, head_s=9.0, outcome=None)

    async def work(take_over, recorded):
        take_over.ask("silent", lambda: None)
        await trio.sleep(0.05)
        return trio.current_time()

    ended_at, recorded = run_take_over([attempt], work)
    assert recorded.ended == [None]
    assert attempt.closed_at == ended_at


def test_error_of_a_request_is_raised_as_it_is():
    """Guards against a broken connection that is reported as a fault of the router."""

    async def work(take_over, recorded):
        raise trio.BrokenResourceError("the caller left")

    with pytest.raises(trio.BrokenResourceError):
        run_take_over([], work)
