"""Reads budget records and open grants from the ledger in the store."""

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
    "check --store and that the service is up; "
    "meanwhile routers spend from their grants"
)
SHARD_PREFIX = "ledger/"
SHARD_KEY_PATTERN = re.compile(r"ledger/\d+")


class LedgerReadError(Exception):
    """The ledger can't be read, so spending and open grants are unknown."""


async def read_ledger(
    store: Store,
) -> Result[dict[BudgetKey, BudgetRecord], LedgerReadError]:
    """Return the records of all budgets, read from every shard of the ledger."""
    listing = await store.list_versions(SHARD_PREFIX)
    if listing.is_err():
        return Err(_read_error(listing.unwrap_err()))
    record_by_key = {}
    for key in filter(SHARD_KEY_PATTERN.fullmatch, sorted(listing.unwrap())):
        get_result = await store.get(key)
        if get_result.is_err():
            return Err(_read_error(get_result.unwrap_err()))
        if get_result.unwrap() is None:
            continue
        try:
            shard = LedgerShard.decode(get_result.unwrap().value)
        except LedgerDecodeError as error:
            message = (
                f"the ledger can't be read: key {key!r}: {error}; "
                f"use the lavenderfoldctl of the routers' version"
            )
            return Err(LedgerReadError(message))
        record_by_key.update(shard.records_by_key)
    return Ok(record_by_key)


def _read_error(error: StoreError) -> LedgerReadError:
    return LedgerReadError(f"the ledger can't be read: {error}; {STORE_ADVICE}")


def request_entries(
    request_id: str, record: BudgetRecord
) -> Iterator[dict[str, object]]:
    """Yield the bill and the claim of a request in a budget's record, as fields."""
    packed_id = pack_request_id(request_id)
    billed_tokens = record.usage(request_id)
    if billed_tokens is not None:
        yield {"billed": billed_tokens}
    if packed_id in record.late_by_id:
        yield {"billed": "late", "counted_as": "unexplained"}
    claim = record.claims_by_id.get(packed_id)
    if claim is None:
        return
    if claim.outcome is None:
        yield {"claim": "open", "meaning": "may have run, will not run again"}
    elif isinstance(claim.outcome, Ran):
        yield {"claim": "ran", "tokens": claim.outcome.tokens}
    else:
        yield {"claim": "may_have_run", "reason": claim.outcome.reason}


def open_grants_reader(store: Store) -> OpenGrantsReader:
    """Return a function that sums the tokens in open grants of the given budgets.

    The function returns None if the ledger can't be read.
    """

    async def read_open_grants(keys: list[BudgetKey]) -> int | None:
        ledger = await read_ledger(store)
        if ledger.is_err():
            return None
        records = [ledger.unwrap()[key] for key in keys if key in ledger.unwrap()]
        return sum(record.granted for record in records)

    return read_open_grants
