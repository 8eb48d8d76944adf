"""The state that decides which targets may get requests at a given time."""

from collections.abc import Mapping

from lavenderfold.fleet import Target
from lavenderfold.placement._regions import in_regions


class Placement:
    """Restricts the targets of a service to those that a request may be sent to.

    ``region_by_domain`` gives the regions of failure domains.
    """

    __slots__ = ("region_by_domain",)

    def __init__(self, *, region_by_domain: Mapping[str, str] | None = None):
        self.region_by_domain = region_by_domain or {}

    def allowed(
        self, targets: list[Target], regions: frozenset[str] | None
    ) -> list[Target]:
        """Return the targets that a request restricted to ``regions`` may reach."""
        return in_regions(targets, regions, self.region_by_domain)
