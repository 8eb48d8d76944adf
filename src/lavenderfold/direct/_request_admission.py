"""Admission of one request to its service, and the load signals of its attempts.

It does nothing where all routes of the service have the same priority.
"""

import logging

import trio

from lavenderfold.admission import Arrival, Entry, EntryState
from lavenderfold.direct._attempt import Attempt
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._refusals import DEFAULT_EXPECTED_S, Refusal, not_run
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.fleet import Organisation, Route, RouteTable, Target
from lavenderfold.outcomes import Reason

# The part of the latency objective, and of the time that is left, that a request may
# wait. The rest is for the answer.
WAIT_SHARE = 0.5

logger = logging.getLogger("lavenderfold.requests")


class RequestAdmission:
    """Admission of one request to a service.

    ``priority`` is None if all routes of the service have the same one.
    """

    __slots__ = (
        "priority",
        "_gate",
        "_metrics",
        "_service_name",
        "_request",
        "_route",
        "_entry",
    )

    def __init__(
        self,
        *,
        services: RouterServices,
        table: RouteTable,
        service_name: str,
        request: CallerRequest,
        route: Route,
        organisation: Organisation | None,
        deadline: float,
    ):
        self.priority = table.priority(service_name, route, organisation)
        self._gate = services.admission_gate(service_name, self.priority)
        self._metrics = services.metrics
        self._service_name = service_name
        self._request = request
        self._route = route
        self._entry: Entry | None = None
        if self._gate is not None:
            self._entry = Entry(
                priority=self.priority,
                organisation=organisation.name if organisation else "",
                tokens=request.tokens.worst_case if request.tokens else None,
                deadline=deadline,
                # Any caller can send a Last-Event-ID; other routes have no use for it.
                has_begun=route.is_resumable and request.last_event_id is not None,
            )

    async def enter(self) -> Refusal | None:
        """Wait for the admission, or return a refusal."""
        entry = self._entry
        if entry is None:
            return None
        now = trio.current_time()
        time_left_s = entry.deadline - now
        wait_s = WAIT_SHARE * min(self._route.latency_objective_s, time_left_s)
        arrival = await self._gate.enter(entry, wait_until=now + wait_s)
        waited_s = trio.current_time() - now
        is_admitted = entry.state is EntryState.ADMITTED
        if arrival.state is not EntryState.ADMITTED:
            self._metrics.record_admission_wait(
                self._service_name, waited_s, is_admitted=is_admitted
            )
        if is_admitted:
            return None
        # A refused request doesn't stay in the queue while its refusal is sent.
        self._gate.leave(entry, is_served=False)
        self._report_refusal(arrival, waited_s)
        expected_s = max(DEFAULT_EXPECTED_S, arrival.expected_s)
        return not_run(Reason.OVERLOADED, expected_s=expected_s)

    def leave(self, outcome: AttemptOutcome | None) -> None:
        """Release what the request holds, after the end of its last attempt."""
        if self._entry is not None:
            is_served = outcome is AttemptOutcome.DELIVERED
            self._gate.leave(self._entry, is_served=is_served)

    def record_first_part(self, target: Target, duration_s: float) -> None:
        """Record that a target began its answer ``duration_s`` after it was asked."""
        if self._entry is None:
            return
        is_slow = self._is_slow(duration_s)
        self._gate.usual_times.record(self._route.name, duration_s)
        if is_slow:
            self._record_congestion(target, "slow")
        else:
            now = trio.current_time()
            self._gate.admission.record_served(target.id, now=now)

    def record_outcome(
        self, attempt: Attempt, target: Target, outcome: AttemptOutcome
    ) -> None:
        """Record an attempt that was rejected, or whose answer didn't begin in time.

        A target that asks for a pause or leaves doesn't lack room.
        """
        if self._entry is None:
            return
        if outcome is AttemptOutcome.REJECTED:
            if not (attempt.is_turned_away or attempt.is_leaving):
                self._record_congestion(target, "rejected")
            return
        is_late = outcome in (AttemptOutcome.SILENT, AttemptOutcome.TIMED_OUT)
        if not is_late or attempt.has_begun_answer or attempt.sent_at is None:
            return
        # Callers set their own timeout, so its end alone doesn't show a slow target.
        if self._is_slow(trio.current_time() - attempt.sent_at):
            self._record_congestion(target, "slow")

    def _is_slow(self, duration_s: float) -> bool:
        return self._gate.usual_times.is_slow(
            self._route.name,
            duration_s,
            objective_s=self._route.latency_objective_s,
            size=self._entry.size,
        )

    def _record_congestion(self, target: Target, cause: str) -> None:
        admission = self._gate.admission
        self._metrics.record_congestion(self._service_name, cause)
        if not admission.record_congestion(target.id, now=trio.current_time()):
            return
        fields = {
            "service": self._service_name,
            "cause": cause,
            "target": target.id,
            "limit": round(admission.limit.value, 1),
            "used": round(admission.used, 1),
            "queued": admission.queued,
        }
        logger.warning("admission_limit_lowered", extra=fields)

    def _report_refusal(self, arrival: Arrival, waited_s: float) -> None:
        entry, first = self._entry, arrival.first
        self._metrics.record_admission_refusal(
            self._service_name, entry.priority, entry.organisation
        )
        fields = {
            "request_id": self._request.attempt_id,
            "service": self._service_name,
            "route": self._route.name,
            "priority": entry.priority,
            "organisation": entry.organisation or None,
            "size": round(entry.size, 2),
            "waited_ms": round(waited_s * 1000),
            "expected_ms": round(arrival.expected_s * 1000),
            "limit": round(arrival.limit, 1),
            "used": round(arrival.used, 1),
            "ahead": arrival.ahead,
            "queued": self._gate.admission.queued,
            "first_priority": first.priority if first else None,
            "first_organisation": first.organisation if first else None,
        }
        logger.warning("admission_refused", extra=fields)
