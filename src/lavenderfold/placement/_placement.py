"""The state that decides which targets may get requests at a given time."""

import random
from collections.abc import Callable, Mapping

from lavenderfold.fleet import Target
from lavenderfold.placement._evacuations import Evacuations
from lavenderfold.placement._regions import in_regions
from lavenderfold.placement._warm_up import ColdTargets, Permit


class Placement:
    """Restricts the targets of a service to those that a request may be sent to.

    ``region_by_domain`` gives the regions of failure domains. ``is_uncertain`` tells
    whether targets may be cold without this router knowing, because their entries
    haven't been read recently.
    """

    __slots__ = ("region_by_domain", "evacuations", "cold", "_is_uncertain")

    def __init__(
        self,
        *,
        region_by_domain: Mapping[str, str] | None = None,
        cold: ColdTargets | None = None,
        is_uncertain: Callable[[], bool] = bool,
    ):
        self.region_by_domain = region_by_domain or {}
        self.evacuations = Evacuations()
        self.cold = cold or ColdTargets()
        self._is_uncertain = is_uncertain

    def allowed(
        self, targets: list[Target], regions: frozenset[str] | None
    ) -> list[Target]:
        """Return the targets that a request restricted to ``regions`` may reach.

        Those of evacuated domains are left out, also if no other is left.
        """
        allowed = in_regions(targets, regions, self.region_by_domain)
        if not self.evacuations.has_evacuated:
            return allowed
        evacuated = self.evacuations.domains()
        return [each for each in allowed if each.domain not in evacuated]

    def preferred(
        self, targets: list[Target], *, now: float, rng: random.Random
    ) -> list[Target]:
        """Return the targets for one attempt, of those that it may reach.

        Domains that return from an evacuation get a growing share of the attempts, as
        long as other targets are left. While nothing is read from the store, any target
        may be cold, so those that would have a permit if cold are preferred.
        """
        if self.evacuations.has_returning:
            shares = self.evacuations.share_by_returning_domain(now=now)
            held = {domain for domain, share in shares.items() if rng.random() >= share}
            targets = [each for each in targets if each.domain not in held] or targets
        if self.cold.is_enabled and self._is_uncertain():
            targets = self.cold.unused(targets, now=now, rng=rng) or targets
        return targets

    def take(self, target: Target, *, now: float) -> Permit | None:
        """Return the permit of a request to a target, None if it needs none."""
        if not self.cold.is_enabled:
            return None
        return self.cold.take(target, now=now, counts_warm=self._is_uncertain())

    def count_by_state(self, targets: list[Target], *, now: float) -> dict[str, int]:
        """Return how many of the targets are evacuated and how many are cold."""
        evacuated = self.evacuations.domains()
        return {
            "evacuated": sum(each.domain in evacuated for each in targets),
            "cold": self.cold.count_cold(targets, now=now),
        }
