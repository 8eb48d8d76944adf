"""Cancelled and late steps of the router and the agent, as found in a review."""

import trio
import trio.testing
from trio.testing import MockClock

from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.links import LinkClosedError
from lavenderfold.messages import (
    Heartbeat,
)
from lavenderfold.router._answers import AnswerAssembler, AnswerPipe
from lavenderfold.router._attempt import Attempt
from tests.peer_support import FakeLink, hello, make_peers

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


def test_run_is_followed_if_its_link_is_lost_a_second_time_much_later():
    """Guards against a run that is given up on a link that is connected again.

    The limit of the first loss is still set, as the agent had no output to send.
    """

    async def main():
        link = FakeAgentLink()
        attempt = Attempt(
            run_id="a",
            key=RequestKey(KEY, "request"),
            link=link,
            assembler=AnswerAssembler(start=0),
            pipe=AnswerPipe(unread_bytes_limit=1000),
            relink_wait_s=10.0,
        )
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


class QueueLink(FakeLink):
    """A link whose received batches come from a queue."""

    def __init__(self):
        super().__init__()
        self.send, self._batches = trio.open_memory_channel(10)

    async def receive(self):
        batch = await self._batches.receive()
        if self.closed:
            raise LinkClosedError("peer")
        return batch


def test_link_is_kept_if_its_messages_wait_after_a_suspension():
    """Guards against links that are closed for the router's own silence.

    After a suspension the peer's messages and the check of its silence are both due.
    """

    async def main():
        links, _ = make_peers()
        link = QueueLink()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(links._serve, link)
            await trio.testing.wait_all_tasks_blocked()
            link.send.send_nowait([hello(2)])
            await trio.testing.wait_all_tasks_blocked()
            clock.jump(20.0)
            link.send.send_nowait([Heartbeat(0, period_s=1.0)])
            await trio.testing.wait_all_tasks_blocked()
            is_closed = link.closed
            nursery.cancel_scope.cancel()
        return is_closed

    # The order of the two tasks is random.
    closed = 0
    for _ in range(20):
        clock = MockClock()
        closed += trio.run(main, clock=clock)
    assert closed == 0
