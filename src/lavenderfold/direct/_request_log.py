"""Log lines and metrics that tell how a request and its attempts ended."""

import enum
import logging
import math

import msgspec
import trio

from lavenderfold.balancing import CostedTarget
from lavenderfold.direct._attempt import Attempt
from lavenderfold.direct._metrics import RouterMetrics
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._refusals import Refusal
from lavenderfold.direct._relay_progress import RelayProgress
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.escrow import LocalBalanceState
from lavenderfold.fleet import Target
from lavenderfold.http import ResponseWriter
from lavenderfold.outcomes import Reason

LEFT = "left"

logger = logging.getLogger("lavenderfold.requests")


class AnswerState(enum.Enum):
    """How much of an answer, also of a refusal, was written to the caller."""

    WHOLE = "whole"
    CUT = "cut"
    NONE = "none"


class EndedBy(enum.Enum):
    """What ended a request.

    ANSWER: a target's answer was written. CALLER: the caller left before that.
    PATIENCE: the router ended the request before its caller's patience was over.
    ROUTER: any other refusal.
    """

    ANSWER = "answer"
    CALLER = "caller"
    PATIENCE = "patience"
    ROUTER = "router"


def answer_state(writer: ResponseWriter) -> AnswerState:
    """Return how much of an answer was written with ``writer``."""
    if writer.finished:
        return AnswerState.WHOLE
    return AnswerState.CUT if writer.started else AnswerState.NONE


class RequestResult(msgspec.Struct, frozen=True, kw_only=True):
    """How a request ended. Times are those of the trio clock, in seconds.

    ``choice`` is why the last attempt's target was chosen, and ``costed`` that target
    with its cost, if that decided.
    ``answer`` says how much of an answer the caller got. ``not_repeated`` is why no
    other target was tried after a failed attempt. ``leaves_at`` is when the caller
    abandons a stream without a further event, infinity if it doesn't. ``balance`` is
    what the router knew if the request was refused for money.
    """

    route: str
    organisation: str | None
    config_version: int
    service: str
    choice: str
    refusal: Refusal | None
    outcome: AttemptOutcome | None
    answer: AnswerState
    not_repeated: str | None
    reserved_tokens: int
    progress: RelayProgress
    started_at: float
    funded_at: float | None
    caller_deadline: float
    leaves_at: float = math.inf
    balance: LocalBalanceState | None = None
    costed: CostedTarget | None = None

    @property
    def ended_by(self) -> EndedBy:
        if self.refusal is not None:
            is_patience = self.refusal.reason == Reason.PATIENCE_OVER
            return EndedBy.PATIENCE if is_patience else EndedBy.ROUTER
        is_answered = self.answer is AnswerState.WHOLE
        return EndedBy.ANSWER if is_answered else EndedBy.CALLER

    @property
    def end(self) -> str:
        """The end of the request as the metrics name it."""
        if self.refusal is not None:
            return self.refusal.reason
        # The outcome is that of an earlier attempt if the caller left in a later one,
        # and None if it left right after the end of its answer.
        is_left = self.outcome is None or self.ended_by is EndedBy.CALLER
        return LEFT if is_left else self.outcome.value


class RequestLog:
    """Collects the attempts of one request and writes its lines.

    The request may have waited for ``unread_s`` seconds before it was read.
    """

    def __init__(
        self, *, request: CallerRequest, metrics: RouterMetrics, unread_s: float
    ):
        self._request = request
        self._metrics = metrics
        self._unread_s = unread_s
        self._attempts: list[str] = []

    def record_attempt(
        self,
        attempt: Attempt,
        target: Target,
        outcome: AttemptOutcome | None,
        *,
        sent_at: float,
        load: int,
    ) -> None:
        """Record the end of an attempt that began at ``started_at``.

        ``outcome`` is None if the caller or the deadline ended it. ``load`` is the
        number of other requests of this router at the target.
        """
        label = LEFT if outcome is None else outcome.value
        self._metrics.record_attempt(label)
        elapsed_ms = _duration_ms(trio.current_time(), sent_at)
        status = f" {attempt.status}" if attempt.status else ""
        self._attempts.append(f"{target.id} {label}{status} {elapsed_ms}ms load={load}")

    def write_lost_attempt(
        self, attempt: Attempt, target: Target, *, sent_at: float
    ) -> None:
        """Log an attempt that its target broke off."""
        now = trio.current_time()
        first = attempt.first_event_at
        fields = {
            "request_id": self._request.attempt_id,
            "target": target.id,
            "born": target.born,
            "status": attempt.status,
            "sent_ms": _duration_ms(now, sent_at),
            "events": attempt.events,
            "answering_ms": None if first is None else _duration_ms(now, first),
            "parts": self._request.shared_part_ids,
            "tokens": self._request.tokens.prompt if self._request.tokens else None,
        }
        logger.warning("attempt_lost", extra=fields)

    def write_invalid_answer(self, attempt: Attempt, target: Target) -> None:
        """Log and count bytes of a target that are no answer to the attempt."""
        cause = attempt.invalid_answer.cause.value
        self._metrics.record_invalid_answer(cause)
        fields = {
            "request_id": self._request.attempt_id,
            "target": target.id,
            "born": target.born,
            "status": attempt.status,
            "cause": cause,
            "detail": attempt.invalid_answer.detail,
        }
        logger.warning("answer_invalid", extra=fields)

    def write_result(self, result: RequestResult) -> None:
        """Log and count the end of the request."""
        now = trio.current_time()
        refusal, progress = result.refusal, result.progress
        has_patience = math.isfinite(result.leaves_at)
        first = progress.first_byte_at
        fields = {
            "request_id": self._request.attempt_id,
            "route": result.route,
            "organisation": result.organisation,
            "config_version": result.config_version,
            "service": result.service,
            "choice": result.choice or None,
            "attempts": self._attempts,
            "parts": self._request.shared_part_ids or None,
            "refusal": refusal.reason if refusal else None,
            "status": refusal.status if refusal else None,
            "outcome": result.outcome.value if result.outcome else None,
            "answer": result.answer.value,
            "ended_by": result.ended_by.value,
            "not_repeated": result.not_repeated,
            "reserved": result.reserved_tokens or None,
            "events": progress.events,
            "funded_ms": _duration_ms(result.funded_at, result.started_at),
            "unread_ms": round(self._unread_s * 1000),
            "first_ms": _duration_ms(first, result.started_at),
            "pause_ms": round(progress.longest_pause_s * 1000),
            "total_ms": _duration_ms(now, result.started_at),
            "left_ms": _duration_ms(result.caller_deadline, now),
            "patience_left_ms": _duration_ms(result.leaves_at, now),
        }
        if result.costed is not None:
            fields.update(_cost_fields(result.costed))
        if result.balance is not None:
            fields["balance"] = msgspec.structs.asdict(result.balance)
            fields["needed"] = self._request.tokens.worst_case
        self._metrics.record_request(
            result.end,
            answer=result.answer.value,
            stream_ended_by=result.ended_by.value if has_patience else None,
            first_s=None if first is None else first - result.started_at,
            pause_s=progress.longest_pause_s,
            total_s=now - result.started_at,
        )
        is_delivered = result.outcome is AttemptOutcome.DELIVERED
        level = logging.INFO if is_delivered else logging.WARNING
        logger.log(level, "request", extra=fields)


def _cost_fields(costed: CostedTarget) -> dict[str, float | None]:
    """Return the cost of a choice and the age of the evidence, in ms."""
    age_s = costed.age_s
    return {
        "choice_cost_ms": round(costed.cost_s * 1000, 1),
        "choice_age_ms": None if age_s is None else round(age_s * 1000),
    }


def _duration_ms(end: float | None, start: float) -> int | None:
    is_known = end is not None and math.isfinite(end)
    return round((end - start) * 1000) if is_known else None
