"""Tests of large configurations that reach the routers of a region away from the store.

The load pattern: a configuration of many routes changes several times in a row, and its
copies share the link between the regions. Hubs fetch one copy for all routers. What
happens to a hub meanwhile must not make each router fetch copies of its own.
"""

import base64
from functools import partial
from urllib.parse import parse_qs, urlsplit

import trio
from lavenderfold_platform.store import PlatformStore

from lavenderfold.fleet import HUB_PATH, PrefixFollower, PrefixHub, RegionalStore
from lavenderfold.http import json_response, serve
from lavenderfold.settings import Address
from lavenderfold.shared import Relay, RelayDirectory, RelaySelector
from lavenderfold.timers import TimerService

CONFIG = "op/config"
ROUTERS = 30
HUBS = 3
# The link sends one configuration in 0.06 s.
CONFIG_BYTES = 40_000
LINK_BYTES_PER_S = 900_000
SLICE_BYTES = 8_000
# Versions follow each other as in a series of changes by an operator.
VERSIONS = 12
VERSION_PERIOD_S = 0.35
# A platform expects a version to be in force everywhere this long after it was written.
PROPAGATION_S = 4.0
# Hubs of a region in which one hub after the other could be left out.
MANY_HUBS = 10
# An outage of the store in which a hub could be left out three times.
OUTAGE_S = 11.0
# A platform expects routers to be up to date again this long after an outage.
CONNECTIVITY_S = 5.0
LISTEN = Address(host="127.0.0.1", port=0)


class DistantStore:
    """The platform's store behind a link that all its answers share.

    It keeps one key. A watch returns all versions since its revision, as the platform's
    store does.
    """

    def __init__(self):
        self.revision = 0
        self.written_at: list[float] = []
        self.forgotten_revision = 0
        self.is_refusing = False
        self.sent_versions = 0
        self._changed = trio.Event()
        self._link = trio.Lock()

    def write(self) -> None:
        """Write the next version, whose number is its revision."""
        self.revision += 1
        self.written_at.append(trio.current_time())
        self._changed.set()
        self._changed = trio.Event()

    async def answer(self, request, writer) -> None:
        if self.is_refusing:
            await writer.send(json_response(503, {}))
            return
        query = parse_qs(urlsplit(request.target).query)
        if request.path == "/kv-range":
            rows = {"entries": [self._row(self.revision)], "at": self.revision}
            await self._send(rows, writer)
            return
        after = int(query["after"][0])
        with trio.move_on_after(int(query["wait_ms"][0]) / 1000):
            while after >= self.revision:
                changed = self._changed
                await changed.wait()
        if after < self.forgotten_revision:
            await writer.send(json_response(410, {}))
            return
        events = [self._row(each) for each in range(after + 1, self.revision + 1)]
        await self._send({"events": events, "at": self.revision}, writer)

    def _row(self, revision: int) -> dict:
        self.sent_versions += 1
        value = f"{revision} ".ljust(CONFIG_BYTES, "x").encode()
        payload = base64.b64encode(value).decode()
        return {"key": CONFIG, "payload": payload, "revision": revision}

    async def _send(self, value: dict, writer) -> None:
        response = json_response(200, value)
        await writer.start(200, response.headers)
        for start in range(0, len(response.body), SLICE_BYTES):
            part = response.body[start : start + SLICE_BYTES]
            async with self._link:
                await trio.sleep(len(part) / LINK_BYTES_PER_S)
            await writer.write(part)
        await writer.finish()


class SeenVersions:
    """A sink that keeps when each version, or a newer one, was first seen."""

    def __init__(self):
        self.version = 0
        self.seen_at: list[float] = []
        self._changed = trio.Event()

    async def wait_for(self, version: int) -> None:
        """Wait until this version or a newer one was seen."""
        while self.version < version:
            changed = self._changed
            await changed.wait()

    def put(self, item):
        self.version = max(self.version, int(item.value.split()[0]))
        while len(self.seen_at) < self.version:
            self.seen_at.append(trio.current_time())
        self._changed.set()
        self._changed = trio.Event()

    def handle_removal(self, key, *, revision, is_certain):
        raise AssertionError(f"{key} was never removed")

    def known_keys(self):
        return []


class DistantRegion:
    """Hubs and routers of one region, and the store in the other one."""

    def __init__(self, *, nursery: trio.Nursery, hubs: int):
        self.store = DistantStore()
        self.sinks = [SeenVersions() for _ in range(ROUTERS)]
        self.hub_scope_by_address: dict[Address, trio.CancelScope] = {}
        self._nursery = nursery
        self._hubs = hubs
        self._timers = TimerService()
        self._store_address: Address | None = None

    async def start(self) -> None:
        """Start all processes and wait until each router has the first version."""
        self.store.write()
        start_store = partial(serve, self.store.answer, address=LISTEN)
        self._store_address = await self._nursery.start(start_store)
        for _ in range(self._hubs):
            await self._nursery.start(self._run_hub)
        for sink in self.sinks:
            self._nursery.start_soon(self._run_router, sink)
        await self._wait_for_version(1)

    def stop_hubs(self, count: int) -> None:
        """End the hubs that all routers use first."""
        for hub in self._new_selector().ranked()[:count]:
            self.hub_scope_by_address[hub.address].cancel()

    async def write_versions(self) -> None:
        for _ in range(VERSIONS):
            self.store.write()
            await trio.sleep(VERSION_PERIOD_S)

    async def longest_delay_s(self) -> float:
        """Wait until all routers have all versions; return the longest time of one."""
        await self._wait_for_version(self.store.revision)
        written_at = self.store.written_at
        return max(
            seen - written
            for sink in self.sinks
            for written, seen in zip(written_at[1:], sink.seen_at[1:], strict=True)
        )

    async def _wait_for_version(self, version: int) -> None:
        for sink in self.sinks:
            await sink.wait_for(version)

    async def _run_hub(self, task_status) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                hub = PrefixHub(store=self._new_store(), timers=self._timers)
                nursery.start_soon(hub.run)

                async def answer(request, writer):
                    assert request.path == HUB_PATH
                    await writer.send(await hub.answer(request.body))

                address = await nursery.start(partial(serve, answer, address=LISTEN))
                self.hub_scope_by_address[address] = scope
                task_status.started()

    async def _run_router(self, sink: SeenVersions) -> None:
        store = RegionalStore(
            store=self._new_store(),
            hubs=self._new_selector(),
            prefixes=frozenset((CONFIG,)),
            large_prefixes=frozenset((CONFIG,)),
        )
        follower = PrefixFollower(
            store=store, timers=self._timers, prefix=CONFIG, sink=sink, wait_s=2.5
        )
        await follower.run()

    def _new_store(self) -> PlatformStore:
        return PlatformStore(address=self._store_address)

    def _new_selector(self) -> RelaySelector:
        directory = RelayDirectory(
            store=self._new_store(), prefix="relays/", failure_domain="d"
        )
        directory.relays = [
            Relay(each, f"d{number}", str(each))
            for number, each in enumerate(self.hub_scope_by_address)
        ]
        return RelaySelector(directory=directory, timers=self._timers, purpose="hub")


def run(scenario, *, hubs: int = HUBS) -> None:
    async def main():
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                region = DistantRegion(nursery=nursery, hubs=hubs)
                await region.start()
                await scenario(region)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_versions_are_in_force_in_time_while_hubs_follow():
    async def scenario(region):
        await region.write_versions()
        assert await region.longest_delay_s() < PROPAGATION_S

    run(scenario)


def test_versions_are_in_force_in_time_although_the_hub_ends():
    """Each router fetched every version itself, and the next hubs listed as well."""

    async def scenario(region):
        region.stop_hubs(1)
        await region.write_versions()
        assert await region.longest_delay_s() < PROPAGATION_S

    run(scenario)


def test_hubs_fetch_one_copy_for_all_although_hub_and_standby_end_together():
    """Each router read several versions at once, over the link that the hubs need."""

    async def scenario(region):
        await trio.sleep(1.0)
        region.stop_hubs(2)
        region.store.sent_versions = 0
        await region.write_versions()
        assert await region.longest_delay_s() < PROPAGATION_S
        # Two hubs follow at a time; others may have listed meanwhile.
        assert region.store.sent_versions <= 2 * VERSIONS + MANY_HUBS

    run(scenario, hubs=MANY_HUBS)


def test_versions_are_in_force_in_time_although_the_store_forgets_its_history():
    """The hub answered as if it knew nothing, so all routers left it."""

    async def scenario(region):
        region.store.write()
        region.store.write()
        region.store.forgotten_revision = region.store.revision
        await region.write_versions()
        assert await region.longest_delay_s() < PROPAGATION_S

    run(scenario)


def test_versions_are_in_force_in_time_after_the_store_refused_calls():
    """All hubs were left out for the outage, and each router read every version."""

    async def scenario(region):
        region.store.is_refusing = True
        await trio.sleep(OUTAGE_S)
        region.store.is_refusing = False
        await trio.sleep(CONNECTIVITY_S)
        await region.write_versions()
        assert await region.longest_delay_s() < PROPAGATION_S

    run(scenario, hubs=MANY_HUBS)


def test_follower_behind_a_full_link_skips_superseded_versions():
    """It fetched every version and fell behind further with each one."""

    async def main():
        store, sink = DistantStore(), SeenVersions()
        store.write()
        async with trio.open_nursery() as nursery:
            start_store = partial(serve, store.answer, address=LISTEN)
            address = await nursery.start(start_store)
            follower = PrefixFollower(
                store=PlatformStore(address=address),
                timers=TimerService(),
                prefix=CONFIG,
                sink=sink,
            )
            nursery.start_soon(follower.run)
            for _ in range(60):
                # Half of the time that the link needs for one.
                await trio.sleep(0.03)
                store.write()
            await sink.wait_for(store.revision)
            nursery.cancel_scope.cancel()
        delays_s = [
            seen - written
            for written, seen in zip(store.written_at, sink.seen_at, strict=True)
        ]
        assert max(delays_s[1:]) < 1.0

    trio.run(main)
