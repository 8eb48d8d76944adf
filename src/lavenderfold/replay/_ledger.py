"""Converts the ledger's shards to evidence.

No other module of this package uses ``lavenderfold.budgets``.
"""

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
    """Return every budget that the ledger holds in the key-value service."""
    versions = await store.list_versions(LEDGER_PREFIX)
    if versions.is_err():
        return Err(versions.unwrap_err())
    budgets: dict[BudgetKey, BudgetEvidence] = {}
    for store_key in versions.unwrap():
        result = await store.get(store_key)
        if result.is_err():
            return Err(result.unwrap_err())
        versioned = result.unwrap()
        if versioned is None:
            continue
        try:
            shard = LedgerShard.decode(versioned.value)
        except LedgerDecodeError as error:
            return Err(error)
        for key, record in shard.records_by_key.items():
            budgets[key] = _to_budget_evidence(record)
    return Ok(budgets)


def _to_budget_evidence(record: BudgetRecord) -> BudgetEvidence:
    return BudgetEvidence(
        limit=record.limit,
        settled=record.settled,
        unexplained=record.unexplained,
        granted=record.granted,
        tokens_by_request_id={
            str(uuid.UUID(bytes=packed_id)): usage.tokens
            for packed_id, usage in record.usage_by_id.items()
        },
    )
