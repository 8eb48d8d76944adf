"""Loans between routers whose messages arrive late or are lost with their link."""

import pytest
import trio
import trio.testing
from result import Ok
from trio.testing import MockClock

from lavenderfold.budgets import Done, GrantOpened, GrantPool, OpenGrant
from lavenderfold.config import Budget, FleetConfig, Organisation
from lavenderfold.identifiers import BudgetKey, RequestKey, make_request_id
from lavenderfold.links import LinkClosedError
from lavenderfold.messages import Loan, LoanRequest, LoanReturn
from lavenderfold.metrics import NullMetrics
from lavenderfold.router._grants import GrantManager
from lavenderfold.router._peers import Peer
from lavenderfold.timers import TimerService
from tests.peer_support import FakeLink, hello, make_peers

KEY = BudgetKey("regina", "main")


class SlowLedger:
    """Opens a grant when ``released`` is set."""

    store_available = True

    def __init__(self):
        self.released = trio.Event()

    async def submit(self, operation, *, timeout_s=None):
        if not isinstance(operation, OpenGrant):
            return Ok(Done())
        await self.released.wait()
        return Ok(GrantOpened(operation.amount, 100_000))


@pytest.mark.parametrize("opens_after_s", [0.1, 0.8])
def test_loan_that_arrived_is_kept_or_returned_if_the_grant_opens_meanwhile(
    opens_after_s,
):
    """Guards against tokens that neither the lender nor the borrower can spend.

    The grant's answer cancels the borrowing while the next lender is asked. A loan
    that the first lender has sent was only in a local list. After 0.8 s the second
    lender isn't waited for any more.
    """

    async def main():
        links, (first, second) = make_peers(2, 3)
        ledger = SlowLedger()
        budget = Budget(prepaid={"first": 100_000})
        organisation = Organisation(budgets={KEY.budget: budget})
        config = FleetConfig(organisations={KEY.organisation: organisation})
        async with trio.open_nursery() as nursery:
            pool = GrantPool(incarnation=1)
            manager = GrantManager(
                pool=pool,
                ledger=ledger,
                peers=links,
                timers=TimerService(clock=trio.current_time),
                metrics=NullMetrics(),
                nursery=nursery,
                config=lambda: config,
                revision=lambda: 1,
                on_own_fenced=lambda payer: None,
            )
            added = []
            add_loan = pool.add_loan
            pool.add_loan = lambda loan: (added.append(loan), add_loan(loan))
            request = RequestKey(KEY, make_request_id(unix_time=1.0, random_bits=1))

            async def reserve():
                await manager.reserve(request, 100, deadline=60.0)

            nursery.start_soon(reserve)
            await trio.sleep(0.55)
            (asked,) = [
                each for each in first.link.posted if isinstance(each, LoanRequest)
            ]
            loan = Loan(
                loan_id=asked.loan_id, key=KEY, grant_id="g", payer=2, tokens=50
            )
            links._handle(first, loan)
            await trio.sleep(opens_after_s)
            assert any(isinstance(each, LoanRequest) for each in second.link.posted)
            ledger.released.set()
            await trio.sleep(5.0)
            links.return_loans(pool.return_loans(KEY))
            returned = [
                each for each in first.link.posted if isinstance(each, LoanReturn)
            ]
            assert added or returned
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_loan_that_arrives_in_the_turn_of_a_cancellation_is_kept():
    """Guards against tokens that are dropped between their message and their task."""

    async def main():
        links, (peer,) = make_peers(2)
        taken = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(links.request_loans, KEY, 100, taken.append)
            await trio.testing.wait_all_tasks_blocked()
            loan_id = peer.link.posted[-1].loan_id
            loan = Loan(loan_id=loan_id, key=KEY, grant_id="g", payer=2, tokens=50)
            nursery.cancel_scope.cancel()
            links._handle(peer, loan)
        returned = [each for each in peer.link.posted if isinstance(each, LoanReturn)]
        assert taken == [loan]
        assert not returned

    trio.run(main)


def test_loan_return_that_was_lost_with_its_link_is_repeated():
    """Guards against lent tokens that the lender never gets back.

    A message that was posted may be lost if the link closes right afterwards.
    """

    async def main():
        links, (peer,) = make_peers(2)
        links._loan_returns.lender_by_loan_id["loan"] = 2
        links.return_loans([LoanReturn(loan_id="loan", tokens=50)])
        # The link closes before it sends what was posted.
        peer.link.close()
        links._peers.remove(peer)
        again = Peer(link=FakeLink(), now=0.0)
        links._peers.append(again)
        links._handle(again, hello(2))
        assert LoanReturn(loan_id="loan", tokens=50) in again.link.posted

    trio.run(main)


def loan_returns(peer):
    return [each for each in peer.link.posted if isinstance(each, LoanReturn)]


def test_late_loan_whose_return_was_lost_with_its_link_is_returned_again():
    """Guards against lent tokens that arrive late and can't be spent by anybody."""

    async def main():
        links, (peer,) = make_peers(2)
        loan = Loan(loan_id="late", key=KEY, grant_id="g", payer=2, tokens=50)
        links._handle(peer, loan)
        expected = [LoanReturn(loan_id="late", tokens=50)]
        assert loan_returns(peer) == expected
        peer.link.close()
        again = Peer(link=FakeLink(), now=0.0)
        links._peers.append(again)
        links._handle(again, hello(2))
        assert loan_returns(again) == expected

    trio.run(main)


def test_loan_return_is_repeated_on_the_link_that_remains():
    """Guards against a return that waits for a hello which has come before."""

    async def main():
        links, (remaining,) = make_peers(2)
        send, receive = trio.open_memory_channel(1)
        closing = FakeLink()
        closing.receive = receive.receive
        async with trio.open_nursery() as nursery:
            nursery.start_soon(links._serve, closing)
            await send.send([hello(2)])
            await trio.testing.wait_all_tasks_blocked()
            links._loan_returns.lender_by_loan_id["loan"] = 2
            links.return_loans([LoanReturn(loan_id="loan", tokens=50)])
            assert LoanReturn(loan_id="loan", tokens=50) in closing.posted
            assert not loan_returns(remaining)

            async def fail():
                raise LinkClosedError("peer")

            closing.receive = fail
            closing.close()
            await send.send([])
        assert loan_returns(remaining) == [LoanReturn(loan_id="loan", tokens=50)]

    trio.run(main)


def test_loan_return_on_a_link_that_stays_open_is_forgotten():
    """Guards against returns that are kept and sent again for ever."""

    async def main():
        links, (peer,) = make_peers(2)
        links._loan_returns.lender_by_loan_id["loan"] = 2
        links.return_loans([LoanReturn(loan_id="loan", tokens=50)])
        await trio.sleep(60.0)
        links.return_loans([])
        peer.link.close()
        again = Peer(link=FakeLink(), now=0.0)
        links._peers.append(again)
        links._handle(again, hello(2))
        assert len(loan_returns(peer)) == 1
        assert not loan_returns(again)
        assert not links._loan_returns.lender_by_loan_id

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_loan_that_was_lost_with_its_link_is_given_back():
    """Guards against lent tokens that never arrived and that the lender keeps apart."""

    async def main():
        links, (peer,) = make_peers(2)
        lender = GrantPool(incarnation=2)
        lender.add_grant(KEY, "2-1", 50)
        taken = []

        async def borrow():
            await links.request_loans(KEY, 400, taken.append)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(borrow)
            await trio.testing.wait_all_tasks_blocked()
            (asked,) = peer.link.posted
            assert lender.lend(KEY, asked.tokens, asked.loan_id).tokens == 50
            # The link closes before the loan arrives.
            peer.link.close()
        again = Peer(link=FakeLink(), now=0.0)
        links._peers.append(again)
        links._handle(again, hello(2))
        for each in loan_returns(again):
            lender.accept_loan_return(each)
        assert not taken
        assert lender.free(KEY) == 50

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_loan_that_is_returned_before_it_is_asked_for_is_not_given():
    """Guards against a loan whose request is read after its return on another link."""
    lender = GrantPool(incarnation=2)
    lender.add_grant(KEY, "2-1", 50)
    lender.accept_loan_return(LoanReturn(loan_id="late", tokens=400))
    assert lender.lend(KEY, 400, "late").tokens == 0
    assert lender.free(KEY) == 50
