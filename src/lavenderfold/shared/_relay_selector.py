"""Selection of the same relay by all routers, except for relays that failed."""

import xxhash

from lavenderfold.shared._relays import Relay, RelayDirectory
from lavenderfold.timers import TimerService

# A relay that failed isn't selected for this time, doubled with each consecutive
# failure up to the limit: a relay whose machine is gone for good stays registered.
RELAY_RETRY_S = 3.0
RELAY_RETRY_LIMIT_S = 48.0


def _rank(relay: Relay) -> int:
    return xxhash.xxh64_intdigest(str(relay.address).encode())


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

    If ``region`` is given, only the relays of that region are considered.
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
        """Return the relay to use now, or None if none is usable."""
        usable = [each for each in self._directory.relays if self._is_usable(each)]
        return min(usable, key=_rank, default=None)

    def record_failure(self, relay: Relay) -> None:
        """Exclude a relay for a while after a failure."""
        failures = self._failures_by_incarnation.setdefault(
            relay.incarnation, _Failures()
        )
        failures.record(self._timers.now())

    def record_success(self, relay: Relay) -> None:
        """Reset the failures of a relay that answered."""
        self._failures_by_incarnation.pop(relay.incarnation, None)

    def _is_usable(self, relay: Relay) -> bool:
        if self._region is not None and relay.region != self._region:
            return False
        failures = self._failures_by_incarnation.get(relay.incarnation)
        return failures is None or failures.may_retry(self._timers.now())
