"""Cancelled and late steps of the router and the agent, as found in a review."""

import trio
import trio.testing
from trio.testing import MockClock

from lavenderfold.identifiers import BudgetKey
from lavenderfold.links import LinkClosedError
from lavenderfold.messages import (
    Heartbeat,
)
from tests.peer_support import FakeLink, hello, make_peers

KEY = BudgetKey("regina", "main")


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
