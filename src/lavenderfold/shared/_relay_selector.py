"""The relay that all routers prefer, and those that failed lately."""

import xxhash

from lavenderfold.shared._relays import Relay, RelayDirectory
from lavenderfold.timers import TimerService

# A relay that failed is left out for this time, doubled at each failure in a row:
# one whose machine is gone for good stays registered.
RELAY_RETRY_S = 3.0
RELAY_RETRY_LIMIT_S = 48.0


def _rank(relay: Relay) -> int:
    return xxhash.xxh64_intdigest(str(relay.address).encode())


class _Failures:
    """Failures of one relay in a row."""

    __slots__ = ("count", "last_at")

    def __init__(self):
        self.count = 0
        self.last_at = 0.0

    def note(self, now: float) -> None:
        self.count += 1
        self.last_at = now

    def is_over(self, now: float) -> bool:
        pause_s = RELAY_RETRY_S * 2 ** (self.count - 1)
        return now - self.last_at >= min(RELAY_RETRY_LIMIT_S, pause_s)


class RelaySelector:
    """Ranks the known relays in the same order at every router.

    With ``region`` only the relays of that region are chosen from.
    """

    def __init__(
        self,
        *,
        directory: RelayDirectory,
        timers: TimerService,
        region: str | None = None,
    ):
        self._directory = directory
        self._timers = timers
        self._region = region
        self._failures_by_incarnation: dict[str, _Failures] = {}

    def best(self) -> Relay | None:
        """Return the relay to use now, or None if none is known to work."""
        usable = [each for each in self._directory.relays if self._is_usable(each)]
        return min(usable, key=_rank, default=None)

    def record_failure(self, relay: Relay) -> None:
        """Leave a relay out for a while."""
        failures = self._failures_by_incarnation.setdefault(
            relay.incarnation, _Failures()
        )
        failures.note(self._timers.now())

    def record_success(self, relay: Relay) -> None:
        """Forget the failures of a relay that answered."""
        self._failures_by_incarnation.pop(relay.incarnation, None)

    def _is_usable(self, relay: Relay) -> bool:
        if self._region is not None and relay.region != self._region:
            return False
        failures = self._failures_by_incarnation.get(relay.incarnation)
        return failures is None or failures.is_over(self._timers.now())
