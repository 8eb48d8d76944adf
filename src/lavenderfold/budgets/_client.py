"""A client that commits ledger operations to the key-value service in batches."""

import logging
import random
from collections import OrderedDict

import trio
from result import Err, Ok, Result

from lavenderfold.budgets._apply import apply
from lavenderfold.budgets._records import (
    BudgetRecord,
    LedgerDecodeError,
    LedgerShard,
)
from lavenderfold.budgets._shard_state import (
    LedgerFullError,
    LedgerUnavailableError,
    PendingOperation,
    ShardState,
    drop_abandoned,
    take_batch,
)
from lavenderfold.identifiers import BudgetKey
from lavenderfold.logs import log_event
from lavenderfold.operations import (
    AlreadySettled,
    GrantMissing,
    Operation,
    OperationResult,
    Settle,
)
from lavenderfold.store import (
    AnswerLostError,
    ConflictError,
    Store,
    StoreError,
)
from lavenderfold.timers import TimerService

LEDGER_PREFIX = "ledger/"
# The service rejects values above one megabyte.
MAX_VALUE_BYTES = 1_000_000
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 5.0
# A new operation shortens the delay before a retry to this time, because its request
# may not wait longer and the service may be available again.
NEW_OPERATION_RETRY_DELAY_S = 0.25
MIN_CONFLICT_DELAY_S = 0.02
MAX_CONFLICT_DELAY_S = 1.0
# Caching decoded shards saves a read before each write. A decoded shard takes seven
# times the memory of its encoded value: 6.1 MB for 875 kB with 35,000 bills. This limit
# applies to the encoded values.
CACHE_BYTES = 1_000_000

logger = logging.getLogger(__name__)


class LedgerClient:
    """Commits the operations of one process to the ledger, in batches per shard.

    ``calls`` counts the store calls and ``operations`` the committed operations.
    """

    def __init__(
        self,
        *,
        store: Store,
        timers: TimerService,
        shard_count: int,
        batch_window_s: float,
        retention_s: float,
    ):
        self.calls = 0
        self.operations = 0
        self.store_available = True
        self._store = store
        self._timers = timers
        self._shard_count = shard_count
        self._batch_window_s = batch_window_s
        self._retention_s = retention_s
        self._state_by_number: dict[int, ShardState] = {}
        self._cached_numbers: OrderedDict[int, None] = OrderedDict()
        self._active_send, self._active_receive = trio.open_memory_channel(float("inf"))
        self._outage_started_at = 0.0

    async def run(self) -> None:
        """Commit submitted operations until cancelled."""
        async with trio.open_nursery() as nursery:
            async for number in self._active_receive:
                nursery.start_soon(self._commit_queue, number)

    async def submit(
        self, operation: Operation, *, timeout_s: float | None = None
    ) -> Result[OperationResult, LedgerUnavailableError]:
        """Wait until an operation is durable and return its result.

        Returns Err if the write isn't confirmed within ``timeout_s`` seconds. An
        operation that timed out or was cancelled before it was sent is never written.
        """
        number = operation.budget.shard(self._shard_count)
        state = self._state(number)
        pending = PendingOperation(operation)
        state.queue.append(pending)
        state.operation_arrived.set()
        if not state.active:
            state.active = True
            self._active_send.send_nowait(number)
        try:
            with trio.move_on_after(float("inf") if timeout_s is None else timeout_s):
                await pending.done.wait()
        finally:
            pending.abandoned = pending.result is None
        if pending.result is not None:
            return pending.result
        return Err(
            LedgerUnavailableError(
                state.key, cause="no durable write in time", may_apply=pending.sent
            )
        )

    async def read(
        self, key: BudgetKey
    ) -> Result[BudgetRecord, LedgerUnavailableError]:
        """Return the record of a budget, or an empty one if the ledger has none."""
        shard = await self.read_shard(key.shard(self._shard_count))
        return shard.map(lambda read: read.records_by_key.get(key) or BudgetRecord())

    async def read_shard(
        self, number: int
    ) -> Result[LedgerShard, LedgerUnavailableError]:
        """Return the current value of a shard; callers must not change it."""
        state = self._state(number)
        fetched = await self._fetch(state.key)
        return fetched.map(lambda found: found[0]).map_err(
            lambda cause: LedgerUnavailableError(
                state.key, cause=cause, may_apply=False
            )
        )

    def _state(self, number: int) -> ShardState:
        state = self._state_by_number.get(number)
        if state is None:
            state = ShardState(key=f"{LEDGER_PREFIX}{number:04d}")
            self._state_by_number[number] = state
        return state

    async def _commit_queue(self, number: int) -> None:
        """Commit the operations queued for a shard, one batch at a time."""
        state = self._state_by_number[number]
        while state.queue:
            await trio.sleep(self._batch_window_s)
            batch = take_batch(state.queue)
            if batch:
                await self._commit(state, batch)
        state.active = False
        self._trim_cache(number)

    async def _commit(self, state: ShardState, batch: list[PendingOperation]) -> None:
        delay_s, conflict_delay_s = MIN_RETRY_DELAY_S, MIN_CONFLICT_DELAY_S
        while batch:
            written = await self._attempt(state, batch)
            if written.is_ok():
                return
            if isinstance(written.unwrap_err(), ConflictError):
                await trio.sleep(random.uniform(0, conflict_delay_s))
                conflict_delay_s = min(MAX_CONFLICT_DELAY_S, conflict_delay_s * 2)
            else:
                await _wait_before_retry(state, random.uniform(delay_s / 2, delay_s))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
            drop_abandoned(batch)

    async def _attempt(
        self, state: ShardState, batch: list[PendingOperation]
    ) -> Result[None, StoreError | LedgerDecodeError]:
        """Apply a batch to the shard and write it once; resolve the batch on success.

        The shard is read first if no cached value can be used.
        """
        was_read = state.shard is None or state.read_first
        if was_read:
            found = await self._refresh(state)
            if found.is_err():
                return found
            drop_abandoned(batch)
        shard, results = self._apply(state, batch)
        if shard == state.shard and not was_read:
            # Without a write there is no proof that the cached value is current, so
            # results such as refusals must be based on a new read.
            found = await self._refresh(state)
            if found.is_err():
                return found
            drop_abandoned(batch)
            shard, results = self._apply(state, batch)
        if shard != state.shard:
            value = shard.encode()
            if len(value) > MAX_VALUE_BYTES and len(value) > state.size:
                self._reject_batch(state, batch, len(value))
                return Ok(None)
            written = await self._write(state, shard, value, batch)
            if written.is_err():
                return written
        self._resolve(state, batch, results)
        return Ok(None)

    def _apply(
        self, state: ShardState, batch: list[PendingOperation]
    ) -> tuple[LedgerShard, list[OperationResult]]:
        return apply(
            state.shard,
            [pending.operation for pending in batch],
            now_unix=self._timers.unix_time(),
            retention_s=self._retention_s,
        )

    async def _refresh(
        self, state: ShardState
    ) -> Result[None, StoreError | LedgerDecodeError]:
        fetched = await self._fetch(state.key)
        if fetched.is_err():
            return fetched
        shard, version, size = fetched.unwrap()
        # A version other than that of the last write shows that other writers are
        # active.
        state.read_first = version != state.version
        state.shard, state.version, state.size = shard, version, size
        return Ok(None)

    async def _fetch(
        self, key: str
    ) -> Result[tuple[LedgerShard, int, int], StoreError | LedgerDecodeError]:
        self.calls += 1
        found = await self._store.get(key)
        self._track_availability(found)
        if found.is_err():
            return found
        versioned = found.unwrap()
        if versioned is None:
            return Ok((LedgerShard(), 0, 0))
        try:
            shard = LedgerShard.decode(versioned.value)
        except LedgerDecodeError as error:
            logger.error("ledger_unreadable", extra={"key": key, "cause": str(error)})
            return Err(error)
        return Ok((shard, versioned.version, len(versioned.value)))

    async def _write(
        self,
        state: ShardState,
        shard: LedgerShard,
        value: bytes,
        batch: list[PendingOperation],
    ) -> Result[int, StoreError]:
        for pending in batch:
            pending.sent = True
        self.calls += 1
        written = await self._store.put(state.key, value, version=state.version)
        self._track_availability(written)
        if written.is_ok():
            state.shard, state.version = shard, written.unwrap()
            state.size = len(value)
            return written
        error = written.unwrap_err()
        if isinstance(error, AnswerLostError | ConflictError):
            state.shard = None
            state.read_first = True
        return written

    def _resolve(
        self,
        state: ShardState,
        batch: list[PendingOperation],
        results: list[OperationResult],
    ) -> None:
        self.operations += len(batch)
        logger.debug(
            "ledger_committed",
            extra={
                "key": state.key,
                "version": state.version,
                "operations": len(batch),
                "bytes": state.size,
            },
        )
        for pending, result in zip(batch, results, strict=True):
            if isinstance(pending.operation, Settle):
                _log_settlement(pending.operation, result)
            pending.resolve(Ok(result))

    def _reject_batch(
        self, state: ShardState, batch: list[PendingOperation], size: int
    ) -> None:
        logger.error("ledger_full", extra={"key": state.key, "bytes": size})
        cause = f"value of {size} bytes exceeds the limit of {MAX_VALUE_BYTES} bytes"
        for pending in batch:
            error = LedgerFullError(state.key, cause=cause, may_apply=pending.sent)
            pending.resolve(Err(error))

    def _track_availability(self, answer: Result[object, StoreError]) -> None:
        """Track whether the store is available; log the start and end of an outage."""
        is_available = answer.is_ok() or isinstance(answer.unwrap_err(), ConflictError)
        if is_available == self.store_available:
            return
        self.store_available = is_available
        now = self._timers.now()
        if is_available:
            seconds = now - self._outage_started_at
            log_event(logger, "ledger_outage_ended", seconds=seconds)
            return
        self._outage_started_at = now
        log_event(logger, "ledger_outage_began", cause=str(answer.unwrap_err()))

    def _trim_cache(self, number: int) -> None:
        """Drop the least recently committed shards from a cache that is too large."""
        self._cached_numbers[number] = None
        self._cached_numbers.move_to_end(number)
        size = sum(
            self._state_by_number[cached].size for cached in self._cached_numbers
        )
        while size > CACHE_BYTES and len(self._cached_numbers) > 1:
            oldest, _ = self._cached_numbers.popitem(last=False)
            state = self._state_by_number[oldest]
            size -= state.size
            if not state.active:
                del self._state_by_number[oldest]


async def _wait_before_retry(state: ShardState, delay_s: float) -> None:
    """Wait before a retry; wait less if a new operation arrives meanwhile."""
    state.operation_arrived = trio.Event()
    await trio.sleep(min(delay_s, NEW_OPERATION_RETRY_DELAY_S))
    with trio.move_on_after(max(0.0, delay_s - NEW_OPERATION_RETRY_DELAY_S)):
        await state.operation_arrived.wait()


def _log_settlement(operation: Settle, result: OperationResult) -> None:
    if isinstance(result, AlreadySettled):
        log_event(
            logger,
            "settled_before",
            budget=operation.budget,
            request_id=operation.request_id,
            tokens=result.tokens,
        )
    elif isinstance(result, GrantMissing):
        logger.warning(
            "settled_without_grant",
            extra={
                "budget": str(operation.budget),
                "request_id": operation.request_id,
                "grant_id": operation.grant_id,
                "short": result.short,
            },
        )
