"""Keeps a router's grants synchronised with the ledger in the shared store."""

import enum
import itertools
import logging
import math

import msgspec
import trio

from lavenderfold.escrow._ledger import Transfer
from lavenderfold.escrow._ledger_outage import LedgerOutage
from lavenderfold.escrow._local_balances import (
    INSUFFICIENT_RETRY_S,
    LocalBalance,
    LocalBalances,
    LocalBalanceState,
)
from lavenderfold.escrow._order_sender import OrderSender
from lavenderfold.escrow._orders import (
    BalanceView,
    LedgerOrder,
    LedgerUnavailableError,
    Limit,
)
from lavenderfold.escrow._pages import LedgerPages
from lavenderfold.escrow._reclaim import Reclaimer
from lavenderfold.escrow._reservation_confirmer import ReservationConfirmer
from lavenderfold.escrow._witness import WitnessClient
from lavenderfold.escrow._writer import LedgerWriter
from lavenderfold.shared import ListingWaits, RelayDirectory, SharedStore
from lavenderfold.timers import TimerService

SYNC_PERIOD_S = 0.5
# After an outage all routers may write the ledger at once, and conflict until all
# have written. A router whose writes conflict for this time tries a combiner again.
CONFLICT_LIMIT_S = 1.0
# Delay after a failed call, so that a recovering store doesn't get the calls of all
# routers at once.
FAILURE_DELAY_S = 0.25
# Requests that wait during an order check at most this often whether it has taken so
# long that the ledger counts as unavailable.
MIN_OUTAGE_CHECK_S = 0.01

logger = logging.getLogger(__name__)


class Funding(enum.Enum):
    """Whether tokens were reserved for the most that a request can use."""

    RESERVED = "reserved"
    SPENT = "spent"
    UNAVAILABLE = "unavailable"


class BalanceManager:
    """Reserves tokens for requests and moves tokens between grants and the ledger.

    ``holder`` names this incarnation of the router: the router's name, a slash and
    a unique part. The router spends only tokens that a confirmed write of the store
    granted to that name. ``relays`` are the relays that can combine orders and serve
    as witnesses.
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
        self.balances = LocalBalances()
        self._confirmer = ReservationConfirmer(
            balances=self.balances, holder=holder, directory=relays
        )
        self._pages = LedgerPages(store=store, prefix=prefix)
        writer = LedgerWriter(
            pages=self._pages,
            conflict_limit_s=math.inf if relays is None else CONFLICT_LIMIT_S,
        )
        self._order_sender = OrderSender(writer=writer, timers=timers, relays=relays)
        self._reclaimer = Reclaimer(
            pages=self._pages,
            order_sender=self._order_sender,
            holder=holder,
            witnesses=WitnessClient(),
        )
        self.loaded = trio.Event()
        self._timers = timers
        self._holder = holder
        self._limit_by_organisation: dict[str, Limit] = {}
        self._wait_ids = itertools.count()
        self._sync_requested = trio.Event()
        self._sync_ended = trio.Event()
        self._is_exiting = False
        self._outage = LedgerOutage()
        self.refused_in_outages = 0

    def set_limits(
        self, limit_by_organisation: dict[str, int], *, version: int
    ) -> None:
        """Install the limits of a configuration version, in tokens."""
        for organisation, tokens in limit_by_organisation.items():
            earlier = self._limit_by_organisation.get(organisation)
            self._limit_by_organisation[organisation] = Limit(tokens, version)
            balance = self.balances.by_organisation.get(organisation)
            if balance and earlier and tokens > earlier.tokens:
                balance.limit_raised()
        self._request_sync()

    async def reserve(self, organisation: str, tokens: int, *, until: float) -> Funding:
        """Reserve tokens; wait for the grant and the witness until ``until``.

        What can't be had without the ledger isn't waited for while the ledger is known
        to be unavailable; see ``expected_outage_s``.
        """
        funding = await self._reserve(organisation, tokens, until)
        if funding is Funding.UNAVAILABLE and self.expected_outage_s is not None:
            self._outage.refused += 1
            self.refused_in_outages += 1
        return funding

    @property
    def expected_outage_s(self) -> float | None:
        """Return how much longer the ledger is expected to be unavailable, or None."""
        return self._outage.expected_rest_s(self._timers.now())

    @property
    def outage_s(self) -> float:
        """Return how long the ledger has been unavailable; 0 if it is available."""
        now = self._timers.now()
        return self._outage.elapsed_s(now) if self._outage.is_known(now) else 0.0

    async def _reserve(self, organisation: str, tokens: int, until: float) -> Funding:
        balance = self.balances.get_or_create(organisation, now=self._timers.now())
        if not balance.reserve(tokens):
            funding = await self._reserve_after_grant(balance, tokens, until)
            if funding is not Funding.RESERVED:
                return funding
        is_confirmed = False
        try:
            with trio.move_on_after(max(0.0, until - self._timers.now())):
                is_confirmed = await self._confirm(organisation, balance)
        finally:
            if not is_confirmed:
                balance.settle(reserved=tokens, used=0)
        return Funding.RESERVED if is_confirmed else Funding.UNAVAILABLE

    async def _confirm(self, organisation: str, balance: LocalBalance) -> bool:
        """Wait for the witness; return False if the ledger can't record it now."""
        if not balance.is_witnessed_only_by(self._confirmer.witness):
            if self._outage.is_known(self._timers.now()):
                return False
            self._request_sync()
        await self._confirmer.confirm(organisation)
        return True

    async def _reserve_after_grant(
        self, balance: LocalBalance, tokens: int, until: float
    ) -> Funding:
        wait_id = next(self._wait_ids)
        balance.waiting_tokens_by_id[wait_id] = tokens
        try:
            return await self._wait_for_grant(balance, wait_id, tokens, until)
        finally:
            balance.waiting_tokens_by_id.pop(wait_id, None)

    def settle(self, organisation: str, *, reserved: int, used: int) -> None:
        """End a reservation; ``used`` of its tokens were spent."""
        balance = self.balances.get_or_create(organisation, now=self._timers.now())
        balance.settle(reserved=reserved, used=used)

    async def run(self) -> None:
        """Load the ledger, then keep the grants synchronised until cancelled."""
        await self._load_ledger()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._confirmer.run)
            nursery.start_soon(self._reclaimer.run)
            nursery.start_soon(self._sync_until_cancelled)

    async def _sync_until_cancelled(self) -> None:
        while True:
            with trio.move_on_after(SYNC_PERIOD_S):
                await self._sync_requested.wait()
            self._sync_requested = trio.Event()
            self._confirmer.choose_witness()
            if not await self._sync():
                await trio.sleep(FAILURE_DELAY_S)
                # Requests that are refused at once don't ask for the next order.
                self._request_sync()

    @property
    def router_count(self) -> int:
        """The most routers that were seen to spend from one balance; 0 at the start."""
        return max(
            (balance.routers for balance in self.balances.by_organisation.values()),
            default=0,
        )

    def local_balance_state(self, organisation: str) -> LocalBalanceState:
        """Return what the router knows of an organisation's balance, for logging."""
        now = self._timers.now()
        balance = self.balances.get_or_create(organisation, now=now)
        limit = self._limit_by_organisation.get(organisation)
        return LocalBalanceState(
            organisation=organisation,
            limit=limit.tokens if limit else None,
            granted=balance.granted,
            spent=balance.spent,
            reserved=balance.reserved,
            rest=balance.rest,
            rest_of_others=balance.rest_of_others,
            written_off=balance.written_off,
            age_ms=None
            if balance.rest is None
            else round((now - balance.updated_at) * 1000),
        )

    def local_balance_states(self) -> list[LocalBalanceState]:
        """Return what the router knows of each balance that it has used."""
        return [
            self.local_balance_state(each) for each in self.balances.by_organisation
        ]

    def report(self, _: float) -> None:
        """Log the state of each local balance."""
        for state in self.local_balance_states():
            logger.info("balance", extra=msgspec.structs.asdict(state))

    async def return_all(self) -> None:
        """Hand back all tokens that aren't reserved, before the router exits.

        A pending transfer is confirmed first. The caller limits the time with a
        cancel scope.
        """
        self._is_exiting = True
        while self._has_tokens_to_return():
            if not await self._sync():
                await trio.sleep(FAILURE_DELAY_S)

    async def _wait_for_grant(
        self, balance: LocalBalance, wait_id: int, tokens: int, until: float
    ) -> Funding:
        requested_at = self._timers.now()
        while True:
            # The waiting tokens include this request's own; they are no longer counted
            # as waiting once it has reserved them.
            if tokens <= balance.free:
                balance.waiting_tokens_by_id.pop(wait_id, None)
                balance.reserve(tokens)
                return Funding.RESERVED
            if (
                balance.pending is None
                and not balance.is_limit_raised
                and balance.updated_at > requested_at - INSUFFICIENT_RETRY_S
            ):
                left = (balance.rest or 0) + max(0, balance.free)
                if tokens > left:
                    is_spent = tokens > left + balance.rest_of_others
                    return Funding.SPENT if is_spent else Funding.UNAVAILABLE
            remaining_s = until - self._timers.now()
            if remaining_s <= 0:
                return Funding.UNAVAILABLE
            now = self._timers.now()
            if self._outage.is_known(now):
                return Funding.UNAVAILABLE
            self._request_sync()
            sync_ended = self._sync_ended
            outage_in_s = max(MIN_OUTAGE_CHECK_S, self._outage.remaining_s(now))
            with trio.move_on_after(min(remaining_s, outage_in_s)):
                await sync_ended.wait()

    def _has_tokens_to_return(self) -> bool:
        return any(
            balance.pending is not None or balance.free > 0 or not balance.is_stated
            for organisation, balance in self.balances.by_organisation.items()
            if organisation in self._limit_by_organisation
        )

    def _request_sync(self) -> None:
        self._sync_requested.set()

    async def _load_ledger(self) -> None:
        waits = ListingWaits()
        while not await self._pages.load(wait=waits.begin_attempt()):
            waits.record_failure()
            await trio.sleep(FAILURE_DELAY_S)
        self.balances.begin_era(self._pages.era)
        self.loaded.set()

    async def _sync(self) -> bool:
        """Make the planned transfers; return False if they weren't confirmed."""
        transfer_by_organisation = self._plan_transfers()
        if not transfer_by_organisation:
            # Without an order nothing shows whether the ledger is available.
            self._end_outage()
            return True
        self._outage.record_start(self._timers.now())
        order = LedgerOrder(
            holder=self._holder,
            limit_by_organisation={
                organisation: self._limit_by_organisation[organisation]
                for organisation in transfer_by_organisation
            },
            transfer_by_organisation=transfer_by_organisation,
        )
        try:
            views = await self._order_sender.submit(order)
        except LedgerUnavailableError as error:
            self._outage.record_failure()
            logger.info("transfers_not_confirmed", extra={"cause": str(error)})
            self._report_outage()
            self._notify_waiting()
            return False
        self._end_outage()
        self._update_balances(views, order)
        return True

    def _report_outage(self) -> None:
        """Log once that the ledger is unavailable, and what this router holds."""
        now = self._timers.now()
        if self._outage.is_reported or not self._outage.is_known(now):
            return
        self._outage.is_reported = True
        balances = self.balances.by_organisation.values()
        fields = {
            "since_s": round(self._outage.elapsed_s(now), 3),
            "balances": len(balances),
            "free": sum(max(0, each.free) for each in balances),
            "reserved": sum(each.reserved for each in balances),
        }
        logger.warning("ledger_unavailable", extra=fields)

    def _end_outage(self) -> None:
        if self._outage.is_reported:
            fields = {
                "outage_s": round(self._outage.elapsed_s(self._timers.now()), 3),
                "refused": self._outage.refused,
            }
            logger.warning("ledger_available", extra=fields)
        self._outage.end()

    def _plan_transfers(self) -> dict[str, Transfer]:
        transfers = {}
        for organisation, balance in self.balances.by_organisation.items():
            if organisation not in self._limit_by_organisation:
                continue
            planned = (
                balance.plan_return()
                if self._is_exiting
                else self._plan_transfer(balance)
            )
            if planned is not None:
                transfers[organisation] = planned
        return transfers

    def _plan_transfer(self, balance: LocalBalance) -> Transfer | None:
        now = self._timers.now()
        planned = balance.plan_transfer(
            now,
            witness=self._confirmer.witness,
            witness_address=self._confirmer.witness_address,
        )
        return planned or balance.plan_refresh(now)

    def _update_balances(
        self, view_by_organisation: dict[str, BalanceView], order: LedgerOrder
    ) -> None:
        """Update the local balances with the state that confirms an order."""
        now = self._timers.now()
        for organisation, view in view_by_organisation.items():
            balance = self.balances.get_or_create(organisation, now=now)
            balance.update(view, now=now)
            self.balances.begin_era(view.era)
            sent_limit = order.limit_by_organisation[organisation]
            if sent_limit == self._limit_by_organisation[organisation]:
                if balance.is_limit_raised:
                    # The balance may now have what was refused before.
                    self._request_sync()
                balance.is_limit_raised = False
        if not all(each.is_stated for each in self.balances.by_organisation.values()):
            self._request_sync()
        self._confirmer.balances_updated()
        self._notify_waiting()

    def _notify_waiting(self) -> None:
        self._sync_ended.set()
        self._sync_ended = trio.Event()
