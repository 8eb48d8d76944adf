"""Tests of the hub and its routers when they start at the same time.

If the routers didn't wait for the hub, each would list a large configuration from the
store, over a link that all of them share.
"""

import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from functools import partial

import msgspec
import trio

from lavenderfold.fleet import PrefixFollower, _hub_listing, _regional
from lavenderfold.fleet._hub import LISTING_STATUS, FollowAnswer
from lavenderfold.http import HttpResponse
from lavenderfold.settings import Address
from lavenderfold.shared import Listing, ListingWait, Relay
from lavenderfold.shared._relays import rank
from tests.test_hub import CONFIG, Region, SeenKeys, run


def closed_relay_before(relay: Relay) -> Relay:
    """Return a relay that refuses connections and is preferred to ``relay``."""
    # Nothing listens on port 1 of these loopback addresses.
    addresses = [Address(host=f"127.0.0.{each}", port=1) for each in range(2, 255)]
    first = min(addresses, key=partial(rank, "hub"))
    assert rank("hub", first) < rank("hub", relay.address)
    return Relay(first, relay.domain, "closed", relay.region)


class RegionAtStart(Region):
    """A region whose hub's store answers the first listing after ``listing_s``."""

    def __init__(self, *, nursery: trio.Nursery, listing_s: float):
        super().__init__(nursery=nursery)
        self.hub_store.put(CONFIG, b"v1")
        self.fallback_store.put(CONFIG, b"v1")
        self.list_now = self.hub_store.list_items
        self.listing_s = listing_s
        self.hub_store.list_items = self.list_slowly

    async def list_slowly(self, prefix, *, wait=None):
        await trio.sleep(self.listing_s)
        return await self.list_now(prefix, wait=wait)

    async def follow(self, store) -> SeenKeys:
        """Start a router's follower; return what it sees."""
        sink = SeenKeys()
        follower = PrefixFollower(
            store=store, timers=self.timers, prefix=CONFIG, sink=sink
        )
        self.nursery.start_soon(follower.run)
        return sink


def run_at_start(scenario, *, listing_s: float) -> None:
    async def at_start(region):
        await scenario(RegionAtStart(nursery=region.nursery, listing_s=listing_s))

    run(at_start)


def test_routers_wait_for_a_hub_that_is_still_listing():
    """All routers listed the configuration themselves 0.4 s after the restart."""

    async def scenario(region):
        await region.start()
        sinks = [await region.follow(region.router_store()) for _ in range(10)]
        for sink in sinks:
            await sink.become(CONFIG)
        assert region.fallback_store.calls == 0

    run_at_start(scenario, listing_s=1.2)


def test_router_waits_for_the_relays_before_it_lists():
    """The routers listed from the store because no hub was known yet."""

    async def scenario(region):
        await region.start()
        store = region.router_store()
        directory = store._hubs._directory
        relays, directory.relays = directory.relays, []
        sink = await region.follow(store)
        await trio.sleep(0.3)
        directory.relays = relays
        directory.first_listed.set()
        await sink.become(CONFIG)
        assert region.fallback_store.calls == 0

    run_at_start(scenario, listing_s=0.0)


def test_router_without_relays_lists_from_the_store_at_once():
    async def scenario(region):
        await region.start()
        store = region.router_store()
        store._hubs._directory.install(Listing(items=[], revision=1))
        started_at = trio.current_time()
        await (await region.follow(store)).become(CONFIG)
        assert trio.current_time() - started_at < 0.3

    run_at_start(scenario, listing_s=0.0)


def test_second_hub_is_asked_if_the_first_refuses_the_connection():
    """Relays that restart with the routers refuse the first calls."""

    async def scenario(region):
        await region.start()
        store = region.router_store()
        directory = store._hubs._directory
        directory.relays.append(closed_relay_before(directory.relays[0]))
        assert store._hubs.best().incarnation == "closed"
        listing = await store.list_items(CONFIG, wait=ListingWait(timeout_s=8.0))
        assert [item.key for item in listing.items] == [CONFIG]
        assert region.fallback_store.calls == 0

    run_at_start(scenario, listing_s=0.0)


def test_store_is_asked_if_the_only_hub_refuses():
    """A router isn't ready while it waits for a hub that is cut off or gone."""

    async def scenario(region):
        region.hub_store.is_down = True
        await region.start()
        started_at = trio.current_time()
        sink = await region.follow(region.router_store())
        await sink.become(CONFIG)
        assert trio.current_time() - started_at < 1.5

    run_at_start(scenario, listing_s=0.0)


def test_hub_that_refuses_while_the_store_is_away_is_used_after_it():
    """A router that started in an outage had no hub for many seconds after it."""

    async def scenario(region):
        region.hub_store.is_down = True
        region.fallback_store.is_down = True
        await region.start()
        store = region.router_store()
        sink = await region.follow(store)
        await trio.sleep(1.0)
        region.hub_store.is_down = False
        started_at = trio.current_time()
        await sink.become(CONFIG)
        assert trio.current_time() - started_at < 1.5

    run_at_start(scenario, listing_s=0.0)


def test_store_is_asked_if_the_hub_sends_nothing():
    """A hub that is paused or whose link is cut keeps its connections open."""

    async def scenario(region):
        async def silent(request, writer):
            await trio.sleep_forever()

        await region.serve(silent)
        started_at = trio.current_time()
        listing = await region.router_store().list_items(
            CONFIG, wait=ListingWait(timeout_s=8.0)
        )
        assert [item.key for item in listing.items] == [CONFIG]
        assert trio.current_time() - started_at < 4.0

    run_at_start(scenario, listing_s=0.0)


def test_store_is_asked_if_the_listing_of_the_hub_doesn_t_end(monkeypatch):
    """The hub's own path to the store may be the broken one."""
    monkeypatch.setattr(_hub_listing, "HUB_LISTING_LIMIT_S", 0.5)
    monkeypatch.setattr(_regional, "STORE_DELAY_S", 0.5)

    async def scenario(region):
        await region.start()
        sink = await region.follow(region.router_store())
        await sink.become(CONFIG)
        assert region.fallback_store.calls > 0

    run_at_start(scenario, listing_s=60.0)


def test_large_answer_of_a_hub_with_a_full_link_is_read_completely(monkeypatch):
    """An answer that was given up was asked again and kept the hub's link full."""
    monkeypatch.setattr(_regional, "STORE_DELAY_S", 0.5)

    async def scenario(region):
        hub_answers = []

        async def answer(request, writer):
            hub_answers.append(request)
            body = msgspec.msgpack.encode(FollowAnswer([], 5))
            await writer.start(200, [])
            for start in range(0, len(body), 5):
                await writer.write(body[start : start + 5])
                await trio.sleep(0.3)
            await writer.finish()

        await region.serve(answer)
        listing = await region.router_store().list_items(
            CONFIG, wait=ListingWait(timeout_s=8.0)
        )
        assert listing.revision == 5
        assert len(hub_answers) == 1
        assert region.fallback_store.calls == 0

    run_at_start(scenario, listing_s=0.0)


def test_watch_through_a_hub_that_is_still_listing_goes_to_the_store():
    """A router that follows already must not wait for a hub that knows nothing."""

    async def scenario(region):
        async def answer(request, writer):
            await writer.send(HttpResponse(status=LISTING_STATUS))

        await region.serve(answer)
        store = region.router_store()
        changes = await store.wait_changes(CONFIG, after=1, wait_s=0.1)
        assert changes.revision == region.fallback_store.revision

    run_at_start(scenario, listing_s=0.0)


@contextmanager
def silent_address_before(relay: Relay) -> Iterator[Address]:
    """Yield an address that neither accepts nor refuses connections.

    It is preferred to ``relay``.
    """
    with ExitStack() as stack:
        for number in range(2, 255):
            listener = stack.enter_context(socket.socket())
            listener.bind((f"127.0.0.{number}", 0))
            listener.listen(0)
            address = Address(
                host=listener.getsockname()[0], port=listener.getsockname()[1]
            )
            if rank("hub", address) < rank("hub", relay.address):
                break
        # The queue of the listener is full from here on.
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield address


def test_store_is_asked_at_once_if_a_hub_does_not_respond():
    """A restarted router wasn't ready for 1.3 s, as two VMs of relays were gone."""

    async def scenario(region):
        await region.start()
        store = region.router_store()
        directory = store._hubs._directory
        relay = directory.relays[0]
        with silent_address_before(relay) as address:
            gone = Relay(address, relay.domain, "gone", relay.region)
            directory.relays.append(gone)
            await trio.sleep(0.05)
            assert store._hubs.best().incarnation == "gone"
            started_at = trio.current_time()
            await store.list_items(CONFIG, wait=ListingWait(timeout_s=8.0))
            assert region.fallback_store.calls == 1
            assert trio.current_time() - started_at < 1.0

    run_at_start(scenario, listing_s=0.0)
