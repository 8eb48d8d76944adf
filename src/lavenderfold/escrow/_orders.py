"""The orders that a router sends to the ledger, and the balance views it gets back."""

import msgspec

from lavenderfold.escrow._ledger import (
    Balance,
    Grant,
    Transfer,
    WitnessedSpending,
    router_name,
)


class LedgerUnavailableError(Exception):
    """An order wasn't confirmed; it may still take effect, but only once."""


class LedgerContendedError(LedgerUnavailableError):
    """Other writers changed the pages each time; nothing was written."""


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """The tokens that an organisation has prepaid, as of a configuration version."""

    tokens: int
    version: int


class Reclaim(msgspec.Struct, frozen=True, array_like=True):
    """Returns a dead holder's grant to the balance, except for ``max_spent`` tokens.

    ``max_spent`` is the most that the holder can have spent. If it is None, unknown,
    the whole grant stays charged.
    """

    organisation: str
    holder: str
    max_spent: int | None


class LedgerOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The transfers and reclaims of one holder, applied together.

    Each organisation with a transfer has a limit; ValueError is raised otherwise.
    Orders are idempotent. A relay sends ``witnessed`` with the new ``era`` of the store
    after a rollback.
    """

    holder: str
    limit_by_organisation: dict[str, Limit] = msgspec.field(default_factory=dict)
    transfer_by_organisation: dict[str, Transfer] = msgspec.field(default_factory=dict)
    reclaims: list[Reclaim] = msgspec.field(default_factory=list)
    witnessed: list[WitnessedSpending] = msgspec.field(default_factory=list)
    era: int = 0

    def __post_init__(self):
        without_limit = (
            self.transfer_by_organisation.keys() - self.limit_by_organisation.keys()
        )
        if without_limit:
            raise ValueError(f"no limit for {sorted(without_limit)}")

    @property
    def is_read_only(self) -> bool:
        """Return whether it only asks for the state of balances."""
        return not (self.reclaims or self.witnessed) and all(
            each.is_read_only for each in self.transfer_by_organisation.values()
        )

    @property
    def newest_era(self) -> int:
        """Return the newest era of the store that its sender knows."""
        eras = (each.era for each in self.transfer_by_organisation.values())
        return max(eras, default=self.era)

    @property
    def is_urgent(self) -> bool:
        """Return whether requests are waiting for one of its transfers."""
        return any(each.needed for each in self.transfer_by_organisation.values())


def urgent_part(order: LedgerOrder) -> LedgerOrder:
    """Return the transfers that requests wait for, or the order if none does."""
    if not order.is_urgent:
        return order
    return msgspec.structs.replace(
        order,
        transfer_by_organisation={
            organisation: request
            for organisation, request in order.transfer_by_organisation.items()
            if request.needed
        },
        reclaims=[],
    )


class BalanceView(msgspec.Struct, frozen=True, array_like=True):
    """A balance as seen by one holder. Amounts are in tokens.

    ``routers`` is the number of routers with a grant from the balance; several
    incarnations of one router count once. ``is_short`` tells that requests of some
    router lately waited for more than was available. ``written_off`` is that of the
    balance, and ``granted_to_all`` the sum of the totals of its grants. ``limit`` is
    0 if the sender doesn't tell it. ``unresolved`` are the most tokens that may still
    be written off: the unspent ones of routers' earlier incarnations. ``era`` is the
    store's era; while ``is_settling``, nothing is granted after a rollback.
    """

    available: int
    unspent_by_others: int
    grant: Grant | None
    routers: int = 1
    is_short: bool = False
    written_off: int = 0
    granted_to_all: int = 0
    limit: int = 0
    unresolved: int = 0
    era: int = 0
    is_settling: bool = False

    @classmethod
    def of(
        cls, balance: Balance, holder: str, *, era: int = 0, is_settling: bool = False
    ) -> "BalanceView":
        summary = BalanceSummary(balance=balance, era=era, is_settling=is_settling)
        return summary.view(holder)


class BalanceSummary:
    """Totals over the grants of a balance, from which each holder's view follows.

    They are computed once for all holders of a batch, because a balance has a grant
    for each of them.
    """

    __slots__ = (
        "_balance",
        "_unspent",
        "_granted",
        "_routers",
        "_is_short",
        "_era",
        "_is_settling",
        "_unresolved",
    )

    def __init__(
        self,
        *,
        balance: Balance,
        is_short: bool = False,
        era: int = 0,
        is_settling: bool = False,
    ):
        self._era = era
        self._is_settling = is_settling
        grants = balance.grant_by_holder
        self._balance = balance
        self._is_short = is_short
        self._unspent = sum(grant.unspent for grant in grants.values())
        self._granted = sum(grant.total for grant in grants.values())
        self._routers = len({router_name(each) for each in grants})
        self._unresolved = (
            _unresolved_tokens(grants) if len(grants) > self._routers else 0
        )

    def view(self, holder: str) -> BalanceView:
        """Return the balance as seen by a holder."""
        grant = self._balance.grant_by_holder.get(holder)
        own_unspent = grant.unspent if grant else 0
        return BalanceView(
            available=self._balance.available,
            unspent_by_others=self._unspent - own_unspent,
            grant=grant,
            routers=self._routers,
            is_short=self._is_short,
            written_off=self._balance.written_off,
            granted_to_all=self._granted,
            limit=self._balance.limit,
            unresolved=self._unresolved,
            era=self._era,
            is_settling=self._is_settling,
        )


def _unresolved_tokens(grant_by_holder: dict[str, Grant]) -> int:
    """Return the most that earlier incarnations of routers may have left unspent.

    Grants are in the order in which they were opened, so the last one of a router is
    that of its newest incarnation. Counting by amount would let a router's own grant
    lower what it may hold, and raise it again once the router has handed that back.
    """
    newest_by_router = {router_name(holder): holder for holder in grant_by_holder}
    return sum(
        max(0, grant.unspent)
        for holder, grant in grant_by_holder.items()
        if newest_by_router[router_name(holder)] != holder
    )
