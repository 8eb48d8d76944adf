"""The orders that a router sends to the ledger, and the balance views it gets back."""

import msgspec

from lavenderfold.escrow._ledger import Balance, Grant, Transfer, router_name


class LedgerUnavailableError(Exception):
    """An order wasn't confirmed; it may still take effect, but only once."""


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

    Each organisation with a transfer has a limit. Orders are idempotent.
    """

    holder: str
    limit_by_organisation: dict[str, Limit] = msgspec.field(default_factory=dict)
    transfer_by_organisation: dict[str, Transfer] = msgspec.field(default_factory=dict)
    reclaims: list[Reclaim] = msgspec.field(default_factory=list)

    @property
    def is_urgent(self) -> bool:
        """Return whether requests are waiting for one of its transfers."""
        return any(each.needed for each in self.transfer_by_organisation.values())


class BalanceView(msgspec.Struct, frozen=True, array_like=True):
    """A balance as seen by one holder. Amounts are in tokens.

    ``routers`` is the number of routers with a grant from the balance; several
    incarnations of one router count once.
    """

    available: int
    unspent_by_others: int
    grant: Grant | None
    routers: int = 1

    @classmethod
    def of(cls, balance: Balance, holder: str) -> "BalanceView":
        return cls(
            available=balance.available,
            unspent_by_others=balance.unspent_by_others(holder),
            grant=balance.grant_by_holder.get(holder),
            routers=len({router_name(each) for each in balance.grant_by_holder}),
        )
