"""Store calls per ledger settlement, by number of routers and request rate.

Compares routers that each write to the store directly with routers that send
their operations to one writer per shard. The store is in memory and answers
after 3 ms; time is virtual, so the figures don't depend on the machine.
Run: python -m bench.store_calls
"""

import itertools
import random

import trio
import trio.testing
from result import Err, Ok, Result

from bench.decisions import LIMIT_TOKENS, budget_key, make_id
from lavenderfold.budgets import LedgerClient, OpenGrant, SetLimit, Settle
from lavenderfold.messages import LedgerAnswer, LedgerRequest, PeerHello
from lavenderfold.router._ledger import SharedLedger
from lavenderfold.store import ConflictError, StoreError, VersionedValue
from lavenderfold.timers import TimerService

SEED = 20261204
STORE_LATENCY_S = 0.003
BATCH_WINDOW_S = 0.05
# Half the batching window of a link plus the one-way latency to the peer.
LINK_DELAY_S = 0.0035
DURATION_S = 20.0
RETENTION_S = 86_400.0
SHARDS = 16
BUDGETS = 64
OPERATIONS_PER_S = (1, 10, 50, 200)
ROUTERS = (1, 4, 16)


class InMemoryStore:
    """A key-value store in memory, with compare-and-swap."""

    def __init__(self):
        self.by_key: dict[str, VersionedValue] = {}

    async def get(self, key: str) -> Result[VersionedValue | None, StoreError]:
        await trio.sleep(STORE_LATENCY_S)
        return Ok(self.by_key.get(key))

    async def put(
        self, key: str, value: bytes, *, version: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        await trio.sleep(STORE_LATENCY_S)
        current = self.by_key.get(key)
        actual = current.version if current else 0
        if actual != version:
            return Err(ConflictError(key, expected=version, actual=actual))
        self.by_key[key] = VersionedValue(value=value, version=version + 1)
        return Ok(version + 1)


def make_client(store: InMemoryStore) -> LedgerClient:
    return LedgerClient(
        store=store,
        timers=TimerService(clock=trio.current_time),
        shard_count=SHARDS,
        batch_window_s=BATCH_WINDOW_S,
        retention_s=RETENTION_S,
    )


class InMemoryPeerLink:
    """A link in memory from one router to another, identified by their indexes."""

    def __init__(
        self,
        *,
        ledgers: list[SharedLedger],
        sender: int,
        receiver: int,
        nursery: trio.Nursery,
    ):
        self.hello = PeerHello(
            router=f"router-{receiver}",
            incarnation=receiver + 1,
            region="region-1",
            failure_domain="here",
            revision=1,
        )
        self._ledgers = ledgers
        self._sender = sender
        self._receiver = receiver
        self._nursery = nursery

    def post(self, message: LedgerRequest | LedgerAnswer) -> bool:
        self._nursery.start_soon(self._deliver, message)
        return True

    async def _deliver(self, message: LedgerRequest | LedgerAnswer) -> None:
        await trio.sleep(LINK_DELAY_S)
        receiver = self._ledgers[self._receiver]
        if isinstance(message, LedgerAnswer):
            receiver.handle_answer(self._sender + 1, message)
            return
        reply_link = InMemoryPeerLink(
            ledgers=self._ledgers,
            sender=self._receiver,
            receiver=self._sender,
            nursery=self._nursery,
        )
        await receiver.serve(reply_link, message)


def connect_ledgers(
    clients: list[LedgerClient], nursery: trio.Nursery
) -> list[SharedLedger]:
    """Return one ledger per router; every router has a link to every other."""
    ledgers: list[SharedLedger] = []
    for number, client in enumerate(clients):
        peers = [
            InMemoryPeerLink(
                ledgers=ledgers, sender=number, receiver=other, nursery=nursery
            )
            for other in range(len(clients))
            if other != number
        ]
        ledgers.append(
            SharedLedger(
                client=client,
                shard_count=SHARDS,
                incarnation=lambda number=number: number + 1,
                region="region-1",
                store_region="region-1",
                peers=lambda peers=peers: peers,
                now=trio.current_time,
            )
        )
    return ledgers


async def submit_settlements(
    client: LedgerClient | SharedLedger,
    writer: int,
    per_second: float,
    randomness: random.Random,
) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(int(DURATION_S * per_second)):
            await trio.sleep(randomness.expovariate(per_second))
            key = budget_key(randomness.randrange(BUDGETS))
            request_id = make_id(writer * 10**9 + number)
            operation = Settle(key, f"{writer}-{key}", request_id, 1)
            nursery.start_soon(client.submit, operation)


async def measure(shared: bool, writers: int, per_second: float) -> tuple[float, float]:
    """Return the store calls per operation and the store writes per second."""
    store = InMemoryStore()
    clients = [make_client(store) for _ in range(writers)]
    randomness = random.Random(SEED)
    async with trio.open_nursery() as nursery:
        for client in clients:
            nursery.start_soon(client.run)
        for number in range(BUDGETS):
            key = budget_key(number)
            await clients[0].submit(SetLimit(key, LIMIT_TOKENS, 1))
            for writer in range(writers):
                grant = OpenGrant(key, f"{writer}-{key}", writer, 10**9, 1)
                await clients[0].submit(grant)
        calls = sum(client.calls for client in clients)
        write_count = sum(value.version for value in store.by_key.values())
        start = trio.current_time()
        async with trio.open_nursery() as drivers:
            ledgers = connect_ledgers(clients, nursery) if shared else clients
            for writer, client in enumerate(ledgers):
                rate = per_second / writers
                drivers.start_soon(submit_settlements, client, writer, rate, randomness)
        elapsed = trio.current_time() - start
        calls = sum(client.calls for client in clients) - calls
        # Each operation counts once, even if both sender and shard writer wrote it.
        operation_count = writers * int(DURATION_S * per_second / writers)
        write_count = (
            sum(value.version for value in store.by_key.values()) - write_count
        )
        nursery.cancel_scope.cancel()
    return calls / operation_count, write_count / elapsed


def main() -> None:
    print(f"seed={SEED} shards={SHARDS} budgets={BUDGETS} window_s={BATCH_WINDOW_S}")
    for routers, per_second, shared in itertools.product(
        ROUTERS, OPERATIONS_PER_S, (False, True)
    ):
        clock = trio.testing.MockClock(autojump_threshold=0)
        calls, writes = trio.run(measure, shared, routers, per_second, clock=clock)
        policy = "one-writer" if shared else "direct"
        print(
            f"  routers={routers:<3} operations_per_s={per_second:<4} {policy:<10}"
            f" calls_per_operation={calls:.3f} writes_per_s={writes:.1f}"
        )


if __name__ == "__main__":
    main()
