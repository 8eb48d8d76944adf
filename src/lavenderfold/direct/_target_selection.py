"""The targets that one request may still be sent to."""

from functools import partial

import trio

from lavenderfold.direct._choice import TargetChoice, choose_target
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.fleet import Target


class TargetSelection:
    """Chooses targets of a service for one request, each of them once."""

    __slots__ = (
        "_services",
        "_service_name",
        "_request",
        "_failed_ids",
        "_choose_by_cost",
    )

    def __init__(
        self, *, services: RouterServices, service_name: str, request: CallerRequest
    ):
        self._services = services
        self._service_name = service_name
        self._request = request
        self._failed_ids: set[str] = set()
        balancing = services.balancing
        self._choose_by_cost = (
            None
            if balancing is None
            else partial(balancing.choose, service_name=service_name, request=request)
        )

    def record_failure(self, target: Target) -> None:
        """Leave a target out from now on."""
        self._failed_ids.add(target.id)

    def choose(self, *, instead_of: Target | None = None) -> TargetChoice | None:
        """Return the target for the next attempt, or None if there is none.

        ``instead_of`` is left out as well.
        """
        avoid = self._failed_ids
        if instead_of is not None:
            avoid = avoid | {instead_of.id}
        return choose_target(
            self._targets(),
            self._services.load_tracker,
            self._request,
            avoid=avoid,
            failure_domain=self._services.domain,
            now=self._services.timers.now(),
            choose_by_cost=self._choose_by_cost,
        )

    def pause_left_s(self) -> float | None:
        """Return how long all targets pause, or None if they don't."""
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

    def _targets(self) -> list[Target]:
        return self._services.directory.usable(self._service_name)

    def _pause_left_s(self, targets: list[Target]) -> float | None:
        return self._services.load_tracker.pause_left_s(
            targets, now=self._services.timers.now()
        )
