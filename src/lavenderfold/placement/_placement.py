"""The state that decides which targets may get requests at a given time."""

import random
from collections.abc import Mapping

from lavenderfold.fleet import Target
from lavenderfold.placement._evacuations import Evacuations
from lavenderfold.placement._regions import in_regions


class Placement:
    """Restricts the targets of a service to those that a request may be sent to.

    ``region_by_domain`` gives the regions of failure domains.
    """

    __slots__ = ("region_by_domain", "evacuations")

    def __init__(self, *, region_by_domain: Mapping[str, str] | None = None):
        self.region_by_domain = region_by_domain or {}
        self.evacuations = Evacuations()

    def allowed(
        self, targets: list[Target], regions: frozenset[str] | None
    ) -> list[Target]:
        """Return the targets that a request restricted to ``regions`` may reach.

        Those of evacuated domains are left out, also if no other is left.
        """
        allowed = in_regions(targets, regions, self.region_by_domain)
        evacuated = self.evacuations.domains()
        if not evacuated:
            return allowed
        return [each for each in allowed if each.domain not in evacuated]

    def preferred(
        self, targets: list[Target], *, now: float, rng: random.Random
    ) -> list[Target]:
        """Return the targets for one attempt, of those that it may reach.

        Domains that return from an evacuation get a growing share of the attempts, as
        long as other targets are left.
        """
        if not self.evacuations.has_returning:
            return targets
        shares = self.evacuations.share_by_returning_domain(now=now)
        held = {domain for domain, share in shares.items() if rng.random() >= share}
        return [each for each in targets if each.domain not in held] or targets
