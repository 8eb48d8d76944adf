"""The hub, which follows the store for all routers of a region."""

from functools import partial

import msgspec
import trio

from lavenderfold.fleet import HUB_PATH, PrefixFollower, PrefixHub, RegionalStore
from lavenderfold.fleet._hub import MAX_STALENESS_S, FollowAnswer
from lavenderfold.http import HttpResponse, serve
from lavenderfold.settings import Address
from lavenderfold.shared import Item, Relay, RelayDirectory, RelaySelector, in_region
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore

CONFIG = "config"
TARGETS = "targets/"
PREFIXES = frozenset((CONFIG, TARGETS))
# The shortest time that a platform gives all routers to see that a target leaves.
SHORTEST_DRAIN_S = 2.5
LISTEN = Address(host="127.0.0.1", port=0)


class Region:
    """Hubs on loopback, their store, and a store that routers fall back to."""

    def __init__(self, *, nursery: trio.Nursery):
        self.nursery = nursery
        self.hub_store = MemoryStore()
        self.fallback_store = MemoryStore()
        self.timers = TimerService()
        self.scope_by_address: dict[Address, trio.CancelScope] = {}

    async def start(self) -> None:
        """Start a hub."""
        hub = PrefixHub(store=self.hub_store, timers=self.timers)
        self.nursery.start_soon(hub.run)

        async def handle(request, writer):
            assert request.path == HUB_PATH
            await writer.send(await hub.answer(request.body))

        await self.serve(handle)

    async def serve(self, handle) -> None:
        """Serve what answers as a hub."""

        async def start(task_status):
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    start_server = partial(serve, handle, address=LISTEN)
                    address = await nursery.start(start_server)
                    self.scope_by_address[address] = scope
                    task_status.started()

        await self.nursery.start(start)

    def router_store(
        self, *, region: str = "here", prefixes: frozenset[str] = PREFIXES
    ) -> RegionalStore:
        relays = RelayDirectory(
            store=self.fallback_store, prefix="relays/", failure_domain="d"
        )
        relays.relays = [
            Relay(each, "d", str(each), region) for each in self.scope_by_address
        ]
        hubs = RelaySelector(
            directory=relays,
            timers=self.timers,
            purpose="hub",
            keep=in_region("here"),
        )
        return RegionalStore(
            store=self.fallback_store,
            hubs=hubs,
            prefixes=prefixes,
            large_prefixes=frozenset((CONFIG,)),
        )


def test_permanently_failed_relay_is_retried_with_increasing_delays():
    """The entry of a relay stays registered when its machine is gone for good."""
    now = 0.0
    timers = TimerService(clock=lambda: now)
    relays = RelayDirectory(store=MemoryStore(), prefix="relays/", failure_domain="d")
    gone = Relay(LISTEN, "d", "gone")
    relays.relays = [gone]
    choice = RelaySelector(directory=relays, timers=timers, purpose="hub")
    asked = 0
    while now < 100:
        if choice.best() is not None:
            asked += 1
            choice.record_failure(gone)
        now += 0.5
    assert asked <= 6
    relays.relays = [Relay(LISTEN, "d", "started anew")]
    assert choice.best() is not None
    choice.record_failure(choice.best())
    choice.record_success(relays.relays[0])
    assert choice.best() is not None


def run(scenario) -> None:
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await scenario(Region(nursery=nursery))
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_routers_of_a_region_share_one_watch_of_the_store():
    """Separate copies of a large configuration for each router filled the link."""

    async def scenario(region):
        region.hub_store.put(CONFIG, b"v1")
        await region.start()
        stores = [region.router_store() for _ in range(10)]
        await stores[0].list_items(CONFIG)
        calls = region.hub_store.calls
        seen = []

        async def follow(store):
            changes = await store.wait_changes(CONFIG, after=2, wait_s=2)
            seen.extend(each.item.value for each in changes.changes)

        async with trio.open_nursery() as nursery:
            for store in stores:
                nursery.start_soon(follow, store)
            await trio.sleep(0.2)
            region.hub_store.put(CONFIG, b"v2")
        assert seen == [b"v2"] * 10
        # The change ends the pending watch at the store; more watches may follow.
        assert region.hub_store.calls - calls <= 4
        assert region.fallback_store.calls == 0

    run(scenario)


def test_router_reads_the_store_when_its_hub_is_cut_off():
    """The router may still reach the store and must apply the changes there."""

    async def scenario(region):
        region.hub_store.put(CONFIG, b"old")
        region.fallback_store.put(CONFIG, b"old")
        await region.start()
        store = region.router_store()
        await store.list_items(CONFIG)
        region.hub_store.is_down = True
        region.fallback_store.put(CONFIG, b"new")
        with trio.fail_after(MAX_STALENESS_S + 1.0):
            while True:
                changes = await store.wait_changes(CONFIG, after=2, wait_s=1)
                if changes.changes:
                    break
        assert changes.changes[0].item.value == b"new"

    run(scenario)


class SeenKeys:
    """A sink that keeps the keys of a prefix and whether removals were certain."""

    def __init__(self):
        self.keys = set()
        self.removals = []

    def put(self, item):
        self.keys.add(item.key)

    def handle_removal(self, key, *, revision, is_certain):
        self.keys.discard(key)
        self.removals.append((key, is_certain))

    def known_keys(self):
        return list(self.keys)

    async def become(self, *keys):
        for _ in range(300):
            if self.keys == set(keys):
                return
            await trio.sleep(0.01)
        raise AssertionError(f"keys are {self.keys}")


async def follow_targets(region: Region, *keys: str) -> SeenKeys:
    """Start the hub with targets, and a router that follows them through it."""
    for key in keys:
        region.hub_store.put(key, b"a")
        region.fallback_store.put(key, b"a")
    await region.start()
    sink = SeenKeys()
    follower = PrefixFollower(
        store=region.router_store(), timers=region.timers, prefix=TARGETS, sink=sink
    )
    region.nursery.start_soon(follower.run)
    await sink.become(*keys)
    return sink


def test_removed_target_is_passed_on_at_once():
    """A router that isn't told sends requests to a target that has left."""

    async def scenario(region):
        sink = await follow_targets(region, "targets/1", "targets/2")
        region.hub_store.remove("targets/1")
        await sink.become("targets/2")
        assert sink.removals == [("targets/1", True)]
        region.hub_store.put("targets/1", b"c")
        await sink.become("targets/1", "targets/2")

    run(scenario)


def test_removal_that_the_hub_has_not_seen_is_found_by_its_listing():
    """The hub lists again after lost history, and names the keys that exist."""

    async def scenario(region):
        sink = await follow_targets(region, "targets/1", "targets/2")
        region.hub_store.is_down = True
        region.hub_store.remove("targets/1")
        region.hub_store.forget_history()
        region.hub_store.is_down = False
        await sink.become("targets/2")

    run(scenario)


def test_removal_soon_after_an_outage_of_the_hub_is_not_certain():
    """The entry may have lapsed during the outage and come back."""

    async def scenario(region):
        sink = await follow_targets(region, "targets/1")
        region.hub_store.is_down = True
        region.hub_store.put("other", b"")
        # Long enough for the hub to notice, and for one refusal.
        await trio.sleep(0.4)
        region.hub_store.is_down = False
        region.hub_store.remove("targets/1")
        await sink.become()
        assert sink.removals == [("targets/1", False)]

    run(scenario)


def test_hub_that_knows_less_than_the_router_is_left():
    """A hub that was paused answers from what it knew before the pause."""

    async def scenario(region):
        async def answer(request, writer):
            body = msgspec.msgpack.encode(FollowAnswer([], 5))
            await writer.send(HttpResponse(status=200, body=body))

        await region.serve(answer)
        region.fallback_store.put("targets/1", b"a")
        store = region.router_store()
        changes = await store.wait_changes(TARGETS, after=5, wait_s=0.1)
        assert changes.revision == 5
        changes = await store.wait_changes(TARGETS, after=6, wait_s=0.1)
        assert region.fallback_store.calls == 1

    run(scenario)


def test_drain_is_seen_in_time_when_the_hub_is_cut_off():
    """The store's answer to the target starts the time in which all must know."""

    async def scenario(region):
        sink = await follow_targets(region, "targets/1")
        region.hub_store.is_down = True
        region.fallback_store.remove("targets/1")
        started_at = trio.current_time()
        await sink.become()
        assert trio.current_time() - started_at < SHORTEST_DRAIN_S

    run(scenario)


def test_router_reads_the_store_when_its_hub_doesn_t_answer():
    async def scenario(region):
        async def silent(request, writer):
            await trio.sleep_forever()

        await region.serve(silent)
        region.fallback_store.put(CONFIG, b"v1")
        store = region.router_store()
        with trio.fail_after(1.5):
            listing = await store.list_items(CONFIG)
        assert [item.value for item in listing.items] == [b"v1"]

    run(scenario)


def test_large_answer_that_makes_progress_is_not_given_up():
    """Routers with a narrow link left the hub and fetched the same bytes again."""

    async def scenario(region):
        region.fallback_store.put(CONFIG, b"old")
        answers = 0

        async def answer_slowly(request, writer):
            nonlocal answers
            answers += 1
            value = b"n" * 4000
            body = msgspec.msgpack.encode(FollowAnswer([Item(CONFIG, value, 5)], 5))
            await writer.start(200, [])
            for start in range(0, len(body), 500):
                await trio.sleep(0.35)
                await writer.write(body[start : start + 500])
            await writer.finish()

        await region.serve(answer_slowly)
        changes = await region.router_store().wait_changes(CONFIG, after=2, wait_s=0.1)
        assert [each.revision for each in changes.changes] == [5]
        assert (answers, region.fallback_store.calls) == (1, 0)

    run(scenario)


def test_invalid_answers_and_hubs_of_other_regions_are_not_used():
    async def scenario(region):
        async def garbage(request, writer):
            await writer.send(HttpResponse(status=200, body=b"\xc1"))

        await region.serve(garbage)
        region.fallback_store.put(CONFIG, b"v1")
        for store in (region.router_store(), region.router_store(region="there")):
            listing = await store.list_items(CONFIG)
            assert [item.value for item in listing.items] == [b"v1"]

    run(scenario)


def test_hub_without_a_listing_refuses_calls():
    """An empty answer would look like a store without a configuration."""

    async def scenario(region):
        region.hub_store.is_down = True
        region.fallback_store.put(CONFIG, b"v1")
        await region.start()
        listing = await region.router_store().list_items(CONFIG)
        assert [item.value for item in listing.items] == [b"v1"]

    run(scenario)
