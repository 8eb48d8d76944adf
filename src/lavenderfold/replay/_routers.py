"""Selects the router that callers send their requests to."""

from collections.abc import Sequence

import msgspec
import xxhash

from lavenderfold.settings import Address


class Router(msgspec.Struct, frozen=True):
    """A router and its region."""

    region: str
    address: Address


class CallerGroup(msgspec.Struct, frozen=True):
    """All callers of one organisation in one region.

    They share a connection and thus a router.
    """

    organisation: str
    region: str


class RouterSelector:
    """Assigns a router to each group of callers and changes it after failures.

    Routers of the group's own region come first, then those of other regions.
    """

    def __init__(self, *, routers: Sequence[Router]):
        self._routers = routers
        self._switches_by_group: dict[CallerGroup, int] = {}

    def choose(self, group: CallerGroup) -> Router:
        """Return the router that the group uses at present."""
        candidates = self._sort_by_preference(group)
        return candidates[self._switches_by_group.get(group, 0) % len(candidates)]

    def switch_router(self, group: CallerGroup, failed_router: Router) -> None:
        """Assign the next router, unless the group has already left ``failed_router``.

        Several requests of a group may report the same failed router.
        """
        if self.choose(group) == failed_router:
            switches = self._switches_by_group.get(group, 0)
            self._switches_by_group[group] = switches + 1

    def _sort_by_preference(self, group: CallerGroup) -> list[Router]:
        def sort_key(router: Router) -> tuple[bool, int]:
            text = f"{group.organisation}/{group.region}/{router.address}"
            return router.region != group.region, xxhash.xxh64_intdigest(text.encode())

        return sorted(self._routers, key=sort_key)
