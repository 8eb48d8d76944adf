"""Runs that are followed on after their link to the agent was lost and reopened."""

import trio
import trio.testing
from trio.testing import MockClock

from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.outcomes import MayHaveRun
from lavenderfold.router._answers import AnswerAssembler, AnswerPipe
from lavenderfold.router._attempt import Attempt

KEY = BudgetKey("regina", "main")


class FakeAgentLink:
    """A router's link to an agent that has no output of the run to send yet."""

    def __init__(self):
        self.connected = trio.Event()
        self.connected.set()

    def post(self, message):
        assert self.connected.is_set()

    def attach(self, run_id, sink):
        pass

    def detach(self, run_id):
        pass


def new_attempt(link: FakeAgentLink) -> Attempt:
    """Return an attempt that follows a run of which nothing was answered yet."""
    return Attempt(
        run_id="a",
        key=RequestKey(KEY, "request"),
        link=link,
        assembler=AnswerAssembler(start=0),
        pipe=AnswerPipe(unread_bytes_limit=1000),
        relink_wait_s=10.0,
    )


def test_run_is_followed_if_its_link_is_lost_a_second_time_much_later():
    """Guards against a run that is given up on a link that is connected again.

    The limit of the first loss is still set, as the agent had no output to send.
    """

    async def main():
        link = FakeAgentLink()
        attempt = new_attempt(link)
        outcomes = []

        async def follow():
            outcomes.append(await attempt.follow())

        async def lose_link():
            link.connected = trio.Event()
            attempt.on_link_lost()
            await trio.sleep(0.1)
            link.connected.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow)
            await trio.sleep(1.0)
            await lose_link()
            await trio.sleep(60.0)
            assert not outcomes
            await lose_link()
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        assert not outcomes

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def follow_on_failing_link(*, up_s, down_s, losses, clock=None):
    """Return the outcomes of a run, whose agent is silent, after losses of its link.

    With ``clock`` the router is suspended for ``down_s`` in each loss.
    """
    link = FakeAgentLink()
    attempt = new_attempt(link)
    outcomes = []

    async def follow():
        outcomes.append(await attempt.follow())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow)
        for _ in range(losses):
            await trio.sleep(up_s)
            link.connected = trio.Event()
            attempt.on_link_lost()
            if clock is None:
                await trio.sleep(down_s)
            else:
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(down_s)
                # The hello is read a few turns after the limit has passed.
                await trio.sleep(0.1)
            link.connected.set()
        await trio.sleep(up_s)
        nursery.cancel_scope.cancel()
    return outcomes


def test_run_whose_link_fails_again_and_again_is_given_up():
    """Guards against a run that waits for ever on a link that doesn't hold."""

    async def main():
        assert not await follow_on_failing_link(up_s=1.0, down_s=1.0, losses=9)
        (outcome,) = await follow_on_failing_link(up_s=1.0, down_s=1.0, losses=12)
        assert isinstance(outcome, MayHaveRun)

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_time_on_an_open_link_is_not_counted_as_lost():
    """Guards against a run that is given up after a few short losses of its link."""

    async def main():
        assert not await follow_on_failing_link(up_s=9.0, down_s=0.5, losses=10)

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_run_is_followed_if_its_link_is_back_when_the_router_was_suspended():
    """Guards against a run that is given up before the agent's hello is read.

    The limit passes while the router is suspended, and the hello waits to be read.
    """

    async def main():
        assert not await follow_on_failing_link(
            up_s=1.0, down_s=20.0, losses=1, clock=clock
        )

    clock = MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
