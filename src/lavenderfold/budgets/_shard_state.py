"""A client's state of one ledger shard: its last value and its queued operations."""

from collections import deque

import trio
from result import Result

from lavenderfold.budgets._records import LedgerShard
from lavenderfold.operations import Operation, OperationResult

# Limited because each caller waits for the whole batch to be written.
MAX_BATCH_OPERATIONS = 512


class LedgerUnavailableError(Exception):
    """The store didn't confirm an operation in time.

    If ``may_apply`` is set, the operation was sent and may still take effect. It is
    safe to submit it again.
    """

    def __init__(self, key: str, *, cause: object, may_apply: bool):
        super().__init__(f"ledger shard {key!r}: {cause}")
        self.key = key
        self.may_apply = may_apply


class LedgerFullError(LedgerUnavailableError):
    """The shard would exceed the store's size limit; nothing was written."""


class PendingOperation:
    """An operation that waits for its result, and the event that the result sets."""

    __slots__ = ("operation", "result", "done", "sent", "abandoned")

    def __init__(self, operation: Operation):
        self.operation = operation
        self.result: Result[OperationResult, LedgerUnavailableError] | None = None
        self.done = trio.Event()
        self.sent = False
        self.abandoned = False

    def resolve(self, result: Result[OperationResult, LedgerUnavailableError]) -> None:
        self.result = result
        self.done.set()


class ShardState:
    """The operation queue of one shard and the value last read or written.

    ``read_first`` is set while other writers are active, because a write based on the
    cached value would then only cause a conflict.
    """

    __slots__ = (
        "key",
        "queue",
        "shard",
        "version",
        "size",
        "read_first",
        "active",
        "operation_arrived",
    )

    def __init__(self, *, key: str):
        self.key = key
        self.queue: deque[PendingOperation] = deque()
        self.operation_arrived = trio.Event()
        self.shard: LedgerShard | None = None
        self.version = 0
        self.size = 0
        self.read_first = False
        self.active = False


def take_batch(queue: deque[PendingOperation]) -> list[PendingOperation]:
    """Remove the operations for the next write from the queue and return them."""
    batch = []
    while queue and len(batch) < MAX_BATCH_OPERATIONS:
        pending = queue.popleft()
        if not pending.abandoned:
            batch.append(pending)
    return batch


def drop_abandoned(batch: list[PendingOperation]) -> None:
    """Remove the operations that were abandoned before they were sent.

    Those that were sent stay, because the lost write may have applied them and the
    operations after them must take that into account.
    """
    batch[:] = [item for item in batch if item.sent or not item.abandoned]
