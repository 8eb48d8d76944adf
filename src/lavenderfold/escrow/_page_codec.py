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


class _StoredEras(msgspec.Struct, frozen=True, array_like=True):
    """The eras of a page and its grants.

    ``grant_era`` is that of all grants but those listed, by organisation and holder.
    """

    era: int
    first_era: int
    grant_era: int
    other_eras: dict[str, dict[int, int]]


class _StoredPage(msgspec.Struct, frozen=True, array_like=True):
    """A page; those of earlier versions, and of a store without eras, have none."""

    format_version: int
    holders: list[_StoredHolder]
    balance_by_organisation: dict[str, _StoredBalance]
    eras: _StoredEras | None = None


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
    stored = [FORMAT_VERSION, holders, stored_balances]
    eras = _stored_eras(page, index_by_holder)
    if eras is not None:
        stored.append(eras)
    return _encoder.encode(stored)


def _stored_eras(
    page: LedgerPage, index_by_holder: dict[_HolderFields, int]
) -> _StoredEras | None:
    """Return the eras to store, or None if all of them are 0."""
    grants = [
        (organisation, index_by_holder[_holder_fields(name, grant)], grant.era)
        for organisation, balance in page.balance_by_organisation.items()
        for name, grant in balance.grant_by_holder.items()
    ]
    newest = max((era for _, _, era in grants), default=0)
    if not (page.era or page.first_era or newest):
        return None
    other_eras: dict[str, dict[int, int]] = {}
    for organisation, index, era in grants:
        if era != newest:
            other_eras.setdefault(organisation, {})[index] = era
    return _StoredEras(page.era, page.first_era, newest, other_eras)


def _holder_fields(name: str, grant: Grant) -> _HolderFields:
    return name, grant.witness, grant.witness_address


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
    eras = stored.eras or _StoredEras(0, 0, 0, {})
    try:
        balances = {
            organisation: _balance(balance, stored.holders, organisation, eras)
            for organisation, balance in stored.balance_by_organisation.items()
        }
    except IndexError as error:
        raise LedgerDecodeError("a grant refers to a missing holder") from error
    return LedgerPage(balances, eras.era, eras.first_era)


def _is_array(value: bytes) -> bool:
    """Return whether a MessagePack value is an array of at most 15 items."""
    return bool(value) and value[0] & 0xF0 == 0x90


def _stored_balance(
    balance: Balance, index_by_holder: dict[_HolderFields, int]
) -> _StoredBalance:
    grants = []
    for name, grant in balance.grant_by_holder.items():
        holder = _holder_fields(name, grant)
        index = index_by_holder.setdefault(holder, len(index_by_holder))
        grants.append(_StoredGrant(index, grant.total, grant.spent, grant.number))
    return _StoredBalance(
        limit=balance.limit,
        limit_version=balance.limit_version,
        charged=balance.charged,
        grants=grants,
        written_off=balance.written_off,
    )


def _balance(
    stored: _StoredBalance,
    holders: list[_StoredHolder],
    organisation: str,
    eras: _StoredEras,
) -> Balance:
    other_eras = eras.other_eras.get(organisation, {})
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
            era=other_eras.get(grant.holder, eras.grant_era),
        )
    return Balance(
        limit=stored.limit,
        limit_version=stored.limit_version,
        charged=stored.charged,
        grant_by_holder=grant_by_holder,
        written_off=stored.written_off,
    )
