"""Combines the orders of many routers into few writes of the ledger.

Without it, all routers write the same pages, and in a large fleet most writes
conflict with another one. The combiner runs in a relay. If it fails no order is
lost, because routers submit their orders again elsewhere.
"""

import logging

import msgspec
import trio

from lavenderfold.escrow._orders import BalanceView, LedgerOrder, LedgerUnavailableError
from lavenderfold.escrow._writer import LedgerWriter
from lavenderfold.http import (
    CallFailedError,
    CallRefusedError,
    HttpResponse,
    PeerClient,
)
from lavenderfold.settings import Address

ORDER_PATH = "/ledger/order"
# Orders are gathered for this time before they are written. An order that requests
# are waiting for shortens it.
GATHER_WINDOW_S = 0.1
URGENT_GATHER_WINDOW_S = 0.008
# Longer than a batch of all routers takes right after they restarted: a router that
# gives up sends its order to another combiner, and their writes conflict.
CALL_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.6

logger = logging.getLogger(__name__)


class CombinerRefusedError(LedgerUnavailableError):
    """A combiner is there, but can't write the ledger now."""


class _PendingOrder:
    """An order whose sender waits for the result; without views it has failed."""

    __slots__ = ("order", "done", "views", "failure")

    def __init__(self, *, order: LedgerOrder):
        self.order = order
        self.done = trio.Event()
        self.views: dict[str, BalanceView] | None = None
        self.failure = ""


class OrderCombiner:
    """Gathers orders and applies them to the ledger in batches."""

    def __init__(self, *, writer: LedgerWriter):
        self._writer = writer
        self._pending: list[_PendingOrder] = []
        self._order_arrived = trio.Event()
        self._urgent_order_arrived = trio.Event()

    async def submit(self, order: LedgerOrder) -> dict[str, BalanceView]:
        """Apply an order and return the resulting views by organisation.

        Raises LedgerUnavailableError.
        """
        pending = _PendingOrder(order=order)
        self._pending.append(pending)
        self._order_arrived.set()
        if order.is_urgent:
            self._urgent_order_arrived.set()
        await pending.done.wait()
        if pending.views is None:
            raise LedgerUnavailableError(pending.failure)
        return pending.views

    async def run(self) -> None:
        """Apply submitted orders until cancelled."""
        while True:
            await self._order_arrived.wait()
            with trio.move_on_after(GATHER_WINDOW_S):
                await self._urgent_order_arrived.wait()
                await trio.sleep(URGENT_GATHER_WINDOW_S)
            self._order_arrived = trio.Event()
            self._urgent_order_arrived = trio.Event()
            batch, self._pending = self._pending, []
            await self._apply_batch(batch)

    async def _apply_batch(self, batch: list[_PendingOrder]) -> None:
        try:
            results = await self._writer.apply([each.order for each in batch])
        except LedgerUnavailableError as error:
            # Those that have arrived meanwhile would wait for the same store, longer
            # than their routers wait for this combiner.
            batch, self._pending = batch + self._pending, []
            for each in batch:
                each.failure = str(error)
        else:
            for each, views in zip(batch, results, strict=True):
                each.views = views
        for each in batch:
            each.done.set()

    async def answer(self, body: bytes) -> HttpResponse:
        """Answer the HTTP request of a router that submits an order."""
        try:
            order = msgspec.json.decode(body, type=LedgerOrder)
        except msgspec.DecodeError as error:
            logger.warning("ledger_order_unreadable", extra={"cause": str(error)})
            return HttpResponse(status=400)
        try:
            views = await self.submit(order)
        except LedgerUnavailableError as error:
            return HttpResponse(status=503, body=str(error).encode())
        return HttpResponse(status=200, body=msgspec.json.encode(views))


class OrderCombinerClient:
    """Sends orders to the combiners of relays."""

    def __init__(self):
        self._calls = PeerClient(connect_timeout_s=CONNECT_TIMEOUT_S)

    async def submit(
        self, address: Address, order: LedgerOrder
    ) -> dict[str, BalanceView]:
        """Submit an order and return the resulting views by organisation.

        Raises LedgerUnavailableError, or CombinerRefusedError.
        """
        body = msgspec.json.encode(order)
        try:
            answer = await self._calls.post(
                address, ORDER_PATH, body, timeout_s=CALL_TIMEOUT_S
            )
            return msgspec.json.decode(answer, type=dict[str, BalanceView])
        except CallRefusedError as error:
            raise CombinerRefusedError(str(error)) from error
        except (CallFailedError, msgspec.DecodeError) as error:
            raise LedgerUnavailableError(str(error)) from error
