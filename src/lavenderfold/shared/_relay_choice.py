"""The relay that all routers prefer, and those that failed lately."""

import xxhash

from lavenderfold.settings import Address
from lavenderfold.shared._relays import Relay, RelayDirectory
from lavenderfold.timers import TimerService

# A relay that failed is left out for this time.
RELAY_RETRY_S = 3.0


def _rank(relay: Relay) -> int:
    return xxhash.xxh64_intdigest(str(relay.address).encode())


class RelayChoice:
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
        self._failed_at_by_address: dict[Address, float] = {}

    def best(self) -> Relay | None:
        """Return the relay to use now, or None if none is known to work."""
        usable = [each for each in self._directory.relays if self._is_usable(each)]
        return min(usable, key=_rank, default=None)

    def failed(self, relay: Relay) -> None:
        """Leave a relay out for RELAY_RETRY_S."""
        self._failed_at_by_address[relay.address] = self._timers.now()

    def _is_usable(self, relay: Relay) -> bool:
        if self._region is not None and relay.region != self._region:
            return False
        failed_at = self._failed_at_by_address.get(relay.address)
        if failed_at is None:
            return True
        return self._timers.now() - failed_at >= RELAY_RETRY_S
