"""Sends a router's orders to a combiner, or writes them to the ledger directly."""

import logging

from lavenderfold.escrow._combiner import OrderCombinerClient
from lavenderfold.escrow._orders import BalanceView, LedgerOrder, LedgerUnavailableError
from lavenderfold.escrow._writer import LedgerWriter
from lavenderfold.shared import RelayDirectory, RelaySelector
from lavenderfold.timers import TimerService

logger = logging.getLogger(__name__)


class OrderSender:
    """Sends orders to the relay that all routers prefer, whose combiner writes them.

    If no relay is known or the call fails, the router writes to the ledger itself.
    """

    def __init__(
        self,
        *,
        writer: LedgerWriter,
        timers: TimerService,
        relays: RelayDirectory | None,
    ):
        self._writer = writer
        self._client = OrderCombinerClient()
        self._combiner_selector = (
            RelaySelector(directory=relays, timers=timers) if relays else None
        )

    async def submit(self, order: LedgerOrder) -> dict[str, BalanceView]:
        """Apply an order and return the resulting views by organisation.

        Raises LedgerUnavailableError.
        """
        combiner = self._combiner_selector.best() if self._combiner_selector else None
        if combiner is not None:
            try:
                views = await self._client.submit(combiner.address, order)
            except LedgerUnavailableError as error:
                fields = {"address": str(combiner.address), "cause": str(error)}
                logger.warning("combiner_failed", extra=fields)
                self._combiner_selector.record_failure(combiner)
            else:
                self._combiner_selector.record_success(combiner)
                return views
        return (await self._writer.apply([order]))[0]
