"""Combines the orders of many routers into few writes of the ledger.

Without it each router writes the same pages, and most writes of a large fleet meet
another one. The combiner runs in a relay; losing it loses no order, because a
router repeats its order elsewhere.
"""

import logging

import msgspec
import trio

from lavenderfold.escrow._orders import LedgerOrder, LedgerUnavailableError, Position
from lavenderfold.escrow._writer import LedgerWriter
from lavenderfold.http import CallFailedError, HttpResponse, PeerClient
from lavenderfold.settings import Address

ORDER_PATH = "/ledger/order"
# Orders are gathered for this time, those that requests wait for only shortly.
GATHER_S = 0.1
URGENT_GATHER_S = 0.01
CALL_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.2

logger = logging.getLogger(__name__)


class _Waiting:
    """An order whose sender waits for the result."""

    __slots__ = ("order", "done", "positions", "failure")

    def __init__(self, *, order: LedgerOrder):
        self.order = order
        self.done = trio.Event()
        self.positions: dict[str, Position] | None = None
        self.failure = ""


class Combiner:
    """Gathers orders and carries them out together."""

    def __init__(self, *, writer: LedgerWriter):
        self._writer = writer
        self._waiting: list[_Waiting] = []
        self._arrived = trio.Event()
        self._urgent = trio.Event()

    async def make(self, order: LedgerOrder) -> dict[str, Position]:
        """Return the positions after the order.

        Raises LedgerUnavailableError.
        """
        waiting = _Waiting(order=order)
        self._waiting.append(waiting)
        self._arrived.set()
        if order.is_urgent:
            self._urgent.set()
        await waiting.done.wait()
        if waiting.positions is None:
            raise LedgerUnavailableError(waiting.failure)
        return waiting.positions

    async def run(self) -> None:
        """Carry orders out until cancelled."""
        while True:
            await self._arrived.wait()
            with trio.move_on_after(GATHER_S):
                await self._urgent.wait()
                await trio.sleep(URGENT_GATHER_S)
            self._arrived = trio.Event()
            self._urgent = trio.Event()
            batch, self._waiting = self._waiting, []
            await self._apply(batch)

    async def _apply(self, batch: list[_Waiting]) -> None:
        try:
            results = await self._writer.apply([each.order for each in batch])
        except LedgerUnavailableError as error:
            for each in batch:
                each.failure = str(error)
        else:
            for each, positions in zip(batch, results, strict=True):
                each.positions = positions
        for each in batch:
            each.done.set()

    async def answer(self, body: bytes) -> HttpResponse:
        """Answer a router's call."""
        try:
            order = msgspec.json.decode(body, type=LedgerOrder)
        except msgspec.DecodeError as error:
            logger.warning("ledger_order_unreadable", extra={"cause": str(error)})
            return HttpResponse(status=400)
        try:
            positions = await self.make(order)
        except LedgerUnavailableError as error:
            return HttpResponse(status=503, body=str(error).encode())
        return HttpResponse(status=200, body=msgspec.json.encode(positions))


class CombinerClient:
    """Sends orders to combiners; raises LedgerUnavailableError."""

    def __init__(self):
        self._calls = PeerClient(connect_timeout_s=CONNECT_TIMEOUT_S)

    async def make(self, address: Address, order: LedgerOrder) -> dict[str, Position]:
        """Return the positions after the order."""
        body = msgspec.json.encode(order)
        try:
            answer = await self._calls.post(
                address, ORDER_PATH, body, timeout_s=CALL_TIMEOUT_S
            )
            return msgspec.json.decode(answer, type=dict[str, Position])
        except (CallFailedError, msgspec.DecodeError) as error:
            raise LedgerUnavailableError(str(error)) from error
