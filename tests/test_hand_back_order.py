"""Answers of several peers that were asked to hand tokens back."""

import trio
from trio.testing import MockClock

from lavenderfold.identifiers import BudgetKey
from lavenderfold.messages import HandBackDone, HandBackRequest
from tests.peer_support import HAND_BACK_WAIT_S, make_peers

KEY = BudgetKey("regina", "main")


def test_hand_back_that_arrives_before_that_of_an_earlier_peer_counts():
    """Guards against tokens that are overlooked because a later peer answers first."""

    async def main():
        links, (first, second) = make_peers(2, 3)
        result = []

        async def ask():
            started_at = trio.current_time()
            tokens = await links.request_hand_backs(KEY, [2, 3])
            result.append((tokens, trio.current_time() - started_at))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.01)
            assert isinstance(second.link.posted[-1], HandBackRequest)
            links._handle(second, HandBackDone(key=KEY, tokens=50))
            await trio.sleep(0.01)
            links._handle(first, HandBackDone(key=KEY, tokens=0))
        tokens, waited_s = result[0]
        assert tokens == 50
        assert waited_s < HAND_BACK_WAIT_S

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_nobody_is_waited_for_if_no_holder_is_connected():
    """Guards against requests that wait for hand-backs that nobody was asked for."""

    async def main():
        links, _ = make_peers(2)
        assert await links.request_hand_backs(KEY, [7]) == 0
        assert trio.current_time() == started_at

    clock = MockClock(autojump_threshold=0)
    started_at = clock.current_time()
    trio.run(main, clock=clock)
