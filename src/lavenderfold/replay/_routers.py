"""Which router a caller uses."""

from collections.abc import Sequence

import msgspec
import xxhash

from lavenderfold.settings import Address


class Router(msgspec.Struct, frozen=True):
    """A router and its region."""

    region: str
    address: Address


class Caller(msgspec.Struct, frozen=True):
    """The callers of one organisation in one region share a connection."""

    organisation: str
    region: str


class RouterChoice:
    """Keeps a caller at a router of its region until that router fails it."""

    def __init__(self, *, routers: Sequence[Router]):
        self._routers = routers
        self._moves_by_caller: dict[Caller, int] = {}

    def choose(self, caller: Caller) -> Router:
        """Return the caller's present router."""
        order = self._order(caller)
        return order[self._moves_by_caller.get(caller, 0) % len(order)]

    def move(self, caller: Caller, away_from: Router) -> None:
        """Move the caller to the next router; a second report does nothing."""
        if self.choose(caller) == away_from:
            moves = self._moves_by_caller.get(caller, 0)
            self._moves_by_caller[caller] = moves + 1

    def _order(self, caller: Caller) -> list[Router]:
        def rank(router: Router) -> tuple[bool, int]:
            text = f"{caller.organisation}/{caller.region}/{router.address}"
            return router.region != caller.region, xxhash.xxh64_intdigest(text.encode())

        return sorted(self._routers, key=rank)
