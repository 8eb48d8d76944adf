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

# Another combiner is asked after this many times the usual time of an order.
HEDGE_FACTOR = 3.0
# The usual time that is assumed before the first answer, long enough that routers that
# start together don't ask two combiners at once, and its lower bound.
FIRST_USUAL_ORDER_S = 0.4
MIN_USUAL_ORDER_S = 0.1
# Weight of the newest order in the moving average of their times.
ORDER_TIME_WEIGHT = 0.2

# A combiner is overtaken if another one that was asked too answers an order first. One
# that was overtaken so often without an answer in between counts as failed, because its
# calls are cancelled before they time out. A single time may be due to a large batch.
OVERTAKEN_LIMIT = 2

# What combiners refuse to write.
LEDGER = "ledger"

logger = logging.getLogger(__name__)


class _CombinerAttempt:
    """The calls of combiners for one order; ``ended`` is set when one of them ends.

    ``running`` are the combiners that haven't answered yet.
    """

    __slots__ = ("running", "views", "ended")

    def __init__(self):
        self.running: list[Relay] = []
        self.views: dict[str, BalanceView] | None = None
        self.ended = trio.Event()


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
        self._usual_order_s = FIRST_USUAL_ORDER_S
        self._overtaken_by_incarnation: dict[str, int] = {}
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
        views = await self._submit_to_combiners(order)
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

    async def _submit_to_combiners(
        self, order: LedgerOrder
    ) -> dict[str, BalanceView] | None:
        """Return the views from the first combiner that answers, or None.

        A combiner is also asked if the one before it takes unusually long: requests
        wait for 0.7 s, and a VM without power is noticed no sooner. An order that
        arrives twice takes effect once.
        """
        attempt = _CombinerAttempt()
        tried: list[Relay] = []
        async with trio.open_nursery() as nursery:
            while attempt.views is None and len(tried) < MAX_COMBINERS:
                await trio.sleep(NEXT_COMBINER_DELAY_S * len(tried))
                if attempt.views is not None:
                    break
                ranked = self._combiners.ranked()
                untried = [each for each in ranked if each not in tried]
                if not untried:
                    break
                tried.append(untried[0])
                attempt.ended = trio.Event()
                attempt.running.append(untried[0])
                nursery.start_soon(self._join_attempt, attempt, untried[0], order)
                with trio.move_on_after(self._usual_order_s * HEDGE_FACTOR):
                    await attempt.ended.wait()
            while attempt.views is None and attempt.running:
                attempt.ended = trio.Event()
                await attempt.ended.wait()
            self._record_overtaken(attempt.running)
            nursery.cancel_scope.cancel()
        return attempt.views

    async def _join_attempt(
        self, attempt: _CombinerAttempt, combiner: Relay, order: LedgerOrder
    ) -> None:
        started_at = trio.current_time()
        views = await self._submit_to_combiner(combiner, order)
        attempt.running.remove(combiner)
        if views is not None:
            self._record_order_time(trio.current_time() - started_at)
            attempt.views = views
        attempt.ended.set()

    def _record_overtaken(self, combiners: list[Relay]) -> None:
        """Record that another combiner answered an order before these."""
        known = {each.incarnation for each in self._combiners.known()}
        for gone in self._overtaken_by_incarnation.keys() - known:
            del self._overtaken_by_incarnation[gone]
        for combiner in combiners:
            incarnation = combiner.incarnation
            overtaken = self._overtaken_by_incarnation.get(incarnation, 0) + 1
            self._overtaken_by_incarnation[incarnation] = overtaken
            if overtaken >= OVERTAKEN_LIMIT:
                fields = {"address": str(combiner.address), "overtaken": overtaken}
                logger.warning("combiner_overtaken", extra=fields)
                self._combiners.record_failure(combiner)

    def _record_order_time(self, order_s: float) -> None:
        usual_s = max(MIN_USUAL_ORDER_S, order_s)
        self._usual_order_s += (usual_s - self._usual_order_s) * ORDER_TIME_WEIGHT

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
        self._overtaken_by_incarnation.pop(combiner.incarnation, None)
        return views
