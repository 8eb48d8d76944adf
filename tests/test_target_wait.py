"""Waits for targets that are silent, in virtual time."""

import pytest
import trio
from trio.testing import MockClock

from lavenderfold.direct._target_wait import RECHECK_S, TargetWait
from lavenderfold.timers import TimerService


def run_wait(answers, *, silent_after_s: float, deadline_s: float):
    """Wait for nothing; return when the wait ended, and whether it was taken over.

    ``answers`` are those to the question whether another target can take over.
    """
    asked_at = []

    def try_take_over():
        asked_at.append(trio.current_time())
        return answers[len(asked_at) - 1] if len(asked_at) <= len(answers) else False

    async def main():
        timers = TimerService(clock=trio.current_time)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            started_at = trio.current_time()
            wait = TargetWait(
                timers=timers,
                deadline=started_at + deadline_s,
                try_take_over=try_take_over,
            )
            with wait.until_silent(started_at + silent_after_s):
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()
            ended_s = trio.current_time() - started_at
            asked_s = [each - started_at for each in asked_at]
            return round(ended_s, 3), wait.is_taken_over, asked_s

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def test_wait_ends_once_another_target_takes_over():
    """Guards against callers that wait for a target which never answers."""
    ended_s, is_taken_over, _ = run_wait([True], silent_after_s=1.0, deadline_s=9.0)
    assert (ended_s, is_taken_over) == (1.0, True)


def test_wait_goes_on_until_another_target_can_take_over():
    """Guards against an attempt that is given up for nothing."""
    answers = [False, False, True]
    ended_s, is_taken_over, asked_s = run_wait(
        answers, silent_after_s=1.0, deadline_s=9.0
    )
    assert (ended_s, is_taken_over) == (round(1.0 + 2 * RECHECK_S, 3), True)
    assert len(asked_s) == 3


def test_wait_ends_at_the_deadline_if_no_target_takes_over():
    """Guards against requests without an end."""
    ended_s, is_taken_over, _ = run_wait([], silent_after_s=1.0, deadline_s=2.0)
    assert (ended_s, is_taken_over) == (2.0, False)


def test_target_that_goes_on_is_not_asked_about():
    """Guards against a check that is due from before the target's last event."""
    asked = []

    async def main():
        timers = TimerService(clock=trio.current_time)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            wait = TargetWait(
                timers=timers,
                deadline=trio.current_time() + 99.0,
                try_take_over=lambda: asked.append(1),
            )
            for _ in range(20):
                with wait.until_silent(trio.current_time() + 1.0):
                    await trio.sleep(0.9)
            wait.close()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert not asked


@pytest.mark.parametrize("turn_s", [0.01, 0.05, 0.07, 0.15, 0.3])
def test_wait_ends_at_the_deadline_on_a_slow_event_loop(turn_s):
    """Guards against waits that never end while each turn of the event loop is long.

    Delays below 0.5 s are within what a router accepts requests with.
    """
    clock = MockClock()

    async def main():
        timers = TimerService(clock=trio.current_time)
        ended_at = []

        async def wait():
            target_wait = TargetWait(
                timers=timers, deadline=2.0, try_take_over=lambda: False
            )
            with target_wait.until_silent(1.0):
                await trio.sleep_forever()
            ended_at.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            nursery.start_soon(wait)
            while trio.current_time() < 30.0 and not ended_at:
                # Each turn of the event loop takes ``turn_s``.
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(turn_s)
            nursery.cancel_scope.cancel()
        assert ended_at, "the wait hasn't ended 28 s after its deadline"
        assert ended_at[0] < 2.0 + 2 * turn_s + 0.5

    trio.run(main, clock=clock)


def test_wait_is_checked_at_its_own_limit_after_a_longer_wait():
    """Guards against a silent target that is replaced only by the first wait's limit.

    The check that is scheduled for the head comes late for the next event, and is
    taken for a late event loop.
    """

    async def main():
        timers = TimerService(clock=trio.current_time)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            target_wait = TargetWait(
                timers=timers,
                deadline=trio.current_time() + 60.0,
                try_take_over=lambda: True,
            )
            with target_wait.until_silent(trio.current_time() + 5.0):
                await trio.sleep(0.1)
            silent_since = trio.current_time()
            with target_wait.until_silent(silent_since + 0.6):
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()
            return trio.current_time() - silent_since

    silent_s = trio.run(main, clock=MockClock(autojump_threshold=0))
    assert silent_s <= 0.6 + RECHECK_S
