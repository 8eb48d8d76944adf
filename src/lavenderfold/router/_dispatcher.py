"""Pools of targets, each with a queue of requests and the selection of a target."""

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
# Requests reserve the tokens of their worst case but use about half of them, so a
# queue is too long only if half of its tokens can't be processed in time.
EXPECTED_SHARE_OF_WORST_CASE = 0.5
# A request that would wait longer than this at the target stays in the router's
# queue, from where it can still go to any target.
TARGET_WAIT_LIMIT_S = 30.0


class DispatchPermit:
    """Permission to send one request to a target of the pool.

    It has to be released once the request is sent or given up.
    """

    __slots__ = ("_pool",)

    def __init__(self, pool: "TargetPool"):
        self._pool: TargetPool | None = pool

    def release(self) -> None:
        if self._pool is not None:
            self._pool.unsent_count -= 1
            self._pool = None


class TargetPool:
    """The targets that serve one model or service, and the requests that wait."""

    def __init__(self, *, queue_length: int):
        self.queue = RequestQueue(length_limit=queue_length)
        self.candidates: list[Candidate] = []
        self.retry_budget = RetryBudget()
        self.unsent_count = 0
        self.permit_event_by_entry_id: dict[str, trio.Event] = {}

    def dispatch_waiting(self, load_view: LoadView, *, now: float) -> None:
        """Give permits to waiting requests while the targets have capacity."""
        while (priority := self.queue.next_priority) is not None:
            has_free_capacity = has_capacity(
                load_view,
                self.candidates,
                unsent=self.unsent_count,
                is_urgent=priority == URGENT_PRIORITY,
                now=now,
            )
            if not has_free_capacity:
                return
            entry = self.queue.pop()
            self.unsent_count += 1
            self.permit_event_by_entry_id[entry.request_id].set()

    def will_miss_deadline(
        self, load_view: LoadView, entry: QueueEntry, *, now: float
    ) -> bool:
        """Return whether the entry is expected to wait past its deadline."""
        tokens_per_s = sum(
            load_view.load(each.target).peak_tokens_per_s
            for each in self.candidates
            if load_view.state(each.target, now=now) is TargetState.READY
        )
        if tokens_per_s <= 0:
            return False
        tokens = self.queue.tokens_ahead(entry.priority)
        expected_s = tokens * EXPECTED_SHARE_OF_WORST_CASE / tokens_per_s
        return expected_s > entry.deadline - now


def pool_name(route: Route) -> str:
    """Return the name of the pool that serves a route."""
    if route.kind is RouteKind.MODEL:
        return f"{route.kind}:{route.model}"
    return f"{route.kind}:{route.service}"


class Dispatcher:
    """Queues requests until their pool has capacity, then chooses a target."""

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
        self._sequence_number = 0

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
        """Give permits in all pools; called when loads change and on a timer."""
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
        # Several attempts with the same request id may wait at once, so each entry
        # gets its own id.
        self._sequence_number += 1
        entry = QueueEntry(
            request_id=f"{request.request_id}#{self._sequence_number}",
            organisation=request.organisation,
            priority=request.request_class.priority,
            tokens=request.worst_case,
            deadline=deadline,
            weight=request.weight,
        )
        now = self._timers.now()
        if pool.will_miss_deadline(self._load_view, entry, now=now):
            return NotRun(Reason.OVERLOADED, "the queue is too long for the deadline")
        permit_given = pool.permit_event_by_entry_id[entry.request_id] = trio.Event()
        try:
            refusal = pool.queue.push(entry)
            if refusal is not None:
                return refusal
            pool.dispatch_waiting(self._load_view, now=now)
            with trio.move_on_after(max(0.0, deadline - now)):
                await permit_given.wait()
            if permit_given.is_set():
                return DispatchPermit(pool)
            return self._explain_timeout(pool, request)
        finally:
            del pool.permit_event_by_entry_id[entry.request_id]
            pool.queue.discard(entry.request_id)

    def choose(
        self, request: CallerRequest, excluded_targets: frozenset[str]
    ) -> Choice | NotRun:
        """Choose the target for a request that has a permit."""
        self._sequence_number += 1
        route_request = RouteRequest(
            region=self._region,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.max_tokens,
            prefixes=request.prefixes,
            excluded_targets=excluded_targets,
            wait_limit_s=TARGET_WAIT_LIMIT_S,
            sequence_number=self._sequence_number,
        )
        candidates = self._pool(request.route).candidates
        return self._choose(
            self._load_view, candidates, route_request, now=self._timers.now()
        )

    def _explain_timeout(self, pool: TargetPool, request: CallerRequest) -> NotRun:
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
