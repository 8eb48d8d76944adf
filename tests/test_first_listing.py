"""Tests of the first listings of processes that start, in virtual time.

They share a link that is full after a restart of all processes, or their path to the
store is broken. A process that waits too briefly asks again and keeps the link full;
one that waits too long isn't ready although another path works.
"""

import trio
import trio.testing

from lavenderfold.escrow import BalanceManager, LedgerPages
from lavenderfold.fleet import PrefixFollower
from lavenderfold.settings import Address
from lavenderfold.shared import (
    FailoverStore,
    FirstListing,
    HistoryLostError,
    Listing,
    ListingWaits,
    Relay,
    RelayDirectory,
    SharedStoreError,
)
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore
from tests.test_restart_of_all import IgnoredItems

PROCESSES = 68
# Time in which the link sends one listing.
LISTING_S = 0.1
CALL_TIMEOUT_S = 0.6
# A router that starts must be ready within this time when one path is broken.
READY_S = 4.0
RELAY_ADDRESSES = [Address(host="127.0.0.1", port=port) for port in (1, 2)]


class Link:
    """Sends one answer after the other, also those that nobody waits for any more."""

    def __init__(self):
        self.sent = 0
        self.turn = trio.Lock()

    async def send(self, arrived: trio.Event) -> None:
        async with self.turn:
            await trio.sleep(LISTING_S)
        self.sent += 1
        arrived.set()


class StoreBehindLink:
    """A store whose listings pass a link and are given up like the platform's."""

    def __init__(self, *, link: Link, nursery: trio.Nursery):
        self._link = link
        self._nursery = nursery

    async def list_items(self, prefix, *, wait=None):
        arrived = trio.Event()
        self._nursery.start_soon(self._link.send, arrived)
        with trio.move_on_after(wait.timeout_s if wait else CALL_TIMEOUT_S):
            await arrived.wait()
            return Listing(items=[], revision=1)
        raise SharedStoreError("no response in time")

    async def wait_changes(self, prefix, *, after, wait_s):
        await trio.sleep_forever()


class SilentStore:
    """A store at the end of a path that lost all packets and reset nothing."""

    def __init__(self):
        self.calls = 0

    async def list_items(self, prefix, *, wait=None):
        self.calls += 1
        await trio.sleep(wait.timeout_s if wait else CALL_TIMEOUT_S)
        raise SharedStoreError("no response in time")


def run(scenario) -> None:
    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def new_timers() -> TimerService:
    return TimerService(clock=trio.current_time)


def new_failover(direct, *relay_stores) -> FailoverStore:
    """Return a store with a relay for each of ``relay_stores``."""
    directory = RelayDirectory(store=direct, prefix="relays/", failure_domain="near")
    relays = list(zip(RELAY_ADDRESSES, relay_stores, strict=False))
    directory.relays = [
        Relay(address, "near", str(address.port)) for address, _ in relays
    ]
    return FailoverStore(
        direct=direct,
        open_store=dict(relays).__getitem__,
        timers=new_timers(),
        directory=directory,
    )


async def follow_until_listed(store) -> None:
    with trio.CancelScope() as scope:
        follower = PrefixFollower(
            store=store,
            timers=new_timers(),
            prefix="servers/",
            sink=IgnoredItems(),
            on_answer=scope.cancel,
        )
        await follower.run()


async def start_all(nursery: trio.Nursery, *, with_relays: bool) -> tuple[float, Link]:
    """Let all processes list at once; return the time until all have, and the link."""
    link = Link()
    behind_link = StoreBehindLink(link=link, nursery=nursery)
    started_at = trio.current_time()
    async with trio.open_nursery() as processes:
        for _ in range(PROCESSES):
            relay_stores = [behind_link] if with_relays else []
            store = new_failover(behind_link, *relay_stores)
            processes.start_soon(follow_until_listed, store)
    return trio.current_time() - started_at, link


def test_each_of_68_processes_lists_once_over_a_full_link():
    """Listings that were given up and asked again kept the link full for good."""

    async def scenario(nursery):
        listed_s, link = await start_all(nursery, with_relays=False)
        assert listed_s < PROCESSES * LISTING_S + 0.1
        assert link.sent == PROCESSES

    run(scenario)


def test_copies_through_relays_of_68_processes_are_bounded():
    """The relays' copies pass the same link and must not keep it full either."""

    async def scenario(nursery):
        listed_s, link = await start_all(nursery, with_relays=True)
        assert listed_s < PROCESSES * LISTING_S + 0.1
        async with link.turn:
            assert link.sent <= 2 * PROCESSES

    run(scenario)


def test_first_listing_over_a_silent_path_is_answered_by_a_relay():
    """A router whose first listing is lost without a reset wasn't ready for long."""

    async def scenario(nursery):
        direct = SilentStore()
        with trio.fail_after(READY_S):
            await follow_until_listed(new_failover(direct, MemoryStore()))
        assert direct.calls == 1

    run(scenario)


def test_ledger_of_a_starting_router_is_read_through_a_relay():
    """A router without the ledger isn't ready, and its orphaned grants stay open."""

    async def scenario(nursery):
        direct = SilentStore()
        manager = BalanceManager(
            store=new_failover(direct, MemoryStore()),
            timers=new_timers(),
            holder="router/1",
            prefix="ledger/",
        )
        nursery.start_soon(manager.run)
        with trio.fail_after(READY_S):
            await manager.loaded.wait()
        assert direct.calls == 1

    run(scenario)


def test_later_read_of_the_ledger_fails_over_like_any_other_call():
    """Requests wait for a writer that reads the ledger after a conflict."""

    async def scenario(nursery):
        store = new_failover(SilentStore(), MemoryStore())
        with trio.fail_after(CALL_TIMEOUT_S + 0.1):
            assert await LedgerPages(store=store, prefix="ledger/").load()

    run(scenario)


def test_second_relay_is_asked_if_store_and_first_relay_are_silent():
    async def scenario(nursery):
        store = new_failover(SilentStore(), SilentStore(), MemoryStore())
        with trio.fail_after(2 * READY_S + 0.1):
            await follow_until_listed(store)

    run(scenario)


def test_refused_first_listing_is_asked_through_a_relay_at_once():
    async def scenario(nursery):
        direct = MemoryStore()
        direct.is_down = True
        with trio.fail_after(0.1):
            await follow_until_listed(new_failover(direct, MemoryStore()))

    run(scenario)


def test_watch_goes_to_the_relay_that_listed_instead_of_the_silent_path():
    """Each call after the listing would first wait for the silent path."""

    async def scenario(nursery):
        store = new_failover(SilentStore(), MemoryStore())
        await store.list_items("k/", wait=ListingWaits().begin_attempt())
        with trio.fail_after(0.2):
            await store.wait_changes("k/", after=1, wait_s=0.1)

    run(scenario)


def test_listing_after_lost_history_fails_over_as_fast_as_a_watch():
    """A target that leaves meanwhile must be known within the drain bound."""

    class ForgetfulStore(SilentStore):
        async def wait_changes(self, prefix, *, after, wait_s):
            raise HistoryLostError(prefix)

    class OnceListedStore(ForgetfulStore):
        async def list_items(self, prefix, *, wait=None):
            if self.calls:
                return await super().list_items(prefix, wait=wait)
            self.calls += 1
            return Listing(items=[], revision=1)

    async def scenario(nursery):
        relay_asked = trio.Event()

        class RelayStore(MemoryStore):
            async def list_items(self, prefix, *, wait=None):
                relay_asked.set()
                return await super().list_items(prefix, wait=wait)

        store = new_failover(OnceListedStore(), RelayStore())
        follower = PrefixFollower(
            store=store, timers=new_timers(), prefix="k/", sink=IgnoredItems()
        )
        nursery.start_soon(follower.run)
        with trio.fail_after(CALL_TIMEOUT_S + 0.1):
            await relay_asked.wait()

    run(scenario)


def test_no_relay_is_asked_while_data_arrives():
    """The second copy of a large listing would pass the same slow link."""

    async def scenario(nursery):
        relay_calls = 0

        async def list_slowly(wait):
            for _ in range(10):
                await trio.sleep(1.0)
                wait.record_data()
            return Listing(items=[], revision=1)

        async def list_by_relay(wait):
            nonlocal relay_calls
            relay_calls += 1
            await trio.sleep_forever()

        first = FirstListing(calls=[list_slowly, list_by_relay], delays_s=[1.5])
        assert (await first.run(8.0)).revision == 1
        assert relay_calls == 0

    run(scenario)


def test_relays_are_listed_again_if_the_first_call_is_lost():
    """Without a known relay no other path leads around a silent connection."""

    class OnceSilentStore(MemoryStore):
        async def list_items(self, prefix, *, wait=None):
            if not self.calls:
                await self._begin_call()
                await trio.sleep_forever()
            return await super().list_items(prefix, wait=wait)

    async def scenario(nursery):
        store = OnceSilentStore()
        record = b'{"address":"127.0.0.1:1","domain":"near","incarnation":"x"}'
        store.put("relays/1", record)
        directory = RelayDirectory(store=store, prefix="relays/", failure_domain="near")
        nursery.start_soon(directory.run)
        with trio.fail_after(READY_S):
            await directory.first_listed.wait()
        assert len(directory.relays) == 1

    run(scenario)


def test_waits_double_after_attempts_that_used_them_up():
    """Waits that stay short are given up again while the link is full."""

    async def scenario(nursery):
        waits = ListingWaits()
        first_s = waits.begin_attempt().timeout_s
        waits.record_failure()
        assert waits.begin_attempt().timeout_s < 2 * first_s / 1.25
        for _ in range(9):
            await trio.sleep(waits.begin_attempt().timeout_s)
            waits.record_failure()
        assert 30.0 <= waits.begin_attempt().timeout_s <= 37.5

    run(scenario)
