"""Takes back what dead incarnations of a router didn't spend."""

import logging

import msgspec
import trio

from lavenderfold.escrow._ledger import LedgerPage, reclaim
from lavenderfold.escrow._pages import LedgerPages
from lavenderfold.escrow._witness import Seal, WitnessClient, WitnessError
from lavenderfold.settings import parse_address
from lavenderfold.shared import SharedStoreError, WriteConflictError

RECLAIM_ATTEMPTS = 12
RECLAIM_PAUSE_S = 0.5

logger = logging.getLogger(__name__)


class DeadGrant(msgspec.Struct, frozen=True):
    """A grant of an earlier incarnation, as the ledger shows it."""

    page: str
    organisation: str
    holder: str
    witness: str
    witness_address: str


class _Reclaimed(msgspec.Struct, frozen=True):
    grant: DeadGrant
    kept: int | None
    returned: int


class Reclaimer:
    """Reclaims for one router incarnation.

    Only grants under the router's own name are looked for: its process runs, so
    that no earlier one does. ``kept`` amounts come from the witnesses; a grant
    without a witness stays charged.
    """

    def __init__(self, *, pages: LedgerPages, holder: str, witnesses: WitnessClient):
        self._pages = pages
        self._holder = holder
        self._witnesses = witnesses
        self._kept_by_grant: dict[DeadGrant, int | None] = {}

    async def run(self) -> None:
        """Reclaim what can be proved; give up after RECLAIM_ATTEMPTS."""
        for _ in range(RECLAIM_ATTEMPTS):
            await self._seal()
            try:
                if await self._write():
                    return
            except WriteConflictError as conflict:
                self._pages.install(conflict.items)
                continue
            except SharedStoreError as error:
                logger.info("reclaim_failed", extra={"cause": str(error)})
                await self._pages.load()
            await trio.sleep(RECLAIM_PAUSE_S)
        for grant in self._dead_grants():
            fields = {"organisation": grant.organisation, "holder": grant.holder}
            logger.warning("grant_written_off", extra=fields)

    def _dead_grants(self) -> list[DeadGrant]:
        name = self._holder.rpartition("/")[0]
        return [
            DeadGrant(key, organisation, holder, grant.witness, grant.witness_address)
            for key, page in self._pages.content_by_key().items()
            for organisation, balance in page.balance_by_organisation.items()
            for holder, grant in balance.grant_by_holder.items()
            if holder != self._holder and holder.rpartition("/")[0] == name
        ]

    async def _seal(self) -> None:
        """Ask the witnesses of all dead grants that aren't known yet."""
        tokens_by_seal: dict[Seal, dict[str, int]] = {}
        failed: set[Seal] = set()
        for grant in self._dead_grants():
            if grant in self._kept_by_grant:
                continue
            if not grant.witness:
                self._kept_by_grant[grant] = None
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
                kept = tokens_by_seal[seal].get(grant.organisation, 0)
                self._kept_by_grant[grant] = kept

    async def _write(self) -> bool:
        """Write the reclaims that are known; returns False if some are missing."""
        wanted = self._dead_grants()
        known = [grant for grant in wanted if grant in self._kept_by_grant]
        reclaimed: list[_Reclaimed] = []
        draft_by_key: dict[str, LedgerPage] = {}
        for grant in known:
            draft = self._pages.draft(draft_by_key, grant.page)
            balance = draft.balance_by_organisation[grant.organisation]
            kept = self._kept_by_grant[grant]
            changed = reclaim(balance, grant.holder, kept=kept)
            draft.balance_by_organisation[grant.organisation] = changed
            returned = balance.charged - changed.charged
            reclaimed.append(_Reclaimed(grant, kept, returned))
        if draft_by_key:
            await self._pages.commit(draft_by_key)
        for each in reclaimed:
            _log_reclaimed(each)
        return len(known) == len(wanted)


def _log_reclaimed(reclaimed: _Reclaimed) -> None:
    fields = {
        "organisation": reclaimed.grant.organisation,
        "holder": reclaimed.grant.holder,
        "kept": reclaimed.kept,
        "returned": reclaimed.returned,
    }
    logger.info("grant_reclaimed", extra=fields)
