"""Hubs that end, list or fall behind while routers follow through them.

What happens to one hub must not make each router of its region ask the store.
"""

import logging

import trio

from lavenderfold.settings import Address
from lavenderfold.shared import Relay, RelayDirectory, RelaySelector
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore
from tests.test_hub import CONFIG, run


def delay_listings(store: MemoryStore, delay_s: float) -> None:
    """Have a store answer each listing after a delay."""
    list_now = store.list_items

    async def list_slowly(prefix, *, wait=None):
        await trio.sleep(delay_s)
        return await list_now(prefix, wait=wait)

    store.list_items = list_slowly


def test_second_relay_is_in_another_failure_domain_and_takes_over():
    """A failure domain that loses power would take both with it."""
    addresses = [Address(host=f"10.0.0.{each}", port=1) for each in range(1, 10)]
    relays = RelayDirectory(store=MemoryStore(), prefix="relays/", failure_domain="d")
    relays.relays = [
        Relay(each, f"d{number % 3}", str(each))
        for number, each in enumerate(addresses)
    ]
    selector = RelaySelector(directory=relays, timers=TimerService(), purpose="hub")
    first, second = selector.ranked()[:2]
    assert first == selector.best()
    assert first.domain != second.domain
    selector.record_failure(first)
    assert selector.best() == second


def test_standby_answers_at_once_when_its_hub_ends():
    """All routers asked the store while the next hub listed."""

    async def scenario(region):
        region.hub_store.put(CONFIG, b"old")
        region.fallback_store.put(CONFIG, b"old")
        await region.start()
        await region.start()
        store = region.router_store()
        used = store._hubs.best().address
        await store.list_items(CONFIG)
        await store.wait_changes(CONFIG, after=2, wait_s=0.3)
        region.scope_by_address[used].cancel()
        region.hub_store.put(CONFIG, b"new")
        started_at = trio.current_time()
        changes = await store.wait_changes(CONFIG, after=2, wait_s=2)
        assert [each.item.value for each in changes.changes] == [b"new"]
        assert trio.current_time() - started_at < 0.3
        assert region.fallback_store.calls == 0

    run(scenario)


def test_standby_that_read_the_store_earlier_is_not_left_out():
    """The revisions of two hubs differ by what other prefixes changed meanwhile."""

    async def scenario(region):
        region.hub_store.put(CONFIG, b"old")
        await region.start()
        await region.start()
        store = region.router_store()
        revision = (await store.list_items(CONFIG)).revision
        used, standby = store._hubs.ranked()[:2]
        started_at = trio.current_time()
        while trio.current_time() - started_at < 2.0:
            region.hub_store.put("other", b"")
            answer = await store.wait_changes(CONFIG, after=revision, wait_s=0.2)
            revision = answer.revision
            store._standby_called_at_by_prefix.clear()
        assert store._hubs.ranked() == [used, standby]
        # The hub that takes over reads the store at once.
        region.hub_store.put("other", b"")
        revision = region.hub_store.revision
        region.scope_by_address[used.address].cancel()
        started_at = trio.current_time()
        answer = await store.wait_changes(CONFIG, after=revision, wait_s=0.5)
        assert answer.revision == revision
        assert store._hubs.ranked() == [standby]
        assert region.fallback_store.calls == 0

    run(scenario)


def test_hub_that_was_listing_is_used_as_soon_as_it_has_listed():
    """It counted as failed, and all routers made one hub after the other list."""

    async def scenario(region):
        region.fallback_store.put(CONFIG, b"v1")
        # Longer than a router waits for a hub that is listing.
        delay_listings(region.hub_store, 1.6)
        region.hub_store.put(CONFIG, b"v1")
        await region.start()
        store = region.router_store()
        await store.wait_changes(CONFIG, after=2, wait_s=2.0)
        calls = region.fallback_store.calls
        assert calls == 1
        await store.wait_changes(CONFIG, after=2, wait_s=0.1)
        assert region.fallback_store.calls == calls

    run(scenario)


def test_hub_that_lists_again_after_lost_history_stays_in_use():
    """It answered as if it knew nothing, so all its routers left it together."""

    async def scenario(region):
        region.hub_store.put(CONFIG, b"old")
        await region.start()
        store = region.router_store()
        revision = (await store.list_items(CONFIG)).revision
        delay_listings(region.hub_store, 1.0)
        region.hub_store.put(CONFIG, b"new")
        region.hub_store.forget_history()
        changes = []
        while not changes:
            answer = await store.wait_changes(CONFIG, after=revision, wait_s=1.0)
            changes, revision = answer.changes, answer.revision
        assert changes[0].item.value == b"new"
        assert region.fallback_store.calls == 0

    run(scenario)


def test_watch_of_a_prefix_that_no_hub_follows_keeps_its_wait():
    """It would cost several calls of the store in place of one."""

    async def scenario(region):
        await region.start()
        store = region.router_store()
        revision = region.fallback_store.revision
        started_at = trio.current_time()
        await store.wait_changes("other", after=revision, wait_s=1.0)
        assert trio.current_time() - started_at >= 1.0

    run(scenario)


def test_router_that_reads_the_store_without_a_hub_says_so_once(caplog):
    """Nothing showed that all hubs of a region were left out."""
    caplog.set_level(logging.INFO)

    async def scenario(region):
        region.hub_store.put(CONFIG, b"v1")
        region.fallback_store.put(CONFIG, b"v1")
        await region.start()
        store = region.router_store()
        await store.list_items(CONFIG)
        region.hub_store.is_down = True
        for _ in range(2):
            await store.wait_changes(CONFIG, after=2, wait_s=0.1)
            # The hub notices the outage after its watch.
            await trio.sleep(1.0)
        await store.wait_changes(CONFIG, after=2, wait_s=0.1)
        region.hub_store.is_down = False
        while "hubs_regained" not in caplog.text:
            await trio.sleep(0.2)
            await store.wait_changes(CONFIG, after=2, wait_s=0.1)
        lost = [each for each in caplog.records if each.message == "hubs_lost"]
        assert len(lost) == 1
        assert lost[0].known == 1
        assert "status 503" in lost[0].cause

    run(scenario)
