"""When a router learns of the relays that register with the store."""

import msgspec
import trio
import trio.testing

from lavenderfold.shared import RelayDirectory, RelayRecord
from standins.memory_store import MemoryStore

PREFIX = "relays/"
# A platform expects a configuration to be in force everywhere in the shortest of its
# bounds. A router that knows no relay of its region fetches each one itself.
PROPAGATION_S = 2.5


def register(store: MemoryStore, name: str, port: int, *, domain: str = "d") -> None:
    record = RelayRecord(
        address=f"127.0.0.1:{port}", domain=domain, incarnation=name, region=name
    )
    store.put(f"{PREFIX}{name}", msgspec.json.encode(record))


def run(scenario) -> None:
    async def main():
        store = MemoryStore()
        directory = RelayDirectory(store=store, prefix=PREFIX, failure_domain="d")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(directory.run)
            await scenario(store, directory)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_relay_that_registers_just_after_the_first_listing_is_known_soon():
    """The routers away from the store knew no relay of their region for 30 s."""

    async def scenario(store, directory):
        register(store, "near", 1)
        await trio.sleep(0.05)
        assert len(directory.relays) == 1
        register(store, "far", 2)
        await trio.sleep(PROPAGATION_S)
        assert {each.region for each in directory.relays} == {"near", "far"}

    run(scenario)


def test_near_relay_that_registers_later_comes_first_until_it_fails():
    """A router kept the distant relays of its first listing before those beside it."""

    async def scenario(store, directory):
        register(store, "far", 1, domain="elsewhere")
        await trio.sleep(0.05)
        register(store, "near", 2)
        await trio.sleep(PROPAGATION_S)
        assert [each.region for each in directory.relays] == ["near", "far"]
        directory.move_to_end(directory.relays[0].address)
        await trio.sleep(60)
        assert [each.region for each in directory.relays] == ["far", "near"]

    run(scenario)


def test_relays_are_listed_rarely_once_they_are_known():
    """Each listing of each router is a call to the store."""

    async def scenario(store, directory):
        register(store, "near", 1)
        await trio.sleep(30)
        calls = store.calls
        assert calls <= 4
        await trio.sleep(300)
        assert store.calls - calls <= 11

    run(scenario)
