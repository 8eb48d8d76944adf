"""The ledger as the command line reads it; the only user of ``budgets`` here."""

import re
from collections.abc import Iterator

import msgspec
from result import Err, Ok, Result

from lavenderfold.config import OpenGrants
from lavenderfold.identifiers import BudgetKey
from lavenderfold.store import Store

SHARD_PREFIX = "ledger/"
SHARD_KEY = re.compile(r"ledger/\d+")


class LedgerReadError(Exception):
    """The ledger can't be read, so spending and open grants are unknown."""


class BudgetLine(msgspec.Struct, frozen=True, kw_only=True):
    """A budget record in tokens. Usage and claims go by request id."""

    limit: int
    settled: int
    unexplained: int
    open_grants: int
    available: int
    usage_by_id: dict = msgspec.field(default_factory=dict)
    claims_by_id: dict = msgspec.field(default_factory=dict)


async def read_ledger(store: Store) -> Result[dict[BudgetKey, BudgetLine], Exception]:
    """Return every budget of the ledger, or Err of LedgerReadError."""
    listed = await store.list_versions(SHARD_PREFIX)
    if listed.is_err():
        return Err(LedgerReadError(f"the ledger can't be read: {listed.unwrap_err()}"))
    line_by_key = {}
    for key in filter(SHARD_KEY.fullmatch, sorted(listed.unwrap())):
        read = await store.get(key)
        if read.is_err():
            return Err(
                LedgerReadError(f"the ledger can't be read: {read.unwrap_err()}")
            )
        if read.unwrap() is None:
            continue
        try:
            line_by_key.update(_decode_shard(read.unwrap().value))
        except (ImportError, msgspec.MsgspecError) as error:
            return Err(
                LedgerReadError(f"key {key!r}: expected a ledger shard: {error}")
            )
    return Ok(line_by_key)


def open_grants_of(store: Store) -> OpenGrants:
    """Return a function that tells the open grants of budgets."""

    async def open_grants(keys: list[BudgetKey]) -> int | None:
        ledger = await read_ledger(store)
        if ledger.is_err():
            return None
        lines = [ledger.unwrap()[key] for key in keys if key in ledger.unwrap()]
        return sum(line.open_grants for line in lines)

    return open_grants


def _decode_shard(data: bytes) -> Iterator[tuple[BudgetKey, BudgetLine]]:
    from lavenderfold.budgets import LedgerShard

    for key, record in LedgerShard.decode(data).records_by_key.items():
        line = BudgetLine(
            limit=record.limit,
            settled=record.settled,
            unexplained=record.unexplained,
            open_grants=sum(grant.amount for grant in record.grants_by_id.values()),
            available=record.available,
            usage_by_id=record.usage_by_id,
            claims_by_id=record.claims_by_id,
        )
        yield key, line
