"""Pools of targets: the queue before each and the choice in it."""

from collections.abc import Callable

import trio

from lavenderfold.config import FleetConfig, Route, RouteKind
from lavenderfold.outcomes import NotRun, Reason
from lavenderfold.router._requests import CallerRequest, serves_route
from lavenderfold.routing import (
    Candidate,
    Choice,
    LoadView,
    QueueEntry,
    RequestQueue,
    RetryBudget,
    RouteRequest,
    TargetState,
    choose_target,
    has_capacity,
)
from lavenderfold.timers import TimerService

URGENT_PRIORITY = 0
# Requests reserve their worst case and use about half of it, so a queue is
# hopeless only if half of its tokens don't fit into the waiting time.
EXPECTED_SHARE_OF_WORST_CASE = 0.5
# Work that would wait longer than this at the target waits in the queue here,
# where it can still go to another target.
TARGET_WAIT_LIMIT_S = 30.0


class DispatchPermit:
    """Permission to send one request to the pool; ``release`` gives it back."""

    __slots__ = ("_pool",)

    def __init__(self, pool: "TargetPool"):
        self._pool: TargetPool | None = pool

    def release(self) -> None:
        if self._pool is not None:
            self._pool.dispatching -= 1
            self._pool = None


class TargetPool:
    """The targets that serve one model or service, and who waits for them."""

    def __init__(self, *, queue_length: int):
        self.queue = RequestQueue(length_limit=queue_length)
        self.candidates: list[Candidate] = []
        self.retry_budget = RetryBudget()
        self.dispatching = 0
        self.turn_by_entry_id: dict[str, trio.Event] = {}

    def dispatch_waiting(self, load_view: LoadView, *, now: float) -> None:
        """Give turns to waiting requests while the targets have room."""
        while (priority := self.queue.next_priority) is not None:
            room = has_capacity(
                load_view,
                self.candidates,
                unsent=self.dispatching,
                is_urgent=priority == URGENT_PRIORITY,
                now=now,
            )
            if not room:
                return
            entry = self.queue.pop()
            self.dispatching += 1
            self.turn_by_entry_id[entry.request_id].set()

    def is_hopeless(
        self, load_view: LoadView, entry: QueueEntry, *, now: float
    ) -> bool:
        """Return whether the queue is too long for the entry's deadline."""
        rate = sum(
            load_view.load(each.target).peak_tokens_per_s
            for each in self.candidates
            if load_view.state(each.target, now=now) is TargetState.READY
        )
        if rate <= 0:
            return False
        tokens = self.queue.tokens_ahead(entry.priority)
        expected_s = tokens * EXPECTED_SHARE_OF_WORST_CASE / rate
        return expected_s > entry.deadline - now


def pool_name(route: Route) -> str:
    """Return the name of the pool that serves a route."""
    if route.kind is RouteKind.MODEL:
        return f"{route.kind}:{route.model}"
    return f"{route.kind}:{route.service}"


class Dispatcher:
    """Holds requests until a target of their pool has room, then chooses it."""

    def __init__(
        self,
        *,
        load_view: LoadView,
        timers: TimerService,
        region: str,
        queue_length: int,
        choose: Callable = choose_target,
    ):
        self._load_view = load_view
        self._timers = timers
        self._region = region
        self._queue_length = queue_length
        self._choose = choose
        self._pool_by_name: dict[str, TargetPool] = {}
        self._turns = 0

    def install_config(self, config: FleetConfig) -> None:
        """Recompute the candidates of each pool from the configuration."""
        for pool in self._pool_by_name.values():
            pool.candidates = []
        for route in config.routes.values():
            pool = self._pool(route)
            pool.candidates = [
                Candidate(
                    target=name,
                    region=config.failure_domains[target.failure_domain].region,
                )
                for name, target in sorted(config.targets.items())
                if serves_route(route, target)
            ]
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Give turns in all pools; called when loads change and on a timer."""
        now = self._timers.now()
        for pool in self._pool_by_name.values():
            if len(pool.queue):
                pool.dispatch_waiting(self._load_view, now=now)

    def retry_budget(self, route: Route) -> RetryBudget:
        return self._pool(route).retry_budget

    def candidates(self, route: Route) -> list[Candidate]:
        return self._pool(route).candidates

    async def wait_for_permit(
        self, request: CallerRequest, deadline: float
    ) -> DispatchPermit | NotRun:
        """Wait until the request may be sent, at most until ``deadline``."""
        pool = self._pool(request.route)
        # Attempts of one request id may wait side by side, so the entry has
        # an id of its own.
        self._turns += 1
        entry = QueueEntry(
            request_id=f"{request.request_id}#{self._turns}",
            organisation=request.organisation,
            priority=request.request_class.priority,
            tokens=request.worst_case,
            deadline=deadline,
            weight=request.weight,
        )
        now = self._timers.now()
        if pool.is_hopeless(self._load_view, entry, now=now):
            return NotRun(Reason.OVERLOADED, "the queue is too long for the deadline")
        turn = pool.turn_by_entry_id[entry.request_id] = trio.Event()
        try:
            refusal = pool.queue.push(entry)
            if refusal is not None:
                return refusal
            pool.dispatch_waiting(self._load_view, now=now)
            with trio.move_on_after(max(0.0, deadline - now)):
                await turn.wait()
            if turn.is_set():
                return DispatchPermit(pool)
            return self._give_up(pool, request)
        finally:
            del pool.turn_by_entry_id[entry.request_id]
            pool.queue.discard(entry.request_id)

    def choose(
        self, request: CallerRequest, excluded_targets: frozenset[str]
    ) -> Choice | NotRun:
        """Choose the target for a request that has its turn."""
        self._turns += 1
        route_request = RouteRequest(
            region=self._region,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.max_tokens,
            prefixes=request.prefixes,
            excluded_targets=excluded_targets,
            wait_limit_s=TARGET_WAIT_LIMIT_S,
            sequence_number=self._turns,
        )
        candidates = self._pool(request.route).candidates
        return self._choose(
            self._load_view, candidates, route_request, now=self._timers.now()
        )

    def _give_up(self, pool: TargetPool, request: CallerRequest) -> NotRun:
        route_request = RouteRequest(region=self._region)
        choice = self._choose(
            self._load_view, pool.candidates, route_request, now=self._timers.now()
        )
        if isinstance(choice, NotRun):
            return choice
        return NotRun(Reason.DEADLINE_PASSED, "no target had room in time")

    def _pool(self, route: Route) -> TargetPool:
        name = pool_name(route)
        pool = self._pool_by_name.get(name)
        if pool is None:
            pool = self._pool_by_name[name] = TargetPool(
                queue_length=self._queue_length
            )
        return pool
