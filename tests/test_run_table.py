"""Tests of the agent's run table under generated sequences of events."""

import hashlib
from collections import defaultdict

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lavenderfold.agent import Limits
from lavenderfold.agent._run_table import DROPPED_IDS_PER_REMEMBERED_RUN, RunTable
from lavenderfold.agent._runs import AppendResult, SubmitResult, input_bytes
from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.messages import (
    Frame,
    Run,
    RunAccepted,
    RunEnded,
    RunUnknown,
)
from lavenderfold.outcomes import MayHaveRun, NotRun, Ran, Reason

LIMITS = Limits(
    slots=2,
    queue_length=3,
    queue_bytes=60,
    run_buffer_bytes=150,
    buffer_bytes=300,
    buffer_retention_s=50.0,
    repeat_memory_s=420.0,
    orphan_timeout_s=30.0,
    run_limit_s=70.0,
    remembered_runs=12,
)
# A request is sent only during this time, because routers refuse old request ids.
KEY_LIFETIME_S = 200.0
MAX_TOKENS = 9
COST_TOKENS = 7
RECENT_RUNS = 4
LINKS = st.integers(1, 3)
ORGANISATION_AND_NUMBER = st.tuples(st.sampled_from("ab"), st.integers(0, 3))


class Request:
    """A request and its answer, whose words differ between organisations."""

    def __init__(self, key, *, idempotent, length):
        self.key = key
        self.idempotent = idempotent
        self.words = [
            f"{key.budget.organisation}{index:08} " for index in range(length)
        ]
        answer_words = self.words[:MAX_TOKENS] if idempotent else self.words
        self.complete_answer = "".join(answer_words).encode()


class SubscriptionChecker:
    """Checks the messages of one subscription as a router would."""

    def __init__(self, request, start):
        self.request = request
        self.start = start
        self.data = b""
        self.ended = False

    def add_frame(self, frame):
        assert not self.ended
        assert frame.offset == self.start + len(self.data)
        self.data += frame.data
        end = self.start + len(self.data)
        assert self.data == self.request.complete_answer[self.start : end]

    def add_end(self, outcome):
        assert not self.ended
        self.ended = True
        if isinstance(outcome, Ran):
            complete_answer = self.request.complete_answer
            assert self.data == complete_answer[self.start :]
            assert outcome.length == len(complete_answer)
            assert outcome.digest == hashlib.sha256(complete_answer).hexdigest()


class RunTableMachine(RuleBasedStateMachine):
    """Applies events of routers, links, the clock and the target to a run table."""

    def __init__(self):
        super().__init__()
        self.table = RunTable(limits=LIMITS)
        self.now = 0.0
        self.requests = {}
        self.orders = {}
        self.sent_words = {}
        self.checkers = {}
        self.awaiting_end = set()
        self.started = set()
        self.not_run = set()
        self.may_have_run = defaultdict(set)
        self.name_count = 0

    def request(self, organisation, number):
        epoch = int(self.now // KEY_LIFETIME_S)
        key = RequestKey(BudgetKey(organisation, "main"), f"{number}-{epoch}")
        if key not in self.requests:
            self.requests[key] = Request(
                key, idempotent=number % 2 == 0, length=5 + 4 * number
            )
        return self.requests[key]

    def make_order(self, request):
        self.name_count += 1
        order = Run(
            run_id=f"run{self.name_count}",
            key=request.key,
            attempt=1,
            payer=1,
            grant_id="g",
            reserved=MAX_TOKENS + 2 if request.idempotent else COST_TOKENS,
            idempotent=request.idempotent,
            priority=self.name_count % 2,
            deadline_s=20.0,
            model="m" if request.idempotent else "",
            prompt="two words" if request.idempotent else "",
            max_tokens=MAX_TOKENS if request.idempotent else 0,
            body=b"" if request.idempotent else b"x" * 25,
            cost_tokens=0 if request.idempotent else COST_TOKENS,
        )
        self.orders[order.run_id] = order
        return order

    def running_ids(self):
        return [run_id for run_id in sorted(self.sent_words) if run_id in self.started]

    def pick_running(self, pick):
        run_ids = self.running_ids()
        return run_ids[pick % len(run_ids)]

    @rule(
        names=st.lists(ORGANISATION_AND_NUMBER, min_size=1, max_size=5),
        link=LINKS,
        is_refused=st.just(False) | st.booleans(),
    )
    def submit(self, names, link, is_refused):
        for organisation, number in names:
            self.submit_one(self.request(organisation, number), link, is_refused)

    def submit_one(self, request, link, is_refused):
        order = self.make_order(request)
        open_keys = [record.order.key for record in self.table._open_records()]
        result = self.table.submit(
            order,
            link,
            sender_incarnation=link,
            now=self.now,
            refusal=NotRun(Reason.DRAINING) if is_refused else None,
        )
        self.checkers[link, order.run_id] = SubscriptionChecker(request, 0)
        if result is SubmitResult.ACCEPTED:
            assert not is_refused
            self.awaiting_end.add((link, order.run_id))
            return
        # A request that runs or may have run must not be refused as NotRun.
        if isinstance(result, NotRun):
            assert order.key not in open_keys
            assert request.idempotent or not self.may_have_run[order.key]
            self.not_run.add(order.run_id)

    @rule(pick=st.integers(0, RECENT_RUNS - 1), link=LINKS)
    @precondition(lambda self: self.orders)
    def send_order_again(self, pick, link):
        recent = list(self.orders.values())[-RECENT_RUNS:]
        order = recent[pick % len(recent)]
        if int(self.now // KEY_LIFETIME_S) != int(order.key.request_id.split("-")[1]):
            return
        result = self.table.submit(order, link, sender_incarnation=link, now=self.now)
        assert result is SubmitResult.DUPLICATE

    @rule(count=st.integers(1, 3))
    def start(self, count):
        for _ in range(count):
            self.start_one()

    def start_one(self):
        record = self.table.start_next(now=self.now)
        self.check_replies()
        if record is None:
            return
        run_id = record.run_id
        assert run_id not in self.started
        assert run_id not in self.not_run
        if not record.order.idempotent:
            assert not self.may_have_run[record.order.key]
        self.started.add(run_id)
        self.sent_words[run_id] = 0
        self.may_have_run[record.order.key].add(run_id)

    @rule()
    def run_one_to_its_end(self):
        self.start_one()
        while self.running_ids():
            self.produce(0, 6)

    @rule(pick=st.integers(0, 9), count=st.integers(1, 6))
    @precondition(lambda self: self.running_ids())
    def produce(self, pick, count):
        run_id = self.pick_running(pick)
        request = self.requests[self.orders[run_id].key]
        sent = self.sent_words[run_id]
        words = request.words[sent : sent + count]
        self.sent_words[run_id] += len(words)
        tokens = len(words) if request.idempotent else 0
        match self.table.append(run_id, "".join(words).encode(), tokens):
            case AppendResult.BUFFER_FULL:
                assert len(request.complete_answer) > LIMITS.run_buffer_bytes
                self.end(run_id, MayHaveRun(Reason.TARGET_FAILED))
            case AppendResult.TOKEN_LIMIT_REACHED:
                self.complete(run_id)
            case AppendResult.APPENDED:
                if self.sent_words[run_id] == len(request.words):
                    self.complete(run_id)

    @rule(pick=st.integers(0, 9), is_connection_lost=st.booleans())
    @precondition(lambda self: self.running_ids())
    def fail(self, pick, is_connection_lost):
        run_id = self.pick_running(pick)
        if is_connection_lost or self.sent_words[run_id]:
            self.end(run_id, MayHaveRun(Reason.CONNECTION_LOST))
        else:
            self.end(run_id, NotRun(Reason.CONNECTION_FAILED))

    @rule(name=ORGANISATION_AND_NUMBER, link=LINKS, share=st.floats(0, 1.1))
    def resume(self, name, link, share):
        self.resume_request(self.request(*name), link, share)

    @rule(pick=st.integers(0, 9), link=LINKS, share=st.floats(0, 1.1))
    @precondition(lambda self: self.running_ids())
    def resume_running(self, pick, link, share):
        order = self.orders[self.pick_running(pick)]
        self.resume_request(self.requests[order.key], link, share)

    def resume_request(self, request, link, share):
        self.name_count += 1
        name = f"subscription{self.name_count}"
        offset = int(len(request.complete_answer) * share)
        self.checkers[link, name] = SubscriptionChecker(request, offset)
        if self.table.resume(name, request.key, offset, link, now=self.now):
            self.awaiting_end.add((link, name))

    @rule(link=LINKS)
    def lose_link(self, link):
        self.table.remove_link(link, now=self.now)
        self.checkers = {
            subscription: checker
            for subscription, checker in self.checkers.items()
            if subscription[0] != link
        }
        self.awaiting_end = {pair for pair in self.awaiting_end if pair[0] != link}

    @rule(pick=st.integers(0, 9))
    @precondition(lambda self: self.awaiting_end)
    def cancel(self, pick):
        link, name = sorted(self.awaiting_end)[pick % len(self.awaiting_end)]
        record = self.table._record_by_id.get(name)
        abort = self.table.cancel(name, link, now=self.now)
        self.awaiting_end.discard((link, name))
        if abort is not None:
            assert len(record.subscriptions) == 1
            assert record.order.idempotent
            self.end(abort.run_id, abort.outcome)
        self.check_replies()

    @rule(seconds=st.sampled_from([1.0, 10.0, 40.0, 60.0]))
    def advance_clock(self, seconds):
        self.now += seconds
        for abort in self.table.expire(now=self.now):
            self.end(abort.run_id, abort.outcome)
        self.check_replies()

    @rule()
    def drain(self):
        self.table.refuse_queued(now=self.now)
        assert self.table.queued_count == 0
        self.check_replies()

    @rule()
    def check_frames(self):
        self.check_replies()
        for delivery in self.table.take_frames():
            self.check_delivery(delivery)

    def complete(self, run_id):
        record = self.table.complete(run_id, status=200, content_type="", now=self.now)
        self.check_end(run_id, record)

    def end(self, run_id, outcome):
        self.check_end(run_id, self.table.end(run_id, outcome, now=self.now))

    def check_end(self, run_id, record):
        order = self.orders[run_id]
        del self.sent_words[run_id]
        usage = record.usage_record()
        if isinstance(record.outcome, NotRun):
            self.may_have_run[order.key].discard(run_id)
            self.not_run.add(run_id)
            assert usage is None
        elif usage is not None:
            assert 0 < usage.tokens <= order.reserved
        self.check_replies()

    def check_replies(self):
        for delivery in self.table.take_replies():
            self.check_delivery(delivery)

    def check_delivery(self, delivery):
        message = delivery.message
        match message:
            case Frame():
                self.checkers[delivery.link, message.run_id].add_frame(message)
            case RunEnded(run_id=name, outcome=outcome):
                self.checkers[delivery.link, name].add_end(outcome)
                self.awaiting_end.discard((delivery.link, name))
                if isinstance(outcome, NotRun) and name in self.orders:
                    self.not_run.add(name)
            case RunUnknown(subscription=name):
                assert not self.checkers[delivery.link, name].data
            case RunAccepted():
                assert message.run_id in self.orders

    @invariant()
    def bounds_hold(self):
        table = self.table
        assert table.queued_count <= LIMITS.queue_length
        queued_bytes = sum(input_bytes(record.order) for record in table._queue)
        assert queued_bytes <= LIMITS.queue_bytes
        assert table.running_count <= LIMITS.slots
        assert table.buffered_bytes <= LIMITS.buffer_bytes
        kept_bytes = sum(
            len(record.answer)
            for record in table._record_by_id.values()
            if record.answer is not None
        )
        assert table.buffered_bytes == kept_bytes
        assert len(table._record_by_id) <= LIMITS.remembered_runs
        assert (
            len(table._dropped_at_by_id)
            <= DROPPED_IDS_PER_REMEMBERED_RUN * LIMITS.remembered_runs
        )

    @invariant()
    def held_tokens_cover_all_running_runs(self):
        held = self.table.held_tokens_by_grant(1).get("g", 0)
        reserved = sum(self.orders[run_id].reserved for run_id in self.running_ids())
        assert held >= reserved

    def teardown(self):
        """Assert that each subscription of an open link gets the rest and the end."""
        while self.running_ids():
            self.produce(0, 6)
        self.drain()
        assert not self.awaiting_end


RunTableMachine.TestCase.settings = settings(
    max_examples=250,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRunTable = RunTableMachine.TestCase


def make_simple_order(run_id, *, priority=0, deadline_s=10.0):
    return Run(
        run_id=run_id,
        key=RequestKey(BudgetKey("a", "main"), run_id),
        attempt=1,
        payer=1,
        grant_id="g",
        reserved=1,
        idempotent=True,
        priority=priority,
        deadline_s=deadline_s,
        cost_tokens=1,
    )


def test_runs_start_by_priority_and_not_after_their_deadline():
    table = RunTable(limits=LIMITS)
    for run_id, priority, deadline_s in (("a", 1, 9), ("b", 0, 9), ("c", 0, 2)):
        order = make_simple_order(run_id, priority=priority, deadline_s=deadline_s)
        table.submit(order, 1, sender_incarnation=1, now=0.0)
    started = [table.start_next(now=3.0).run_id for _ in range(2)]
    assert started == ["b", "a"]
    ended = table.take_replies()[-1].message
    assert ended == RunEnded(
        run_id="c",
        outcome=NotRun(Reason.DEADLINE_PASSED, "queued"),
    )


def test_queued_run_starts_after_its_link_is_lost():
    table = RunTable(limits=LIMITS)
    table.submit(make_simple_order("a"), 1, sender_incarnation=1, now=0.0)
    table.remove_link(1, now=1.0)
    assert table.start_next(now=2.0).run_id == "a"
