"""One ledger shard as a client sees it: its last value and what waits for it."""

from collections import deque

import trio
from result import Result

from lavenderfold.budgets._records import LedgerShard
from lavenderfold.operations import Operation, OperationResult

# A caller waits for the whole batch, so that a batch is bounded.
MAX_BATCH_OPERATIONS = 512


class LedgerUnavailableError(Exception):
    """The store couldn't be reached in time.

    With ``may_apply`` the operation was sent and may yet take effect; it's
    safe to submit it again.
    """

    def __init__(self, key: str, *, cause: object, may_apply: bool):
        super().__init__(f"ledger shard {key!r}: {cause}")
        self.key = key
        self.may_apply = may_apply


class LedgerFullError(LedgerUnavailableError):
    """The shard has grown beyond what the store takes; nothing was written."""


class Pending:
    """An operation on its way, and the event that its result sets."""

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
    """The queue of one shard and the value last seen of it.

    ``read_first`` is set while other writers are active, when a write based on
    the cached value would only meet a conflict.
    """

    __slots__ = (
        "key",
        "queue",
        "shard",
        "version",
        "size",
        "read_first",
        "active",
        "arrived",
    )

    def __init__(self, *, key: str):
        self.key = key
        self.queue: deque[Pending] = deque()
        self.arrived = trio.Event()
        self.shard: LedgerShard | None = None
        self.version = 0
        self.size = 0
        self.read_first = False
        self.active = False


def take_batch(queue: deque[Pending]) -> list[Pending]:
    """Take the operations that the next write carries out of the queue."""
    batch = []
    while queue and len(batch) < MAX_BATCH_OPERATIONS:
        pending = queue.popleft()
        if not pending.abandoned:
            batch.append(pending)
    return batch


def drop_unwanted(batch: list[Pending]) -> None:
    """Leave out what was given up before it was sent.

    What was sent stays, so that an effect of a lost write isn't left unknown to
    the operations that follow.
    """
    batch[:] = [item for item in batch if item.sent or not item.abandoned]
