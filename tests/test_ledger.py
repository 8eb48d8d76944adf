"""Tests of the function that applies ledger operations and of the ledger client."""

from functools import partial

import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from lavenderfold.budgets import (
    AlreadySettled,
    BudgetRecord,
    BudgetSpent,
    Claim,
    Claimed,
    ClaimExists,
    Done,
    FinishClaim,
    GrantMissing,
    GrantOpened,
    HandBack,
    LedgerClient,
    LedgerFullError,
    LedgerShard,
    OpenGrant,
    Reclaim,
    ReleaseClaim,
    SetLimit,
    Settle,
    WriteOff,
    apply,
)
from lavenderfold.identifiers import BudgetKey, InvalidRequestIdError, make_request_id
from lavenderfold.outcomes import MayHaveRun, Ran, Reason
from lavenderfold.timers import TimerService
from tests.ledger_store import MemoryStore

KEY = BudgetKey("regina", "main")
NOW = 1_790_000_000.0
DAY_S = 24 * 3600.0
RAN = Ran(tokens=7, length=1, digest="d")


def request(number: int, *, age_s: float = 0.0) -> str:
    return make_request_id(unix_time=NOW - age_s, random_bits=number)


def apply_to_shard(*operations, shard=None, now=NOW):
    return apply(shard or LedgerShard(), operations, now_unix=now)


def open_budget(limit: int = 100, amount: int = 50) -> LedgerShard:
    shard, _ = apply_to_shard(
        SetLimit(KEY, limit, 1), OpenGrant(KEY, "g", 1, amount, 1)
    )
    return shard


def record_of(shard: LedgerShard) -> BudgetRecord:
    return shard.records_by_key[KEY]


def amounts(shard: LedgerShard) -> tuple[int, int, int]:
    record = record_of(shard)
    return record.settled, record.unexplained, record.granted


def test_limit_of_an_older_revision_is_ignored():
    """Routers that see revisions in different orders must get the same result."""
    shard, _ = apply_to_shard(SetLimit(KEY, 100, 2), SetLimit(KEY, 50, 1))
    assert record_of(shard).limit == 100


def test_grant_stays_within_amount_share_and_available():
    shard, results = apply_to_shard(
        SetLimit(KEY, 100, 1),
        OpenGrant(KEY, "a", 1, 60, 1, 0.5),
        OpenGrant(KEY, "b", 2, 60, 45, 0.5),
        OpenGrant(KEY, "c", 3, 60, 6),
    )
    assert results[1:] == [
        GrantOpened(50, 50),
        GrantOpened(45, 5),
        BudgetSpent(5, [1, 2]),
    ]
    assert amounts(shard) == (0, 0, 95)


def test_lowered_limit_stops_grants_but_not_settlements():
    shard, results = apply_to_shard(
        SetLimit(KEY, 20, 2),
        OpenGrant(KEY, "h", 2, 1, 1),
        Settle(KEY, "g", request(1), 40),
        shard=open_budget(),
    )
    assert results[1:] == [BudgetSpent(0, [1]), Done()]
    assert amounts(shard) == (40, 0, 10)


def test_duplicate_settlement_leaves_the_tokens_in_its_grant():
    """A request that was run by two routers is billed only once, to the first."""
    shard, results = apply_to_shard(
        OpenGrant(KEY, "h", 2, 30, 1),
        Settle(KEY, "g", request(1), 10),
        Settle(KEY, "h", request(1), 12),
        Settle(KEY, "g", request(1), 10),
        shard=open_budget(),
    )
    assert results[1:] == [Done(), AlreadySettled(10), Done()]
    assert amounts(shard) == (10, 0, 70)
    assert record_of(shard).usage(request(1)) == 10


def test_late_settlement_is_charged_once_and_not_billed():
    """An earlier bill may have been dropped, so the request could be billed twice."""
    late = Settle(KEY, "g", request(1, age_s=DAY_S + 60), 10)
    shard, _ = apply_to_shard(late, late, shard=open_budget())
    assert amounts(shard) == (0, 10, 40)
    assert record_of(shard).usage_by_id == {}


def test_writer_with_a_slow_clock_does_not_bill_a_dropped_request():
    """By its own clock, it would accept an id whose entry was already dropped."""
    settle = Settle(KEY, "g", request(1), 10)
    shard, _ = apply_to_shard(settle, shard=open_budget())
    shard, _ = apply_to_shard(
        SetLimit(KEY, 100, 2), shard=shard, now=NOW + DAY_S + 7200
    )
    assert record_of(shard).usage_by_id == {}
    shard, _ = apply_to_shard(settle, shard=shard, now=NOW + 60)
    assert amounts(shard) == (10, 10, 30)


def test_settlement_of_a_written_off_grant_reduces_unexplained_tokens():
    shard, results = apply_to_shard(
        WriteOff(KEY, "g"),
        WriteOff(KEY, "g"),
        Settle(KEY, "g", request(1), 20),
        Settle(KEY, "g", request(1), 20),
        shard=open_budget(),
    )
    assert set(results) == {Done()}
    assert amounts(shard) == (20, 30, 0)


def test_settlement_without_grant_uses_available_tokens():
    shard, results = apply_to_shard(
        Settle(KEY, "x", request(1), 30),
        Settle(KEY, "x", request(2), 30),
        shard=open_budget(),
    )
    assert results == [GrantMissing(0), GrantMissing(10)]
    assert amounts(shard) == (50, 0, 50)


def test_settlement_above_its_grant_takes_no_more_than_is_available():
    """Counting the grant's tokens as available again would exceed the limit.

    The LedgerInvariantError that this raises would end the router's process.
    """
    shard = open_budget(limit=100, amount=50)
    shard, results = apply_to_shard(Settle(KEY, "g", request(1), 120), shard=shard)
    assert results == [GrantMissing(20)]
    assert amounts(shard) == (100, 0, 0)


def test_settlement_above_a_written_off_grant_takes_no_more_than_is_available():
    """The same must hold if the grant was written off before the settlement."""
    shard = open_budget(limit=100, amount=50)
    shard, results = apply_to_shard(
        WriteOff(KEY, "g"), Settle(KEY, "g", request(1), 120), shard=shard
    )
    assert results == [Done(), GrantMissing(20)]
    assert amounts(shard) == (100, 0, 0)


def test_fenced_holder_cannot_hand_back_tokens_of_its_runs():
    """A paused router resumes and hands back tokens that have been reclaimed."""
    shard, results = apply_to_shard(
        Reclaim(KEY, "g", 30),
        HandBack(KEY, "g", "1", 20),
        OpenGrant(KEY, "g", 1, 50, 1),
        shard=open_budget(),
    )
    assert results == [Done(), GrantMissing(), GrantMissing()]
    assert amounts(shard) == (0, 0, 30)


def test_hand_back_is_counted_once():
    """Counting it twice would free tokens that the holder still spends."""
    shard, results = apply_to_shard(
        HandBack(KEY, "g", "1", 20),
        HandBack(KEY, "g", "2", 5),
        HandBack(KEY, "g", "1", 20),
        shard=open_budget(),
    )
    assert results == [Done()] * 3
    assert amounts(shard) == (0, 0, 25)


def test_closed_grant_is_not_reopened_by_a_repeat():
    """The response to the holder was lost, and then the grant was reclaimed."""
    shard, results = apply_to_shard(
        Reclaim(KEY, "g", 0), OpenGrant(KEY, "g", 1, 50, 1), shard=open_budget()
    )
    assert results[1] == GrantMissing()
    assert amounts(shard) == (0, 0, 0)


def test_claim_is_granted_to_one_attempt():
    shard, results = apply_to_shard(
        Claim(KEY, request(1), "a"),
        Claim(KEY, request(1), "b"),
        ReleaseClaim(KEY, request(1), "b"),
        Claim(KEY, request(1), "a"),
        FinishClaim(KEY, request(1), "a", RAN),
        FinishClaim(KEY, request(1), "a", MayHaveRun(Reason.CONNECTION_LOST)),
        ReleaseClaim(KEY, request(1), "a"),
        Claim(KEY, request(1), "a"),
    )
    assert results[:4] == [Claimed(), ClaimExists(None), Done(), Claimed()]
    assert results[7] == ClaimExists(RAN)


def test_request_with_a_dropped_claim_cannot_be_claimed_again():
    """Old claims are dropped; this must not allow a second run of the request."""
    claim = Claim(KEY, request(1), "a")
    shard, _ = apply_to_shard(claim)
    shard, results = apply_to_shard(
        Claim(KEY, request(1), "b"), shard=shard, now=NOW + DAY_S + 7200
    )
    assert results == [ClaimExists(None)]
    assert record_of(shard).claims_by_id == {}


def test_operation_with_a_malformed_request_id_is_rejected():
    with pytest.raises(InvalidRequestIdError):
        Settle(KEY, "g", "no-uuid", 1)


def test_shard_round_trip():
    shard, _ = apply_to_shard(
        Settle(KEY, "g", request(1), 10),
        HandBack(KEY, "g", "1", 5),
        Claim(KEY, request(2), "a"),
        FinishClaim(KEY, request(2), "a", RAN),
        WriteOff(KEY, "g"),
        shard=open_budget(),
    )
    assert LedgerShard.decode(shard.encode()) == shard


class FixedTime(TimerService):
    """A timer service whose wall clock doesn't advance."""

    def unix_time(self) -> float:
        return NOW


async def with_client(store, scenario, *, clients=1):
    timers = FixedTime()
    async with trio.open_nursery() as nursery:
        ledger_clients = [
            LedgerClient(
                store=store,
                timers=timers,
                shard_count=1,
                batch_window_s=0.005,
                retention_s=DAY_S,
            )
            for _ in range(clients)
        ]
        for client in ledger_clients:
            nursery.start_soon(client.run)
        with trio.fail_after(20):
            await scenario(*ledger_clients)
        nursery.cancel_scope.cancel()


def run_client(store, scenario, **options):
    # Virtual time makes the tests independent of the speed of the machine.
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(partial(with_client, store, scenario, **options), clock=clock)


def stored_shard(store: MemoryStore) -> LedgerShard:
    return LedgerShard.decode(store.value_by_key["ledger/0000"].value)


async def submit_all(client, operations):
    results = {}

    async def submit(number, operation):
        results[number] = (await client.submit(operation)).unwrap()

    async with trio.open_nursery() as nursery:
        for number, operation in enumerate(operations):
            nursery.start_soon(submit, number, operation)
    return [results[number] for number in range(len(operations))]


def test_concurrent_operations_share_one_write():
    store = MemoryStore()

    async def scenario(client):
        await client.submit(SetLimit(KEY, 1000, 1))
        before = client.calls
        grants = [OpenGrant(KEY, str(number), 1, 5, 5) for number in range(100)]
        await submit_all(client, grants)
        assert client.calls - before == 1
        assert client.operations == 101

    run_client(store, scenario)
    assert amounts(stored_shard(store)) == (0, 0, 500)


@pytest.mark.parametrize("loss", ["before", "after"])
def test_lost_message_doesn_t_change_the_result(loss):
    store = MemoryStore()

    async def scenario(client):
        await client.submit(SetLimit(KEY, 100, 1))
        store.losses = [loss, loss]
        opened = await client.submit(OpenGrant(KEY, "g", 1, 60, 1))
        assert opened.unwrap() == GrantOpened(60, 40)
        store.losses = [loss]
        settled = await client.submit(Settle(KEY, "g", request(1), 10))
        assert settled.unwrap() == Done()

    run_client(store, scenario)
    assert amounts(stored_shard(store)) == (10, 0, 50)


def test_two_writers_never_grant_more_than_the_limit():
    store = MemoryStore()

    async def scenario(first, second):
        await first.submit(SetLimit(KEY, 100, 1))
        async with trio.open_nursery() as nursery:
            for name, client in (("a", first), ("b", second)):
                grants = [OpenGrant(KEY, f"{name}{n}", 1, 7, 7) for n in range(12)]
                nursery.start_soon(submit_all, client, grants)

    run_client(store, scenario, clients=2)
    assert amounts(stored_shard(store)) == (0, 0, 98)
    assert store.most_writes_in_flight <= 2


def test_refusal_is_never_based_on_a_cached_value():
    """Another writer may have handed back tokens since the last write."""
    store = MemoryStore()

    async def scenario(first, second):
        await first.submit(SetLimit(KEY, 100, 1))
        await first.submit(OpenGrant(KEY, "g", 1, 100, 100))
        await second.submit(HandBack(KEY, "g", "1", 100))
        opened = await first.submit(OpenGrant(KEY, "h", 1, 100, 100))
        assert opened.unwrap() == GrantOpened(100, 0)

    run_client(store, scenario, clients=2)


def test_operation_during_an_outage_times_out_or_is_written_later(caplog):
    store = MemoryStore()
    caplog.set_level("INFO")

    async def scenario(client):
        store.down = True
        abandoned = await client.submit(SetLimit(KEY, 50, 1), timeout_s=0.05)
        assert not abandoned.unwrap_err().may_apply
        assert not client.store_available
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.submit, SetLimit(KEY, 100, 2))
            await trio.sleep(0.1)
            store.down = False
        assert (await client.read(KEY)).unwrap().limit == 100
        assert client.store_available

    run_client(store, scenario)
    assert record_of(stored_shard(store)).limit_revision == 2
    assert caplog.messages == ["ledger_outage_began", "ledger_outage_ended"]


def test_operation_abandoned_before_it_was_sent_is_not_written():
    """The caller was told that the operation can't take effect."""
    store = MemoryStore()

    async def scenario(client):
        store.down = True
        claim = Claim(KEY, request(1), "a")
        abandoned = await client.submit(claim, timeout_s=0.02)
        assert not abandoned.unwrap_err().may_apply
        store.down = False
        other = await client.submit(Claim(KEY, request(1), "b"))
        assert other.unwrap() == Claimed()

    run_client(store, scenario)


def test_request_after_an_outage_does_not_wait_for_the_longest_delay():
    """Requests with a timeout of 1 s were refused for 5 s after an outage."""

    async def check():
        store = MemoryStore()
        store.down = True
        client = LedgerClient(
            store=store,
            timers=FixedTime(),
            shard_count=1,
            batch_window_s=0.005,
            retention_s=DAY_S,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.run)
            nursery.start_soon(client.submit, SetLimit(KEY, 1000, 1))
            await trio.sleep(60)
            store.down = False
            claim = Claim(KEY, request(1), "run")
            claimed = await client.submit(claim, timeout_s=1.0)
            assert claimed.ok() == Claimed()
            nursery.cancel_scope.cancel()

    for _ in range(20):
        trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


def test_operation_abandoned_after_it_was_sent_can_be_submitted_again():
    """The caller doesn't know if it took effect and must not get a second grant."""
    store = MemoryStore()

    async def scenario(client):
        await client.submit(SetLimit(KEY, 100, 1))
        store.losses = ["after"]
        order = OpenGrant(KEY, "g", 1, 60, 1)
        abandoned = await client.submit(order, timeout_s=0.012)
        assert abandoned.unwrap_err().may_apply
        assert (await client.submit(order)).unwrap() == GrantOpened(60, 40)

    run_client(store, scenario)
    assert amounts(stored_shard(store)) == (0, 0, 60)


def test_full_shard_rejects_the_batch_and_continues(monkeypatch):
    """Retrying a value above the store's size limit would never succeed."""
    monkeypatch.setattr("lavenderfold.budgets._client.MAX_VALUE_BYTES", 90)
    store = MemoryStore()

    async def scenario(client):
        await client.submit(SetLimit(KEY, 100, 1))
        refused = await client.submit(OpenGrant(KEY, "g" * 90, 1, 60, 1))
        assert isinstance(refused.unwrap_err(), LedgerFullError)
        opened = await client.submit(OpenGrant(KEY, "g", 1, 60, 1))
        assert opened.unwrap() == GrantOpened(60, 40)

    run_client(store, scenario)


def test_unreadable_shard_is_not_overwritten():
    store = MemoryStore()
    store.write("ledger/0000", b"\xc1", version=0)

    async def scenario(client):
        limit = SetLimit(KEY, 100, 1)
        assert (await client.submit(limit, timeout_s=0.1)).is_err()
        assert (await client.read(KEY)).is_err()

    run_client(store, scenario)
    assert store.value_by_key["ledger/0000"].version == 1


IDS = st.sampled_from([request(1), request(2)])
TOKENS = st.integers(0, 30)
WITHOUT_EFFECT = BudgetSpent | ClaimExists | GrantMissing


def operations(name: str) -> st.SearchStrategy:
    """Return a strategy for operations of one writer on its own ids."""
    grants = st.sampled_from([f"{name}1", f"{name}2"])
    own = {"budget": st.just(KEY), "request_id": IDS, "claimant": st.just(name)}
    return st.one_of(
        st.builds(SetLimit, st.just(KEY), st.just(100), st.integers(1, 3)),
        st.builds(OpenGrant, st.just(KEY), grants, st.just(1), TOKENS, st.just(1)),
        st.builds(Settle, st.just(KEY), grants, IDS, TOKENS),
        st.builds(HandBack, st.just(KEY), grants, grants, TOKENS),
        st.builds(Claim, **own),
        st.builds(ReleaseClaim, **own),
        st.builds(FinishClaim, **own, outcome=st.just(RAN)),
    )


def reclaims(name: str) -> st.SearchStrategy:
    grants = st.sampled_from([f"{name}1", f"{name}2"])
    return st.one_of(
        st.builds(Reclaim, st.just(KEY), grants, TOKENS),
        st.builds(WriteOff, st.just(KEY), grants),
        st.builds(Settle, st.just(KEY), grants, IDS, TOKENS),
    )


@given(
    before=st.lists(operations("a") | operations("b"), max_size=4),
    batch=st.lists(operations("a") | reclaims("b"), min_size=1, max_size=5),
    between=st.lists(operations("b") | reclaims("a"), max_size=5),
)
@settings(derandomize=True, deadline=None, max_examples=800)
def test_batch_repeated_after_others_wrote_changes_nothing(before, batch, between):
    """A response is lost, others write, and the writer applies its batch again.

    Only operations that had no effect the first time may have one the second time.
    """
    opened = [OpenGrant(KEY, "a1", 1, 30, 30), OpenGrant(KEY, "b1", 2, 30, 30)]
    shard, _ = apply_to_shard(SetLimit(KEY, 100, 0), *opened, *before)
    shard, results = apply_to_shard(*batch, shard=shard)
    if any(isinstance(result, WITHOUT_EFFECT) for result in results):
        return
    shard, _ = apply_to_shard(*between, shard=shard)
    repeated, _ = apply_to_shard(*batch, shard=shard)
    assert repeated == shard
