"""The ledger as one router uses it: one writer per shard among the routers.

Routers that write one shard side by side meet conflicts. Each sends what it can
to the router that writes the shard, which commits it along with its own.
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

# The writer needs its batch window and a few answers of the store; past that the
# store is asked directly, which costs at most a conflict.
WRITER_WAIT_S = 0.5
# Less than that, so that the sender learns that the writer can't reach the store.
SERVE_WAIT_S = 0.3
# A writer that didn't answer is passed over for this long, so that a paused
# router delays one round of operations and not each of them.
WRITER_REST_S = 5.0
# The copy of an operation may take effect long after the sender gave it up. A
# late Claim would reopen one that was released, a late ReleaseClaim may overtake
# its Claim, and a late OpenGrant would set tokens aside that no router knows
# of. A copy of these changes nothing, however late it comes.
SHARED_OPERATIONS = (Settle, HandBack, FinishClaim, SetLimit)

logger = logging.getLogger("lavenderfold.router.ledger")


def choose_writer(shard: int, incarnations: Iterable[int]) -> int:
    """Return the router that writes a shard, by rendezvous hashing."""
    return max(
        incarnations,
        key=lambda each: (xxhash.xxh64_intdigest(str(each).encode(), seed=shard), each),
    )


class ForwardedOperations:
    """Which operations are at which writer; pure.

    Each number ends once, by the first of its answer, the end of the link to
    the writer or the sender's patience. Whatever comes later is ignored.
    """

    def __init__(self):
        self._numbers = count(1)
        self._writer_by_number: dict[int, int] = {}
        self._rests_until: dict[int, float] = {}

    def send(self, writer: int) -> int:
        """Note an operation on its way to a writer; return its number."""
        number = next(self._numbers)
        self._writer_by_number[number] = writer
        return number

    def answer(self, number: int, writer: int | None) -> bool:
        """Note an answer; returns whether it's the one that is waited for."""
        if writer is None or self._writer_by_number.get(number) != writer:
            return False
        del self._writer_by_number[number]
        self._rests_until.pop(writer, None)
        return True

    def give_up(self, number: int, *, now: float) -> bool:
        """Note that an answer didn't come in time."""
        writer = self._writer_by_number.pop(number, None)
        if writer is None:
            return False
        self._rests_until[writer] = now + WRITER_REST_S
        return True

    def forget(self, number: int) -> None:
        """Note that nobody waits any more, which says nothing about the writer."""
        self._writer_by_number.pop(number, None)

    def on_link_lost(self, writer: int) -> list[int]:
        """Note that a writer's link closed; return the numbers to write directly."""
        lost = [
            number for number, each in self._writer_by_number.items() if each == writer
        ]
        for number in lost:
            del self._writer_by_number[number]
        return lost

    def rests(self, writer: int, *, now: float) -> bool:
        """Return whether the writer is passed over, as it didn't answer."""
        return now < self._rests_until.get(writer, now)


class _Waiting:
    """A forwarded operation and the event that ends the wait for its answer."""

    __slots__ = ("done", "result")

    def __init__(self):
        self.done = trio.Event()
        self.result: OperationResult | None = None


class SharedLedger:
    """Takes the place of ``LedgerClient`` for the parts of a router.

    The writers are the routers of ``store_region``, whose calls of the store are
    fast, or all if none of them is connected. ``peers`` returns the connected.
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
        self._waiting_by_number: dict[int, _Waiting] = {}

    @property
    def store_available(self) -> bool:
        return self._client.store_available

    async def run(self) -> None:
        """Commit what is submitted until cancelled."""
        await self._client.run()

    async def submit(
        self, operation: Operation, *, timeout_s: float | None = None
    ) -> Result[OperationResult, LedgerUnavailableError]:
        """Wait until the operation is durable, as ``LedgerClient.submit`` does.

        An operation that was sent to a writer may apply after a timeout.
        """
        writer = self._find_writer(operation)
        if writer is None:
            return await self._client.submit(operation, timeout_s=timeout_s)
        began = self._now()
        wait_s = WRITER_WAIT_S if timeout_s is None else min(timeout_s, WRITER_WAIT_S)
        result = await self._forward(operation, writer, wait_s)
        if result is not None:
            return Ok(result)
        if timeout_s is not None:
            timeout_s = max(0.0, timeout_s - (self._now() - began))
        written = await self._client.submit(operation, timeout_s=timeout_s)
        return written.map_err(_after_forward)

    async def read(
        self, key: BudgetKey
    ) -> Result[BudgetRecord, LedgerUnavailableError]:
        """Return a budget's record; an empty one if the ledger has none."""
        return await self._client.read(key)

    async def read_shard(
        self, number: int
    ) -> Result[LedgerShard, LedgerUnavailableError]:
        """Return the current value of a shard, which must not be changed."""
        return await self._client.read_shard(number)

    async def serve(self, peer: Peer, request: LedgerRequest) -> None:
        """Commit a peer's operation and answer it."""
        written = await self._client.submit(request.operation, timeout_s=SERVE_WAIT_S)
        peer.post(LedgerAnswer(number=request.number, result=written.ok()))

    def handle_answer(self, writer: int | None, answer: LedgerAnswer) -> None:
        """Take a writer's answer; a late or repeated one is ignored."""
        if self._forwarded.answer(answer.number, writer):
            self._end_wait(answer.number, answer.result)

    def on_link_lost(self, writer: int) -> None:
        """Write directly what is at a writer whose link closed."""
        for number in self._forwarded.on_link_lost(writer):
            self._end_wait(number, None)

    def _find_writer(self, operation: Operation) -> Peer | None:
        """Return the peer that writes the shard; None if this router does."""
        if not isinstance(operation, SHARED_OPERATIONS):
            return None
        writers = self._writers()
        return writers[
            choose_writer(operation.budget.shard(self._shard_count), writers)
        ]

    def _writers(self) -> dict[int, Peer | None]:
        """Return the possible writers; None stands for this router."""
        now = self._now()
        own = {self._incarnation(): None}
        peers = {
            peer.hello.incarnation: peer
            for peer in self._peers()
            if peer.hello.incarnation > 0
            and not self._forwarded.rests(peer.hello.incarnation, now=now)
        }
        near = {
            name: peer
            for name, peer in peers.items()
            if peer.hello.region == self._store_region
        }
        if self._region == self._store_region:
            return own | near
        return near or own | peers

    async def _forward(
        self, operation: Operation, peer: Peer, wait_s: float
    ) -> OperationResult | None:
        number = self._forwarded.send(peer.hello.incarnation)
        waiting = self._waiting_by_number[number] = _Waiting()
        try:
            if not peer.post(LedgerRequest(number=number, operation=operation)):
                return None
            with trio.move_on_after(wait_s):
                await waiting.done.wait()
            # A caller's own short timeout is no fault of the writer.
            is_slow = wait_s >= WRITER_WAIT_S
            if is_slow and self._forwarded.give_up(number, now=self._now()):
                log_event(logger, "ledger_writer_silent", writer=peer.hello.router)
            return waiting.result
        finally:
            self._forwarded.forget(number)
            del self._waiting_by_number[number]

    def _end_wait(self, number: int, result: OperationResult | None) -> None:
        waiting = self._waiting_by_number[number]
        waiting.result = result
        waiting.done.set()


def _after_forward(error: LedgerUnavailableError) -> LedgerUnavailableError:
    return LedgerUnavailableError(
        error.key, cause="no durable write in time", may_apply=True
    )
