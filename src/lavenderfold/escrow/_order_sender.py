"""Sends a router's orders to a combiner, or writes them to the ledger directly."""

import logging

import trio

from lavenderfold.escrow._combiner import CombinerRefusedError, OrderCombinerClient
from lavenderfold.escrow._orders import (
    BalanceView,
    LedgerContendedError,
    LedgerOrder,
    LedgerUnavailableError,
    urgent_part,
)
from lavenderfold.escrow._writer import LedgerWriter
from lavenderfold.shared import (
    Relay,
    RelayDirectory,
    RelayRefusals,
    RelaySelector,
    near_store,
)
from lavenderfold.timers import TimerService

# Combiners that an order is sent to before its router writes the ledger itself. If all
# routers did so after one failure, most of their writes would conflict.
MAX_COMBINERS = 3
# Wait before the next combiner, times the number of those that failed: after a restart
# of all processes relays come up while routers already send orders.
NEXT_COMBINER_DELAY_S = 0.05

# What combiners refuse to write.
LEDGER = "ledger"

logger = logging.getLogger(__name__)


class OrderSender:
    """Sends orders to the relay that all routers prefer, whose combiner writes them.

    The relays that reach the store fastest are preferred, because each order takes at
    least one write. If a combiner fails the next one is tried. If no relay is known
    or all of these calls fail, the router writes to the ledger itself.
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
        self._combiners: RelaySelector | None = None
        self._refusals: RelayRefusals | None = None
        if relays is not None:
            self._combiners = RelaySelector(
                directory=relays, timers=timers, purpose="combiner", keep=near_store
            )
            self._refusals = RelayRefusals(relays=self._combiners)

    async def submit(self, order: LedgerOrder) -> dict[str, BalanceView]:
        """Apply an order and return the resulting views by organisation.

        A router that writes the ledger itself writes only what requests wait for, so
        that it changes few pages that others write; the views are of that part.
        Raises LedgerUnavailableError.
        """
        if self._combiners is None:
            return await self._write(order)
        tried: list[Relay] = []
        while len(tried) < MAX_COMBINERS:
            await trio.sleep(NEXT_COMBINER_DELAY_S * len(tried))
            untried = [each for each in self._combiners.ranked() if each not in tried]
            if not untried:
                break
            tried.append(untried[0])
            views = await self._submit_to_combiner(untried[0], order)
            if views is not None:
                self._refusals.record_other_path(LEDGER)
                return views
        try:
            views = await self._write(order)
        except LedgerContendedError:
            # The store is back, so the next order goes to a combiner again.
            self._refusals.record_other_path(LEDGER)
            raise
        except LedgerUnavailableError:
            self._refusals.record_store_failure(LEDGER)
            raise
        self._refusals.record_other_path(LEDGER)
        return views

    async def _write(self, order: LedgerOrder) -> dict[str, BalanceView]:
        return (await self._writer.apply([urgent_part(order)]))[0]

    async def _submit_to_combiner(
        self, combiner: Relay, order: LedgerOrder
    ) -> dict[str, BalanceView] | None:
        """Return the views from a combiner, or None if it failed.

        One that can't write hasn't failed as long as this router can't either.
        """
        fields = {"address": str(combiner.address)}
        try:
            views = await self._client.submit(combiner.address, order)
        except CombinerRefusedError as error:
            if self._refusals.record_refusal(LEDGER, combiner):
                logger.warning("combiner_failed", extra=fields | {"cause": str(error)})
            return None
        except LedgerUnavailableError as error:
            logger.warning("combiner_failed", extra=fields | {"cause": str(error)})
            self._combiners.record_failure(combiner)
            return None
        self._refusals.record_answer(LEDGER, combiner)
        return views
