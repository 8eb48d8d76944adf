"""The life of one request: budget, queue, claim, attempts, settlement."""

import random
import uuid

import msgspec
import trio

from lavenderfold.messages import CancelRun, Run, RunEnded, UsageRecord
from lavenderfold.outcomes import MayHaveRun, NotRun, Outcome, Ran, Reason
from lavenderfold.router._agents import AgentUnreachableError
from lavenderfold.router._answers import AnswerAssembler, AnswerPipe, RelayProgress
from lavenderfold.router._attempt import Attempt
from lavenderfold.router._decision_log import outcome_fields
from lavenderfold.router._refusals import AlreadyRan
from lavenderfold.router._requests import CallerRequest
from lavenderfold.router._services import RouterServices
from lavenderfold.routing import Choice, backoff_s

# Beyond the class's running time, for the agent's own report to arrive.
RUN_GRACE_S = 5.0
# A request that was given up by a failed target has at least this long to find
# another one, even if its class's waiting time has passed.
RETRY_WAIT_S = 2.0
# A refusal for these reasons is over soon, or isn't the target's load, so the
# retry doesn't count against the retry budget.
FREE_RETRY_REASONS = frozenset(
    {Reason.DRAINING, Reason.FENCED, Reason.NOT_READY, Reason.NO_TARGET}
)
RETRIED_REASONS = FREE_RETRY_REASONS | {
    Reason.CONNECTION_FAILED,
    Reason.NO_TARGET,
    Reason.OVERLOADED,
    Reason.TARGET_FAILED,
}


class RequestExecution:
    """Carries one request to its end, whether or not its caller stays.

    The answer's bytes go to ``pipe``, which is finished with the outcome.
    """

    def __init__(self, *, services: RouterServices, request: CallerRequest):
        self.request = request
        self.outcome: Outcome | AlreadyRan | None = None
        self.target: str | None = None
        self.is_placed = trio.Event()
        self.ended: RunEnded | None = None
        self.pipe = AnswerPipe(unread_limit=self._unread_limit(services, request))
        self.attempts = 0
        self._failures = 0
        self._run_ids: list[str] = []
        self._is_accounted = True
        self._used_tokens = 0
        self._services = services
        self._reservation = None
        self._relayed = RelayProgress()
        self._claimant = uuid.uuid4().hex
        self._deadline = services.timers.now() + request.request_class.wait_s

    @property
    def state(self) -> str:
        if self.outcome is not None:
            return "ended"
        return "running" if self.target is not None else "waiting"

    @property
    def may_start_again(self) -> bool:
        """Whether a repeated call is a new request rather than this one's answer."""
        return isinstance(self.outcome, NotRun | MayHaveRun | AlreadyRan)

    async def run(self) -> None:
        """Run the request to its end and settle it."""
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
        self.is_placed.set()
        self.pipe.finish(outcome)

    async def _reserve_and_run(self) -> Outcome | AlreadyRan:
        request, grants = self.request, self._services.grants
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
            outcome = self._within_reservation(outcome)
            await self._settle(outcome)
        elif isinstance(outcome, MayHaveRun) and self.attempts > 0:
            self._hold()
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
        """Try targets until one runs the request or no retry is permitted."""
        dispatcher = self._services.dispatcher
        dispatcher.retry_budget(self.request.route).record_request()
        avoid: set[str] = set()
        unknown: MayHaveRun | None = None
        while True:
            turn = await dispatcher.wait_for_permit(self.request, self._deadline)
            if isinstance(turn, NotRun):
                return unknown or turn
            choice = dispatcher.choose(self.request, frozenset(avoid))
            if isinstance(choice, NotRun):
                turn.release()
                outcome = choice
                avoid.clear()
            else:
                outcome = await self._attempt(choice, turn)
                if isinstance(outcome, Ran):
                    return outcome
                self._record(
                    "attempt_failed",
                    target=choice.target,
                    attempt=self.attempts,
                    **outcome_fields(outcome),
                )
                avoid.add(choice.target)
            # The turn may have been given back without a run.
            dispatcher.dispatch_waiting()
            if isinstance(outcome, MayHaveRun):
                unknown = outcome
            if not await self._may_retry(outcome):
                return unknown or outcome

    async def _may_retry(self, outcome: NotRun | MayHaveRun) -> bool:
        """Wait before a retry; returns False if the outcome is final."""
        route, now = self.request.route, self._services.timers.now()
        if isinstance(outcome, MayHaveRun) and not route.idempotent:
            return False
        if isinstance(outcome, NotRun) and outcome.reason not in RETRIED_REASONS:
            return False
        if self._counts_as_failure(outcome):
            self._failures += 1
            if self._failures >= self._services.settings.limits.attempts:
                return False
            if not self._services.dispatcher.retry_budget(route).try_acquire():
                return False
            self._deadline = max(self._deadline, now + RETRY_WAIT_S)
        elif now >= self._deadline:
            return False
        if outcome.reason is Reason.FENCED and not await self._reserve_again():
            return False
        if not self._rewind(outcome):
            return False
        await trio.sleep(backoff_s(max(1, self.attempts), random.random()))
        return True

    def _counts_as_failure(self, outcome: NotRun | MayHaveRun) -> bool:
        """Whether the retry counts against the retry budget.

        A request that isn't urgent goes back to the queue when the targets are
        full; that is waiting rather than a retry.
        """
        if outcome.reason in FREE_RETRY_REASONS:
            return False
        is_urgent = self.request.request_class.priority == 0
        return is_urgent or outcome.reason is not Reason.OVERLOADED

    def _rewind(self, outcome: Outcome) -> bool:
        if outcome.reason is Reason.TARGET_FAILED and self.pipe.was_read:
            # Bytes that the caller has already seen may be wrong.
            return False
        if self.pipe.rewind():
            self._relayed = RelayProgress()
        return True

    async def _reserve_again(self) -> bool:
        """Replace a reservation whose payer was fenced."""
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

    async def _attempt(self, choice: Choice, turn) -> Outcome:
        """Run the request at the chosen target."""
        self.attempts += 1
        run = self._make_run()
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
            turn.release()
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
            assembler=AnswerAssembler(relayed=self._relayed),
            pipe=self.pipe,
            relink_wait_s=self._relink_wait_s(),
        )
        self.target = target
        self.is_placed.set()
        try:
            run_s = self.request.request_class.run_s
            with trio.move_on_after(run.deadline_s + run_s + RUN_GRACE_S):
                outcome = await attempt.follow()
                self.ended = attempt.ended
                return outcome
            services.agents.post_if_connected(target, CancelRun(run_id=run.run_id))
            return MayHaveRun(Reason.DEADLINE_PASSED, "the run took too long")
        finally:
            attempt.close()
            self._is_accounted &= attempt.is_accounted
            self._relayed = attempt.assembler.relayed()
            services.load_view.record_ended(target, run.run_id)
            services.dispatcher.dispatch_waiting()

    def _hold(self) -> None:
        """Keep the tokens charged unless all runs certainly used nothing.

        On a link that stayed open an agent reports usage before the end of the
        run, so that an end without a report means that there is none.
        """
        grants = self._services.grants
        if self._is_accounted and not grants.has_reported_usage(self._run_ids):
            grants.cancel(self._reservation)
        else:
            grants.hold_until_reported(self._reservation, run_ids=self._run_ids)

    def _within_reservation(self, outcome: Ran) -> Ran:
        """Return the outcome with no more tokens than were set aside.

        An agent never runs beyond the reservation, so that more is its fault,
        which must not charge what the grant doesn't cover.
        """
        reserved = self._reservation.tokens
        if outcome.tokens <= reserved:
            return outcome
        self._record("usage_above_reservation", tokens=outcome.tokens, limit=reserved)
        return msgspec.structs.replace(outcome, tokens=reserved)

    def _relink_wait_s(self) -> float:
        """Return how long to wait for a lost link.

        What may not repeat has nowhere else to go, so it waits longer.
        """
        limits = self._services.settings.limits
        if self.request.route.idempotent:
            return limits.relink_wait_s
        return limits.relink_wait_once_s

    async def _settle(self, outcome: Ran) -> None:
        """Bill the run; waits a bounded time until that is durable."""
        services, reservation = self._services, self._reservation
        self._used_tokens = outcome.tokens
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

    def _refund(self, billed_tokens: int) -> None:
        """Free what this run used, because its request was billed before.

        If that bill may come from an earlier attempt on the same reservation,
        its tokens stay charged.
        """
        tokens = self._used_tokens
        if len(self._run_ids) > 1:
            tokens -= billed_tokens
        self._services.grants.refund(self._reservation, tokens)

    def _make_run(self) -> Run:
        request, reservation = self.request, self._reservation
        return Run(
            run_id=uuid.uuid4().hex,
            key=request.key,
            attempt=self.attempts,
            payer=reservation.payer,
            grant_id=reservation.grant_id,
            reserved=reservation.tokens,
            idempotent=request.route.idempotent,
            priority=request.request_class.priority,
            deadline_s=max(RETRY_WAIT_S, self._deadline - self._services.timers.now()),
            model=request.route.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            cost_tokens=request.route.cost_tokens,
        )

    def _record(self, event: str, **fields: object) -> None:
        self._services.decision_log.record(self.request.request_id, event, **fields)

    @staticmethod
    def _unread_limit(services: RouterServices, request: CallerRequest) -> int:
        limits = services.settings.limits
        return limits.unread_bytes if request.stream else limits.answer_bytes
