"""Reads the ledger's shards as evidence; the only user of the budgets here."""

from result import Err, Ok, Result

from lavenderfold.budgets import BudgetRecord, LedgerShard
from lavenderfold.identifiers import BudgetKey
from lavenderfold.replay._checks import BudgetEvidence
from lavenderfold.store import Store, StoreError

LEDGER_PREFIX = "ledger/"


async def read_ledger(
    store: Store,
) -> Result[dict[BudgetKey, BudgetEvidence], StoreError]:
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
        shard = LedgerShard.decode(versioned.value)
        for key, record in shard.records_by_key.items():
            budgets[key] = _convert(record)
    return Ok(budgets)


def _convert(record: BudgetRecord) -> BudgetEvidence:
    return BudgetEvidence(
        limit=record.limit,
        settled=record.settled,
        unexplained=record.unexplained,
        granted=sum(grant.amount for grant in record.grants_by_id.values()),
        tokens_by_request_id={
            request_id: usage.tokens for request_id, usage in record.usage_by_id.items()
        },
    )
