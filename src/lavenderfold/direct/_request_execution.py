"""Execution of one request: budget reservation, attempts, answer, settlement."""

from functools import partial

import trio

from lavenderfold.balancing import CostedTarget
from lavenderfold.direct._attempt_recorder import AttemptRecorder
from lavenderfold.direct._attempt_starter import AttemptStarter, StartedAttempt
from lavenderfold.direct._choice import TargetChoice
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._patience import CallerPatience
from lavenderfold.direct._pauses import pause_wait_limit
from lavenderfold.direct._refusals import Refusal, refusal_response
from lavenderfold.direct._relay_progress import RelayProgress
from lavenderfold.direct._repeat_rules import RepeatRules
from lavenderfold.direct._request_admission import RequestAdmission
from lavenderfold.direct._request_log import RequestLog, RequestResult, answer_state
from lavenderfold.direct._request_refusals import RequestRefusals
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.direct._reservation import Reservation
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.direct._service_choice import pick_service
from lavenderfold.direct._take_over import TakeOver
from lavenderfold.direct._target_selection import TargetSelection
from lavenderfold.direct._time_limits import TimeLimits
from lavenderfold.fleet import Organisation, Route, RouteTable, Target
from lavenderfold.http import HttpResponse, ResponseWriter
from lavenderfold.outcomes import Reason

# A target that can't be connected to doesn't count as an attempt, because nothing
# ran, but each failed connection takes time. Give up after this many.
MAX_CONNECTION_FAILURES = 3


class RequestExecution:
    """Executes one request on a route, up to the last byte of its answer.

    All its time limits count from when it was sent, although it may have been read
    later.
    """

    def __init__(
        self,
        *,
        services: RouterServices,
        table: RouteTable,
        request: CallerRequest,
        route: Route,
        organisation: Organisation | None,
        writer: ResponseWriter,
        limits: TimeLimits,
    ):
        self._services = services
        self._table = table
        self._request = request
        self._route = route
        self._organisation = organisation
        self._writer = writer
        self._started_at = limits.waits_since
        self._deadline = limits.deadline
        self._caller_deadline = limits.caller_deadline
        writer.deadline = self._deadline
        self._service_name = pick_service(route, request.attempt_id)
        service = table.service(self._service_name)
        self._retry_budget = services.retry_budget(self._service_name)
        self._progress = RelayProgress()
        self._patience = CallerPatience(
            patience_s=route.patience_s,
            first_event_s=services.first_event_times.usual_s(route),
            waits_since=limits.waits_since,
            answer_reserve_s=limits.answer_reserve_s,
            progress=self._progress,
        )
        self._reservation = Reservation(
            balance_manager=services.balance_manager,
            timers=services.timers,
            request=request,
            organisation=organisation,
            service=service,
            caller_deadline=limits.caller_deadline,
        )
        self._sent_attempts = 0
        self._last_outcome: AttemptOutcome | None = None
        self._failure_response: HttpResponse | None = None
        self._running: StartedAttempt | None = None
        self._log = RequestLog(
            request=request,
            metrics=services.metrics,
            unread_s=trio.current_time() - limits.waits_since,
        )
        self._choice_reason = ""
        self._choice_costed: CostedTarget | None = None
        self._repeats = RepeatRules(
            request=request,
            route=route,
            quarantine=services.quarantine,
            retry_budget=self._retry_budget,
            patience=self._patience,
            progress=self._progress,
            writer=writer,
        )
        self._selection = TargetSelection(
            services=services,
            service_name=self._service_name,
            service=service,
            request=request,
            route=route,
            # A public route doesn't charge the organisation of a key, but the request
            # is still that organisation's.
            organisation=organisation or table.organisation(request.key),
        )
        self._refusals = RequestRefusals(
            quarantine=services.quarantine,
            request=request,
            progress=self._progress,
            patience=self._patience,
            selection=self._selection,
            deadline=self._deadline,
        )
        self._take_over = TakeOver(
            timers=services.timers,
            start=self._start_successor,
            on_accepted=self._give_up_silent_target,
            on_end=self._end_successor,
            on_outcome=self._record_outcome,
            # Two targets may run a plain repeatable request for as long as it takes.
            accepts_unanswered=route.is_resumable or request.tokens is not None,
        )
        self._admission = RequestAdmission(
            services=services,
            table=table,
            service_name=self._service_name,
            request=request,
            route=route,
            organisation=organisation,
            deadline=self._deadline,
        )
        self._recorder = AttemptRecorder(
            services=services,
            request=request,
            route=route,
            service_name=self._service_name,
            admission=self._admission,
        )
        self._attempt_starter = AttemptStarter(
            services=services,
            request=request,
            route=route,
            organisation=organisation,
            priority=self._admission.priority,
            writer=writer,
            progress=self._progress,
            recorder=self._recorder,
            deadline=self._deadline,
            patience=self._patience,
            on_relaying=self._take_over.drop,
        )
        self._stop_scope = trio.CancelScope()

    async def run(self) -> None:
        """Answer the request and settle its reservation.

        An answer that has been started and can't be completed is left truncated.
        """
        refusal = None
        self._retry_budget.record_request()
        try:
            with self._stop_scope:
                refusal = await self._answer()
            if self._stop_scope.cancelled_caught:
                refusal = self._refusals.because(Reason.DRAINING)
            if refusal is not None and await self._relay_failure_response():
                refusal = None
            if refusal is not None:
                await self._send(refusal)
        finally:
            self._reservation.settle(
                may_have_run=self._progress.may_have_run, events=self._progress.events
            )
            self._write_result(refusal)
            self._take_over.close()
            self._running = None

    def stop_unless_answering(self) -> None:
        """Refuse the request, unless a part of its answer was written already.

        The router is about to end, and its caller would get nothing.
        """
        if not self._writer.started:
            self._stop_scope.cancel()

    async def _answer(self) -> Refusal | None:
        try:
            return await self._admit_and_attempt()
        finally:
            self._admission.leave(self._last_outcome)

    async def _admit_and_attempt(self) -> Refusal | None:
        refusal = self._refusals.quarantined() or self._refuse_without_place()
        refusal = refusal or await self._admission.enter()
        refusal = refusal or await self._reservation.reserve()
        if refusal is not None:
            return refusal
        if not self._route.is_repeatable:
            return await self._attempt_targets()
        return await self._take_over.run(self._attempt_targets)

    @property
    def _answer_by(self) -> float:
        return self._patience.answer_by(self._deadline)

    async def _attempt_targets(self) -> Refusal | None:
        failed_connections = 0
        started = await self._prepare_attempt()
        while isinstance(started, StartedAttempt):
            outcome = await self._run_attempt(started)
            if outcome is AttemptOutcome.DELIVERED:
                return None
            if outcome is AttemptOutcome.TIMED_OUT:
                return self._refusals.late(self._sent_attempts)
            self._selection.record_failure(started.target)
            failed_connections += outcome is AttemptOutcome.NOT_CONNECTED
            self._sent_attempts += outcome is not AttemptOutcome.NOT_CONNECTED
            successor = self._take_over.adopt()
            if successor is None and (
                failed_connections >= MAX_CONNECTION_FAILURES
                or not self._repeats.may_repeat(outcome, self._sent_attempts)
            ):
                return self._refusals.give_up(outcome)
            started = successor or await self._prepare_attempt()
        return started

    async def _prepare_attempt(self) -> StartedAttempt | Refusal:
        """Begin the next attempt, or return why there is none."""
        while True:
            # Other routers may have seen the prompt crash a target meanwhile.
            await self._wait_for_decision()
            if trio.current_time() >= self._answer_by:
                return self._refusals.late(self._sent_attempts)
            refusal = self._refusals.quarantined()
            if refusal is not None:
                return refusal
            choice = self._selection.choose()
            if choice is not None:
                return self._start_attempt(choice, earlier=self._sent_attempts)
            if not await self._wait_for_pause_end():
                return self._refuse_without_target()

    async def _wait_for_pause_end(self) -> bool:
        """Wait until a pause is over; return False if that isn't surely in time."""
        limit = pause_wait_limit(
            self._route,
            self._progress,
            started_at=self._started_at,
            deadline=self._deadline,
        )
        return await self._selection.wait_for_pause_end(limit)

    async def _wait_for_decision(self) -> None:
        quarantine = self._services.quarantine
        wait_s = quarantine.decision_wait_s(self._request.shared_part_ids)
        if wait_s:
            await trio.sleep_until(min(trio.current_time() + wait_s, self._answer_by))

    def _start_attempt(self, choice: TargetChoice, *, earlier: int) -> StartedAttempt:
        """Begin an attempt, after ``earlier`` ones that were sent."""
        can_repeat = (
            self._route.is_repeatable and earlier + 1 < self._route.attempt_limit
        )
        try_take_over = partial(self._try_take_over, choice.target)
        return self._attempt_starter.start(
            choice, try_take_over=try_take_over if can_repeat else None
        )

    def _try_take_over(self, silent: Target) -> bool:
        self._recorder.record_silence(silent)
        return self._take_over.try_take_over(silent)

    def _give_up_silent_target(self) -> None:
        self._running.attempt.give_up_silent_target()

    def _start_successor(self, silent: Target) -> StartedAttempt | None:
        """Begin an attempt at another target than a silent one, if that is possible.

        It must be one that hasn't failed lately.
        """
        earlier = self._sent_attempts + 1
        if not self._repeats.may_add(earlier):
            return None
        choice = self._selection.choose(instead_of=silent)
        if choice is None or choice.is_last_resort:
            return None
        if not self._retry_budget.try_acquire():
            return None
        return self._start_attempt(choice, earlier=earlier)

    def _end_successor(self, started: StartedAttempt, outcome: AttemptOutcome) -> None:
        """Account for an attempt that didn't take over from a silent target."""
        self._end_attempt(started, outcome)
        if started.attempt.sent_at is None:
            self._retry_budget.release()
        else:
            self._sent_attempts += 1
        if outcome.is_certainly_not_run:
            started.attempt.record_not_run()
        if outcome is not AttemptOutcome.SUPERSEDED:
            self._selection.record_failure(started.target)

    async def _run_attempt(self, started: StartedAttempt) -> AttemptOutcome:
        self._running = started
        self._choice_reason = started.reason
        self._choice_costed = started.costed
        outcome = None
        try:
            outcome = await started.attempt.run(started.opening)
        finally:
            self._end_attempt(started, outcome)
        self._last_outcome = outcome
        await self._record_outcome(started, outcome)
        return outcome

    def _end_attempt(
        self, started: StartedAttempt, outcome: AttemptOutcome | None
    ) -> None:
        target = started.target
        if started.permit is not None:
            started.permit.release()
        if started.attempt.failure_response is not None:
            self._failure_response = started.attempt.failure_response
        self._recorder.record_end(started.attempt, target, outcome)
        load = self._services.load_tracker.state(target).outstanding
        self._log.record_attempt(
            started.attempt, target, outcome, sent_at=started.started_at, load=load
        )

    async def _record_outcome(
        self, started: StartedAttempt, outcome: AttemptOutcome
    ) -> None:
        attempt, target, sent_at = started.attempt, started.target, started.started_at
        if outcome is AttemptOutcome.INVALID:
            self._log.write_invalid_answer(attempt, target)
        if outcome is AttemptOutcome.LOST:
            self._log.write_lost_attempt(attempt, target, sent_at=sent_at)
        await self._recorder.record_outcome(attempt, target, outcome, sent_at=sent_at)

    def _refuse_without_place(self) -> Refusal | None:
        """Refuse at once, without a reservation, if no target may get the request."""
        return self._refuse_without_target() if self._selection.has_no_place() else None

    def _refuse_without_target(self) -> Refusal:
        self._repeats.not_repeated = "no_target"
        return self._refusals.without_target()

    async def _send(self, refusal: Refusal) -> None:
        if self._writer.started:
            # Part of the answer was sent already. The connection is closed without
            # its end, which the caller notices.
            return
        headers = self._services.codec.answer_headers(self._request.attempt_id)
        response = refusal_response(
            refusal,
            headers,
            caller_left_s=self._caller_deadline - trio.current_time(),
            draw=self._services.draw(),
        )
        await self._writer.send(response)

    async def _relay_failure_response(self) -> bool:
        """Relay a target's error response; return False if there is none to relay.

        It tells the caller more than a failure of the router's own.
        """
        if self._failure_response is None or self._writer.started:
            return False
        await self._writer.send(self._failure_response)
        return True

    def _write_result(self, refusal: Refusal | None) -> None:
        result = RequestResult(
            route=self._route.name,
            organisation=self._organisation.name if self._organisation else None,
            config_version=self._table.version,
            service=self._service_name,
            choice=self._choice_reason,
            costed=self._choice_costed,
            refusal=refusal,
            outcome=self._last_outcome,
            answer=answer_state(self._writer),
            not_repeated=self._repeats.not_repeated,
            reserved_tokens=self._reservation.tokens,
            progress=self._progress,
            started_at=self._started_at,
            funded_at=self._reservation.funded_at,
            caller_deadline=self._caller_deadline,
            leaves_at=self._patience.leaves_at,
            balance=self._reservation.balance_at(refusal),
        )
        self._log.write_result(result)
