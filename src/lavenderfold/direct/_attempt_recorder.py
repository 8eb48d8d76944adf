"""What the attempts of a request show of their targets, and of the path to them."""

from lavenderfold.direct._attempt import Attempt
from lavenderfold.direct._balancing import BalancingRecorder
from lavenderfold.direct._crash_check import record_crash
from lavenderfold.direct._load import target_key
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._request_admission import RequestAdmission
from lavenderfold.direct._requests import AnswerHead, CallerRequest
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.fleet import Route, Target

# Silence is recorded when it is noticed, and a timeout is no fault of the target. A
# stalled attempt is one, which is recorded when the attempt ends.
RECORDED_OUTCOMES = (AttemptOutcome.SILENT, AttemptOutcome.TIMED_OUT)
# The attempt ended before its target had answered or failed.
UNFINISHED_OUTCOMES = (AttemptOutcome.SUPERSEDED, AttemptOutcome.TIMED_OUT)


class AttemptRecorder:
    """Records the attempts of one request in the state that all requests share."""

    __slots__ = (
        "_services",
        "_request",
        "_route",
        "_admission",
        "_silent_ids",
        "_balancing",
    )

    def __init__(
        self,
        *,
        services: RouterServices,
        request: CallerRequest,
        route: Route,
        service_name: str,
        admission: RequestAdmission,
    ):
        self._services = services
        self._request = request
        self._route = route
        self._admission = admission
        self._silent_ids: set[str] = set()
        self._balancing: BalancingRecorder | None = None
        if services.balancing is not None:
            self._balancing = services.balancing.recorder(service_name, request)

    def record_start(self, target: Target) -> None:
        self._services.load_tracker.record_start(target, now=self._now())
        if self._balancing is not None:
            self._balancing.record_start(target)
        tokens = self._request.tokens
        if tokens is not None:
            key = target_key(target)
            self._services.target_tokens.add(key, tokens.worst_case)

    def record_end(
        self, attempt: Attempt, target: Target, outcome: AttemptOutcome | None
    ) -> None:
        """Record that an attempt has ended; it was cancelled if it has no outcome."""
        load_tracker = self._services.load_tracker
        load_tracker.record_end(target, now=self._now())
        if self._balancing is not None:
            self._balancing.record_end(attempt, target, outcome)
        tokens = self._request.tokens
        if tokens is not None:
            key = target_key(target)
            self._services.target_tokens.remove(key, tokens.worst_case)
        is_unfinished = outcome is None or outcome in UNFINISHED_OUTCOMES
        if is_unfinished and attempt.is_stalled and target.id not in self._silent_ids:
            load_tracker.record_failure(target, now=self._now())

    def record_sign(self, target: Target) -> None:
        """Record that a part of an answer arrived."""
        self._services.load_tracker.record_sign(target, now=self._now())

    def record_relaying(self, target: Target) -> None:
        """Record that a part of a target's answer is about to be relayed."""
        if self._balancing is not None:
            self._balancing.record_relaying(target)

    def record_first_part(self, target: Target, duration_s: float) -> None:
        """Record that an answer began ``duration_s`` after the call was sent."""
        self._admission.record_first_part(target, duration_s)

    def record_head(self, target: Target, head: AnswerHead) -> None:
        """Record what the head of an answer says of its target."""
        request_id = self._request.attempt_id
        self._services.notices.record(target, head, request_id=request_id)

    def record_silence(self, target: Target) -> None:
        """Record, once, that a target has been silent for the limit of a wait."""
        if target.id in self._silent_ids:
            return
        self._silent_ids.add(target.id)
        self._services.reachability.record_failure()
        self._services.load_tracker.record_failure(target, now=self._now())

    def record_answering(self) -> None:
        """Record that a target has gone on beyond the beginning of its answer."""
        self._services.quarantine.record_answer(self._request.shared_part_ids)

    async def record_outcome(
        self,
        attempt: Attempt,
        target: Target,
        outcome: AttemptOutcome,
        *,
        sent_at: float,
    ) -> None:
        """Record the end of an attempt that began at ``sent_at`` on the trio clock."""
        self._admission.record_outcome(attempt, target, outcome)
        if outcome in RECORDED_OUTCOMES:
            return
        reachability = self._services.reachability
        if outcome is AttemptOutcome.NOT_CONNECTED:
            reachability.record_failure()
        elif outcome is not AttemptOutcome.LOST:
            reachability.record_answer()
        load_tracker = self._services.load_tracker
        if outcome is AttemptOutcome.DELIVERED:
            load_tracker.record_success(target)
            self._record_first_event(attempt)
        elif self._is_failure(attempt, target, outcome):
            load_tracker.record_failure(target, now=self._now())
        # Last, as it takes a while and the request may end meanwhile.
        if outcome is AttemptOutcome.LOST:
            await record_crash(
                self._services.quarantine,
                self._services.timers,
                request=self._request,
                attempt=attempt,
                target=target,
                sent_at=sent_at,
            )

    def _record_first_event(self, attempt: Attempt) -> None:
        if attempt.first_event_at is not None:
            duration_s = attempt.first_event_at - attempt.sent_at
            self._services.first_event_times.record(self._route, duration_s)

    def _is_failure(
        self, attempt: Attempt, target: Target, outcome: AttemptOutcome
    ) -> bool:
        """Whether the target failed in a way that wasn't recorded as its silence."""
        if outcome is AttemptOutcome.REJECTED or attempt.is_turned_away:
            return False
        return target.id not in self._silent_ids

    def _now(self) -> float:
        return self._services.timers.now()
