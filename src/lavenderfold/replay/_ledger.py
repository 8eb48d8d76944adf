"""Reads the ledger's shards as evidence; the only user of the budgets here."""

import uuid

from result import Err, Ok, Result

from lavenderfold.budgets import BudgetRecord, LedgerDecodeError, LedgerShard
from lavenderfold.identifiers import BudgetKey
from lavenderfold.replay._checks import BudgetEvidence
from lavenderfold.store import Store, StoreError

LEDGER_PREFIX = "ledger/"


async def read_ledger(
    store: Store,
) -> Result[dict[BudgetKey, BudgetEvidence], StoreError | LedgerDecodeError]:
    """Return every budget in the key-value service."""
    versions = await store.list_versions(LEDGER_PREFIX)
    if versions.is_err():
        return Err(versions.unwrap_err())
    budgets: dict[BudgetKey, BudgetEvidence] = {}
    for store_key in versions.unwrap():
        answer = await store.get(store_key)
        if answer.is_err():
            return Err(answer.unwrap_err())
        versioned = answer.unwrap()
        if versioned is None:
            continue
        try:
            shard = LedgerShard.decode(versioned.value)
        except LedgerDecodeError as error:
            return Err(error)
        for key, record in shard.records_by_key.items():
            budgets[key] = _convert(record)
    return Ok(budgets)


def _convert(record: BudgetRecord) -> BudgetEvidence:
    return BudgetEvidence(
        limit=record.limit,
        settled=record.settled,
        unexplained=record.unexplained,
        granted=record.granted,
        tokens_by_request_id={
            str(uuid.UUID(bytes=packed)): usage.tokens
            for packed, usage in record.usage_by_id.items()
        },
    )
