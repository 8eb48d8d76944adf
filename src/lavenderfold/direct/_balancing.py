"""Connects a router's requests with the choice of targets by expected cost."""

import random
from collections.abc import Iterable

import xxhash

from lavenderfold.balancing import Balancer, CostedTarget, Demand, TargetUse
from lavenderfold.direct._attempt import Attempt
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.escrow import BalanceManager
from lavenderfold.fleet import Target
from lavenderfold.timers import TimerService

# With these outcomes a target has failed or turned the request away.
ERROR_OUTCOMES = (
    AttemptOutcome.NOT_CONNECTED,
    AttemptOutcome.REJECTED,
    AttemptOutcome.LOST,
    AttemptOutcome.INVALID,
    AttemptOutcome.FAILED,
)

# Callers state any number; the prompts that targets accept are far smaller than this.
TOKENS_LIMIT = 10**7
# A prompt has a few parts; those after this number don't decide where it goes.
PARTS_LIMIT = 16
# Longer ids are remembered by a hash. Usual ones have about 12 characters.
PART_ID_CHARACTERS = 32


class TargetBalancing:
    """Chooses targets by cost for all requests of one router."""

    __slots__ = ("balancer", "timers", "_balance_manager", "_router_count", "_rng")

    def __init__(
        self,
        *,
        timers: TimerService,
        balance_manager: BalanceManager,
        rng: random.Random | None = None,
    ):
        self.balancer = Balancer()
        self.timers = timers
        self._balance_manager = balance_manager
        self._router_count = balance_manager.router_count
        self._rng = rng or random.Random()

    def choose(
        self, targets: list[Target], *, service_name: str, request: CallerRequest
    ) -> CostedTarget:
        """Return one of the targets, which must not be empty."""
        return self.balancer.choose(
            targets,
            request_demand(service_name, request),
            router_count=self._router_count,
            rng=self._rng,
            now=self.timers.now(),
        )

    def explain(
        self, targets: list[Target], *, service_name: str, request: CallerRequest
    ) -> list[CostedTarget]:
        """Return all targets with the costs that a choice among them goes by."""
        return self.balancer.explain(
            targets,
            request_demand(service_name, request),
            router_count=self._router_count,
            now=self.timers.now(),
        )

    def recorder(
        self, service_name: str, request: CallerRequest
    ) -> "BalancingRecorder":
        """Return the recorder for the attempts of one request."""
        return BalancingRecorder(
            balancing=self, demand=request_demand(service_name, request)
        )

    def update(self, targets: Iterable[Target]) -> None:
        """Forget targets that aren't listed any more, and count the routers anew.

        The count goes over all balances, which is too much for each choice.
        """
        self.balancer.keep_only(targets)
        self._router_count = self._balance_manager.router_count


class BalancingRecorder:
    """Records the attempts of one request, at most one for each target."""

    __slots__ = ("_balancing", "_demand", "_use_by_id")

    def __init__(self, *, balancing: TargetBalancing, demand: Demand):
        self._balancing = balancing
        self._demand = demand
        self._use_by_id: dict[str, TargetUse] = {}

    def record_start(self, target: Target) -> None:
        """Record that an attempt at a target begins."""
        self._use_by_id[target.id] = self._balancing.balancer.record_send(
            target, self._demand, now=self._balancing.timers.now()
        )

    def record_relaying(self, target: Target) -> None:
        """Record that a part of a successful answer is about to be relayed."""
        use = self._use_by_id[target.id]
        if use.first_at is None:
            now = self._balancing.timers.now()
            self._balancing.balancer.record_first(use, now=now)

    def record_end(
        self, attempt: Attempt, target: Target, outcome: AttemptOutcome | None
    ) -> None:
        """Record that an attempt has ended; it was cancelled if it has no outcome."""
        balancer = self._balancing.balancer
        use = self._use_by_id[target.id]
        now = self._balancing.timers.now()
        if outcome in ERROR_OUTCOMES:
            balancer.record_error(use, now=now)
        elif outcome is AttemptOutcome.SILENT:
            balancer.record_silence(use, now=now)
        elif outcome is AttemptOutcome.DELIVERED:
            balancer.record_last(use, attempt.events, now=now)
        balancer.record_end(use)


def send_spread_by_service(
    balancing: TargetBalancing | None, targets: Iterable[Target]
) -> dict[str, float]:
    """Return the most own sends to a target over the mean, by service."""
    if balancing is None:
        return {}
    return balancing.balancer.spread_by_service(targets, now=balancing.timers.now())


def request_demand(service_name: str, request: CallerRequest) -> Demand:
    """Return what a request asks of a target of a service.

    Ids and numbers come from callers, so their size is bounded.
    """
    shared_parts = tuple(
        (_short_id(part.id), min(part.tokens, TOKENS_LIMIT))
        for part in request.prompt_parts[:-1][:PARTS_LIMIT]
    )
    tokens = request.tokens
    return Demand(
        service=service_name,
        shared_parts=shared_parts,
        prompt_tokens=min(tokens.prompt, TOKENS_LIMIT) if tokens is not None else 0,
        tokens=min(tokens.worst_case, TOKENS_LIMIT) if tokens is not None else 0,
    )


def _short_id(part_id: str) -> str:
    if len(part_id) <= PART_ID_CHARACTERS:
        return part_id
    return xxhash.xxh64_hexdigest(part_id.encode("utf-8", "surrogatepass"))
