"""The way of a router's orders: a combiner, or writes of its own."""

import logging

from lavenderfold.escrow._combiner import CombinerClient
from lavenderfold.escrow._orders import LedgerOrder, LedgerUnavailableError, Position
from lavenderfold.escrow._writer import LedgerWriter
from lavenderfold.shared import RelayDirectory, RelaySelector
from lavenderfold.timers import TimerService

logger = logging.getLogger(__name__)


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
        self._client = CombinerClient()
        self._combiners = (
            RelaySelector(directory=relays, timers=timers) if relays else None
        )

    async def make(self, order: LedgerOrder) -> dict[str, Position]:
        """Return the positions after the order; raises LedgerUnavailableError."""
        combiner = self._combiners.best() if self._combiners else None
        if combiner is not None:
            try:
                positions = await self._client.make(combiner.address, order)
            except LedgerUnavailableError as error:
                fields = {"address": str(combiner.address), "cause": str(error)}
                logger.warning("combiner_failed", extra=fields)
                self._combiners.record_failure(combiner)
            else:
                self._combiners.record_success(combiner)
                return positions
        return (await self._writer.apply([order]))[0]
