"""The agent's run table and usage list under any order of events."""

import hashlib
from collections import defaultdict

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lavenderfold.agent import Limits
from lavenderfold.agent._run_table import DROPPED_IDS_PER_REMEMBERED_RUN, RunTable
from lavenderfold.agent._runs import AppendResult, Submission, input_bytes
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
# Requests are sent for a bounded time only, as routers refuse old request ids.
KEY_LIFETIME_S = 200.0
MAX_TOKENS = 9
COST_TOKENS = 7
RECENT_RUNS = 4
LINKS = st.integers(1, 3)
REQUEST_NAMES = st.tuples(st.sampled_from("ab"), st.integers(0, 3))


class Request:
    """A request and the words of its answer, which differ for all requests."""

    def __init__(self, key, *, idempotent, length):
        self.key = key
        self.idempotent = idempotent
        self.words = [
            f"{key.budget.organisation}{index:08} " for index in range(length)
        ]
        shown = self.words[:MAX_TOKENS] if idempotent else self.words
        self.whole = "".join(shown).encode()


class ReaderView:
    """What one subscription has received, as a router would check it."""

    def __init__(self, request, start):
        self.request = request
        self.start = start
        self.data = b""
        self.ended = False

    def take(self, frame):
        assert not self.ended
        assert frame.offset == self.start + len(self.data)
        self.data += frame.data
        end = self.start + len(self.data)
        assert self.data == self.request.whole[self.start : end]

    def end(self, outcome):
        assert not self.ended
        self.ended = True
        if isinstance(outcome, Ran):
            whole = self.request.whole
            assert self.data == whole[self.start :]
            assert outcome.length == len(whole)
            assert outcome.digest == hashlib.sha256(whole).hexdigest()


class RunTableMachine(RuleBasedStateMachine):
    """Routers, links, the clock and the target act on a table in any order."""

    def __init__(self):
        super().__init__()
        self.table = RunTable(limits=LIMITS)
        self.now = 0.0
        self.requests = {}
        self.orders = {}
        self.sent_words = {}
        self.readers = {}
        self.awaiting = set()
        self.started = set()
        self.not_run = set()
        self.may_have_run = defaultdict(set)
        self.names = 0

    def request(self, organisation, number):
        epoch = int(self.now // KEY_LIFETIME_S)
        key = RequestKey(BudgetKey(organisation, "main"), f"{number}-{epoch}")
        if key not in self.requests:
            self.requests[key] = Request(
                key, idempotent=number % 2 == 0, length=5 + 4 * number
            )
        return self.requests[key]

    def make_order(self, request):
        self.names += 1
        order = Run(
            run_id=f"run{self.names}",
            key=request.key,
            attempt=1,
            payer=1,
            grant_id="g",
            reserved=MAX_TOKENS + 2 if request.idempotent else COST_TOKENS,
            idempotent=request.idempotent,
            priority=self.names % 2,
            deadline_s=20.0,
            model="m" if request.idempotent else "",
            prompt="two words" if request.idempotent else "",
            max_tokens=MAX_TOKENS if request.idempotent else 0,
            body=b"" if request.idempotent else b"x" * 25,
            cost_tokens=0 if request.idempotent else COST_TOKENS,
        )
        self.orders[order.run_id] = order
        return order

    def running(self):
        return [name for name in sorted(self.sent_words) if name in self.started]

    def first_running(self, pick):
        names = self.running()
        return names[pick % len(names)]

    @rule(
        names=st.lists(REQUEST_NAMES, min_size=1, max_size=5),
        link=LINKS,
        refused=st.just(False) | st.booleans(),
    )
    def submit(self, names, link, refused):
        for organisation, number in names:
            self.submit_one(self.request(organisation, number), link, refused)

    def submit_one(self, request, link, refused):
        order = self.make_order(request)
        open_keys = [record.order.key for record in self.table._open_records()]
        result = self.table.submit(
            order,
            link,
            sender_incarnation=link,
            now=self.now,
            refusal=NotRun(Reason.DRAINING) if refused else None,
        )
        self.readers[link, order.run_id] = ReaderView(request, 0)
        if result is Submission.ACCEPTED:
            assert not refused
            self.awaiting.add((link, order.run_id))
            return
        # A request that runs or may have run is never called not run.
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
        assert result is Submission.DUPLICATE

    @rule(count=st.integers(1, 3))
    def start(self, count):
        for _ in range(count):
            self.start_one()

    def start_one(self):
        record = self.table.start_next(now=self.now)
        self.deliver()
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
        while self.running():
            self.produce(0, 6)

    @rule(pick=st.integers(0, 9), count=st.integers(1, 6))
    @precondition(lambda self: self.running())
    def produce(self, pick, count):
        run_id = self.first_running(pick)
        request = self.requests[self.orders[run_id].key]
        sent = self.sent_words[run_id]
        words = request.words[sent : sent + count]
        self.sent_words[run_id] += len(words)
        tokens = len(words) if request.idempotent else 0
        match self.table.append(run_id, "".join(words).encode(), tokens):
            case AppendResult.BUFFER_FULL:
                assert len(request.whole) > LIMITS.run_buffer_bytes
                self.end(run_id, MayHaveRun(Reason.TARGET_FAILED))
            case AppendResult.TOKEN_LIMIT_REACHED:
                self.complete(run_id)
            case AppendResult.APPENDED:
                if self.sent_words[run_id] == len(request.words):
                    self.complete(run_id)

    @rule(pick=st.integers(0, 9), lost=st.booleans())
    @precondition(lambda self: self.running())
    def fail(self, pick, lost):
        run_id = self.first_running(pick)
        if lost or self.sent_words[run_id]:
            self.end(run_id, MayHaveRun(Reason.CONNECTION_LOST))
        else:
            self.end(run_id, NotRun(Reason.CONNECTION_FAILED))

    @rule(name=REQUEST_NAMES, link=LINKS, share=st.floats(0, 1.1))
    def resume(self, name, link, share):
        self.resume_request(self.request(*name), link, share)

    @rule(pick=st.integers(0, 9), link=LINKS, share=st.floats(0, 1.1))
    @precondition(lambda self: self.running())
    def resume_running(self, pick, link, share):
        order = self.orders[self.first_running(pick)]
        self.resume_request(self.requests[order.key], link, share)

    def resume_request(self, request, link, share):
        self.names += 1
        name = f"subscription{self.names}"
        offset = int(len(request.whole) * share)
        self.readers[link, name] = ReaderView(request, offset)
        if self.table.resume(name, request.key, offset, link, now=self.now):
            self.awaiting.add((link, name))

    @rule(link=LINKS)
    def lose_link(self, link):
        self.table.remove_link(link, now=self.now)
        self.readers = {
            reader: view for reader, view in self.readers.items() if reader[0] != link
        }
        self.awaiting = {reader for reader in self.awaiting if reader[0] != link}

    @rule(pick=st.integers(0, 9))
    @precondition(lambda self: self.awaiting)
    def cancel(self, pick):
        link, name = sorted(self.awaiting)[pick % len(self.awaiting)]
        record = self.table._record_by_id.get(name)
        abort = self.table.cancel(name, link, now=self.now)
        self.awaiting.discard((link, name))
        if abort is not None:
            assert len(record.subscriptions) == 1
            assert record.order.idempotent
            self.end(abort.run_id, abort.outcome)
        self.deliver()

    @rule(seconds=st.sampled_from([1.0, 10.0, 40.0, 60.0]))
    def wait(self, seconds):
        self.now += seconds
        for abort in self.table.expire(now=self.now):
            self.end(abort.run_id, abort.outcome)
        self.deliver()

    @rule()
    def leave(self):
        self.table.refuse_queued(now=self.now)
        assert self.table.queued_count == 0
        self.deliver()

    @rule()
    def flush(self):
        self.deliver()
        for delivery in self.table.take_frames():
            self.receive(delivery)

    def complete(self, run_id):
        record = self.table.complete(run_id, status=200, content_type="", now=self.now)
        self.note_end(run_id, record)

    def end(self, run_id, outcome):
        self.note_end(run_id, self.table.end(run_id, outcome, now=self.now))

    def note_end(self, run_id, record):
        order = self.orders[run_id]
        del self.sent_words[run_id]
        usage = record.usage_record()
        if isinstance(record.outcome, NotRun):
            self.may_have_run[order.key].discard(run_id)
            self.not_run.add(run_id)
            assert usage is None
        elif usage is not None:
            assert 0 < usage.tokens <= order.reserved
        self.deliver()

    def deliver(self):
        for delivery in self.table.take_replies():
            self.receive(delivery)

    def receive(self, delivery):
        message = delivery.message
        match message:
            case Frame():
                self.readers[delivery.link, message.run_id].take(message)
            case RunEnded(run_id=name, outcome=outcome):
                self.readers[delivery.link, name].end(outcome)
                self.awaiting.discard((delivery.link, name))
                if isinstance(outcome, NotRun) and name in self.orders:
                    self.not_run.add(name)
            case RunUnknown(subscription=name):
                assert not self.readers[delivery.link, name].data
            case RunAccepted():
                assert message.run_id in self.orders

    @invariant()
    def bounds_hold(self):
        table = self.table
        assert table.queued_count <= LIMITS.queue_length
        waiting = sum(input_bytes(record.order) for record in table._queue)
        assert waiting <= LIMITS.queue_bytes
        assert table.running_count <= LIMITS.slots
        assert table.buffered_bytes <= LIMITS.buffer_bytes
        kept = sum(
            len(record.answer)
            for record in table._record_by_id.values()
            if record.answer is not None
        )
        assert table.buffered_bytes == kept
        assert len(table._record_by_id) <= LIMITS.remembered_runs
        assert (
            len(table._dropped_at_by_id)
            <= DROPPED_IDS_PER_REMEMBERED_RUN * LIMITS.remembered_runs
        )

    @invariant()
    def held_covers_what_can_still_be_billed(self):
        held = self.table.held_tokens_by_grant(1).get("g", 0)
        running = sum(self.orders[name].reserved for name in self.running())
        assert held >= running

    def teardown(self):
        """Each reader whose link is still there gets the rest and the end."""
        while self.running():
            self.produce(0, 6)
        self.leave()
        assert not self.awaiting


RunTableMachine.TestCase.settings = settings(
    max_examples=250,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRunTable = RunTableMachine.TestCase


def order_of(run_id, *, priority=0, deadline_s=10.0):
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


def test_urgent_runs_start_first_and_late_ones_never():
    table = RunTable(limits=LIMITS)
    for run_id, priority, deadline_s in (("a", 1, 9), ("b", 0, 9), ("c", 0, 2)):
        order = order_of(run_id, priority=priority, deadline_s=deadline_s)
        table.submit(order, 1, sender_incarnation=1, now=0.0)
    started = [table.start_next(now=3.0).run_id for _ in range(2)]
    assert started == ["b", "a"]
    ended = table.take_replies()[-1].message
    assert ended == RunEnded(
        run_id="c",
        outcome=NotRun(
            Reason.DEADLINE_PASSED, "the run was still queued at its deadline"
        ),
    )


def test_link_loss_stops_no_waiting_run():
    table = RunTable(limits=LIMITS)
    table.submit(order_of("a"), 1, sender_incarnation=1, now=0.0)
    table.remove_link(1, now=1.0)
    assert table.start_next(now=2.0).run_id == "a"
