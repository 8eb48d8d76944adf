"""Encoding of ledger pages as values of the shared store.

A page holds a grant for each router and organisation. Holder and witness are long
strings that all grants of a router share, so the page stores each combination of them
once, and the grants refer to it by its index.
"""

import msgspec

from lavenderfold.escrow._ledger import Balance, Grant, LedgerPage

FORMAT_VERSION = 2


class LedgerDecodeError(Exception):
    """The value of a ledger page can't be read."""


class _StoredHolder(msgspec.Struct, frozen=True, array_like=True):
    """A holder with the witness that some of its grants name."""

    holder: str
    witness: str
    witness_address: str


class _StoredGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant; ``holder`` is an index into the holders of the page."""

    holder: int
    total: int
    spent: int
    number: int


class _StoredBalance(msgspec.Struct, frozen=True, array_like=True):
    """A balance; pages of earlier versions have no ``written_off``."""

    limit: int
    limit_version: int
    charged: int
    grants: list[_StoredGrant]
    written_off: int = 0


class _StoredPage(msgspec.Struct, frozen=True, array_like=True):
    format_version: int
    holders: list[_StoredHolder]
    balance_by_organisation: dict[str, _StoredBalance]


# Holder, witness and address of the witness, the fields of a _StoredHolder.
_HolderFields = tuple[str, str, str]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_StoredPage)
# Pages that versions before FORMAT_VERSION 2 wrote: a map with all fields in full.
_first_format_decoder = msgspec.msgpack.Decoder(LedgerPage)


def encode_page(page: LedgerPage) -> bytes:
    """Return the value to store for a page."""
    index_by_holder: dict[_HolderFields, int] = {}
    stored_balances = {
        organisation: _stored_balance(balance, index_by_holder)
        for organisation, balance in page.balance_by_organisation.items()
    }
    holders = [_StoredHolder(*fields) for fields in index_by_holder]
    return _encoder.encode(_StoredPage(FORMAT_VERSION, holders, stored_balances))


def decode_page(value: bytes) -> LedgerPage:
    """Return the page of a stored value, or raise LedgerDecodeError."""
    try:
        if not _is_array(value):
            return _first_format_decoder.decode(value)
        stored = _decoder.decode(value)
    except msgspec.DecodeError as error:
        raise LedgerDecodeError(str(error)) from error
    if stored.format_version != FORMAT_VERSION:
        raise LedgerDecodeError(f"unknown format version {stored.format_version}")
    try:
        balances = {
            organisation: _balance(balance, stored.holders)
            for organisation, balance in stored.balance_by_organisation.items()
        }
    except IndexError as error:
        raise LedgerDecodeError("a grant refers to a missing holder") from error
    return LedgerPage(balances)


def _is_array(value: bytes) -> bool:
    """Return whether a MessagePack value is an array of at most 15 items."""
    return bool(value) and value[0] & 0xF0 == 0x90


def _stored_balance(
    balance: Balance, index_by_holder: dict[_HolderFields, int]
) -> _StoredBalance:
    grants = []
    for name, grant in balance.grant_by_holder.items():
        holder = (name, grant.witness, grant.witness_address)
        index = index_by_holder.setdefault(holder, len(index_by_holder))
        grants.append(_StoredGrant(index, grant.total, grant.spent, grant.number))
    return _StoredBalance(
        limit=balance.limit,
        limit_version=balance.limit_version,
        charged=balance.charged,
        grants=grants,
        written_off=balance.written_off,
    )


def _balance(stored: _StoredBalance, holders: list[_StoredHolder]) -> Balance:
    grant_by_holder = {}
    for grant in stored.grants:
        if grant.holder < 0:
            raise IndexError(grant.holder)
        holder = holders[grant.holder]
        grant_by_holder[holder.holder] = Grant(
            total=grant.total,
            spent=grant.spent,
            number=grant.number,
            witness=holder.witness,
            witness_address=holder.witness_address,
        )
    return Balance(
        limit=stored.limit,
        limit_version=stored.limit_version,
        charged=stored.charged,
        grant_by_holder=grant_by_holder,
        written_off=stored.written_off,
    )
