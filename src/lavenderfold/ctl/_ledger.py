"""The ledger as the command line reads it."""

import re
from collections.abc import Iterator

from result import Err, Ok, Result

from lavenderfold.budgets import (
    BudgetRecord,
    LedgerDecodeError,
    LedgerShard,
    pack_request_id,
)
from lavenderfold.config import OpenGrantsReader
from lavenderfold.identifiers import BudgetKey
from lavenderfold.outcomes import Ran
from lavenderfold.store import Store, StoreError

STORE_ADVICE = (
    "check --store and the service; meanwhile routers spend from their grants"
)
SHARD_PREFIX = "ledger/"
SHARD_KEY = re.compile(r"ledger/\d+")


class LedgerReadError(Exception):
    """The ledger can't be read, so spending and open grants are unknown."""


async def read_ledger(
    store: Store,
) -> Result[dict[BudgetKey, BudgetRecord], LedgerReadError]:
    """Return the record of every budget in the ledger."""
    listed = await store.list_versions(SHARD_PREFIX)
    if listed.is_err():
        return Err(_unread(listed.unwrap_err()))
    record_by_key = {}
    for key in filter(SHARD_KEY.fullmatch, sorted(listed.unwrap())):
        read = await store.get(key)
        if read.is_err():
            return Err(_unread(read.unwrap_err()))
        if read.unwrap() is None:
            continue
        try:
            shard = LedgerShard.decode(read.unwrap().value)
        except LedgerDecodeError as error:
            fault = (
                f"the ledger can't be read: key {key!r}: {error}; "
                f"use the lavenderfoldctl of the routers' version"
            )
            return Err(LedgerReadError(fault))
        record_by_key.update(shard.records_by_key)
    return Ok(record_by_key)


def _unread(error: StoreError) -> LedgerReadError:
    return LedgerReadError(f"the ledger can't be read: {error}; {STORE_ADVICE}")


def entries_of(request_id: str, record: BudgetRecord) -> Iterator[dict[str, object]]:
    """Yield what a budget's record holds about a request, as fields."""
    packed = pack_request_id(request_id)
    billed = record.usage(request_id)
    if billed is not None:
        yield {"billed": billed}
    if packed in record.late_by_id:
        yield {"billed": "late", "counted_as": "unexplained"}
    claim = record.claims_by_id.get(packed)
    if claim is None:
        return
    if claim.outcome is None:
        yield {"claim": "open", "meaning": "may have run, will not run again"}
    elif isinstance(claim.outcome, Ran):
        yield {"claim": "ran", "tokens": claim.outcome.tokens}
    else:
        yield {"claim": "may_have_run", "reason": claim.outcome.reason}


def open_grants_of(store: Store) -> OpenGrantsReader:
    """Return a function that tells the open grants of budgets."""

    async def read_open_grants(keys: list[BudgetKey]) -> int | None:
        ledger = await read_ledger(store)
        if ledger.is_err():
            return None
        records = [ledger.unwrap()[key] for key in keys if key in ledger.unwrap()]
        return sum(record.granted for record in records)

    return read_open_grants
