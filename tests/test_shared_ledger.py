"""One writer per ledger shard: the same results as direct submission."""

from functools import partial

import trio
from hypothesis import given, settings, strategies as st

from lavenderfold.budgets import (
    Claim,
    HandBack,
    LedgerClient,
    LedgerShard,
    OpenGrant,
    SetLimit,
    Settle,
    apply,
)
from lavenderfold.identifiers import BudgetKey, make_request_id
from lavenderfold.links import LinkClosedError, Listener, connect
from lavenderfold.messages import LedgerAnswer, LedgerRequest, MessageToPeer, PeerHello
from lavenderfold.router._ledger import (
    WRITER_REST_S,
    ForwardedOperations,
    SharedLedger,
    choose_writer,
)
from lavenderfold.router._peers import Peer
from lavenderfold.settings import Address
from lavenderfold.timers import TimerService
from tests.ledger_store import MemoryStore

KEY = BudgetKey("regina", "main")
LIMIT = 100_000
GRANT = 10_000
TOKENS = 7
DAY_S = 86_400.0
SHARDS = 8
ANY_PORT = Address(host="127.0.0.1", port=0)
REQUEST_IDS = [
    make_request_id(unix_time=1e9, random_bits=number) for number in range(24)
]


def hello_of(incarnation, region="west"):
    return PeerHello(
        router=f"r{incarnation}",
        incarnation=incarnation,
        region=region,
        failure_domain="f",
        revision=1,
    )


class FakePeer:
    """Stands for an open peer link; ``take`` gets what is posted."""

    def __init__(self, incarnation, take=None, region="west"):
        self.hello = hello_of(incarnation, region)
        self.take = take or (lambda message: True)

    def post(self, message):
        return self.take(message)


class FixedTime(TimerService):
    """Keeps the requests of these tests within the retention window."""

    def unix_time(self):
        return 1e9


def make_ledger(store, peers, *, incarnation=1, region="west", store_region=""):
    timers = FixedTime()
    client = LedgerClient(
        store=store,
        timers=timers,
        shard_count=SHARDS,
        batch_window_s=0.002,
        retention_s=DAY_S,
    )
    return SharedLedger(
        client=client,
        shard_count=SHARDS,
        incarnation=lambda: incarnation,
        region=region,
        store_region=store_region,
        peers=lambda: peers,
        now=timers.now,
    )


def record_of(store):
    value = store.value_by_key[f"ledger/{KEY.shard(SHARDS):04d}"].value
    return LedgerShard.decode(value).records_by_key[KEY]


def writer_for_key():
    """Return an incarnation that writes the budget's shard before router 1."""
    shard = KEY.shard(SHARDS)
    return next(each for each in range(2, 99) if choose_writer(shard, [1, each]) != 1)


def settlements():
    return [Settle(KEY, "g", request_id, TOKENS) for request_id in REQUEST_IDS]


async def open_budget(ledger):
    await ledger.submit(SetLimit(KEY, LIMIT, 1))
    await ledger.submit(OpenGrant(KEY, "g", 1, GRANT, 1))


async def settle_all(ledger):
    """Submit all settlements side by side; return the kinds of the results."""
    results = []

    async def settle(operation):
        results.append((await ledger.submit(operation)).unwrap())

    async with trio.open_nursery() as nursery:
        for operation in settlements():
            nursery.start_soon(settle, operation)
    return results


def check_all_billed_once(store, results):
    record = record_of(store)
    assert len(results) == len(REQUEST_IDS)
    assert {type(result).__name__ for result in results} == {"Done"}
    assert record.settled == TOKENS * len(REQUEST_IDS)
    assert record.grants_by_id["g"].amount == GRANT - record.settled


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["send", "answer", "give_up", "lose", "forget"]),
        st.integers(1, 12),
        st.integers(1, 3),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_each_forwarded_operation_ends_once(steps):
    """A second end would give a waiting caller another operation's result."""
    forwarded = ForwardedOperations()
    writer_by_number, ended = {}, []
    for now, (step, number, writer) in enumerate(steps):
        is_open = number in writer_by_number and number not in ended
        if step == "send":
            sent = forwarded.send(writer)
            assert sent not in writer_by_number
            writer_by_number[sent] = writer
        elif step == "answer":
            expected = is_open and writer_by_number[number] == writer
            assert forwarded.answer(number, writer) == expected
            ended += [number] * expected
        elif step == "give_up":
            assert forwarded.give_up(number, now=now) == is_open
            ended += [number] * is_open
            if is_open:
                assert forwarded.rests(writer_by_number[number], now=now)
        elif step == "lose":
            lost = forwarded.on_link_lost(writer)
            assert not set(lost) & set(ended)
            assert all(writer_by_number[each] == writer for each in lost)
            ended += lost
        else:
            forwarded.forget(number)
            ended += [number] * is_open
        assert len(ended) == len(set(ended))


@settings(derandomize=True, deadline=None)
@given(st.sets(st.integers(1, 500), min_size=2, max_size=30), st.integers(0, 63))
def test_writer_leaves_only_with_its_router(members, shard):
    """Writers that move with each member would meet conflicts at each change."""
    writer = choose_writer(shard, members)
    for gone in members - {writer}:
        assert choose_writer(shard, members - {gone}) == writer
    assert choose_writer(shard, sorted(members, reverse=True)) == writer


@settings(derandomize=True, deadline=None)
@given(
    st.permutations(range(9)),
    st.lists(st.integers(0, 8), max_size=12),
)
def test_late_copies_change_nothing(order, copies):
    """A copy that a writer applies late, in any order, must not bill or free twice."""
    operations = [
        *settlements()[:6],
        *(HandBack(KEY, "g", f"h{number}", 11) for number in range(2)),
        SetLimit(KEY, LIMIT, 1),
    ]
    shard, _ = apply(
        LedgerShard(),
        [SetLimit(KEY, LIMIT, 1), OpenGrant(KEY, "g", 1, GRANT, 1)],
        now_unix=1e9,
        retention_s=DAY_S,
    )
    once, _ = apply(shard, operations, now_unix=1e9, retention_s=DAY_S)
    mixed = [operations[number] for number in [*order, *copies]]
    twice, _ = apply(shard, mixed, now_unix=1e9, retention_s=DAY_S)
    record, wanted = twice.records_by_key[KEY], once.records_by_key[KEY]
    assert record.settled == wanted.settled
    assert record.available == wanted.available
    assert record.grants_by_id["g"].amount == wanted.grants_by_id["g"].amount


def run_with(ledger_of, check):
    async def main():
        async with trio.open_nursery() as nursery:
            store = MemoryStore()
            ledger = ledger_of(store, nursery)
            nursery.start_soon(ledger.run)
            with trio.fail_after(20):
                await check(store, ledger)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_silent_writer_is_passed_over():
    """A paused router must delay a settlement once, and not each of them."""
    sent = []
    peer = FakePeer(writer_for_key(), lambda message: sent.append(message) or True)

    async def check(store, ledger):
        await open_budget(ledger)
        began = len(sent)
        check_all_billed_once(store, await settle_all(ledger))
        again = Settle(KEY, "g", make_request_id(unix_time=1e9, random_bits=99), TOKENS)
        tries = len(sent) - began
        assert (await ledger.submit(again)).is_ok()
        assert len(sent) - began == tries
        assert WRITER_REST_S > 0

    run_with(lambda store, nursery: make_ledger(store, [peer]), check)


def test_writer_that_answers_twice_or_about_others_changes_nothing():
    """A repeated answer must not end the wait of another operation."""
    writer = writer_for_key()
    ledgers = []

    def take(message):
        answer = LedgerAnswer(number=message.number, result=None)
        ledgers[0].handle_answer(writer + 1, answer)
        ledgers[0].handle_answer(writer, answer)
        ledgers[0].handle_answer(writer, answer)
        return True

    def build(store, nursery):
        ledgers.append(make_ledger(store, [FakePeer(writer, take)]))
        return ledgers[0]

    async def check(store, ledger):
        await open_budget(ledger)
        check_all_billed_once(store, await settle_all(ledger))

    run_with(build, check)


def test_claims_and_grants_are_never_forwarded():
    """Their late copies would block a request or set tokens aside for nobody."""
    sent = []
    peer = FakePeer(writer_for_key(), lambda message: sent.append(message) or False)

    async def check(store, ledger):
        await ledger.submit(SetLimit(KEY, LIMIT, 1))
        sent.clear()
        await ledger.submit(OpenGrant(KEY, "g", 1, GRANT, 1))
        await ledger.submit(Claim(KEY, REQUEST_IDS[0], "a"))
        assert not sent

    run_with(lambda store, nursery: make_ledger(store, [peer]), check)


def test_writers_are_in_the_region_of_the_store():
    """A writer across the slow link would add its latency to each settlement."""
    sent = {2: 0, 3: 0}

    def count_for(incarnation):
        def take(message):
            sent[incarnation] += 1
            return False

        return take

    peers = [
        FakePeer(2, count_for(2), region="east"),
        FakePeer(3, count_for(3), region="west"),
    ]

    async def check(store, ledger):
        await ledger.submit(SetLimit(KEY, LIMIT, 1))
        assert sent == {2: 0, 3: 1}

    run_with(
        lambda store, nursery: make_ledger(
            store, peers, region="east", store_region="west"
        ),
        check,
    )


class WritingRouter:
    """The writer's end of real links; ``fault`` says what it does to answers."""

    def __init__(self, store, fault):
        self.ledger = make_ledger(store, [], incarnation=writer_for_key())
        self.requests = 0
        self._fault = fault

    async def serve(self, link):
        peer = Peer(link=link, now=0.0)
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    for message in await link.receive():
                        self.requests += 1
                        nursery.start_soon(self._answer, peer, message)
        except* LinkClosedError:
            pass  # The peer is gone; its side of the test goes on.

    async def _answer(self, peer, request: LedgerRequest):
        await self.ledger.serve(peer, request)
        if self._fault == "twice":
            await self.ledger.serve(peer, request)
        if self._fault == "dies" and self.requests > 5:
            peer.link.close()


async def use_real_links(fault):
    store = MemoryStore()
    writer = WritingRouter(store, fault)
    async with trio.open_nursery() as nursery:
        listener = Listener(address=ANY_PORT, message_type=MessageToPeer)
        address = await nursery.start(listener.run, writer.serve)
        link = connect(address=address, message_type=MessageToPeer)
        peer = Peer(link=link, now=0.0)
        peer.hello = hello_of(writer_for_key())
        ledger = make_ledger(store, [peer])

        async def receive():
            try:
                while True:
                    for message in await link.receive():
                        if fault == "late":
                            await trio.sleep(0.6)
                        ledger.handle_answer(peer.hello.incarnation, message)
            except LinkClosedError:
                ledger.on_link_lost(peer.hello.incarnation)

        for task in (link.run, receive, ledger.run, writer.ledger.run):
            nursery.start_soon(task)
        with trio.fail_after(20):
            await open_budget(ledger)
            check_all_billed_once(store, await settle_all(ledger))
        assert writer.requests > 0
        nursery.cancel_scope.cancel()


def test_real_writer_commits_for_its_peer():
    """Without faults the results are those of direct submission."""
    trio.run(partial(use_real_links, ""))


def test_writer_that_dies_leaves_no_settlement_behind():
    """Operations at a dead writer must reach the store directly, once."""
    trio.run(partial(use_real_links, "dies"))


def test_writer_that_answers_late_or_twice_bills_once():
    """Both copies of an operation reach the ledger; one may count."""
    trio.run(partial(use_real_links, "late"))
    trio.run(partial(use_real_links, "twice"))
