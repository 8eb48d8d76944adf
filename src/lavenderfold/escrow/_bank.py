"""Keeps the router's grants in step with the ledger in the shared store."""

import enum
import itertools
import logging

import msgspec
import trio

from lavenderfold.escrow._confirm import Confirmer
from lavenderfold.escrow._ledger import Transfer
from lavenderfold.escrow._order_path import OrderPath
from lavenderfold.escrow._orders import (
    LedgerOrder,
    LedgerUnavailableError,
    Limit,
    Position,
)
from lavenderfold.escrow._pages import LedgerPages
from lavenderfold.escrow._reclaim import Reclaimer
from lavenderfold.escrow._wallet import EMPTY_RETRY_S, Purse, Wallet
from lavenderfold.escrow._witness import WitnessClient
from lavenderfold.escrow._writer import LedgerWriter
from lavenderfold.shared import RelayDirectory, SharedStore
from lavenderfold.timers import TimerService

SYNC_PERIOD_S = 0.5
# While no order was confirmed for this time, requests aren't kept waiting.
LEDGER_AWAY_S = 1.0
# After a failed call, so that a store that returns isn't met by all at once.
FAILURE_PAUSE_S = 0.25

logger = logging.getLogger(__name__)


class Funding(enum.Enum):
    """Whether a request's worst case is covered."""

    RESERVED = "reserved"
    SPENT = "spent"
    UNAVAILABLE = "unavailable"


class PurseState(msgspec.Struct, frozen=True, kw_only=True):
    """What a router knows of one balance, in tokens; ``age_ms`` is the ledger's."""

    organisation: str
    limit: int | None
    granted: int
    spent: int
    reserved: int
    rest: int | None
    rest_of_others: int
    age_ms: int | None


class Bank:
    """Reserves tokens for requests and moves grants with the ledger.

    ``holder`` names this incarnation of the router: the router's name, a slash and
    a unique part. All tokens that it spends were granted to that name by a write
    that the store confirmed. ``relays`` are the witnesses to choose from.
    """

    def __init__(
        self,
        *,
        store: SharedStore,
        timers: TimerService,
        holder: str,
        prefix: str,
        relays: RelayDirectory | None = None,
    ):
        self.wallet = Wallet()
        self._confirmer = Confirmer(wallet=self.wallet, holder=holder, directory=relays)
        self._pages = LedgerPages(store=store, prefix=prefix)
        writer = LedgerWriter(pages=self._pages)
        self._order_path = OrderPath(writer=writer, timers=timers, relays=relays)
        self._reclaimer = Reclaimer(
            pages=self._pages,
            orders=self._order_path,
            holder=holder,
            witnesses=WitnessClient(),
        )
        self.loaded = trio.Event()
        self._timers = timers
        self._holder = holder
        self._limit_by_organisation: dict[str, Limit] = {}
        self._wait_ids = itertools.count()
        self._wake = trio.Event()
        self._synced = trio.Event()
        self._is_returning = False
        self._away_since: float | None = None

    def set_limits(
        self, limit_by_organisation: dict[str, int], *, version: int
    ) -> None:
        """Install the limits of a configuration version, in tokens."""
        for organisation, tokens in limit_by_organisation.items():
            self._limit_by_organisation[organisation] = Limit(tokens, version)
        self._poke()

    async def reserve(self, organisation: str, tokens: int, *, until: float) -> Funding:
        """Reserve tokens; wait for grant and witness until a time of the clock."""
        purse = self.wallet.purse(organisation, now=self._timers.now())
        if not purse.reserve(tokens):
            funding = await self._reserve_later(purse, tokens, until)
            if funding is not Funding.RESERVED:
                return funding
        is_confirmed = False
        try:
            with trio.move_on_after(max(0.0, until - self._timers.now())):
                await self._confirm(organisation, purse)
                is_confirmed = True
        finally:
            if not is_confirmed:
                purse.settle(reserved=tokens, used=0)
        return Funding.RESERVED if is_confirmed else Funding.UNAVAILABLE

    async def _confirm(self, organisation: str, purse: Purse) -> None:
        if not purse.names_only(self._confirmer.witness):
            self._poke()
        await self._confirmer.confirm(organisation)

    async def _reserve_later(self, purse: Purse, tokens: int, until: float) -> Funding:
        wait_id = next(self._wait_ids)
        purse.waiting_by_id[wait_id] = tokens
        try:
            return await self._await_grant(purse, wait_id, tokens, until)
        finally:
            purse.waiting_by_id.pop(wait_id, None)

    def settle(self, organisation: str, *, reserved: int, used: int) -> None:
        """End a reservation of which ``used`` tokens were spent."""
        purse = self.wallet.purse(organisation, now=self._timers.now())
        purse.settle(reserved=reserved, used=used)

    async def run(self) -> None:
        """Load the ledger, then keep grants in step until cancelled."""
        await self._load_first()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._confirmer.run)
            nursery.start_soon(self._reclaimer.run)
            nursery.start_soon(self._keep_in_step)

    async def _keep_in_step(self) -> None:
        while True:
            with trio.move_on_after(SYNC_PERIOD_S):
                await self._wake.wait()
            self._wake = trio.Event()
            self._confirmer.choose()
            if not await self._sync():
                await trio.sleep(FAILURE_PAUSE_S)

    def purse_state(self, organisation: str) -> PurseState:
        """Return what the router knows of an organisation's balance, for a log."""
        now = self._timers.now()
        purse = self.wallet.purse(organisation, now=now)
        limit = self._limit_by_organisation.get(organisation)
        return PurseState(
            organisation=organisation,
            limit=limit.tokens if limit else None,
            granted=purse.granted,
            spent=purse.spent,
            reserved=purse.reserved,
            rest=purse.rest,
            rest_of_others=purse.rest_of_others,
            age_ms=None if purse.rest is None else round((now - purse.seen_at) * 1000),
        )

    def purse_states(self) -> list[PurseState]:
        """Return what the router knows of all balances that it drew from."""
        return [self.purse_state(each) for each in self.wallet.purse_by_organisation]

    def report(self, _: float) -> None:
        """Log the state of each purse."""
        for state in self.purse_states():
            logger.info("balance", extra=msgspec.structs.asdict(state))

    async def return_all(self) -> None:
        """Hand back everything that isn't reserved; for the router's exit.

        A transfer that is still open is confirmed first. The caller bounds the
        time with a cancel scope.
        """
        self._is_returning = True
        while self._has_to_return():
            if not await self._sync():
                await trio.sleep(FAILURE_PAUSE_S)

    async def _await_grant(
        self, purse: Purse, wait_id: int, tokens: int, until: float
    ) -> Funding:
        asked_at = self._timers.now()
        while True:
            # The request itself is what it waits for.
            if tokens <= purse.free:
                purse.waiting_by_id.pop(wait_id, None)
                purse.reserve(tokens)
                return Funding.RESERVED
            if purse.pending is None and purse.seen_at > asked_at - EMPTY_RETRY_S:
                left = (purse.rest or 0) + max(0, purse.free)
                if tokens > left:
                    is_spent = tokens > left + purse.rest_of_others
                    return Funding.SPENT if is_spent else Funding.UNAVAILABLE
            remaining_s = until - self._timers.now()
            if remaining_s <= 0:
                return Funding.UNAVAILABLE
            if purse.pending is not None and self._is_ledger_away():
                return Funding.UNAVAILABLE
            self._poke()
            synced = self._synced
            with trio.move_on_after(remaining_s):
                await synced.wait()

    def _has_to_return(self) -> bool:
        return any(
            purse.pending is not None or purse.free > 0
            for organisation, purse in self.wallet.purse_by_organisation.items()
            if organisation in self._limit_by_organisation
        )

    def _is_ledger_away(self) -> bool:
        """Return whether orders have failed for so long that waiting is no use."""
        if self._away_since is None:
            return False
        return self._timers.now() - self._away_since >= LEDGER_AWAY_S

    def _poke(self) -> None:
        self._wake.set()

    async def _load_first(self) -> None:
        while True:
            if await self._pages.load():
                break
            await trio.sleep(FAILURE_PAUSE_S)
        self.loaded.set()

    async def _sync(self) -> bool:
        """Make the planned transfers; returns False if a pause is due first."""
        transfer_by_organisation = self._plan()
        if not transfer_by_organisation:
            return True
        started_at = self._timers.now()
        order = LedgerOrder(
            holder=self._holder,
            limit_by_organisation={
                organisation: self._limit_by_organisation[organisation]
                for organisation in transfer_by_organisation
            },
            transfer_by_organisation=transfer_by_organisation,
        )
        try:
            positions = await self._order_path.make(order)
        except LedgerUnavailableError as error:
            if self._away_since is None:
                self._away_since = started_at
            logger.info("transfers_not_confirmed", extra={"cause": str(error)})
            return False
        self._away_since = None
        self._note(positions)
        return True

    def _plan(self) -> dict[str, Transfer]:
        transfers = {}
        for organisation, purse in self.wallet.purse_by_organisation.items():
            if organisation not in self._limit_by_organisation:
                continue
            planned = purse.plan_return() if self._is_returning else self._next(purse)
            if planned is not None:
                transfers[organisation] = planned
        return transfers

    def _next(self, purse: Purse) -> Transfer | None:
        return purse.plan(
            self._timers.now(),
            witness=self._confirmer.witness,
            witness_address=self._confirmer.witness_address,
        )

    def _note(self, position_by_organisation: dict[str, Position]) -> None:
        """Tell the purses the known state of their balances."""
        now = self._timers.now()
        for organisation, position in position_by_organisation.items():
            self.wallet.purse(organisation, now=now).note(position, now=now)
        self._confirmer.purse_changed()
        self._synced.set()
        self._synced = trio.Event()
