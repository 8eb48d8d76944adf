"""The ledger client: group commit of operations over the key-value service."""

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
    Pending,
    ShardState,
    drop_unwanted,
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
# The service refuses values above one megabyte.
MAX_VALUE_BYTES = 1_000_000
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 5.0
# A new operation ends a longer pause after this time: its request may not wait
# as long, and the service may be up again.
WOKEN_PAUSE_S = 0.25
FIRST_CONFLICT_PAUSE_S = 0.02
LONGEST_CONFLICT_PAUSE_S = 1.0
# Shards kept decoded save the read before a write, and take seven times the
# memory of their values: 6.1 MB for a value of 875 kB with 35,000 bills.
CACHE_BYTES = 1_000_000

logger = logging.getLogger(__name__)


class LedgerClient:
    """Writes operations of one process to the ledger, batched per shard.

    ``calls`` counts store calls and ``operations`` the operations committed.
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
        self._states: dict[int, ShardState] = {}
        self._cached: OrderedDict[int, None] = OrderedDict()
        self._wake_send, self._wake_receive = trio.open_memory_channel(float("inf"))
        self._outage_began = 0.0

    async def run(self) -> None:
        """Commit what is submitted until cancelled."""
        async with trio.open_nursery() as nursery:
            async for number in self._wake_receive:
                nursery.start_soon(self._drain, number)

    async def submit(
        self, operation: Operation, *, timeout_s: float | None = None
    ) -> Result[OperationResult, LedgerUnavailableError]:
        """Wait until the operation is durable and return its result.

        Err after ``timeout_s`` seconds without a durable write. An operation
        whose submission ended before it was first sent is never written.
        """
        number = operation.budget.shard(self._shard_count)
        state = self._state(number)
        pending = Pending(operation)
        state.queue.append(pending)
        state.arrived.set()
        if not state.active:
            state.active = True
            self._wake_send.send_nowait(number)
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
        """Return a budget's record; an empty one if the ledger has none."""
        shard = await self.read_shard(key.shard(self._shard_count))
        return shard.map(lambda read: read.records_by_key.get(key) or BudgetRecord())

    async def read_shard(
        self, number: int
    ) -> Result[LedgerShard, LedgerUnavailableError]:
        """Return the current value of a shard, which must not be changed."""
        state = self._state(number)
        fetched = await self._fetch(state.key)
        return fetched.map(lambda found: found[0]).map_err(
            lambda cause: LedgerUnavailableError(
                state.key, cause=cause, may_apply=False
            )
        )

    def _state(self, number: int) -> ShardState:
        state = self._states.get(number)
        if state is None:
            state = ShardState(key=f"{LEDGER_PREFIX}{number:04d}")
            self._states[number] = state
        return state

    async def _drain(self, number: int) -> None:
        """Commit the queue of a shard, one batch in flight, until it's empty."""
        state = self._states[number]
        while state.queue:
            await trio.sleep(self._batch_window_s)
            batch = take_batch(state.queue)
            if batch:
                await self._commit(state, batch)
        state.active = False
        self._trim_cache(number)

    async def _commit(self, state: ShardState, batch: list[Pending]) -> None:
        pause_s, conflict_pause_s = FIRST_PAUSE_S, FIRST_CONFLICT_PAUSE_S
        while batch:
            written = await self._attempt(state, batch)
            if written.is_ok():
                return
            if isinstance(written.unwrap_err(), ConflictError):
                await trio.sleep(random.uniform(0, conflict_pause_s))
                conflict_pause_s = min(LONGEST_CONFLICT_PAUSE_S, conflict_pause_s * 2)
            else:
                await _pause(state, random.uniform(pause_s / 2, pause_s))
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
            drop_unwanted(batch)

    async def _attempt(
        self, state: ShardState, batch: list[Pending]
    ) -> Result[None, StoreError | LedgerDecodeError]:
        """Read if needed, apply, write once; resolve the batch on success."""
        is_fresh = state.shard is None or state.read_first
        if is_fresh:
            found = await self._refresh(state)
            if found.is_err():
                return found
            drop_unwanted(batch)
        shard, results = self._apply(state, batch)
        if shard == state.shard and not is_fresh:
            # Only a write proves that the cached value was the current one.
            found = await self._refresh(state)
            if found.is_err():
                return found
            drop_unwanted(batch)
            shard, results = self._apply(state, batch)
        if shard != state.shard:
            value = shard.encode()
            if len(value) > MAX_VALUE_BYTES and len(value) > state.size:
                self._refuse(state, batch, len(value))
                return Ok(None)
            written = await self._write(state, shard, value, batch)
            if written.is_err():
                return written
        self._resolve(state, batch, results)
        return Ok(None)

    def _apply(
        self, state: ShardState, batch: list[Pending]
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
        # Another version than that of the last write means that others are active.
        state.read_first = version != state.version
        state.shard, state.version, state.size = shard, version, size
        return Ok(None)

    async def _fetch(
        self, key: str
    ) -> Result[tuple[LedgerShard, int, int], StoreError | LedgerDecodeError]:
        self.calls += 1
        found = await self._store.get(key)
        self._note_call(found)
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
        batch: list[Pending],
    ) -> Result[int, StoreError]:
        for pending in batch:
            pending.sent = True
        self.calls += 1
        written = await self._store.put(state.key, value, version=state.version)
        self._note_call(written)
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
        batch: list[Pending],
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

    def _refuse(self, state: ShardState, batch: list[Pending], size: int) -> None:
        logger.error("ledger_full", extra={"key": state.key, "bytes": size})
        cause = f"{size} bytes exceed {MAX_VALUE_BYTES}"
        for pending in batch:
            error = LedgerFullError(state.key, cause=cause, may_apply=pending.sent)
            pending.resolve(Err(error))

    def _note_call(self, answer: Result[object, StoreError]) -> None:
        """Log the start and the end of an outage of the store."""
        served = answer.is_ok() or isinstance(answer.unwrap_err(), ConflictError)
        if served == self.store_available:
            return
        self.store_available = served
        now = self._timers.now()
        if served:
            seconds = now - self._outage_began
            log_event(logger, "ledger_outage_ended", seconds=seconds)
            return
        self._outage_began = now
        log_event(logger, "ledger_outage_began", cause=str(answer.unwrap_err()))

    def _trim_cache(self, number: int) -> None:
        """Forget the values of the shards least recently written."""
        self._cached[number] = None
        self._cached.move_to_end(number)
        size = sum(self._states[cached].size for cached in self._cached)
        while size > CACHE_BYTES and len(self._cached) > 1:
            oldest, _ = self._cached.popitem(last=False)
            state = self._states[oldest]
            size -= state.size
            if not state.active:
                del self._states[oldest]


async def _pause(state: ShardState, pause_s: float) -> None:
    """Wait before a retry, less long if an operation arrives meanwhile."""
    state.arrived = trio.Event()
    await trio.sleep(min(pause_s, WOKEN_PAUSE_S))
    with trio.move_on_after(max(0.0, pause_s - WOKEN_PAUSE_S)):
        await state.arrived.wait()


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
