"""Keeps the router's grants in step with the ledger in the shared store."""

import enum
import itertools
import logging

import msgspec
import trio

from lavenderfold.escrow._confirm import Confirmer
from lavenderfold.escrow._ledger import (
    Balance,
    LedgerDecodeError,
    LedgerPage,
    Transfer,
    page_key,
    reclaim,
    transfer,
    with_limit,
)
from lavenderfold.escrow._wallet import EMPTY_RETRY_S, Purse, Wallet
from lavenderfold.escrow._witness import Seal, WitnessClient, WitnessError
from lavenderfold.settings import parse_address
from lavenderfold.shared import (
    ConditionalWrite,
    Item,
    RelayDirectory,
    SharedStore,
    SharedStoreError,
    WriteConflictError,
    WriteUncertainError,
)
from lavenderfold.timers import TimerService

SYNC_PERIOD_S = 0.5
# After a failed call, so that a store that returns isn't met by all at once.
FAILURE_PAUSE_S = 0.25
CONFLICT_PAUSE_S = 0.003
ATTEMPTS_PER_SYNC = 6
RECLAIM_ATTEMPTS = 12
RECLAIM_PAUSE_S = 0.5

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


class _Limit(msgspec.Struct, frozen=True):
    tokens: int
    version: int


class _GrantKey(msgspec.Struct, frozen=True):
    page: str
    organisation: str
    holder: str
    witness: str
    witness_address: str


class _Reclaimed(msgspec.Struct, frozen=True):
    grant: _GrantKey
    kept: int | None
    returned: int


def _log_reclaimed(reclaimed: _Reclaimed) -> None:
    fields = {
        "organisation": reclaimed.grant.organisation,
        "holder": reclaimed.grant.holder,
        "kept": reclaimed.kept,
        "returned": reclaimed.returned,
    }
    logger.info("grant_reclaimed", extra=fields)


class _Page:
    __slots__ = ("content", "revision")

    def __init__(self, *, content: LedgerPage, revision: int):
        self.content = content
        self.revision = revision


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
        self._witnesses = WitnessClient()
        self._relays = relays
        self.loaded = trio.Event()
        self._store = store
        self._timers = timers
        self._holder = holder
        self._prefix = prefix
        self._limit_by_organisation: dict[str, _Limit] = {}
        self._page_by_key: dict[str, _Page] = {}
        self._wait_ids = itertools.count()
        self._wake = trio.Event()
        self._synced = trio.Event()
        self._is_returning = False

    def set_limits(
        self, limit_by_organisation: dict[str, int], *, version: int
    ) -> None:
        """Install the limits of a configuration version, in tokens."""
        for organisation, tokens in limit_by_organisation.items():
            self._limit_by_organisation[organisation] = _Limit(tokens, version)
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
            nursery.start_soon(self._reclaim_predecessors)
            nursery.start_soon(self._keep_in_step)

    async def _keep_in_step(self) -> None:
        while True:
            with trio.move_on_after(SYNC_PERIOD_S):
                await self._wake.wait()
            self._wake = trio.Event()
            self._confirmer.choose()
            if not await self._sync():
                await trio.sleep(FAILURE_PAUSE_S)

    async def _reclaim_predecessors(self) -> None:
        """Take back what dead incarnations of this router didn't spend.

        Only this router's own name is looked for: its process runs, so that no
        earlier one does.
        """
        kept_by_grant: dict[_GrantKey, int | None] = {}
        for _ in range(RECLAIM_ATTEMPTS):
            await self._seal_predecessors(kept_by_grant)
            try:
                if await self._write_reclaims(kept_by_grant):
                    return
            except WriteConflictError as conflict:
                self._install(conflict.items)
                continue
            except SharedStoreError as error:
                logger.info("reclaim_failed", extra={"cause": str(error)})
                await self._load()
            await trio.sleep(RECLAIM_PAUSE_S)

    def _predecessors(self) -> list[_GrantKey]:
        name = self._holder.rpartition("/")[0]
        return [
            _GrantKey(key, organisation, holder, grant.witness, grant.witness_address)
            for key, page in self._page_by_key.items()
            for organisation, balance in page.content.balance_by_organisation.items()
            for holder, grant in balance.grant_by_holder.items()
            if holder != self._holder and holder.rpartition("/")[0] == name
        ]

    async def _seal_predecessors(
        self, kept_by_grant: dict[_GrantKey, int | None]
    ) -> None:
        tokens_by_seal: dict[Seal, dict[str, int]] = {}
        for grant in self._predecessors():
            if grant in kept_by_grant:
                continue
            if not grant.witness:
                kept_by_grant[grant] = None
                continue
            seal = Seal(grant.witness, grant.holder)
            if seal not in tokens_by_seal:
                try:
                    address = parse_address(grant.witness_address)
                    tokens_by_seal[seal] = await self._witnesses.seal(address, seal)
                except (WitnessError, ValueError) as error:
                    fields = {"holder": grant.holder, "cause": str(error)}
                    logger.info("witness_not_sealed", extra=fields)
                    return
            kept_by_grant[grant] = tokens_by_seal[seal].get(grant.organisation, 0)

    async def _write_reclaims(self, kept_by_grant: dict[_GrantKey, int | None]) -> bool:
        """Write the reclaims that are known; returns False if some are missing."""
        wanted = self._predecessors()
        known = [grant for grant in wanted if grant in kept_by_grant]
        reclaimed: list[_Reclaimed] = []
        draft_by_key: dict[str, LedgerPage] = {}
        for grant in known:
            draft = self._draft(draft_by_key, grant.page)
            balance = draft.balance_by_organisation[grant.organisation]
            kept = kept_by_grant[grant]
            changed = reclaim(balance, grant.holder, kept=kept)
            draft.balance_by_organisation[grant.organisation] = changed
            returned = balance.charged - changed.charged
            reclaimed.append(_Reclaimed(grant, kept, returned))
        if draft_by_key:
            await self._commit(draft_by_key)
        for each in reclaimed:
            _log_reclaimed(each)
        return len(known) == len(wanted)

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

    def report(self, _: float) -> None:
        """Log the state of each purse."""
        for organisation in self.wallet.purse_by_organisation:
            state = self.purse_state(organisation)
            logger.info("balance", extra=msgspec.structs.asdict(state))

    async def return_all(self) -> None:
        """Hand back everything that isn't reserved; for the router's exit."""
        self._is_returning = True
        await self._sync()

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
            self._poke()
            synced = self._synced
            with trio.move_on_after(remaining_s):
                await synced.wait()

    def _poke(self) -> None:
        self._wake.set()

    async def _load_first(self) -> None:
        while True:
            if await self._load():
                break
            await trio.sleep(FAILURE_PAUSE_S)
        self.loaded.set()

    async def _load(self) -> bool:
        try:
            listing = await self._store.list_items(self._prefix)
        except SharedStoreError as error:
            logger.info("ledger_unreachable", extra={"cause": str(error)})
            return False
        self._install(listing.items)
        return True

    async def _sync(self) -> bool:
        """Make the planned transfers; returns False if a pause is due first."""
        for _ in range(ATTEMPTS_PER_SYNC):
            transfer_by_organisation = self._plan()
            if not transfer_by_organisation:
                return True
            try:
                await self._write(transfer_by_organisation)
            except WriteConflictError as conflict:
                self._install(conflict.items)
                self._note_pages(transfer_by_organisation)
                await trio.sleep(CONFLICT_PAUSE_S)
                continue
            except WriteUncertainError as error:
                logger.info("ledger_write_uncertain", extra={"cause": str(error)})
                if await self._load():
                    self._note_pages(transfer_by_organisation)
                return False
            except SharedStoreError as error:
                logger.info("ledger_write_failed", extra={"cause": str(error)})
                return False
            self._note_pages(transfer_by_organisation)
            return True
        return False

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

    async def _write(self, transfer_by_organisation: dict[str, Transfer]) -> None:
        draft_by_key: dict[str, LedgerPage] = {}
        for organisation, request in transfer_by_organisation.items():
            draft = self._draft(draft_by_key, page_key(self._prefix, organisation))
            balance = self._balance(draft, organisation)
            changed = transfer(balance, self._holder, request)
            draft.balance_by_organisation[organisation] = changed
        await self._commit(draft_by_key)

    def _draft(self, draft_by_key: dict[str, LedgerPage], key: str) -> LedgerPage:
        draft = draft_by_key.get(key)
        if draft is None:
            known = self._page_by_key.get(key)
            balances = known.content.balance_by_organisation if known else {}
            draft = draft_by_key[key] = LedgerPage(dict(balances))
        return draft

    async def _commit(self, draft_by_key: dict[str, LedgerPage]) -> None:
        writes = [
            ConditionalWrite(key, draft.encode(), self._revision(key))
            for key, draft in draft_by_key.items()
        ]
        revision = await self._store.write(writes)
        for key, draft in draft_by_key.items():
            self._page_by_key[key] = _Page(content=draft, revision=revision)

    def _balance(self, page: LedgerPage, organisation: str) -> Balance:
        limit = self._limit_by_organisation[organisation]
        known = page.balance_by_organisation.get(organisation)
        return with_limit(known, limit=limit.tokens, version=limit.version)

    def _revision(self, key: str) -> int:
        known = self._page_by_key.get(key)
        return known.revision if known else 0

    def _install(self, items: list[Item]) -> None:
        for item in items:
            known = self._page_by_key.get(item.key)
            if known is not None and item.revision <= known.revision:
                continue
            try:
                content = LedgerPage.decode(item.value)
            except LedgerDecodeError as error:
                # An unreadable page can't be written over: nothing is granted.
                fault = {"key": item.key, "cause": str(error)}
                logger.error("ledger_page_unreadable", extra=fault)
                continue
            self._page_by_key[item.key] = _Page(content=content, revision=item.revision)

    def _note_pages(self, transfer_by_organisation: dict[str, Transfer]) -> None:
        """Tell the purses the known state of their balances."""
        now = self._timers.now()
        for organisation in transfer_by_organisation:
            page = self._page_by_key.get(page_key(self._prefix, organisation))
            if page is None:
                continue
            balance = self._balance(page.content, organisation)
            purse = self.wallet.purse(organisation, now=now)
            purse.note(balance, self._holder, now=now)
        self._confirmer.purse_changed()
        self._synced.set()
        self._synced = trio.Event()
