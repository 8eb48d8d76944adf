"""Takes back what dead incarnations of a router didn't spend."""

import logging

import msgspec
import trio

from lavenderfold.escrow._ledger import router_name
from lavenderfold.escrow._order_path import OrderPath
from lavenderfold.escrow._orders import LedgerOrder, LedgerUnavailableError, Reclaim
from lavenderfold.escrow._pages import LedgerPages
from lavenderfold.escrow._witness import Seal, WitnessClient, WitnessError
from lavenderfold.settings import parse_address

RECLAIM_ATTEMPTS = 12
RECLAIM_PAUSE_S = 0.5

logger = logging.getLogger(__name__)


class DeadGrant(msgspec.Struct, frozen=True):
    """A grant of an earlier incarnation, as the ledger shows it."""

    organisation: str
    holder: str
    witness: str
    witness_address: str


class Reclaimer:
    """Reclaims for one router incarnation.

    Only grants under the router's own name are looked for: its process runs, so
    that no earlier one does. ``kept`` amounts come from the witnesses; a grant
    without a witness stays charged.
    """

    def __init__(
        self,
        *,
        pages: LedgerPages,
        orders: OrderPath,
        holder: str,
        witnesses: WitnessClient,
    ):
        self._pages = pages
        self._orders = orders
        self._holder = holder
        self._witnesses = witnesses
        self._kept_by_grant: dict[DeadGrant, int | None] = {}

    async def run(self) -> None:
        """Reclaim what can be proved; give up after RECLAIM_ATTEMPTS."""
        missing = self._dead_grants()
        for _ in range(RECLAIM_ATTEMPTS):
            await self._seal(missing)
            known = [grant for grant in missing if grant in self._kept_by_grant]
            if await self._order(known):
                missing = [each for each in missing if each not in known]
            if not missing:
                return
            await trio.sleep(RECLAIM_PAUSE_S)
        for grant in missing:
            fields = {"organisation": grant.organisation, "holder": grant.holder}
            logger.warning("grant_written_off", extra=fields)

    def _dead_grants(self) -> list[DeadGrant]:
        name = router_name(self._holder)
        return [
            DeadGrant(organisation, holder, grant.witness, grant.witness_address)
            for page in self._pages.content_by_key().values()
            for organisation, balance in page.balance_by_organisation.items()
            for holder, grant in balance.grant_by_holder.items()
            if holder != self._holder and router_name(holder) == name
        ]

    async def _seal(self, grants: list[DeadGrant]) -> None:
        """Ask the witnesses of the grants what the holders can have spent."""
        tokens_by_seal: dict[Seal, dict[str, int]] = {}
        failed: set[Seal] = set()
        for grant in grants:
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

    async def _order(self, grants: list[DeadGrant]) -> bool:
        """Take grants back; returns False if that isn't confirmed."""
        if not grants:
            return True
        reclaims = [
            Reclaim(grant.organisation, grant.holder, self._kept_by_grant[grant])
            for grant in grants
        ]
        try:
            await self._orders.make(LedgerOrder(holder=self._holder, reclaims=reclaims))
        except LedgerUnavailableError as error:
            logger.info("reclaim_failed", extra={"cause": str(error)})
            return False
        for each in reclaims:
            logger.info("grant_reclaimed", extra=_reclaim_fields(each))
        return True


def _reclaim_fields(reclaim: Reclaim) -> dict[str, str | int | None]:
    return {
        "organisation": reclaim.organisation,
        "holder": reclaim.holder,
        "kept": reclaim.kept,
    }
