"""The agent's runs: their queue, states, answers and subscriptions.

This code is synchronous and performs no I/O. It refers to links by number. The
caller sends the messages that ``take_replies`` returns immediately, and after them,
once in each frame window, those that ``take_frames`` returns.
"""

from collections import OrderedDict, defaultdict, deque
from itertools import count

import msgspec

from lavenderfold.agent._answer_cache import AnswerCache
from lavenderfold.agent._deliveries import Delivery, truncate_to_words
from lavenderfold.agent._outbox import Outbox
from lavenderfold.agent._queue import RunQueue
from lavenderfold.agent._runs import AppendResult, RunRecord, RunState, SubmitResult
from lavenderfold.agent._settings import Limits
from lavenderfold.identifiers import RequestKey
from lavenderfold.messages import Run, RunAccepted, RunEnded, RunUnknown
from lavenderfold.outcomes import MayHaveRun, NotRun, Ran, Reason

# The ids of dropped runs are kept to detect late duplicates. An id takes a few per
# cent of the memory of a run's record.
DROPPED_IDS_PER_REMEMBERED_RUN = 4


class Abort(msgspec.Struct, frozen=True):
    """A running run to stop at the target, and the outcome that it ends with."""

    run_id: str
    outcome: MayHaveRun


class RunTable:
    """All runs that the agent has a record of, by run id and by request key.

    Of a run that ends as ``NotRun`` only the id is kept: its request may be sent
    again under a new run id, while a late duplicate of its order is ignored. The
    same holds for idempotent runs whose answer is no longer kept.
    """

    def __init__(self, *, limits: Limits):
        self._limits = limits
        self._sequence = count()
        self._record_by_id: dict[str, RunRecord] = {}
        self._records_by_key: dict[RequestKey, list[RunRecord]] = defaultdict(list)
        self._queue = RunQueue(limits=limits)
        self._running_by_id: dict[str, RunRecord] = {}
        # Ended runs in order of their end, separately for idempotent requests (True):
        # only these may be dropped early, because they may run twice.
        self._ended_by_idempotency: dict[bool, OrderedDict[str, RunRecord]] = {
            True: OrderedDict(),
            False: OrderedDict(),
        }
        self._ended_by_age: deque[RunRecord] = deque()
        self._answer_cache = AnswerCache(limits=limits)
        self._dropped_at_by_id: OrderedDict[str, float] = OrderedDict()
        self._outbox = Outbox()

    @property
    def running_count(self) -> int:
        return len(self._running_by_id)

    @property
    def queued_count(self) -> int:
        return len(self._queue)

    @property
    def queued_tokens(self) -> int:
        return sum(record.order.reserved for record in self._queue)

    @property
    def buffered_bytes(self) -> int:
        return self._answer_cache.total_bytes

    @property
    def all_delivered(self) -> bool:
        """Whether no run is open and every kept answer was sent to a router."""
        open_count = len(self._running_by_id) + len(self._queue)
        return open_count == 0 and self._answer_cache.undelivered_count == 0

    def submit(
        self,
        order: Run,
        link_number: int,
        *,
        sender_incarnation: int | None,
        now: float,
        refusal: NotRun | None = None,
    ) -> SubmitResult | NotRun | MayHaveRun:
        """Queue a run or refuse it.

        ``refusal`` is the outcome if the caller wants the order to be refused. A
        request that has already run or may run is refused as ``MayHaveRun`` instead.
        """
        if order.run_id in self._record_by_id or order.run_id in self._dropped_at_by_id:
            return SubmitResult.DUPLICATE
        outcome = (
            self._check_duplicate_request(order)
            or refusal
            or self._check_capacity(order)
        )
        if outcome is not None:
            return self._refuse(order, link_number, outcome, now)
        record = RunRecord(
            order=order,
            sequence=next(self._sequence),
            sender_incarnation=sender_incarnation,
            now=now,
        )
        record.subscribe(link_number, order.run_id, position=0)
        self._record_by_id[order.run_id] = record
        self._records_by_key[order.key].append(record)
        self._queue.push(record)
        self._outbox.add_reply(link_number, RunAccepted(order.run_id))
        return SubmitResult.ACCEPTED

    def start_next(self, *, now: float) -> RunRecord | None:
        """Mark the first queued run as running and return it, if a slot is free."""
        self._expire_queue(now)
        if not self._queue or len(self._running_by_id) >= self._limits.slots:
            return None
        record = self._queue.pop()
        record.state = RunState.RUNNING
        record.started_at = now
        self._running_by_id[record.run_id] = record
        return record

    def append(self, run_id: str, data: bytes, tokens: int) -> AppendResult:
        """Append a part to a running run's answer, cut at the order's max_tokens."""
        record = self._running_by_id[run_id]
        answer = record.answer
        tokens_left = record.order.max_tokens - answer.tokens
        limit_reached = record.is_model and tokens > tokens_left
        if limit_reached:
            data, tokens = truncate_to_words(data, tokens_left), tokens_left
        if len(answer) + len(data) > self._limits.run_buffer_bytes:
            return AppendResult.BUFFER_FULL
        if data:
            answer.append(data, tokens)
            self._answer_cache.add_bytes(len(data))
            self._outbox.mark_updated(record)
        return (
            AppendResult.TOKEN_LIMIT_REACHED if limit_reached else AppendResult.APPENDED
        )

    def complete(
        self, run_id: str, *, status: int, content_type: str, now: float
    ) -> RunRecord:
        """End a running run whose answer is complete."""
        record = self._running_by_id[run_id]
        record.status = status
        record.content_type = content_type
        return self.end(run_id, record.complete_outcome(), now=now)

    def end(
        self, run_id: str, outcome: NotRun | MayHaveRun | Ran, *, now: float
    ) -> RunRecord:
        """End a running run with an outcome and queue the rest of its answer."""
        record = self._running_by_id.pop(run_id)
        if isinstance(outcome, NotRun):
            self._end_as_not_run(record, outcome, now)
            return record
        record.state = RunState.ENDED
        record.outcome = outcome
        record.ended_at = now
        record.discard_input()
        self._ended_by_idempotency[record.order.idempotent][run_id] = record
        self._ended_by_age.append(record)
        self._outbox.clear_updated(record)
        self._answer_cache.add_ended(record)
        self._send_remainder(record)
        return record

    def resume(
        self,
        subscription: str,
        key: RequestKey,
        offset: int,
        link_number: int,
        *,
        now: float,
    ) -> bool:
        """Subscribe a link to a request's answer from ``offset`` bytes on.

        Return whether the agent has that part of the answer.
        """
        record = self._find_resumable(key)
        has_ended = record is not None and record.state is RunState.ENDED
        if record is None or offset < 0 or (has_ended and offset > len(record.answer)):
            self._outbox.add_reply(link_number, RunUnknown(subscription))
            return False
        record.subscribe(link_number, subscription, position=offset)
        if has_ended:
            self._send_remainder(record)
        else:
            self._outbox.mark_updated(record)
        return True

    def remove_link(self, link_number: int, *, now: float) -> None:
        """Remove a closed link's subscriptions and replies. Its runs continue."""
        for record in self._open_records():
            record.unsubscribe(link_number, None, now=now)
        self._outbox.remove_link(link_number)

    def cancel(self, name: str, link_number: int, *, now: float) -> Abort | None:
        """Cancel a run, or only the subscription if others read the same run.

        Return the run to stop at the target, if any. A call that was sent to a plain
        service can't be revoked, so it continues.
        """
        record = self._record_by_id.get(name)
        if record is None or record.state is RunState.ENDED:
            for other in self._open_records():
                other.unsubscribe(link_number, name, now=now)
            return None
        if record.has_other_subscription(link_number, name):
            record.unsubscribe(link_number, name, now=now)
            return None
        if record.state is RunState.QUEUED:
            self._remove_from_queue(record, Reason.CONNECTION_LOST, "cancelled", now)
            return None
        if not record.is_model:
            return None
        return Abort(name, MayHaveRun(Reason.CONNECTION_LOST, "cancelled"))

    def refuse_queued(self, *, now: float) -> None:
        """Refuse all queued runs as ``NotRun``, because the agent is draining."""
        for record in self._queue:
            self._remove_from_queue(record, Reason.DRAINING, "", now)

    def expire(self, *, now: float) -> list[Abort]:
        """Refuse queued runs and drop records whose time is over.

        Return the running runs to stop at the target.
        """
        self._expire_queue(now)
        self._expire_ended(now)
        return [
            abort
            for record in self._running_by_id.values()
            if (abort := self._check_overdue(record, now)) is not None
        ]

    def held_tokens_by_grant(self, payer: int) -> dict[str, int]:
        """Return the reserved tokens by grant id of open runs paid by ``payer``."""
        held: dict[str, int] = defaultdict(int)
        for record in self._open_records():
            if record.order.payer == payer:
                held[record.order.grant_id] += record.order.reserved
        return dict(held)

    def take_replies(self) -> list[Delivery]:
        """Return and remove the messages to send immediately."""
        return self._outbox.take_replies()

    def take_frames(self) -> list[Delivery]:
        """Return the frames with new parts of running runs' answers.

        The parts since the last call are joined for each subscription.
        """
        return self._outbox.take_frames()

    def _send_remainder(self, record: RunRecord) -> None:
        """Queue the unsent part of an answer and ``RunEnded`` for its subscriptions."""
        if record.subscriptions:
            self._outbox.add_remainder(record)
            self._answer_cache.mark_delivered(record)

    def _open_records(self) -> list[RunRecord]:
        return [*self._running_by_id.values(), *self._queue]

    def _check_duplicate_request(self, order: Run) -> MayHaveRun | None:
        """Return a refusal if a non-idempotent request would run a second time."""
        for record in self._records_by_key.get(order.key, ()):
            if not (order.idempotent and record.order.idempotent):
                detail = f"run {record.run_id} has the request"
                return MayHaveRun(Reason.CLAIMED_ELSEWHERE, detail)
        return None

    def _check_capacity(self, order: Run) -> NotRun | None:
        if not self._queue.has_room(order):
            return NotRun(Reason.OVERLOADED, "the queue is full")
        while len(self._record_by_id) >= self._limits.remembered_runs:
            if not self._ended_by_idempotency[True]:
                return NotRun(Reason.OVERLOADED, "too many runs are remembered")
            self._drop_record(next(iter(self._ended_by_idempotency[True].values())))
        return None

    def _refuse(
        self, order: Run, link_number: int, outcome: NotRun | MayHaveRun, now: float
    ) -> NotRun | MayHaveRun:
        if isinstance(outcome, NotRun) and order.key in self._records_by_key:
            # The agent has a run of another attempt, so the request may have run.
            outcome = MayHaveRun(outcome.reason, outcome.detail)
        self._remember_dropped_id(order.run_id, now)
        ended = RunEnded(run_id=order.run_id, outcome=outcome)
        self._outbox.add_reply(link_number, ended)
        return outcome

    def _remove_from_queue(
        self, record: RunRecord, reason: Reason, detail: str, now: float
    ) -> None:
        self._queue.remove(record)
        self._end_as_not_run(record, NotRun(reason, detail), now)

    def _end_as_not_run(self, record: RunRecord, outcome: NotRun, now: float) -> None:
        record.state = RunState.ENDED
        record.outcome = outcome
        record.ended_at = now
        self._outbox.add_end(record)
        self._drop_record(record)

    def _remember_dropped_id(self, run_id: str, now: float) -> None:
        self._dropped_at_by_id[run_id] = now
        if (
            len(self._dropped_at_by_id)
            > self._limits.remembered_runs * DROPPED_IDS_PER_REMEMBERED_RUN
        ):
            self._dropped_at_by_id.popitem(last=False)

    def _expire_queue(self, now: float) -> None:
        for record in self._queue:
            if record.queue_deadline <= now:
                self._remove_from_queue(record, Reason.DEADLINE_PASSED, "queued", now)
            elif self._is_orphaned(record, now):
                self._remove_from_queue(record, Reason.CONNECTION_LOST, "orphaned", now)

    def _check_overdue(self, record: RunRecord, now: float) -> Abort | None:
        if now >= record.started_at + self._limits.run_limit_s:
            outcome = MayHaveRun(Reason.DEADLINE_PASSED, "run limit")
        elif record.is_model and self._is_orphaned(record, now):
            outcome = MayHaveRun(Reason.CONNECTION_LOST, "orphaned")
        else:
            return None
        return Abort(record.run_id, outcome)

    def _is_orphaned(self, record: RunRecord, now: float) -> bool:
        idle_since = record.idle_since
        return (
            idle_since is not None and now >= idle_since + self._limits.orphan_timeout_s
        )

    def _expire_ended(self, now: float) -> None:
        oldest = now - self._limits.buffer_retention_s
        while self._ended_by_age and self._ended_by_age[0].ended_at <= oldest:
            record = self._ended_by_age.popleft()
            self._answer_cache.evict(record)
            if record.run_id in self._ended_by_idempotency[True]:
                self._drop_record(record)
        oldest = now - self._limits.repeat_memory_s
        non_idempotent = self._ended_by_idempotency[False]
        while non_idempotent and next(iter(non_idempotent.values())).ended_at <= oldest:
            self._drop_record(next(iter(non_idempotent.values())))
        while (
            self._dropped_at_by_id
            and next(iter(self._dropped_at_by_id.values())) <= oldest
        ):
            self._dropped_at_by_id.popitem(last=False)

    def _drop_record(self, record: RunRecord) -> None:
        self._answer_cache.evict(record)
        self._outbox.clear_updated(record)
        self._ended_by_idempotency[record.order.idempotent].pop(record.run_id, None)
        del self._record_by_id[record.run_id]
        self._remember_dropped_id(record.run_id, record.ended_at)
        same_key = self._records_by_key[record.order.key]
        same_key.remove(record)
        if not same_key:
            del self._records_by_key[record.order.key]

    def _find_resumable(self, key: RequestKey) -> RunRecord | None:
        records = [
            record
            for record in self._records_by_key.get(key, ())
            if record.answer is not None
        ]
        return max(records, key=_resume_preference, default=None)


def _resume_preference(record: RunRecord) -> tuple[bool, bool, int]:
    is_complete = isinstance(record.outcome, Ran)
    return is_complete, record.state is not RunState.ENDED, record.sequence
