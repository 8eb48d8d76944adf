"""Ledger pages: the durable balances, and the pure changes to them."""

import msgspec
import xxhash

PAGE_COUNT = 16
# The share of what is left that one transfer may take beyond waiting requests.
# Smaller shares keep more for other routers near the end of a balance.
SHARE_OF_REST = 0.35


class LedgerDecodeError(Exception):
    """The value of a ledger page can't be read."""


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that one router incarnation may spend.

    ``total`` counts all tokens ever moved to it, less those handed back;
    ``number`` is the holder's last transfer, by which it recognises a transfer
    whose answer was lost. ``witness`` is the incarnation of the relay that knows
    what the holder may have spent, at ``witness_address``; empty if there is none.
    """

    total: int
    spent: int
    number: int
    witness: str = ""
    witness_address: str = ""


class Balance(msgspec.Struct, frozen=True, array_like=True):
    """One organisation's prepaid tokens. ``charged`` is the sum of all grants."""

    limit: int
    limit_version: int
    charged: int = 0
    grant_by_holder: dict[str, Grant] = msgspec.field(default_factory=dict)

    @property
    def available(self) -> int:
        """Return the tokens that can still be granted."""
        return max(0, self.limit - self.charged)

    def unspent_by_others(self, holder: str) -> int:
        """Return the tokens in the grants of others, as they last reported."""
        return sum(
            grant.total - grant.spent
            for name, grant in self.grant_by_holder.items()
            if name != holder
        )


class LedgerPage(msgspec.Struct):
    """The balances that share one key of the store."""

    balance_by_organisation: dict[str, Balance] = msgspec.field(default_factory=dict)

    def encode(self) -> bytes:
        return _encoder.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "LedgerPage":
        """Return the page of a value, or raise LedgerDecodeError."""
        try:
            return _decoder.decode(data)
        except msgspec.DecodeError as error:
            raise LedgerDecodeError(str(error)) from error


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LedgerPage)


class Transfer(msgspec.Struct, frozen=True, kw_only=True):
    """What a holder wants moved between a balance and its grant, in tokens.

    ``needed`` is what waiting requests lack, ``wanted`` the amount asked for
    including it, ``returned`` what is handed back. ``spent`` is the holder's
    spending so far.
    """

    number: int
    needed: int = 0
    wanted: int = 0
    returned: int = 0
    spent: int = 0
    witness: str = ""
    witness_address: str = ""


def router_name(holder: str) -> str:
    """Return the router of which a holder is an incarnation."""
    return holder.rpartition("/")[0]


def page_key(prefix: str, organisation: str) -> str:
    """Return the key of the page that holds an organisation's balance."""
    number = xxhash.xxh64_intdigest(organisation.encode()) % PAGE_COUNT
    return f"{prefix}{number:02d}"


def with_limit(balance: Balance | None, *, limit: int, version: int) -> Balance:
    """Return the balance with the limit of a configuration version."""
    if balance is None:
        return Balance(limit=limit, limit_version=version)
    if version <= balance.limit_version:
        return balance
    return msgspec.structs.replace(balance, limit=limit, limit_version=version)


def _moved(balance: Balance, request: Transfer) -> int:
    """Return the tokens that a transfer takes out of the balance."""
    available = balance.available
    if request.needed > available:
        # What is left can't cover the waiting requests together; a smaller one
        # among them may still fit.
        return available if request.wanted else 0
    share = int(available * SHARE_OF_REST)
    return min(request.wanted, max(request.needed, share))


def transfer(balance: Balance, holder: str, request: Transfer) -> Balance:
    """Return the balance after a holder's transfer; repeating it changes nothing."""
    grant = balance.grant_by_holder.get(holder, Grant(total=0, spent=0, number=0))
    if request.number <= grant.number:
        return balance
    moved = _moved(balance, request) - request.returned
    changed = Grant(
        total=grant.total + moved,
        spent=request.spent,
        number=request.number,
        witness=request.witness,
        witness_address=request.witness_address,
    )
    grants = {**balance.grant_by_holder, holder: changed}
    return msgspec.structs.replace(
        balance, charged=balance.charged + moved, grant_by_holder=grants
    )


def reclaim(balance: Balance, holder: str, *, kept: int | None) -> Balance:
    """Return the balance without a dead holder's grant.

    ``kept`` is the most that the holder can have spent; all of the grant stays
    charged if that isn't known.
    """
    grant = balance.grant_by_holder.get(holder)
    if grant is None:
        return balance
    used = grant.total if kept is None else min(grant.total, max(grant.spent, kept))
    grants = {k: v for k, v in balance.grant_by_holder.items() if k != holder}
    return msgspec.structs.replace(
        balance,
        charged=balance.charged - (grant.total - used),
        grant_by_holder=grants,
    )
