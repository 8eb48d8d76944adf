"""A pure function that applies operations to a ledger shard.

Operations are idempotent: a batch whose response was lost is applied again to the
current value of the shard, which other writers may have changed meanwhile.
"""

from collections.abc import Callable, Iterable
from functools import singledispatch

import xxhash

from lavenderfold.budgets._records import (
    BudgetRecord,
    ClaimEntry,
    ClosedGrant,
    LedgerShard,
    OpenedGrant,
    UsageEntry,
    pack_request_id,
)
from lavenderfold.identifiers import BudgetKey, request_id_time
from lavenderfold.operations import (
    AlreadySettled,
    BudgetSpent,
    Claim,
    Claimed,
    ClaimExists,
    Done,
    FinishClaim,
    GrantMissing,
    GrantOpened,
    HandBack,
    OpenGrant,
    Operation,
    OperationResult,
    Reclaim,
    ReleaseClaim,
    SetLimit,
    Settle,
    WriteOff,
)
from lavenderfold.outcomes import Ran

RETENTION_S = 24 * 3600.0
# Entries are kept for this time beyond the retention window, so that a batch that is
# repeated after the window has ended still finds the entries that it wrote.
RETENTION_GRACE_S = 3600.0
# Old entries are dropped no more often than this, because the search through all
# records of a full shard is too slow for each commit.
FORGET_INTERVAL_S = 600.0
# A closed grant from which nothing was written off is kept for this time, only to
# recognise a repeated OpenGrant. A later repeat opens the grant again, and its tokens
# stay set aside until the holder hands them back or is fenced again.
CLOSED_GRANT_RETENTION_S = 3600.0
GRANT_TAG_BITS = 16


class LedgerInvariantError(AssertionError):
    """An operation would charge a budget beyond its limit."""

    def __init__(self, operation: Operation, record: BudgetRecord):
        super().__init__(
            f"{operation!r} charges {record.charged} tokens, limit {record.limit}"
        )
        self.operation = operation


class _Context:
    """The times that the operations of one batch depend on."""

    __slots__ = ("now", "late_before", "forgotten_before")

    def __init__(self, *, now: float, retention_s: float, forgotten_before: float):
        self.now = now
        self.forgotten_before = forgotten_before
        self.late_before = max(now - retention_s, forgotten_before)

    def is_late(self, request_id: str) -> bool:
        """Return whether entries of the request may have been dropped for their age."""
        return request_id_time(request_id).unwrap() < self.late_before

    def is_forgotten(self, request_id: str) -> bool:
        """Return whether entries of requests of this age have been dropped."""
        return request_id_time(request_id).unwrap() < self.forgotten_before


def apply(
    shard: LedgerShard,
    operations: Iterable[Operation],
    *,
    now_unix: float,
    retention_s: float = RETENTION_S,
) -> tuple[LedgerShard, list[OperationResult]]:
    """Apply operations in order; return the new shard and a result for each.

    The shard passed in isn't changed. ``now_unix`` is in seconds since the epoch, and
    ``retention_s`` is how long bills and claims are kept.
    """
    records = dict(shard.records_by_key)
    forgotten = _drop_old_entries(
        records, shard.forgotten_before_unix, now_unix, retention_s
    )
    context = _Context(
        now=now_unix, retention_s=retention_s, forgotten_before=forgotten
    )
    changed: set[BudgetKey] = set()
    results = []
    for operation in operations:
        key = operation.budget
        if key not in changed:
            record = records.get(key)
            records[key] = BudgetRecord() if record is None else record.copy()
            changed.add(key)
        results.append(_apply_checked(operation, records[key], context))
    for key in changed:
        if key not in shard.records_by_key and records[key] == BudgetRecord():
            del records[key]
    return LedgerShard(records, forgotten), results


def _apply_checked(
    operation: Operation, record: BudgetRecord, context: _Context
) -> OperationResult:
    # A budget can be charged beyond a limit that was lowered, but no operation may
    # increase the charge then.
    charged_before = record.charged
    result = _apply_one(operation, record, context)
    if record.charged > max(record.limit, charged_before):
        raise LedgerInvariantError(operation, record)
    return result


@singledispatch
def _apply_one(operation, record: BudgetRecord, context: _Context) -> OperationResult:
    raise TypeError(f"not a ledger operation: {operation!r}")


@_apply_one.register
def _(operation: SetLimit, record: BudgetRecord, context: _Context) -> OperationResult:
    if operation.revision > record.limit_revision:
        record.limit = operation.limit
        record.limit_revision = operation.revision
    return Done()


@_apply_one.register
def _(operation: OpenGrant, record: BudgetRecord, context: _Context) -> OperationResult:
    known = record.grants_by_id.get(operation.grant_id)
    if known is not None and not known.fenced:
        return GrantOpened(known.amount, record.available)
    if known is not None or operation.grant_id in record.closed_by_id:
        return GrantMissing()
    available = record.available
    minimum = max(1, operation.minimum)
    if available < minimum:
        return BudgetSpent(available, record.holders)
    shared = min(operation.amount, int(available * operation.share))
    amount = max(minimum, shared)
    record.grants_by_id[operation.grant_id] = OpenedGrant(operation.holder, amount)
    return GrantOpened(amount, record.available)


@_apply_one.register
def _(operation: Settle, record: BudgetRecord, context: _Context) -> OperationResult:
    request = pack_request_id(operation.request_id)
    entry = UsageEntry(operation.tokens, _grant_tag(operation.grant_id))
    known = record.usage_by_id.get(request)
    if known is not None:
        # The same grant and amount mean a repeated operation, whose tokens have already
        # been taken from the grant.
        return Done() if known == entry else AlreadySettled(known.tokens)
    if request in record.late_by_id:
        return Done()
    if context.is_late(operation.request_id):
        return _settle_late(operation, request, record, context)
    uncovered = _settle_covered(operation, record, context)
    record.usage_by_id[request] = entry
    return Done() if uncovered is None else GrantMissing(uncovered)


def _settle_late(
    operation: Settle, request: bytes, record: BudgetRecord, context: _Context
) -> OperationResult:
    """Charge a request without billing it, because its bill may have been dropped."""
    record.late_by_id[request] = int(context.now)
    record.unexplained += _take_from_grant(
        operation.grant_id, operation.tokens, record, context
    )
    return Done()


def _settle_covered(
    operation: Settle, record: BudgetRecord, context: _Context
) -> int | None:
    """Settle the tokens of a bill.

    Returns None if the grant covered them all. Otherwise, because the tokens have been
    used, the missing ones are taken from the available tokens of the budget, and
    those still uncovered are returned. The tokens taken from the grant are settled
    first; otherwise they would be counted as available again.
    """
    covered = _take_from_grant(operation.grant_id, operation.tokens, record, context)
    covered += _take_written_off(operation.grant_id, operation.tokens - covered, record)
    record.settled += covered
    if covered == operation.tokens:
        return None
    extra = min(operation.tokens - covered, record.available)
    record.settled += extra
    return operation.tokens - covered - extra


def _take_from_grant(
    grant_id: str, tokens: int, record: BudgetRecord, context: _Context
) -> int:
    grant = record.grants_by_id.get(grant_id)
    if grant is None:
        return 0
    taken = min(tokens, grant.amount)
    _resize_grant(grant_id, grant, grant.amount - taken, record, context)
    return taken


def _take_written_off(grant_id: str, tokens: int, record: BudgetRecord) -> int:
    closed = record.closed_by_id.get(grant_id)
    if closed is None:
        return 0
    taken = min(tokens, closed.written_off)
    record.unexplained -= taken
    record.closed_by_id[grant_id] = _with_written_off(
        closed, closed.written_off - taken
    )
    return taken


def _with_written_off(closed: ClosedGrant, written_off: int) -> ClosedGrant:
    return ClosedGrant(closed.closed_unix, written_off, closed.hand_back_ids)


def _resize_grant(
    grant_id: str,
    grant: OpenedGrant,
    amount: int,
    record: BudgetRecord,
    context: _Context,
) -> None:
    """Set a grant's amount; close the grant if no tokens are left."""
    if amount > 0:
        record.grants_by_id[grant_id] = OpenedGrant(
            grant.holder, amount, grant.fenced, grant.hand_back_ids
        )
        return
    del record.grants_by_id[grant_id]
    record.closed_by_id[grant_id] = ClosedGrant(
        int(context.now), 0, grant.hand_back_ids
    )


@_apply_one.register
def _(operation: HandBack, record: BudgetRecord, context: _Context) -> OperationResult:
    grant = record.grants_by_id.get(operation.grant_id)
    known = grant or record.closed_by_id.get(operation.grant_id)
    if known is not None and operation.hand_back_id in known.hand_back_ids:
        return Done()
    # A fenced holder may hand back nothing, because it doesn't know which of its runs
    # still hold tokens.
    if grant is None or grant.fenced:
        return GrantMissing()
    marked = OpenedGrant(
        grant.holder,
        grant.amount,
        False,
        [*grant.hand_back_ids, operation.hand_back_id],
    )
    amount = max(0, grant.amount - operation.tokens)
    _resize_grant(operation.grant_id, marked, amount, record, context)
    return Done()


@_apply_one.register
def _(operation: Reclaim, record: BudgetRecord, context: _Context) -> OperationResult:
    grant = record.grants_by_id.get(operation.grant_id)
    if grant is None:
        return _closed_or_missing(operation.grant_id, record)
    fenced = OpenedGrant(grant.holder, grant.amount, True, grant.hand_back_ids)
    amount = min(grant.amount, operation.keep)
    _resize_grant(operation.grant_id, fenced, amount, record, context)
    return Done()


@_apply_one.register
def _(operation: WriteOff, record: BudgetRecord, context: _Context) -> OperationResult:
    grant = record.grants_by_id.pop(operation.grant_id, None)
    if grant is None:
        return _closed_or_missing(operation.grant_id, record)
    record.unexplained += grant.amount
    record.closed_by_id[operation.grant_id] = ClosedGrant(
        int(context.now), grant.amount, grant.hand_back_ids
    )
    return Done()


@_apply_one.register
def _(operation: Claim, record: BudgetRecord, context: _Context) -> OperationResult:
    request = pack_request_id(operation.request_id)
    known = record.claims_by_id.get(request)
    if known is not None:
        if known.outcome is None and known.claimant == operation.claimant:
            return Claimed()
        return ClaimExists(known.outcome)
    if context.is_late(operation.request_id):
        # An earlier claim for a request of this age may have been dropped.
        return ClaimExists(None)
    record.claims_by_id[request] = ClaimEntry(operation.claimant)
    return Claimed()


@_apply_one.register
def _(
    operation: ReleaseClaim, record: BudgetRecord, context: _Context
) -> OperationResult:
    request = pack_request_id(operation.request_id)
    known = record.claims_by_id.get(request)
    if known == ClaimEntry(operation.claimant):
        del record.claims_by_id[request]
    return Done()


@_apply_one.register
def _(
    operation: FinishClaim, record: BudgetRecord, context: _Context
) -> OperationResult:
    request = pack_request_id(operation.request_id)
    known = record.claims_by_id.get(request)
    if known is not None and known.claimant != operation.claimant:
        return ClaimExists(known.outcome)
    if known is None and context.is_forgotten(operation.request_id):
        return Done()
    # Never replace a known result (Ran) by an uncertain one (MayHaveRun).
    if known is None or not isinstance(known.outcome, Ran):
        record.claims_by_id[request] = ClaimEntry(operation.claimant, operation.outcome)
    return Done()


def _closed_or_missing(grant_id: str, record: BudgetRecord) -> OperationResult:
    return Done() if grant_id in record.closed_by_id else GrantMissing()


def _grant_tag(grant_id: str) -> int:
    return xxhash.xxh32_intdigest(grant_id.encode()) >> (32 - GRANT_TAG_BITS)


def _drop_old_entries(
    records: dict[BudgetKey, BudgetRecord],
    forgotten_before: int,
    now: float,
    retention_s: float,
) -> int:
    """Drop the old entries of all records.

    Returns the time before which entries have been dropped.
    """
    drop_before = int(now - retention_s - RETENTION_GRACE_S)
    if drop_before < forgotten_before + FORGET_INTERVAL_S:
        return forgotten_before
    oldest = (max(0, drop_before) * 1000).to_bytes(6, "big")
    closed_before = now - CLOSED_GRANT_RETENTION_S
    for key, record in records.items():
        kept = record.copy()
        # The first 48 bits of a request id are its time in milliseconds, so ids compare
        # by time.
        _drop_entries(kept.usage_by_id, lambda request, _: request[:6] < oldest)
        _drop_entries(kept.claims_by_id, lambda request, _: request[:6] < oldest)
        _drop_entries(kept.late_by_id, lambda _, charged: charged < drop_before)
        _drop_entries(
            kept.closed_by_id,
            lambda _, closed: (
                closed.closed_unix
                < (drop_before if closed.written_off else closed_before)
            ),
        )
        records[key] = kept
    return drop_before


def _drop_entries(entries: dict, is_old: Callable[[object, object], bool]) -> None:
    for name in [name for name, entry in entries.items() if is_old(name, entry)]:
        del entries[name]
