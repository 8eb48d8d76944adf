"""The agent's runs: admission, queue, answers and their readers.

Plain synchronous code. Links are known by their numbers; what is to be sent
is collected by ``take_replies`` (at once) and ``take_parts`` (each frame
window, after the replies).
"""

from collections import OrderedDict, defaultdict, deque
from itertools import count

import msgspec

from lavenderfold.agent._buffers import EndedAnswers
from lavenderfold.agent._deliveries import (
    Delivery,
    end_messages,
    first_words,
    new_frames,
)
from lavenderfold.agent._queue import RunQueue
from lavenderfold.agent._runs import (
    Appended,
    RunRecord,
    RunState,
    Submission,
    Subscription,
)
from lavenderfold.agent._settings import Limits
from lavenderfold.identifiers import RequestKey
from lavenderfold.messages import Run, RunAccepted, RunEnded, RunUnknown
from lavenderfold.outcomes import MayHaveRun, NotRun, Ran, Reason

# Ids of runs that are no longer kept take a few per cent of a kept run's memory.
CLOSED_PER_REMEMBERED = 4


class Abort(msgspec.Struct, frozen=True):
    """A running run that must be stopped at the target, and why."""

    run_id: str
    outcome: MayHaveRun


class RunTable:
    """All runs that the agent knows, by run id and by request key.

    A run that ends as not run is forgotten except for its id, so that its
    request may be sent again while a late duplicate of the order is ignored.
    The same holds for idempotent runs whose answer is no longer kept.
    """

    def __init__(self, *, limits: Limits):
        self._limits = limits
        self._sequence = count()
        self._record_by_id: dict[str, RunRecord] = {}
        self._records_by_key: dict[RequestKey, list[RunRecord]] = defaultdict(list)
        self._queue = RunQueue(limits=limits)
        self._running: dict[str, RunRecord] = {}
        # Ended runs by age, those of idempotent requests apart: only they may be
        # forgotten early, because they may run twice.
        self._ended: dict[bool, OrderedDict[str, RunRecord]] = {
            True: OrderedDict(),
            False: OrderedDict(),
        }
        self._ended_by_age: deque[RunRecord] = deque()
        self._answers = EndedAnswers(limits=limits)
        self._closed_at: OrderedDict[str, float] = OrderedDict()
        self._replies: list[Delivery] = []
        self._dirty: dict[str, RunRecord] = {}

    @property
    def running_count(self) -> int:
        return len(self._running)

    @property
    def queued_count(self) -> int:
        return len(self._queue)

    @property
    def queued_tokens(self) -> int:
        return sum(record.order.reserved for record in self._queue)

    @property
    def buffered_bytes(self) -> int:
        return self._answers.total_bytes

    @property
    def all_read(self) -> bool:
        """Whether no run is open and each kept answer was sent to a router."""
        open_count = len(self._running) + len(self._queue)
        return open_count == 0 and self._answers.unread_count == 0

    def submit(
        self,
        order: Run,
        link: int,
        *,
        owner: int | None,
        now: float,
        refusal: NotRun | None = None,
    ) -> Submission | NotRun | MayHaveRun:
        """Queue a run or refuse it; ``refusal`` says that the caller wants so."""
        if order.run_id in self._record_by_id or order.run_id in self._closed_at:
            return Submission.DUPLICATE
        outcome = self._repetition(order) or refusal or self._shortage(order)
        if outcome is not None:
            return self._refuse(order, link, outcome, now)
        record = RunRecord(
            order=order, sequence=next(self._sequence), owner=owner, now=now
        )
        record.subscriptions.append(
            Subscription(link=link, name=order.run_id, position=0)
        )
        self._record_by_id[order.run_id] = record
        self._records_by_key[order.key].append(record)
        self._queue.push(record)
        self._replies.append(Delivery(link, RunAccepted(order.run_id)))
        return Submission.ACCEPTED

    def start_next(self, *, now: float) -> RunRecord | None:
        """Return the next run to start at the target, if a slot is free."""
        self._expire_queue(now)
        if not self._queue or len(self._running) >= self._limits.slots:
            return None
        record = self._queue.pop()
        record.state = RunState.RUNNING
        record.started_at = now
        self._running[record.run_id] = record
        return record

    def append(self, run_id: str, data: bytes, tokens: int) -> Appended:
        """Add a part of a running run's answer."""
        record = self._running[run_id]
        answer = record.answer
        room = record.order.max_tokens - answer.tokens
        reached = record.is_model and tokens > room
        if reached:
            data, tokens = first_words(data, room), room
        if len(answer) + len(data) > self._limits.run_buffer_bytes:
            return Appended.TOO_LONG
        if data:
            answer.append(data, tokens)
            self._answers.grow(len(data))
            self._dirty[run_id] = record
        return Appended.LIMIT_REACHED if reached else Appended.TAKEN

    def finish(
        self, run_id: str, *, status: int, content_type: str, now: float
    ) -> RunRecord:
        """End a running run whose answer is whole."""
        record = self._running[run_id]
        record.status = status
        record.content_type = content_type
        return self.end(run_id, record.ran(), now=now)

    def end(
        self, run_id: str, outcome: NotRun | MayHaveRun | Ran, *, now: float
    ) -> RunRecord:
        """End a running run with an outcome."""
        record = self._running.pop(run_id)
        if isinstance(outcome, NotRun):
            self._end_as_not_run(record, outcome, now)
            return record
        record.state = RunState.ENDED
        record.outcome = outcome
        record.ended_at = now
        record.drop_input()
        self._ended[record.order.idempotent][run_id] = record
        self._ended_by_age.append(record)
        self._dirty.pop(run_id, None)
        self._answers.add(record)
        self._reply_with_whole(record)
        return record

    def resume(
        self, subscription: str, key: RequestKey, offset: int, link: int, *, now: float
    ) -> bool:
        """Send a request's answer from ``offset`` bytes on to a link."""
        record = self._best_run(key)
        whole = record is not None and record.state is RunState.ENDED
        if record is None or offset < 0 or (whole and offset > len(record.answer)):
            self._replies.append(Delivery(link, RunUnknown(subscription)))
            return False
        record.subscriptions = [
            other
            for other in record.subscriptions
            if (other.link, other.name) != (link, subscription)
        ]
        record.subscriptions.append(
            Subscription(link=link, name=subscription, position=offset)
        )
        record.idle_since = None
        if whole:
            self._reply_with_whole(record)
        else:
            self._dirty[record.run_id] = record
        return True

    def detach(self, link: int, *, now: float) -> None:
        """Forget a link that is gone; its runs go on."""
        for record in self._open_records():
            _unsubscribe(record, link, None, now)
        self._replies = [reply for reply in self._replies if reply.link != link]

    def cancel(self, name: str, link: int, *, now: float) -> Abort | None:
        """Stop a run for good, or only a subscription if others still read it.

        Returns what the caller must stop at the target. An application call
        that was sent can't be taken back, so it goes on.
        """
        record = self._record_by_id.get(name)
        if record is None or record.state is RunState.ENDED:
            for other in self._open_records():
                _unsubscribe(other, link, name, now)
            return None
        if any((by.link, by.name) != (link, name) for by in record.subscriptions):
            _unsubscribe(record, link, name, now)
            return None
        if record.state is RunState.QUEUED:
            self._leave_queue(record, Reason.CONNECTION_LOST, "cancelled", now)
            return None
        if not record.is_model:
            return None
        return Abort(name, MayHaveRun(Reason.CONNECTION_LOST, "cancelled"))

    def refuse_queued(self, *, now: float) -> None:
        """Refuse all waiting runs as not run, because the target is leaving."""
        for record in self._queue:
            self._leave_queue(record, Reason.DRAINING, "", now)

    def expire(self, *, now: float) -> list[Abort]:
        """Refuse and forget what is past its time; return what to stop."""
        self._expire_queue(now)
        self._forget(now)
        return [
            abort
            for record in self._running.values()
            if (abort := self._overdue(record, now)) is not None
        ]

    def held(self, payer: int) -> dict[str, int]:
        """Return the tokens by grant that open runs paid by ``payer`` may use."""
        held: dict[str, int] = defaultdict(int)
        for record in self._open_records():
            if record.order.payer == payer:
                held[record.order.grant_id] += record.order.reserved
        return dict(held)

    def take_replies(self) -> list[Delivery]:
        """Return the messages that answer orders."""
        replies, self._replies = self._replies, []
        return replies

    def take_parts(self) -> list[Delivery]:
        """Return the new parts of running runs' answers, joined per reader."""
        dirty, self._dirty = self._dirty, {}
        return [
            frame
            for record in dirty.values()
            for reader in record.subscriptions
            for frame in new_frames(record, reader)
        ]

    def _reply_with_whole(self, record: RunRecord) -> None:
        """Send an ended run's remaining bytes and its end to its readers."""
        if not record.subscriptions:
            return
        for reader in record.subscriptions:
            self._replies += new_frames(record, reader)
        self._replies += end_messages(record)
        record.subscriptions = []
        self._answers.mark_read(record)

    def _open_records(self) -> list[RunRecord]:
        return [*self._running.values(), *self._queue]

    def _repetition(self, order: Run) -> MayHaveRun | None:
        """Refuse what would run a non-idempotent request a second time."""
        for record in self._records_by_key.get(order.key, ()):
            if not (order.idempotent and record.order.idempotent):
                detail = f"run {record.run_id} has the request"
                return MayHaveRun(Reason.CLAIMED_ELSEWHERE, detail)
        return None

    def _shortage(self, order: Run) -> NotRun | None:
        if not self._queue.has_room(order):
            return NotRun(Reason.OVERLOADED, "the queue is full")
        while len(self._record_by_id) >= self._limits.remembered_runs:
            if not self._ended[True]:
                return NotRun(Reason.OVERLOADED, "too many runs are remembered")
            self._drop(next(iter(self._ended[True].values())))
        return None

    def _refuse(
        self, order: Run, link: int, outcome: NotRun | MayHaveRun, now: float
    ) -> NotRun | MayHaveRun:
        if isinstance(outcome, NotRun) and order.key in self._records_by_key:
            # Another attempt may have run, so the request can't be called not run.
            outcome = MayHaveRun(outcome.reason, outcome.detail)
        self._close(order.run_id, now)
        ended = RunEnded(run_id=order.run_id, outcome=outcome)
        self._replies.append(Delivery(link, ended))
        return outcome

    def _leave_queue(
        self, record: RunRecord, reason: Reason, detail: str, now: float
    ) -> None:
        self._queue.remove(record)
        self._end_as_not_run(record, NotRun(reason, detail), now)

    def _end_as_not_run(self, record: RunRecord, outcome: NotRun, now: float) -> None:
        record.state = RunState.ENDED
        record.outcome = outcome
        record.ended_at = now
        self._replies += end_messages(record)
        self._drop(record)

    def _close(self, run_id: str, now: float) -> None:
        self._closed_at[run_id] = now
        if len(self._closed_at) > self._limits.remembered_runs * CLOSED_PER_REMEMBERED:
            self._closed_at.popitem(last=False)

    def _expire_queue(self, now: float) -> None:
        for record in self._queue:
            if record.queue_deadline <= now:
                self._leave_queue(record, Reason.DEADLINE_PASSED, "queued", now)
            elif self._is_orphan(record, now):
                self._leave_queue(record, Reason.CONNECTION_LOST, "orphaned", now)

    def _overdue(self, record: RunRecord, now: float) -> Abort | None:
        if now >= record.started_at + self._limits.run_limit_s:
            outcome = MayHaveRun(Reason.DEADLINE_PASSED, "run limit")
        elif record.is_model and self._is_orphan(record, now):
            outcome = MayHaveRun(Reason.CONNECTION_LOST, "orphaned")
        else:
            return None
        return Abort(record.run_id, outcome)

    def _is_orphan(self, record: RunRecord, now: float) -> bool:
        since = record.idle_since
        return since is not None and now >= since + self._limits.orphan_timeout_s

    def _forget(self, now: float) -> None:
        oldest = now - self._limits.buffer_retention_s
        while self._ended_by_age and self._ended_by_age[0].ended_at <= oldest:
            record = self._ended_by_age.popleft()
            self._answers.drop(record)
            if record.run_id in self._ended[True]:
                self._drop(record)
        oldest = now - self._limits.repeat_memory_s
        unrepeatable = self._ended[False]
        while unrepeatable and next(iter(unrepeatable.values())).ended_at <= oldest:
            self._drop(next(iter(unrepeatable.values())))
        while self._closed_at and next(iter(self._closed_at.values())) <= oldest:
            self._closed_at.popitem(last=False)

    def _drop(self, record: RunRecord) -> None:
        self._answers.drop(record)
        self._dirty.pop(record.run_id, None)
        self._ended[record.order.idempotent].pop(record.run_id, None)
        del self._record_by_id[record.run_id]
        self._close(record.run_id, record.ended_at)
        same_key = self._records_by_key[record.order.key]
        same_key.remove(record)
        if not same_key:
            del self._records_by_key[record.order.key]

    def _best_run(self, key: RequestKey) -> RunRecord | None:
        records = [
            record
            for record in self._records_by_key.get(key, ())
            if record.answer is not None
        ]
        return max(records, key=_usefulness, default=None)


def _usefulness(record: RunRecord) -> tuple[bool, bool, int]:
    whole = isinstance(record.outcome, Ran)
    return whole, record.state is not RunState.ENDED, record.sequence


def _unsubscribe(record: RunRecord, link: int, name: str | None, now: float) -> None:
    """Remove a link's subscription ``name``, or all of the link for None."""
    kept = [
        reader
        for reader in record.subscriptions
        if reader.link != link or name not in (None, reader.name)
    ]
    if record.subscriptions and not kept:
        record.idle_since = now
    record.subscriptions = kept
