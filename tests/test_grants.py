"""Tests of a router's reservations, orders, hand-backs and loans."""

import pytest
from hypothesis import given, settings, strategies as st

from lavenderfold.budgets import (
    GrantPool,
    SpendRate,
    excess_tokens,
    order_tokens,
)
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey
from lavenderfold.messages import Loan, LoanReturn

KEY = BudgetKey("regina", "main")
BUDGET = Budget(prepaid={"first": 100_000}, grant_share=0.125, ride_out_s=600.0)


def pool_with(*amounts: int) -> GrantPool:
    pool = GrantPool(incarnation=7)
    for number, amount in enumerate(amounts):
        pool.add_grant(KEY, f"7-g{number}", amount)
    return pool


def order(pool, *, waiting=0, now=0.0):
    return pool.order(KEY, budget=BUDGET, waiting_tokens=waiting, now=now)


def issue_hand_backs(pool, *, now=0.0, all_free=False):
    return pool.issue_hand_backs(KEY, budget=BUDGET, now=now, all_free=all_free)


@given(
    rate=st.floats(0, 1e4),
    free=st.integers(0, 10**7),
    waiting=st.sampled_from([0, 10, 1000]),
    typical=st.integers(0, 500),
)
@settings(derandomize=True, deadline=None)
def test_order_and_hand_back_do_not_alternate(rate, free, waiting, typical):
    """Each move of tokens back and forth would cost a write to the store."""
    ordered = order_tokens(rate=rate, ride_out_s=600, free=free, waiting_tokens=waiting)
    assert ordered >= waiting
    if ordered and not waiting:
        after = free + ordered
        assert excess(rate, after, typical) == 0
    handed_back = excess(rate, free, typical)
    if handed_back:
        left = free - handed_back
        assert not order_tokens(rate=rate, ride_out_s=600, free=left, waiting_tokens=0)


def excess(rate, free, typical):
    return excess_tokens(
        rate=rate, ride_out_s=600, idle_s=1, free=free, typical_reservation=typical
    )


def test_spend_rate_follows_usage_and_decays():
    rate = SpendRate()
    for second in range(3000):
        rate.add(10, now=float(second))
        rate.subtract_unused(6)
    assert rate.per_second(now=3000.0) == pytest.approx(4, rel=0.02)
    assert rate.per_second(now=6000.0) < 0.01


def test_busy_router_orders_enough_for_the_configured_outage():
    pool = pool_with(100_000)
    for second in range(3000):
        pool.settle(pool.reserve(KEY, "r", 30, now=float(second)), 30)
    assert pool.free(KEY) == 10_000
    assert order(pool, now=3000.0) is None
    pool.settle(pool.reserve(KEY, "r", 9000, now=3000.0), 1000)
    wanted = order(pool, now=3000.0)
    assert wanted.amount + pool.free(KEY) == pytest.approx(20_000, rel=0.02)
    assert wanted.operation.share == BUDGET.grant_share


def test_order_asks_for_the_waiting_demand_and_accepts_the_smallest():
    """A smaller grant serves no request, and a larger one may not be available."""
    pool = pool_with()
    for tokens in (40, 15, 25):
        assert pool.reserve(KEY, f"r{tokens}", tokens, now=0.0) is None
    wanted = order(pool, waiting=80)
    assert (wanted.amount, wanted.minimum) == (80, 15)
    pool.refuse_order(KEY, wanted.grant_id, available=10)
    assert order(pool, waiting=80).minimum == 15


def test_order_without_answer_is_repeated_under_its_id():
    """With another id, the ledger could open a second grant."""
    pool = pool_with()
    first = order(pool, waiting=10)
    assert order(pool, waiting=10, now=5.0) is None
    assert order(pool, waiting=99, now=11.0) == first
    for _ in range(2):
        pool.add_grant(KEY, first.grant_id, 10)
    assert pool.free(KEY) == 10
    assert order(pool, waiting=10, now=12.0).grant_id != first.grant_id


def test_grant_opened_for_a_fenced_incarnation_is_not_held():
    """Runs would name the new incarnation, so the reclaim wouldn't find them."""
    pool = pool_with(50)
    late = order(pool, waiting=80)
    run = pool.reserve(KEY, "r", 50, now=0.0)
    pool.drop_all(7)
    pool.refund(run, 50)
    assert pool.free(KEY) == 0
    assert order(pool, waiting=80, now=20.0) is None
    pool.incarnation = 8
    pool.add_grant(KEY, late.grant_id, 80)
    assert pool.free(KEY) == 0
    assert order(pool, waiting=80).operation.holder == 8


def test_scarce_budget_is_left_to_waiting_requests():
    pool = pool_with(2000)
    for second in range(100):
        pool.settle(pool.reserve(KEY, "r", 20, now=float(second)), 20)
    refill = order(pool, now=100.0)
    pool.refuse_order(KEY, refill.grant_id, available=100)
    assert order(pool, now=101.0) is None
    assert order(pool, waiting=20, now=101.0).amount >= 20


def test_reservation_takes_the_tightest_fit_and_ends_once():
    pool = pool_with(100, 30)
    reservation = pool.reserve(KEY, "r", 25, now=0.0)
    assert reservation.grant_id == "7-g1"
    assert pool.reserve(KEY, "s", 100, now=0.0).grant_id == "7-g0"
    pool.settle(reservation, 10)
    pool.settle(reservation, 10)
    pool.cancel(reservation)
    assert pool.free(KEY) == 20
    pool.refund(reservation, 10)
    assert pool.free(KEY) == 30


def test_idle_holder_hands_everything_back():
    """Other routers can't use the tokens that an idle router holds."""
    pool = pool_with(500)
    pool.settle(pool.reserve(KEY, "r", 30, now=0.0), 30)
    assert sum(handed.tokens for handed in issue_hand_backs(pool, now=1.0)) == 350
    assert sum(handed.tokens for handed in issue_hand_backs(pool, now=601.0)) > 0
    assert pool.free(KEY) == 0


def test_hand_back_is_repeated_until_confirmed():
    pool = pool_with(500)
    (handed_back,) = issue_hand_backs(pool, all_free=True)
    assert handed_back.tokens == 500
    assert pool.reserve(KEY, "r", 1, now=0.0) is None
    assert issue_hand_backs(pool, now=1.0) == []
    assert issue_hand_backs(pool, now=11.0) == [handed_back]
    pool.confirm_hand_back(handed_back)
    assert issue_hand_backs(pool, now=50.0) == []


def test_reserved_and_lent_tokens_are_not_handed_back():
    pool = pool_with(100)
    pool.reserve(KEY, "r", 30, now=0.0)
    pool.lend(KEY, 20, "l")
    assert [handed.tokens for handed in issue_hand_backs(pool, all_free=True)] == [50]


def test_loan_is_lent_and_taken_back_once():
    """The loan and its return may both arrive twice after a link failure."""
    lender, borrower = pool_with(100), GrantPool(incarnation=9)
    loan = lender.lend(KEY, 60, "l")
    assert lender.lend(KEY, 60, "l") == loan == Loan("l", KEY, "7-g0", 7, 60)
    for _ in range(2):
        borrower.add_loan(loan)
    run = borrower.reserve(KEY, "r", 40, now=0.0)
    assert (run.payer, run.grant_id) == (7, "7-g0")
    assert borrower.return_loans(KEY) == []
    borrower.settle(run, 25)
    (unused,) = borrower.return_loans(KEY)
    assert unused == LoanReturn("l", 35)
    borrower.add_loan(loan)
    assert borrower.free(KEY) == 0
    for _ in range(2):
        lender.accept_loan_return(unused)
    assert lender.free(KEY) == 75
    assert lender.lend(KEY, 60, "l").tokens == 0


def test_borrower_drops_the_loans_of_a_fenced_lender():
    borrower = pool_with(10)
    borrower.add_loan(Loan("l", KEY, "3-1", 3, 60))
    run = borrower.reserve(KEY, "r", 40, now=0.0)
    borrower.drop_all(3)
    borrower.cancel(run)
    borrower.refund(run, 40)
    borrower.add_loan(Loan("m", KEY, "3-1", 3, 60))
    assert borrower.free(KEY) == 10
