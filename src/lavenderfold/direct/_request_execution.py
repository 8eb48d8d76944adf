"""The life of one request: admission, attempts, answer, settlement."""

import logging
from collections.abc import Callable

import msgspec
import trio
import xxhash

from lavenderfold.direct._attempt import Attempt, AttemptOutcome, RelayProgress
from lavenderfold.direct._choice import choose_target
from lavenderfold.direct._connections import TargetClients
from lavenderfold.direct._event_loop_monitor import EventLoopMonitor
from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._metrics import RouterMetrics
from lavenderfold.direct._reachability import Reachability
from lavenderfold.direct._refusals import (
    Refusal,
    may_have_run,
    not_run,
    refusal_response,
)
from lavenderfold.direct._requests import CallerRequest, PlatformCodec, TargetCall
from lavenderfold.escrow import Bank, Funding
from lavenderfold.fleet import (
    Organisation,
    Route,
    RouteTable,
    Target,
    TargetDirectory,
)
from lavenderfold.http import ResponseWriter
from lavenderfold.outcomes import Reason
from lavenderfold.routing import RetryBudget
from lavenderfold.timers import TimerService

# A grant takes about 30 ms from the other region; a path to the store that was cut
# is noticed and replaced within 0.6 s.
FUNDING_WAIT_S = 0.7
# Connections that can't be established cost no run, but time.
CONNECTION_ATTEMPTS = 3
RETRY_SOON_S = 0.25
RETRY_FUNDING_S = 0.3
# A call with less time than this left can't be answered any more.
LEAST_REMAINING_S = 0.005

# Outcomes of attempts that may mean that the router is cut off.
UNREACHED = (AttemptOutcome.NOT_CONNECTED, AttemptOutcome.SILENT)
BALANCE_REASONS = (Reason.BUDGET_SPENT.value, Reason.BUDGET_UNAVAILABLE.value)
UNSIZED = Refusal(status=400, reason="size_missing", outcome="not_run")

logger = logging.getLogger("lavenderfold.requests")


class RouterServices(msgspec.Struct, kw_only=True):
    """What requests share in one router. ``domain`` is its failure domain."""

    bank: Bank
    load_tracker: LoadTracker
    clients: TargetClients
    codec: PlatformCodec
    directory: TargetDirectory
    metrics: RouterMetrics
    event_loop_monitor: EventLoopMonitor
    reachability: Reachability
    timers: TimerService
    new_retry_budget: Callable[[], RetryBudget]
    domain: str
    retries_by_service: dict[str, RetryBudget] = msgspec.field(default_factory=dict)


class RequestExecution:
    """Serves one request on a route, from admission to the last byte."""

    def __init__(
        self,
        *,
        services: RouterServices,
        table: RouteTable,
        request: CallerRequest,
        route: Route,
        organisation: Organisation | None,
        writer: ResponseWriter,
    ):
        self._services = services
        self._table = table
        self._request = request
        self._route = route
        self._organisation = organisation
        self._writer = writer
        self._started_at = trio.current_time()
        caller_timeout_s = request.caller_timeout_s or route.timeout_s
        self._deadline = self._started_at + min(caller_timeout_s, route.timeout_s)
        self._patience_end = self._started_at + caller_timeout_s
        self._service_name = pick_service(route, request.attempt_id)
        self._relayed = RelayProgress()
        self._reserved = 0
        self._funded_at: float | None = None
        self._sends = 0
        self._last_outcome: AttemptOutcome | None = None
        self._history: list[str] = []
        self._reason = ""

    async def run(self) -> None:
        """Answer the request; an answer that can't be completed is left cut."""
        refusal = None
        self._retries.record_request()
        try:
            refusal = await self._fund()
            if refusal is None:
                refusal = await self._attempt_until_deadline()
            if refusal is not None:
                await self._refuse(refusal)
        finally:
            self._settle()
            self._log(refusal)

    async def _fund(self) -> Refusal | None:
        tokens = self._request.tokens
        organisation = self._organisation
        if organisation is None or organisation.limit_tokens is None:
            return None
        if tokens is None:
            service = self._table.service(self._service_name)
            # Without its size a generation can't be bounded by the balance.
            return UNSIZED if service and service.is_model else None
        worst = tokens.worst_case
        until = self._services.timers.now() + FUNDING_WAIT_S
        funding = await self._services.bank.reserve(
            organisation.name, worst, until=until
        )
        if funding is Funding.SPENT:
            return not_run(Reason.BUDGET_SPENT)
        if funding is Funding.UNAVAILABLE:
            return not_run(Reason.BUDGET_UNAVAILABLE, retry_after_s=RETRY_FUNDING_S)
        self._reserved = worst
        self._funded_at = trio.current_time()
        return None

    async def _attempt_until_deadline(self) -> Refusal | None:
        with trio.move_on_at(self._deadline):
            return await self._attempt_in_turn()
        if self._relayed.may_have_run or self._sends:
            return may_have_run(Reason.DEADLINE_PASSED)
        return not_run(Reason.OVERLOADED, retry_after_s=RETRY_SOON_S)

    async def _attempt_in_turn(self) -> Refusal | None:
        avoid: set[str] = set()
        connections = 0
        while True:
            target = self._choose(frozenset(avoid))
            if target is None:
                return self._no_target()
            attempt = self._new_attempt(target)
            outcome = await self._try(attempt, target)
            if outcome is AttemptOutcome.DELIVERED:
                return None
            avoid.add(target.id)
            connections += outcome is AttemptOutcome.NOT_CONNECTED
            self._sends += outcome is not AttemptOutcome.NOT_CONNECTED
            if connections >= CONNECTION_ATTEMPTS or not self._may_repeat(outcome):
                return await self._give_up(attempt, outcome)

    def _choose(self, avoid: frozenset[str]) -> Target | None:
        choice = choose_target(
            self._services.directory.usable(self._service_name),
            self._services.load_tracker,
            self._request,
            avoid=avoid,
            failure_domain=self._services.domain,
            now=self._services.timers.now(),
        )
        if choice is None:
            return None
        self._reason = choice.reason
        return choice.target

    def _new_attempt(self, target: Target) -> Attempt:
        now = trio.current_time()
        call = TargetCall(
            request=self._request,
            route=self._route,
            target=target,
            organisation=self._organisation.name if self._organisation else None,
            remaining_s=max(LEAST_REMAINING_S, self._deadline - now),
            last_event_id=self._relayed.last_event_id or self._request.last_event_id,
        )
        may_move = (
            self._route.is_repeatable
            and self._sends + 1 < self._route.attempt_limit
            and len(self._services.directory.usable(self._service_name)) > 1
        )
        return Attempt(
            call=call,
            codec=self._services.codec,
            writer=self._writer,
            relayed=self._relayed,
            may_move=may_move,
        )

    async def _try(self, attempt: Attempt, target: Target) -> AttemptOutcome:
        load_tracker = self._services.load_tracker
        load_tracker.record_start(target)
        sent_at = trio.current_time()
        label = "left"
        try:
            outcome = await attempt.run(self._services.clients.client(target))
            label = outcome.value
        finally:
            load_tracker.record_end(target)
            self._services.metrics.attempt_ended(label)
            elapsed_ms = round((trio.current_time() - sent_at) * 1000)
            status = f" {attempt.status}" if attempt.status else ""
            load = load_tracker.state(target).outstanding
            self._history.append(
                f"{target.id} {label}{status} {elapsed_ms}ms load={load}"
            )
        self._last_outcome = outcome
        if outcome in UNREACHED:
            self._services.reachability.record_failure()
        elif outcome is not AttemptOutcome.LOST:
            self._services.reachability.record_answer()
        if outcome is AttemptOutcome.DELIVERED:
            load_tracker.record_success(target)
        elif outcome is not AttemptOutcome.REJECTED:
            load_tracker.record_failure(target, now=self._services.timers.now())
        return outcome

    def _may_repeat(self, outcome: AttemptOutcome) -> bool:
        """Return whether another target may be tried after an outcome."""
        if not outcome.is_certainly_not_run and not self._route.is_repeatable:
            return False
        if outcome is AttemptOutcome.NOT_CONNECTED:
            return True
        if self._sends >= self._route.attempt_limit:
            return False
        return self._retries.try_acquire()

    async def _give_up(
        self, attempt: Attempt, outcome: AttemptOutcome
    ) -> Refusal | None:
        if attempt.failure is not None and not self._writer.started:
            await self._writer.send(attempt.failure)
            return None
        if self._relayed.may_have_run:
            return may_have_run(Reason.TARGET_FAILED)
        reason = Reason.OVERLOADED
        if outcome is AttemptOutcome.NOT_CONNECTED:
            reason = Reason.CONNECTION_FAILED
        return not_run(reason, retry_after_s=RETRY_SOON_S)

    def _no_target(self) -> Refusal:
        if self._relayed.may_have_run:
            return may_have_run(Reason.TARGET_FAILED)
        return not_run(Reason.NO_TARGET, retry_after_s=RETRY_SOON_S)

    async def _refuse(self, refusal: Refusal) -> None:
        if self._writer.started:
            # The connection ends without the end of the answer.
            return
        headers = self._services.codec.answer_headers(self._request.attempt_id)
        await self._writer.send(refusal_response(refusal, headers))

    def _settle(self) -> None:
        if not self._reserved:
            return
        used = 0
        if self._relayed.may_have_run:
            service = self._table.service(self._service_name)
            per_event = service.tokens_per_event if service else 0
            output = min(
                self._request.tokens.output_limit, self._relayed.events * per_event
            )
            used = self._request.tokens.prompt + output
        self._services.bank.settle(
            self._organisation.name, reserved=self._reserved, used=used
        )

    @property
    def _retries(self) -> RetryBudget:
        budget = self._services.retries_by_service.get(self._service_name)
        if budget is None:
            budget = self._services.new_retry_budget()
            self._services.retries_by_service[self._service_name] = budget
        return budget

    def _log(self, refusal: Refusal | None) -> None:
        now = trio.current_time()
        first = self._relayed.first_byte_at
        fields = {
            "request_id": self._request.attempt_id,
            "route": self._route.name,
            "organisation": self._organisation.name if self._organisation else None,
            "config_version": self._table.version,
            "service": self._service_name,
            "choice": self._reason or None,
            "attempts": self._history,
            "refusal": refusal.reason if refusal else None,
            "status": refusal.status if refusal else None,
            "outcome": self._last_outcome.value if self._last_outcome else None,
            "reserved": self._reserved or None,
            "events": self._relayed.events,
            "funded_ms": _ms(self._funded_at, self._started_at),
            "first_ms": _ms(first, self._started_at),
            "pause_ms": round(self._relayed.longest_pause_s * 1000),
            "total_ms": _ms(now, self._started_at),
            "left_ms": _ms(self._patience_end, now),
        }
        if refusal is not None and refusal.reason in BALANCE_REASONS:
            state = self._services.bank.purse_state(self._organisation.name)
            fields["balance"] = msgspec.structs.asdict(state)
            fields["needed"] = self._request.tokens.worst_case
        is_delivered = self._last_outcome is AttemptOutcome.DELIVERED
        end = refusal.reason if refusal else "left"
        if self._last_outcome is not None and refusal is None:
            end = self._last_outcome.value
        self._services.metrics.request_ended(
            end,
            first_s=None if first is None else first - self._started_at,
            pause_s=self._relayed.longest_pause_s,
            total_s=now - self._started_at,
        )
        logger.log(
            logging.INFO if is_delivered else logging.WARNING, "request", extra=fields
        )


def _ms(end: float | None, start: float) -> int | None:
    return None if end is None else round((end - start) * 1000)


def pick_service(route: Route, attempt_id: str) -> str:
    """Return the service that takes an attempt, by the route's weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh64_intdigest(attempt_id.encode()) % max(1, total)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
