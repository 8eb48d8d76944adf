"""The targets that one request may still be sent to."""

import random
from collections.abc import Hashable, Set
from functools import partial

import trio

from lavenderfold.direct._choice import TargetChoice, choose_target
from lavenderfold.direct._load import target_key
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.fleet import Organisation, Route, Service, Target
from lavenderfold.placement import allowed_regions

_rng = random.Random()


class TargetSelection:
    """Chooses targets of a service for one request, each of them once.

    All attempts of the request are chosen here, so the rules on regions that its
    ``route`` and ``organisation`` set hold for each of them. ``service`` is None if the
    configuration doesn't name it.
    """

    __slots__ = (
        "_services",
        "_service_name",
        "_service",
        "_request",
        "_regions",
        "_failed_ids",
        "_choose_by_cost",
    )

    def __init__(
        self,
        *,
        services: RouterServices,
        service_name: str,
        service: Service | None,
        request: CallerRequest,
        route: Route,
        organisation: Organisation | None,
    ):
        self._services = services
        self._service_name = service_name
        self._service = service
        self._request = request
        self._regions = allowed_regions(route, organisation)
        self._failed_ids: set[str] = set()
        balancing = services.balancing
        self._choose_by_cost = (
            None
            if balancing is None
            else partial(balancing.choose, service_name=service_name, request=request)
        )

    @property
    def regions(self) -> frozenset[str] | None:
        """The regions that the request is restricted to, None if it isn't."""
        return self._regions

    def record_failure(self, target: Target) -> None:
        """Leave a target out from now on."""
        self._failed_ids.add(target.id)

    def choose(self, *, instead_of: Target | None = None) -> TargetChoice | None:
        """Return the target for the next attempt, or None if there is none.

        ``instead_of`` is left out as well.
        """
        now = self._services.timers.now()
        placement = self._services.placement
        targets = placement.cold.permitted(self._targets(), now=now, rng=_rng)
        preferred = placement.preferred(targets, now=now, rng=_rng)
        choice = self._choose_from(preferred, instead_of, now)
        if len(preferred) < len(targets) and (choice is None or choice.is_last_resort):
            choice = self._choose_from(targets, instead_of, now)
        return choice

    def _choose_from(
        self, candidates: list[Target], instead_of: Target | None, now: float
    ) -> TargetChoice | None:
        avoid = self._failed_ids
        if instead_of is not None:
            avoid = avoid | {instead_of.id}
        return choose_target(
            self._with_room(candidates, avoid=avoid),
            self._services.load_tracker,
            self._request,
            avoid=avoid,
            failure_domain=self._services.domain,
            now=now,
            choose_by_cost=self._choose_by_cost,
        )

    def pause_left_s(self) -> float | None:
        """Return the wait until a target may be used, None if one may or all leave."""
        return self._pause_left_s(self._targets())

    async def wait_for_pause_end(self, limit: float) -> bool:
        """Wait until one of the targets that are left ends its pause.

        Returns False at once if that isn't before ``limit`` on the trio clock.
        """
        left = [each for each in self._targets() if each.id not in self._failed_ids]
        pause_left_s = self._pause_left_s(left)
        if pause_left_s is None or trio.current_time() + pause_left_s > limit:
            return False
        await trio.sleep(pause_left_s)
        return True

    def _with_room(self, targets: list[Target], *, avoid: Set[str]) -> list[Target]:
        """Return the targets with room for the tokens of the request.

        Returns all if none with room is healthy and not in ``avoid``.
        """
        full = self.full_targets()
        if not full:
            return targets
        others = [each for each in targets if target_key(each) not in full]
        load_tracker, now = self._services.load_tracker, self._services.timers.now()
        if any(
            each.id not in avoid
            and not load_tracker.is_ejected(each, now=now)
            and not load_tracker.is_silent(each, now=now)
            for each in load_tracker.available(others, now=now)
        ):
            return others
        return targets

    def full_targets(self) -> set[Hashable]:
        """Return the keys of the targets without room for the request's tokens."""
        service, tokens = self._service, self._request.tokens
        if service is None or not service.cache_capacity_tokens or tokens is None:
            return set()
        return self._services.target_tokens.full(
            tokens=tokens.worst_case, capacity=service.cache_capacity_tokens
        )

    def has_no_place(self) -> bool:
        """Return whether regions or evacuations leave no target for the request.

        False if the service just has no target and no region restricts the request.
        """
        if self._targets():
            return False
        usable = self._services.directory.usable(self._service_name)
        return bool(usable) or self._regions is not None

    def _targets(self) -> list[Target]:
        usable = self._services.directory.usable(self._service_name)
        return self._services.placement.allowed(usable, self._regions)

    def _pause_left_s(self, targets: list[Target]) -> float | None:
        now = self._services.timers.now()
        load_tracker = self._services.load_tracker
        cold = self._services.placement.cold
        permitted = cold.permitted(targets, now=now, rng=_rng)
        if len(permitted) == len(targets):
            return load_tracker.pause_left_s(targets, now=now)
        available = load_tracker.available(targets, now=now)
        waits = [cold.wait_s(each, now=now, rng=_rng) for each in available]
        if None in waits:
            return None
        pausing = [each for each in targets if each not in available]
        pause_left_s = load_tracker.pause_left_s(pausing, now=now)
        if pause_left_s is not None:
            waits.append(pause_left_s)
        return min(waits, default=None)
