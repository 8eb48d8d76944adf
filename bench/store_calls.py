"""Store calls per operation of the ledger client as its load grows.

The store answers in memory after a few milliseconds; time is virtual, so the
figures don't depend on the machine. Run: python -m bench.store_calls
"""

import random

import trio
import trio.testing
from result import Err, Ok, Result

from bench.decisions import LIMIT_TOKENS, budget_key, make_id
from lavenderfold.budgets import LedgerClient, OpenGrant, SetLimit, Settle
from lavenderfold.store import ConflictError, StoreError, Versioned
from lavenderfold.timers import TimerService

SEED = 20261204
STORE_ANSWER_S = 0.003
BATCH_WINDOW_S = 0.05
DURATION_S = 20.0
RETENTION_S = 86_400.0
SHARDS = 16
BUDGETS = 64
OPERATIONS_PER_S = (1, 10, 50, 200)
WRITERS = (1, 4)


class MemoryStore:
    """The key-value service in memory, with compare-and-swap."""

    def __init__(self):
        self.by_key: dict[str, Versioned] = {}

    async def get(self, key: str) -> Result[Versioned | None, StoreError]:
        await trio.sleep(STORE_ANSWER_S)
        return Ok(self.by_key.get(key))

    async def put(
        self, key: str, value: bytes, *, version: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        await trio.sleep(STORE_ANSWER_S)
        known = self.by_key.get(key)
        actual = known.version if known else 0
        if actual != version:
            return Err(ConflictError(key, expected=version, actual=actual))
        self.by_key[key] = Versioned(value=value, version=version + 1)
        return Ok(version + 1)


def make_client(store: MemoryStore) -> LedgerClient:
    return LedgerClient(
        store=store,
        timers=TimerService(clock=trio.current_time),
        shard_count=SHARDS,
        batch_window_s=BATCH_WINDOW_S,
        retention_s=RETENTION_S,
    )


async def drive(
    client: LedgerClient, writer: int, per_second: float, randomness: random.Random
) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(int(DURATION_S * per_second)):
            await trio.sleep(randomness.expovariate(per_second))
            key = budget_key(randomness.randrange(BUDGETS))
            request_id = make_id(writer * 10**9 + number)
            operation = Settle(key, f"{writer}-{key}", request_id, 1)
            nursery.start_soon(client.submit, operation)


async def measure(writers: int, per_second: float) -> tuple[float, float]:
    """Return store calls per operation and store writes per second."""
    store = MemoryStore()
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
        done = sum(client.operations for client in clients)
        versions = sum(value.version for value in store.by_key.values())
        start = trio.current_time()
        async with trio.open_nursery() as drivers:
            for writer, client in enumerate(clients):
                rate = per_second / writers
                drivers.start_soon(drive, client, writer, rate, randomness)
        elapsed = trio.current_time() - start
        calls = sum(client.calls for client in clients) - calls
        done = sum(client.operations for client in clients) - done
        versions = sum(value.version for value in store.by_key.values()) - versions
        nursery.cancel_scope.cancel()
    return calls / done, versions / elapsed


def main() -> None:
    print(f"seed={SEED} shards={SHARDS} budgets={BUDGETS} window_s={BATCH_WINDOW_S}")
    for writers in WRITERS:
        for per_second in OPERATIONS_PER_S:
            clock = trio.testing.MockClock(autojump_threshold=0)
            calls, writes = trio.run(measure, writers, per_second, clock=clock)
            print(
                f"  writers={writers} operations_per_s={per_second:<4}"
                f" calls_per_operation={calls:.3f} writes_per_s={writes:.1f}"
            )


if __name__ == "__main__":
    main()
