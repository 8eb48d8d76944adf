"""What a router asks of the ledger at once, and what it learns from the answer."""

import msgspec

from lavenderfold.escrow._ledger import Balance, Grant, Transfer, router_name


class LedgerUnavailableError(Exception):
    """An order wasn't confirmed; it may still take effect, once."""


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """An organisation's prepaid tokens in a configuration version."""

    tokens: int
    version: int


class Reclaim(msgspec.Struct, frozen=True, array_like=True):
    """Takes a dead holder's grant back, all but ``kept`` tokens.

    All of it stays charged if ``kept`` is None.
    """

    organisation: str
    holder: str
    kept: int | None


class LedgerOrder(msgspec.Struct, frozen=True, kw_only=True):
    """One holder's transfers by organisation, and its reclaims.

    Each organisation with a transfer has a limit. Repeating an order changes
    nothing.
    """

    holder: str
    limit_by_organisation: dict[str, Limit] = msgspec.field(default_factory=dict)
    transfer_by_organisation: dict[str, Transfer] = msgspec.field(default_factory=dict)
    reclaims: list[Reclaim] = msgspec.field(default_factory=list)

    @property
    def is_urgent(self) -> bool:
        """Whether requests wait for its transfers."""
        return any(each.needed for each in self.transfer_by_organisation.values())


class Position(msgspec.Struct, frozen=True, array_like=True):
    """A balance as one holder sees it. Amounts are in tokens.

    ``routers`` counts the routers that draw from it, dead incarnations of one
    router once.
    """

    available: int
    unspent_by_others: int
    grant: Grant | None
    routers: int = 1

    @classmethod
    def of(cls, balance: Balance, holder: str) -> "Position":
        return cls(
            available=balance.available,
            unspent_by_others=balance.unspent_by_others(holder),
            grant=balance.grant_by_holder.get(holder),
            routers=len({router_name(each) for each in balance.grant_by_holder}),
        )
