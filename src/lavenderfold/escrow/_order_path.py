"""The way of a router's orders: a combiner, or writes of its own."""

import logging

import xxhash

from lavenderfold.escrow._combiner import CombinerClient
from lavenderfold.escrow._orders import LedgerOrder, LedgerUnavailableError, Position
from lavenderfold.escrow._writer import LedgerWriter
from lavenderfold.settings import Address
from lavenderfold.shared import Relay, RelayDirectory
from lavenderfold.timers import TimerService

# A combiner that failed is left out for this time.
COMBINER_RETRY_S = 3.0

logger = logging.getLogger(__name__)


def _rank(relay: Relay) -> int:
    return xxhash.xxh64_intdigest(str(relay.address).encode())


class OrderPath:
    """Sends orders to the relay that all routers prefer.

    Without relays, or after one failed, the router writes the ledger itself.
    """

    def __init__(
        self,
        *,
        writer: LedgerWriter,
        timers: TimerService,
        relays: RelayDirectory | None,
    ):
        self._writer = writer
        self._timers = timers
        self._relays = relays
        self._client = CombinerClient()
        self._failed_at_by_address: dict[Address, float] = {}

    async def make(self, order: LedgerOrder) -> dict[str, Position]:
        """Return the positions after the order; raises LedgerUnavailableError."""
        combiner = self._combiner()
        if combiner is not None:
            try:
                return await self._client.make(combiner.address, order)
            except LedgerUnavailableError as error:
                fields = {"address": str(combiner.address), "cause": str(error)}
                logger.warning("combiner_failed", extra=fields)
                self._failed_at_by_address[combiner.address] = self._timers.now()
        return (await self._writer.apply([order]))[0]

    def _combiner(self) -> Relay | None:
        if self._relays is None:
            return None
        sound = [each for each in self._relays.relays if self._is_sound(each)]
        return min(sound, key=_rank, default=None)

    def _is_sound(self, relay: Relay) -> bool:
        failed_at = self._failed_at_by_address.get(relay.address)
        if failed_at is None:
            return True
        return self._timers.now() - failed_at >= COMBINER_RETRY_S
