"""Reclaims the tokens that earlier incarnations of a router left unspent."""

import enum
import logging

import msgspec
import trio

from lavenderfold.escrow._ledger import router_name
from lavenderfold.escrow._order_sender import OrderSender
from lavenderfold.escrow._orders import LedgerOrder, LedgerUnavailableError, Reclaim
from lavenderfold.escrow._pages import LedgerPages
from lavenderfold.escrow._witness import Seal, WitnessClient, WitnessError
from lavenderfold.settings import parse_address

# How long a witness that can't be reached is asked again: it may be alive behind a cut,
# and what it knows is lost once the grant is written off.
RECLAIM_PERIOD_S = 60.0
RECLAIM_RETRY_DELAY_S = 0.5
# The delay doubles with each attempt up to this.
MAX_RECLAIM_RETRY_DELAY_S = 4.0
# Reclaims start this long after the router, because grants that requests wait for go
# first when all routers restart.
RECLAIM_START_DELAY_S = 1.0

logger = logging.getLogger(__name__)


class WriteOffCause(enum.Enum):
    """Why nobody can tell how much of a dead holder's grant was spent."""

    NO_WITNESS = "no_witness"
    WITNESS_RESTARTED = "witness_restarted"
    WITNESS_UNREACHABLE = "witness_unreachable"


class OrphanedGrant(msgspec.Struct, frozen=True):
    """A grant of an earlier incarnation, as recorded in the ledger.

    ``unspent`` are its tokens that weren't stated as spent by its last transfer.
    """

    organisation: str
    holder: str
    witness: str
    witness_address: str
    unspent: int


class Reclaimer:
    """Reclaims the grants of the earlier incarnations of one router.

    Grants of other routers are left alone: only of its own name does the router know
    that no earlier process still runs, because it runs itself. The most that an
    earlier incarnation can have spent comes from its witness; a grant without a
    witness stays charged.
    """

    def __init__(
        self,
        *,
        pages: LedgerPages,
        order_sender: OrderSender,
        holder: str,
        witnesses: WitnessClient,
    ):
        self._pages = pages
        self._order_sender = order_sender
        self._holder = holder
        self._witnesses = witnesses
        self._max_spent_by_grant: dict[OrphanedGrant, int | WriteOffCause] = {}

    async def run(self) -> None:
        """Reclaim orphaned grants; write off those whose witness never answers.

        The tokens of a grant that is written off stay charged, but no longer count
        as held by a router.
        """
        unresolved = self._find_orphaned_grants()
        await trio.sleep(RECLAIM_START_DELAY_S)
        end_at = trio.current_time() + RECLAIM_PERIOD_S
        delay_s = RECLAIM_RETRY_DELAY_S
        while trio.current_time() < end_at:
            await self._seal_statements(unresolved)
            resolved = [
                grant for grant in unresolved if grant in self._max_spent_by_grant
            ]
            if await self._reclaim(resolved):
                unresolved = [each for each in unresolved if each not in resolved]
            if not unresolved:
                return
            await trio.sleep(delay_s)
            delay_s = min(MAX_RECLAIM_RETRY_DELAY_S, 2 * delay_s)
        self._max_spent_by_grant.update(
            (grant, WriteOffCause.WITNESS_UNREACHABLE)
            for grant in unresolved
            if grant not in self._max_spent_by_grant
        )
        await self._reclaim(unresolved)

    def _find_orphaned_grants(self) -> list[OrphanedGrant]:
        name = router_name(self._holder)
        return [
            OrphanedGrant(
                organisation,
                holder,
                grant.witness,
                grant.witness_address,
                grant.unspent,
            )
            for page in self._pages.content_by_key().values()
            for organisation, balance in page.balance_by_organisation.items()
            for holder, grant in balance.grant_by_holder.items()
            if holder != self._holder and router_name(holder) == name
        ]

    async def _seal_statements(self, grants: list[OrphanedGrant]) -> None:
        """Seal the holders' statements and note the most that they can have spent."""
        tokens_by_seal: dict[Seal, dict[str, int] | None] = {}
        failed: set[Seal] = set()
        for grant in grants:
            if grant in self._max_spent_by_grant:
                continue
            if not grant.unspent:
                # All of it was stated as spent or handed back: there is nothing to ask.
                self._max_spent_by_grant[grant] = 0
                continue
            if not grant.witness:
                self._max_spent_by_grant[grant] = WriteOffCause.NO_WITNESS
                continue
            seal = Seal(grant.witness, grant.holder)
            if seal not in tokens_by_seal and seal not in failed:
                try:
                    address = parse_address(grant.witness_address)
                    tokens_by_seal[seal] = await self._witnesses.seal(address, seal)
                except (WitnessError, ValueError) as error:
                    fields = {"holder": grant.holder, "cause": str(error)}
                    logger.info("witness_not_sealed", extra=fields)
                    failed.add(seal)
            if seal in tokens_by_seal:
                self._max_spent_by_grant[grant] = _max_spent(
                    tokens_by_seal[seal], grant.organisation
                )

    async def _reclaim(self, grants: list[OrphanedGrant]) -> bool:
        """Reclaim grants; return False if the ledger didn't confirm it."""
        if not grants:
            return True
        reclaims = [
            Reclaim(grant.organisation, grant.holder, self._known_max_spent(grant))
            for grant in grants
        ]
        try:
            await self._order_sender.submit(
                LedgerOrder(holder=self._holder, reclaims=reclaims)
            )
        except LedgerUnavailableError as error:
            logger.info("reclaim_failed", extra={"cause": str(error)})
            return False
        for grant in grants:
            self._log_end(grant)
        return True

    def _known_max_spent(self, grant: OrphanedGrant) -> int | None:
        """Return the most spent from a resolved grant, or None if that is unknown."""
        max_spent = self._max_spent_by_grant[grant]
        return None if isinstance(max_spent, WriteOffCause) else max_spent

    def _log_end(self, grant: OrphanedGrant) -> None:
        fields = {
            "organisation": grant.organisation,
            "holder": grant.holder,
            "unspent": grant.unspent,
        }
        max_spent = self._max_spent_by_grant[grant]
        if isinstance(max_spent, WriteOffCause):
            fields |= {"witness": grant.witness, "cause": max_spent.value}
            logger.warning("grant_written_off", extra=fields)
            return
        logger.info("grant_reclaimed", extra={**fields, "kept": max_spent})


def _max_spent(
    tokens_by_organisation: dict[str, int] | None, organisation: str
) -> int | WriteOffCause:
    """Return the most spent from a grant, by the statement that its witness gave."""
    if tokens_by_organisation is None:
        return WriteOffCause.WITNESS_RESTARTED
    return tokens_by_organisation.get(organisation, 0)
