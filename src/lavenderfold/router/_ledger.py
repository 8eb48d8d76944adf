"""Ledger access that sends the operations on each shard to one writing router.

Concurrent writes to one shard conflict in the store. Each router therefore
forwards most operations to the router that writes the shard, which commits them
together with its own.
"""

import logging
from collections.abc import Callable, Iterable
from itertools import count

import trio
import xxhash
from result import Ok, Result

from lavenderfold.budgets import (
    BudgetRecord,
    FinishClaim,
    HandBack,
    LedgerClient,
    LedgerShard,
    LedgerUnavailableError,
    Operation,
    OperationResult,
    SetLimit,
    Settle,
)
from lavenderfold.identifiers import BudgetKey
from lavenderfold.logs import log_event
from lavenderfold.messages import LedgerAnswer, LedgerRequest
from lavenderfold.router._peers import Peer

# The writer needs its batch window and a few round trips to the store. After this
# time the operation is written directly, which causes at most a conflict.
WRITER_ANSWER_WAIT_S = 0.5
# Shorter than WRITER_ANSWER_WAIT_S, so that the sender still gets the answer that
# the writer can't reach the store.
PEER_WRITE_WAIT_S = 0.3
# A writer that didn't answer gets no operations for this long, so that a paused
# router delays one round of operations instead of each operation.
SILENT_WRITER_SKIP_S = 5.0
# The writer may apply its copy of an operation long after the sender gave up
# waiting. A late Claim would reopen a released claim, a late ReleaseClaim could be
# applied before its Claim, and a late OpenGrant would reserve tokens that no router
# knows of. The operations listed here are idempotent: a late copy changes nothing.
FORWARDED_OPERATION_TYPES = (Settle, HandBack, FinishClaim, SetLimit)

logger = logging.getLogger("lavenderfold.router.ledger")


def choose_writer(shard: int, incarnations: Iterable[int]) -> int:
    """Return the router that writes a shard, by rendezvous hashing."""
    return max(
        incarnations,
        key=lambda each: (xxhash.xxh64_intdigest(str(each).encode(), seed=shard), each),
    )


class ForwardedOperations:
    """Tracks which operations were forwarded to which writer; does no I/O.

    Each number ends once: with its answer, with the loss of the link to the writer
    or with the sender's timeout, whichever comes first. Later events are ignored.
    """

    def __init__(self):
        self._numbers = count(1)
        self._writer_by_number: dict[int, int] = {}
        self._skipped_until_by_writer: dict[int, float] = {}

    def send(self, writer: int) -> int:
        """Record an operation that is forwarded to a writer; return its number."""
        number = next(self._numbers)
        self._writer_by_number[number] = writer
        return number

    def answer(self, number: int, writer: int | None) -> bool:
        """Record an answer; return whether its operation was still open there."""
        if writer is None or self._writer_by_number.get(number) != writer:
            return False
        del self._writer_by_number[number]
        self._skipped_until_by_writer.pop(writer, None)
        return True

    def give_up(self, number: int, *, now: float) -> bool:
        """End an operation whose answer timed out and skip its writer for a while.

        Returns whether the operation was still open.
        """
        writer = self._writer_by_number.pop(number, None)
        if writer is None:
            return False
        self._skipped_until_by_writer[writer] = now + SILENT_WRITER_SKIP_S
        return True

    def forget(self, number: int) -> None:
        """End an operation that nobody waits for, without skipping its writer."""
        self._writer_by_number.pop(number, None)

    def on_link_lost(self, writer: int) -> list[int]:
        """End all operations at a writer whose link closed; return their numbers."""
        lost = [
            number for number, each in self._writer_by_number.items() if each == writer
        ]
        for number in lost:
            del self._writer_by_number[number]
        return lost

    def is_skipped(self, writer: int, *, now: float) -> bool:
        """Return whether the writer gets no operations, as it failed to answer."""
        return now < self._skipped_until_by_writer.get(writer, now)


class _PendingAnswer:
    """The result of a forwarded operation and the event that ends the wait for it.

    ``result`` stays None if the operation has to be written directly.
    """

    __slots__ = ("done", "result")

    def __init__(self):
        self.done = trio.Event()
        self.result: OperationResult | None = None


class SharedLedger:
    """Replaces ``LedgerClient`` for the components of a router.

    The writers are the routers in ``store_region``, which have a short round trip
    to the store, or all routers if none of those is connected. ``peers`` returns
    the connected routers.
    """

    def __init__(
        self,
        *,
        client: LedgerClient,
        shard_count: int,
        incarnation: Callable[[], int],
        region: str,
        store_region: str,
        peers: Callable[[], list[Peer]],
        now: Callable[[], float],
    ):
        self._client = client
        self._shard_count = shard_count
        self._incarnation = incarnation
        self._region = region
        self._store_region = store_region
        self._peers = peers
        self._now = now
        self._forwarded = ForwardedOperations()
        self._pending_answer_by_number: dict[int, _PendingAnswer] = {}

    @property
    def store_available(self) -> bool:
        return self._client.store_available

    async def run(self) -> None:
        """Commit submitted operations until cancelled."""
        await self._client.run()

    async def submit(
        self, operation: Operation, *, timeout_s: float | None = None
    ) -> Result[OperationResult, LedgerUnavailableError]:
        """Wait until the operation is durable, as ``LedgerClient.submit`` does.

        An operation that was forwarded to a writer may be applied after a timeout.
        """
        writer = self._find_writer(operation)
        if writer is None:
            return await self._client.submit(operation, timeout_s=timeout_s)
        began = self._now()
        wait_s = (
            WRITER_ANSWER_WAIT_S
            if timeout_s is None
            else min(timeout_s, WRITER_ANSWER_WAIT_S)
        )
        result = await self._forward(operation, writer, wait_s)
        if result is not None:
            return Ok(result)
        if timeout_s is not None:
            timeout_s = max(0.0, timeout_s - (self._now() - began))
        written = await self._client.submit(operation, timeout_s=timeout_s)
        return written.map_err(_mark_as_possibly_applied)

    async def read(
        self, key: BudgetKey
    ) -> Result[BudgetRecord, LedgerUnavailableError]:
        """Return a budget's record, or an empty one if the ledger has none."""
        return await self._client.read(key)

    async def read_shard(
        self, number: int
    ) -> Result[LedgerShard, LedgerUnavailableError]:
        """Return the current value of a shard, which the caller must not modify."""
        return await self._client.read_shard(number)

    async def serve(self, peer: Peer, request: LedgerRequest) -> None:
        """Commit an operation for a peer and send it the result."""
        written = await self._client.submit(
            request.operation, timeout_s=PEER_WRITE_WAIT_S
        )
        peer.post(LedgerAnswer(number=request.number, result=written.ok()))

    def handle_answer(self, writer: int | None, answer: LedgerAnswer) -> None:
        """Handle a writer's answer; late and repeated answers are ignored."""
        if self._forwarded.answer(answer.number, writer):
            self._resolve(answer.number, answer.result)

    def on_link_lost(self, writer: int) -> None:
        """Write directly the operations at a writer whose link closed."""
        for number in self._forwarded.on_link_lost(writer):
            self._resolve(number, None)

    def _find_writer(self, operation: Operation) -> Peer | None:
        """Return the peer to forward to; None if this router writes by itself."""
        if not isinstance(operation, FORWARDED_OPERATION_TYPES):
            return None
        writers = self._writers()
        return writers[
            choose_writer(operation.budget.shard(self._shard_count), writers)
        ]

    def _writers(self) -> dict[int, Peer | None]:
        """Return the possible writers by incarnation; None means this router."""
        now = self._now()
        own = {self._incarnation(): None}
        peers = {
            peer.hello.incarnation: peer
            for peer in self._peers()
            if peer.hello.incarnation > 0
            and not self._forwarded.is_skipped(peer.hello.incarnation, now=now)
        }
        local_peers = {
            name: peer
            for name, peer in peers.items()
            if peer.hello.region == self._store_region
        }
        if self._region == self._store_region:
            return own | local_peers
        return local_peers or own | peers

    async def _forward(
        self, operation: Operation, peer: Peer, wait_s: float
    ) -> OperationResult | None:
        number = self._forwarded.send(peer.hello.incarnation)
        pending = self._pending_answer_by_number[number] = _PendingAnswer()
        try:
            if not peer.post(LedgerRequest(number=number, operation=operation)):
                return None
            with trio.move_on_after(wait_s):
                await pending.done.wait()
            # If the caller's timeout was shorter, the writer isn't at fault.
            has_full_wait = wait_s >= WRITER_ANSWER_WAIT_S
            if has_full_wait and self._forwarded.give_up(number, now=self._now()):
                log_event(logger, "ledger_writer_silent", writer=peer.hello.router)
            return pending.result
        finally:
            self._forwarded.forget(number)
            del self._pending_answer_by_number[number]

    def _resolve(self, number: int, result: OperationResult | None) -> None:
        pending = self._pending_answer_by_number[number]
        pending.result = result
        pending.done.set()


def _mark_as_possibly_applied(error: LedgerUnavailableError) -> LedgerUnavailableError:
    return LedgerUnavailableError(
        error.key, cause="no durable write in time", may_apply=True
    )
