"""Execution of one request, from the reservation of budget to the settlement."""

import random
import uuid
from functools import partial

import msgspec
import trio

from lavenderfold.messages import CancelRun, Run, RunEnded, UsageRecord
from lavenderfold.outcomes import MayHaveRun, NotRun, Outcome, Ran, Reason
from lavenderfold.router._agents import AgentUnreachableError
from lavenderfold.router._answers import AnswerAssembler, AnswerPipe, RelayProgress
from lavenderfold.router._attempt import Attempt
from lavenderfold.router._decision_log import outcome_fields
from lavenderfold.router._dispatcher import DispatchPermit
from lavenderfold.router._refusals import AlreadyRan
from lavenderfold.router._requests import CallerRequest
from lavenderfold.router._retry_rules import may_retry, uses_retry_budget
from lavenderfold.router._run_order import make_run
from lavenderfold.router._services import RouterServices
from lavenderfold.routing import Choice, backoff_s

# Time beyond the request class's run time in which the agent can report the end
# of a run itself.
RUN_GRACE_S = 5.0
# After a target failed, a request has at least this long to find another target,
# even if its class's wait time has passed.
RETRY_WAIT_S = 2.0


class RequestExecution:
    """Runs one request to its end, even if its caller disconnects.

    The answer's bytes go to ``pipe``, which is finished with the outcome.
    ``is_placed`` is set once a run was sent to ``target`` or the request ended.
    """

    def __init__(self, *, services: RouterServices, request: CallerRequest):
        self.request = request
        self.outcome: Outcome | AlreadyRan | None = None
        self.target: str | None = None
        self.is_placed = trio.Event()
        self.ended: RunEnded | None = None
        self.pipe = AnswerPipe(
            unread_bytes_limit=self._unread_bytes_limit(services, request)
        )
        self.attempts = 0
        self._failure_count = 0
        self._run_ids: list[str] = []
        self._is_usage_known = True
        self._settled_tokens = 0
        self._services = services
        self._reservation = None
        self._relay_progress = RelayProgress()
        self._claimant = uuid.uuid4().hex
        self._part_ids = request.shared_part_ids
        self._deadline = services.timers.now() + request.request_class.wait_s

    @property
    def state(self) -> str:
        if self.outcome is not None:
            return "ended"
        return "running" if self.target is not None else "waiting"

    @property
    def may_start_again(self) -> bool:
        """Whether a repeated call starts a new run instead of getting this answer."""
        return isinstance(self.outcome, NotRun | MayHaveRun | AlreadyRan)

    async def run(self) -> None:
        """Run the request to its end and settle its usage."""
        request = self.request
        self._record(
            "admitted",
            route=request.route_name,
            organisation=request.organisation,
            budget=str(request.key.budget),
            worst_case=request.worst_case,
        )
        self._services.metrics.incr("admitted")
        outcome = await self._reserve_and_run()
        if isinstance(outcome, NotRun):
            self._record("refused", reason=outcome.reason, detail=outcome.detail)
            self._services.metrics.incr(f"refused.{outcome.reason}")
        else:
            self._record("ended", target=self.target, **outcome_fields(outcome))
        self._finish(outcome)

    def fail(self, outcome: MayHaveRun) -> None:
        """End the request after an internal error."""
        if self.outcome is None:
            self._finish(outcome)

    def _finish(self, outcome: Outcome | AlreadyRan) -> None:
        self.outcome = outcome
        self._part_ids = ()
        self.is_placed.set()
        self.pipe.finish(outcome)

    async def _reserve_and_run(self) -> Outcome | AlreadyRan:
        request, grants = self.request, self._services.grants
        refusal = self._services.prompt_guard.refusal(self._part_ids)
        if refusal is not None:
            return refusal
        reservation = await grants.reserve(
            request.key,
            request.worst_case,
            deadline=self._deadline,
        )
        if isinstance(reservation, NotRun):
            return reservation
        self._reservation = reservation
        try:
            return await self._run_and_account()
        finally:
            self._services.settler.end_attempts(self._run_ids)

    async def _run_and_account(self) -> Outcome | AlreadyRan:
        grants = self._services.grants
        outcome = await self._claim_and_run()
        if isinstance(outcome, Ran):
            outcome = self._limit_to_reservation(outcome)
            await self._settle_usage(outcome)
        elif isinstance(outcome, MayHaveRun) and self.attempts > 0:
            self._hold_or_cancel_reservation()
        else:
            grants.cancel(self._reservation)
        return outcome

    async def _claim_and_run(self) -> Outcome | AlreadyRan:
        request = self.request
        if request.route.idempotent:
            return await self._attempt_all()
        refusal = await self._services.settler.claim(
            request.key, self._claimant, deadline=self._deadline
        )
        if refusal is not None:
            self._record("claim_refused", **outcome_fields(refusal))
            return AlreadyRan(refusal) if isinstance(refusal, Ran) else refusal
        outcome = await self._attempt_all()
        if isinstance(outcome, NotRun):
            self._services.settler.release_claim(request.key, self._claimant)
        return outcome

    async def _attempt_all(self) -> Outcome:
        """Try targets until one runs the request or no further retry is allowed.

        If any attempt may have run, the result is its ``MayHaveRun`` rather than
        a later refusal.
        """
        dispatcher = self._services.dispatcher
        dispatcher.retry_budget(self.request.route).record_request()
        excluded_targets: set[str] = set()
        may_have_run: MayHaveRun | None = None
        while True:
            permit = await self._wait_for_permit()
            if isinstance(permit, NotRun):
                return may_have_run or permit
            choice = dispatcher.choose(self.request, frozenset(excluded_targets))
            if isinstance(choice, NotRun):
                permit.release()
                outcome = choice
                excluded_targets.clear()
            else:
                outcome = await self._attempt(choice, permit)
                if isinstance(outcome, Ran):
                    return outcome
                self._record(
                    "attempt_failed",
                    target=choice.target,
                    attempt=self.attempts,
                    **outcome_fields(outcome),
                )
                excluded_targets.add(choice.target)
            # A permit that was released without a run may free capacity for
            # another request.
            dispatcher.dispatch_waiting()
            if isinstance(outcome, MayHaveRun):
                may_have_run = outcome
            if not await self._prepare_retry(outcome):
                return may_have_run or outcome

    async def _wait_for_permit(self) -> DispatchPermit | NotRun:
        """Wait until the request may be sent, unless its prompt is quarantined."""
        dispatcher, guard = self._services.dispatcher, self._services.prompt_guard
        while True:
            hold_s = guard.decision_wait_s(self._part_ids)
            if hold_s:
                await trio.sleep(hold_s)
            refusal = guard.refusal(self._part_ids)
            if refusal is not None:
                return refusal
            permit = await dispatcher.wait_for_permit(self.request, self._deadline)
            if isinstance(permit, NotRun) or guard.may_send(self._part_ids):
                return permit
            # The prompt has crashed engines while the request was queued.
            permit.release()
            dispatcher.dispatch_waiting()

    async def _prepare_retry(self, outcome: NotRun | MayHaveRun) -> bool:
        """Wait before a retry, or return False if the outcome is final."""
        route, now = self.request.route, self._services.timers.now()
        if not may_retry(self.request, outcome):
            return False
        is_lost = isinstance(outcome, MayHaveRun)
        if is_lost and not self._services.prompt_guard.may_repeat(self._part_ids):
            # It may crash the next engine as well.
            self._record("prompt_suspected")
            return False
        if uses_retry_budget(self.request, outcome):
            self._failure_count += 1
            if self._failure_count >= self._services.settings.limits.attempts:
                return False
            if not self._services.dispatcher.retry_budget(route).try_acquire():
                return False
            self._deadline = max(self._deadline, now + RETRY_WAIT_S)
        elif now >= self._deadline:
            return False
        if outcome.reason is Reason.FENCED and not await self._reserve_again():
            return False
        if not self._rewind_pipe(outcome):
            return False
        await trio.sleep(backoff_s(max(1, self.attempts), random.random()))
        return True

    def _rewind_pipe(self, outcome: Outcome) -> bool:
        """Prepare the pipe for a retry; return False if no retry is possible."""
        if outcome.reason is Reason.TARGET_FAILED and self.pipe.was_read:
            # The bytes that the caller has already read may be wrong.
            return False
        if self.pipe.rewind():
            self._relay_progress = RelayProgress()
        return True

    async def _reserve_again(self) -> bool:
        """Replace the reservation after the incarnation that pays for it was fenced."""
        grants = self._services.grants
        grants.payer_was_fenced(self._reservation.payer)
        reservation = await grants.reserve(
            self.request.key,
            self.request.worst_case,
            deadline=self._deadline,
        )
        if isinstance(reservation, NotRun):
            return False
        self._reservation = reservation
        return True

    async def _attempt(self, choice: Choice, permit) -> Outcome:
        """Run the request at the chosen target."""
        self.attempts += 1
        run = make_run(
            self.request,
            self._reservation,
            attempt=self.attempts,
            wait_s=max(RETRY_WAIT_S, self._deadline - self._services.timers.now()),
        )
        self._record(
            "routed",
            route=self.request.route_name,
            organisation=self.request.organisation,
            target=choice.target,
            cost=choice.cost,
            reason=choice.reason,
            attempt=run.attempt,
            run=run.run_id,
        )
        link = self._services.agents.link_by_target.get(choice.target)
        try:
            if link is None:
                raise AgentUnreachableError(choice.target)
            link.post(run)
        except AgentUnreachableError as error:
            return NotRun(Reason.CONNECTION_FAILED, str(error))
        finally:
            permit.release()
        self._run_ids.append(run.run_id)
        self._services.settler.begin_attempt(run.run_id)
        self._services.load_view.record_sent(
            choice.target,
            run.run_id,
            tokens=self.request.worst_case,
            prefixes=self.request.prefixes,
            now=self._services.timers.now(),
        )
        return await self._follow(run, choice.target, link)

    async def _follow(self, run: Run, target: str, link) -> Outcome:
        services = self._services
        attempt = Attempt(
            run_id=run.run_id,
            key=run.key,
            link=link,
            assembler=AnswerAssembler(relay_progress=self._relay_progress),
            pipe=self.pipe,
            relink_wait_s=self._relink_wait_s(),
            on_answering=partial(services.prompt_guard.record_answer, self._part_ids),
        )
        sent_at = services.timers.now()
        self.target = target
        self.is_placed.set()
        try:
            run_s = self.request.request_class.run_s
            limit_s = run.deadline_s + run_s + RUN_GRACE_S
            outcome = await attempt.follow_for(limit_s)
            if outcome is not None:
                self.ended = attempt.ended
                return outcome
            services.agents.post_if_connected(target, CancelRun(run_id=run.run_id))
            return MayHaveRun(Reason.DEADLINE_PASSED, "the run took too long")
        finally:
            attempt.close()
            if attempt.is_lost_at_beginning:
                services.prompt_guard.record_loss(
                    self._part_ids, target=target, sent_at=sent_at
                )
            self._is_usage_known &= attempt.is_usage_known
            self._relay_progress = attempt.assembler.relay_progress()
            services.load_view.record_ended(target, run.run_id)
            services.dispatcher.dispatch_waiting()

    def _hold_or_cancel_reservation(self) -> None:
        """Keep the tokens charged, unless it is certain that no run used any.

        On a link that was never lost, an agent reports a run's usage before its
        end, so that an end without a usage report means that nothing was used.
        """
        grants = self._services.grants
        if self._is_usage_known and not grants.has_reported_usage(self._run_ids):
            grants.cancel(self._reservation)
        else:
            grants.hold_until_reported(self._reservation, run_ids=self._run_ids)

    def _limit_to_reservation(self, outcome: Ran) -> Ran:
        """Return the outcome with its tokens limited to the reservation.

        An agent must not run beyond the reservation. If it reports more, that is
        an error of the agent, and the grant must not be charged for tokens that
        weren't reserved from it.
        """
        reserved = self._reservation.tokens
        if outcome.tokens <= reserved:
            return outcome
        self._record("usage_above_reservation", tokens=outcome.tokens, limit=reserved)
        return msgspec.structs.replace(outcome, tokens=reserved)

    def _relink_wait_s(self) -> float:
        """Return how long to wait for a lost link to the agent.

        The wait is longer for requests that aren't idempotent, because they can't
        be retried at another target.
        """
        limits = self._services.settings.limits
        if self.request.route.idempotent:
            return limits.relink_wait_s
        return limits.relink_wait_once_s

    async def _settle_usage(self, outcome: Ran) -> None:
        """Charge the run's tokens and wait a limited time until that is durable."""
        services, reservation = self._services, self._reservation
        self._settled_tokens = outcome.tokens
        services.grants.settle(reservation, outcome.tokens)
        record = UsageRecord(
            run_id=self._run_ids[-1],
            key=self.request.key,
            payer=reservation.payer,
            grant_id=reservation.grant_id,
            tokens=outcome.tokens,
        )
        is_durable = services.settler.settle_run(
            record=record,
            target=self.target,
            outcome=outcome,
            claimant=None if self.request.route.idempotent else self._claimant,
            refund=self._refund,
        )
        services.metrics.incr("spend", outcome.tokens)
        with trio.move_on_after(services.settings.limits.settle_wait_s):
            await is_durable.wait()

    def _refund(self, already_settled_tokens: int) -> None:
        """Release this run's tokens, because its request was already settled.

        If the earlier settlement may come from another attempt on the same
        reservation, the tokens settled then stay charged.
        """
        tokens = self._settled_tokens
        if len(self._run_ids) > 1:
            tokens -= already_settled_tokens
        self._services.grants.refund(self._reservation, tokens)

    def _record(self, event: str, **fields: object) -> None:
        self._services.decision_log.record(self.request.request_id, event, **fields)

    @staticmethod
    def _unread_bytes_limit(services: RouterServices, request: CallerRequest) -> int:
        limits = services.settings.limits
        return limits.unread_bytes if request.stream else limits.answer_bytes
