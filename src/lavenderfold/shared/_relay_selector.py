"""Selection of the same relay by all routers, except for relays that failed."""

from collections import Counter
from collections.abc import Callable

from lavenderfold.settings import Address
from lavenderfold.shared._relays import Relay, RelayDirectory, rank
from lavenderfold.timers import TimerService

# A relay that failed isn't selected for this time, doubled with each consecutive
# failure up to the limit: a relay whose machine is gone for good stays registered.
RELAY_RETRY_S = 3.0
RELAY_RETRY_LIMIT_S = 48.0
# A relay counts as near the store if its call took at most this factor times the
# fastest call, and the tolerance, which covers differences in processor load.
NEAR_STORE_FACTOR = 2
NEAR_STORE_TOLERANCE_MS = 5

RelayFilter = Callable[[list[Relay]], list[Relay]]


def in_region(region: str) -> RelayFilter:
    """Return a filter that keeps the relays of a region."""

    def keep(relays: list[Relay]) -> list[Relay]:
        return [each for each in relays if each.region == region]

    return keep


def near_store(relays: list[Relay]) -> list[Relay]:
    """Keep the relays whose calls reach the store fastest; all if none is known."""
    known_ms = [each.store_ms for each in relays if each.store_ms is not None]
    if not known_ms:
        return relays
    limit_ms = min(known_ms) * NEAR_STORE_FACTOR + NEAR_STORE_TOLERANCE_MS
    return [
        each
        for each in relays
        if each.store_ms is not None and each.store_ms <= limit_ms
    ]


class _Failures:
    """Consecutive failures of one relay."""

    __slots__ = ("count", "last_at")

    def __init__(self):
        self.count = 0
        self.last_at = 0.0

    def record(self, now: float) -> None:
        self.count += 1
        self.last_at = now

    def may_retry(self, now: float) -> bool:
        pause_s = RELAY_RETRY_S * 2 ** (self.count - 1)
        return now - self.last_at >= min(RELAY_RETRY_LIMIT_S, pause_s)


class RelaySelector:
    """Selects among the known relays, in the same order at every router.

    ``purpose`` names what the relay is selected for; each purpose has another order
    of the relays. ``keep`` returns those relays, out of the ones that haven't failed
    and in the same order, that are considered.
    """

    def __init__(
        self,
        *,
        directory: RelayDirectory,
        timers: TimerService,
        purpose: str,
        keep: RelayFilter = list,
    ):
        self._directory = directory
        self._timers = timers
        self._purpose = purpose
        self._keep = keep
        self._failures_by_incarnation: dict[str, _Failures] = {}
        self._known: list[Relay] = []
        self._ordered: list[Relay] = []

    def best(self) -> Relay | None:
        """Return the relay to use now, or None if none is usable."""
        return next(iter(self.ranked()), None)

    def ranked(self) -> list[Relay]:
        """Return the usable relays in the order in which they are used.

        The second one is in another failure domain than the first, and comes first
        as long as that one has failed.
        """
        return self._keep([each for each in self._in_order() if self._is_usable(each)])

    def known(self) -> list[Relay]:
        """Return the relays that are considered, with those that failed lately."""
        return self._keep(self._in_order())

    async def wait_listed(self) -> None:
        """Wait until the relays were listed, even if none is registered."""
        if not self._directory.relays:
            await self._directory.first_listed.wait()

    def record_failure(self, relay: Relay) -> None:
        """Exclude a relay for a while after a failure."""
        failures = self._failures_by_incarnation.setdefault(
            relay.incarnation, _Failures()
        )
        failures.record(self._timers.now())
        self._directory.request_refresh()

    def record_success(self, relay: Relay) -> None:
        """Reset the failures of a relay that answered."""
        self._failures_by_incarnation.pop(relay.incarnation, None)

    def _in_order(self) -> list[Relay]:
        relays = self._directory.relays
        if relays is not self._known:
            self._known = relays
            self._ordered = self._order(relays)
        return self._ordered

    def _order(self, relays: list[Relay]) -> list[Relay]:
        """Order by rank, the first of each failure domain before all second ones."""
        by_rank = sorted(relays, key=lambda each: rank(self._purpose, each.address))
        seen_by_domain: Counter[str] = Counter()
        place_by_address: dict[Address, int] = {}
        for relay in by_rank:
            place_by_address[relay.address] = seen_by_domain[relay.domain]
            seen_by_domain[relay.domain] += 1
        return sorted(by_rank, key=lambda each: place_by_address[each.address])

    def _is_usable(self, relay: Relay) -> bool:
        failures = self._failures_by_incarnation.get(relay.incarnation)
        return failures is None or failures.may_retry(self._timers.now())
