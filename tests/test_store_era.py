"""The store returns from an older copy and gives its revisions out again."""

from functools import partial

import pytest
import trio
from lavenderfold_platform.store import PlatformStore
from lavenderfold_platform.store_era import combined_revision

from lavenderfold.fleet import PrefixFollower, Target, TargetDirectory
from lavenderfold.http import HttpResponse, json_response, serve
from lavenderfold.settings import Address
from lavenderfold.shared import (
    ConditionalWrite,
    HistoryLostError,
    SharedStoreError,
    StoreEra,
    WriteConflictError,
    WriteUncertainError,
)
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore

ROW = {"key": "a", "payload": "eA==", "revision": 3, "created": 1}


def in_era(era: int, response: HttpResponse) -> HttpResponse:
    response.headers.append(("store-era", str(era)))
    return response


def listing(era: int, *, at: int = 5, is_truncated: bool = False) -> HttpResponse:
    body = {"entries": [ROW], "truncated": is_truncated, "at": at}
    return in_era(era, json_response(200, body))


def events(era: int, *, at: int = 6) -> HttpResponse:
    return in_era(era, json_response(200, {"events": [ROW], "at": at}))


def written(era: int, revision: int = 7) -> HttpResponse:
    return in_era(era, json_response(200, {"revision": revision}))


def run_store(responses, scenario) -> None:
    """Run a scenario with a client of a store that sends these responses."""
    requests = []

    async def handle(request, writer):
        requests.append(request)
        response = responses.pop(0)
        if response is None:
            await writer.start(200, [])
            raise RuntimeError("the connection ends without a response")
        await writer.send(response)

    async def main():
        async with trio.open_nursery() as nursery:
            listen = Address(host="127.0.0.1", port=0)
            address = await nursery.start(partial(serve, handle, address=listen))
            with trio.fail_after(5):
                await scenario(PlatformStore(address=address), requests)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_revisions_of_a_new_era_are_newer():
    """Guards against entries that are ignored because their revision went back."""

    async def scenario(store, _):
        before = await store.list_items("a")
        after = await store.list_items("a")
        assert after.revision > before.revision
        assert after.items[0].revision > before.items[0].revision

    run_store([listing(1, at=90), listing(2, at=5)], scenario)


def test_watch_does_not_go_on_from_an_earlier_era():
    """Guards against missing what was changed before the same revision came again."""

    async def scenario(store, requests):
        before = await store.list_items("a")
        with pytest.raises(HistoryLostError):
            await store.wait_changes("a", after=before.revision, wait_s=1)
        with pytest.raises(HistoryLostError):
            await store.wait_changes("a", after=before.revision, wait_s=1)
        assert len(requests) == 2

    run_store([listing(1), events(2)], scenario)


def test_write_with_a_revision_of_an_earlier_era_is_not_sent():
    """Guards against overwriting what was written under the same revision."""

    async def scenario(store, requests):
        before = await store.list_items("a")
        await store.list_items("a")
        with pytest.raises(WriteConflictError):
            await store.write([ConditionalWrite("a", b"x", before.items[0].revision)])
        assert len(requests) == 2

    run_store([listing(1), listing(2)], scenario)


def test_era_is_read_before_a_write_that_follows_a_failed_call():
    """Guards against a write from before the outage that the new era accepts."""

    async def scenario(store, requests):
        before = await store.list_items("a")
        with pytest.raises(SharedStoreError):
            await store.list_items("a")
        with pytest.raises(WriteConflictError):
            await store.write([ConditionalWrite("a", b"x", before.items[0].revision)])
        assert [each.method for each in requests] == ["GET"] * 3

    run_store([listing(1), None, listing(2)], scenario)


def test_write_that_a_new_era_accepted_is_uncertain():
    """Guards against caching a page that was written over an unknown one."""

    async def scenario(store, _):
        before = await store.list_items("a")
        with pytest.raises(WriteUncertainError):
            await store.write([ConditionalWrite("a", b"x", before.items[0].revision)])

    run_store([listing(1), written(2)], scenario)


def test_late_response_of_an_earlier_era_counts_as_lost():
    """Guards against old entries that replace those of the new era."""

    async def scenario(store, _):
        await store.list_items("a")
        with pytest.raises(SharedStoreError):
            await store.list_items("a")

    run_store([listing(2), listing(1)], scenario)


def test_listing_does_not_join_pages_of_two_eras():
    async def scenario(store, _):
        with pytest.raises(SharedStoreError):
            await store.list_items("a")

    run_store([listing(1, is_truncated=True), listing(2)], scenario)


@pytest.mark.parametrize("value", ["", "x", "-1", "1.5", "²"])
def test_unreadable_era_changes_nothing(value):
    async def scenario(store, _):
        assert (await store.list_items("a")).revision == combined_revision(0, 5)

    response = listing(0)
    response.headers[-1] = ("store-era", value.encode().decode("latin-1"))
    run_store([response], scenario)


def test_lower_era_changes_nothing():
    era = StoreEra()
    assert era.record(3)
    assert not era.record(2)
    assert era.current == 3


def make_target(*, born: int, is_draining: bool) -> Target:
    return Target(
        id="t",
        service="s",
        host="127.0.0.1",
        port=1,
        domain="d",
        slots=1,
        born=born,
        is_draining=is_draining,
    )


def test_draining_target_is_not_used_again_after_the_store_went_back():
    """Guards against requests to a target whose entry says ready in an older copy."""
    directory = TargetDirectory()
    directory.put("t", make_target(born=7, is_draining=True), revision=5)
    directory.put("t", make_target(born=7, is_draining=False), revision=9)
    assert directory.usable("s") == []
    directory.put("t", make_target(born=8, is_draining=False), revision=11)
    assert len(directory.usable("s")) == 1


class RecordingSink:
    def __init__(self):
        self.value_by_key: dict[str, bytes] = {}

    def put(self, item) -> None:
        self.value_by_key[item.key] = item.value

    def handle_removal(self, key, *, revision, is_certain) -> None:
        self.value_by_key.pop(key, None)

    def known_keys(self) -> list[str]:
        return list(self.value_by_key)


def test_follower_lists_again_in_a_new_era():
    """Guards against a follower that goes on from a revision that came again."""

    async def main():
        store, sink = MemoryStore(), RecordingSink()
        store.put("a/1", b"old")
        copy = store.copy()
        follower = PrefixFollower(
            store=store, timers=TimerService(), prefix="a/", sink=sink, wait_s=0.2
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            store.put("a/2", b"lost")
            await trio.sleep(0.05)
            assert set(sink.value_by_key) == {"a/1", "a/2"}
            store.restore(copy)
            store.put("a/3", b"again")
            await trio.sleep(0.3)
            assert sink.value_by_key == {"a/1": b"old", "a/3": b"again"}
            nursery.cancel_scope.cancel()

    trio.run(main)
