"""Routes, targets and their follower: what a router believes of its fleet."""

import trio
import trio.testing

from lavenderfold.fleet import (
    PrefixFollower,
    RepeatPolicy,
    RouteTable,
    Target,
    TargetDirectory,
)
from lavenderfold.settings import Address
from lavenderfold.shared import FailoverStore, RelayDirectory, WriteUncertainError
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore, WriteFault
from tests.direct_support import fleet_config, route


def target(name: str, *, is_draining: bool = False) -> Target:
    return Target(
        id=name,
        service="service",
        host="127.0.0.1",
        port=1,
        domain="domain",
        slots=1,
        is_draining=is_draining,
    )


def ids(directory: TargetDirectory) -> list[str]:
    return [each.id for each in directory.usable("service")]


def table(*routes) -> RouteTable:
    return RouteTable(fleet_config(routes=routes))


def test_longest_prefix_selects_the_route():
    routes = table(
        route("short", RepeatPolicy.IDEMPOTENT, path_prefix="/a/"),
        route("long", RepeatPolicy.IDEMPOTENT, path_prefix="/a/b/"),
    )
    assert routes.route("host", "/a/b/c").name == "long"
    assert routes.route("host", "/a/bc").name == "short"
    assert routes.route("host", "/b") is None
    assert routes.route("other", "/a/b/c") is None


def test_older_entry_doesn_t_replace_a_newer_one():
    """A stale read may bring back a target that is draining by now."""
    directory = TargetDirectory()
    directory.put("k", target("t", is_draining=True), revision=5)
    assert not directory.put("k", target("t"), revision=4)
    assert ids(directory) == []


def test_lapsed_entry_is_kept_for_its_grace():
    """Registrations lapse while the store is away though their targets live."""
    directory = TargetDirectory()
    directory.put("k", target("t"), revision=1)
    directory.remove_after_grace("k", now=10.0)
    assert directory.expire(now=11.9) == []
    assert ids(directory) == ["t"]
    assert directory.expire(now=12.1) == ["k"]
    assert ids(directory) == []


def test_entry_that_returns_within_its_grace_stays():
    directory = TargetDirectory()
    directory.put("k", target("t"), revision=1)
    directory.remove_after_grace("k", now=10.0)
    directory.put("k", target("t"), revision=3)
    assert directory.expire(now=20.0) == []


class Sink:
    """Records what a follower reports."""

    def __init__(self):
        self.keys: set[str] = set()
        self.uncertain: list[str] = []

    def put(self, item) -> None:
        self.keys.add(item.key)

    def removed(self, key, *, revision, is_certain) -> None:
        if is_certain:
            self.keys.discard(key)
        else:
            self.uncertain.append(key)

    def known_keys(self):
        return list(self.keys)


def run(scenario) -> None:
    async def main():
        store = MemoryStore()
        sink = Sink()
        timers = TimerService(clock=trio.current_time)
        follower = PrefixFollower(store=store, timers=timers, prefix="t/", sink=sink)
        store.put("t/1", b"")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(3)
            await scenario(store, sink)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_follower_lists_again_when_history_is_forgotten():
    """A target that leaves in the gap is in no event."""

    async def scenario(store, sink):
        store.remove("t/1")
        store.forget_history()
        await trio.sleep(2)
        assert sink.keys == set()

    run(scenario)


def test_removal_right_after_an_outage_is_uncertain():
    async def scenario(store, sink):
        store.is_down = True
        await trio.sleep(3)
        store.remove("t/1")
        store.is_down = False
        await trio.sleep(1)
        assert sink.uncertain == ["t/1"]

    run(scenario)


def test_removal_in_calm_times_is_certain():
    async def scenario(store, sink):
        store.remove("t/1")
        await trio.sleep(0.1)
        assert sink.keys == set()

    run(scenario)


def run_failover(scenario) -> None:
    async def main():
        direct, behind = MemoryStore(), MemoryStore()
        timers = TimerService(clock=trio.current_time)
        directory = RelayDirectory(
            store=direct, prefix="relays/", failure_domain="near"
        )
        for name, domain in (("1", "far"), ("2", "near")):
            record = '{"address":"127.0.0.1:%s","domain":"%s","incarnation":"x"}'
            direct.put(f"relays/{name}", (record % (name, domain)).encode())
        directory.install(await direct.list_items("relays/"))
        opened: list[Address] = []

        def open_store(address):
            opened.append(address)
            return behind

        store = FailoverStore(
            direct=direct, open_store=open_store, timers=timers, directory=directory
        )
        await scenario(store, direct, behind, opened)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_cut_store_is_reached_through_the_nearest_relay():
    async def scenario(store, direct, behind, opened):
        behind.put("k/1", b"value")
        direct.is_down = True
        listing = await store.list_items("k/")
        assert [item.key for item in listing.items] == ["k/1"]
        assert opened == [Address(host="127.0.0.1", port=2)]

    run_failover(scenario)


def test_direct_path_is_used_again_when_it_works():
    async def scenario(store, direct, behind, opened):
        direct.is_down = True
        await store.list_items("k/")
        direct.is_down = False
        await trio.sleep(2)
        calls = behind.calls
        await store.list_items("k/")
        assert behind.calls == calls

    run_failover(scenario)


def test_uncertain_write_isn_t_repeated_through_a_relay():
    """It may have taken effect: only its caller can tell, by reading."""

    async def scenario(store, direct, behind, opened):
        direct.write_fault = WriteFault.ANSWER_LOST
        calls = behind.calls
        try:
            await store.write([])
        except WriteUncertainError:
            assert behind.calls == calls
        else:
            raise AssertionError("the write seemed certain")

    run_failover(scenario)
