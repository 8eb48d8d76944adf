"""A router that is cut off sends its callers to other routers."""

import trio
import trio.testing

from lavenderfold.direct._reachability import RETRY_S, SILENCE_S, Reachability
from lavenderfold.timers import TimerService
from tests.direct_support import answer_whole, direct_fleet


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def cut_off(clock: Clock) -> Reachability:
    reachability = Reachability(timers=TimerService(clock=clock))
    clock.now = SILENCE_S
    for _ in range(3):
        reachability.record_failure()
    return reachability


def test_failures_without_any_answer_isolate():
    """Callers of a router that is cut off waited for three connections each."""
    assert cut_off(Clock()).is_isolated


def test_an_answer_of_the_store_or_a_target_ends_the_isolation():
    clock = Clock()
    reachability = cut_off(clock)
    reachability.record_answer()
    assert not reachability.is_isolated


def test_dark_targets_don_t_isolate_while_others_answer():
    clock = Clock()
    reachability = Reachability(timers=TimerService(clock=clock))
    for _ in range(20):
        clock.now += 0.2
        reachability.record_failure()
        reachability.record_answer()
        reachability.record_failure()
    assert not reachability.is_isolated


def test_isolated_router_tries_again():
    """The store may be down longer than the path to the targets."""
    clock = Clock()
    reachability = cut_off(clock)
    clock.now += RETRY_S
    assert not reachability.is_isolated


def test_isolated_router_refuses_at_once_and_isn_t_ready():
    async def main():
        async with direct_fleet(answer_whole) as fleet:
            fleet.store.is_down = True
            await trio.sleep(SILENCE_S + 1.0)
            for _ in range(3):
                fleet.router.reachability.record_failure()
            before = trio.current_time()
            answer = await fleet.ask("/read/x")
            assert answer.status == 503
            assert b"isolated" in answer.body
            assert trio.current_time() - before < 0.2
            assert not fleet.router.is_ready
            fleet.store.is_down = False
            # A watch without changes is answered after a second.
            await trio.sleep(1.5)
            assert (await fleet.ask("/read/x")).status == 200
            assert fleet.router.is_ready

    trio.run(main)
