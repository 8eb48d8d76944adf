"""Tests of the stand-ins for the key-value service, VM list and weight store."""

import subprocess
import sys
from functools import partial

import msgspec
import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from lavenderfold.http import HttpClient, HttpRequest, ResponseLostError, serve
from lavenderfold.settings import Address, parse_address
from lavenderfold.store import (
    AnswerLostError,
    ConflictError,
    Store,
    StoreUnavailableError,
)
from standins.config_store import VALUE_BYTES_LIMIT, ConfigStore, KeyValues
from standins.vm_list import VmList
from standins.weight_store import SharedRate, WeightStore, weight_block

ANY_PORT = Address(host="127.0.0.1", port=0)


def run_with_server(standin, test):
    """Serve a stand-in while ``test(address)`` runs."""

    async def main():
        async with trio.open_nursery() as nursery:
            start = partial(serve, standin.handle, address=ANY_PORT)
            address = await nursery.start(start)
            with trio.fail_after(20):
                await test(address)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def call(address, method, target, value=None):
    """Send one request with a JSON body; return the response's status and body."""
    client = HttpClient(address=address)
    body = b"" if value is None else msgspec.json.encode(value)
    request = HttpRequest(method=method, target=target, body=body)
    response = await client.request(request)
    await client.close()
    return response.status, response.body


async def count_calls(address) -> dict[str, int]:
    _, body = await call(address, "GET", "/stats")
    return {
        kind: count
        for kind, count in msgspec.json.decode(body)["calls_by_kind"].items()
        if count
    }


def test_compare_and_swap():
    """Without it, two writers of a ledger shard would overwrite each other's writes."""

    async def test(address):
        store = Store(address=address)
        assert (await store.get("a/b")).unwrap() is None
        assert (await store.put("a/b", b"1", version=0)).unwrap() == 1
        conflict = (await store.put("a/b", b"x", version=0)).unwrap_err()
        assert isinstance(conflict, ConflictError)
        assert (conflict.expected, conflict.actual) == (0, 1)
        assert (await store.put("a/b", b"2", version=1)).unwrap() == 2
        stored = (await store.get("a/b")).unwrap()
        assert (stored.value, stored.version) == (b"2", 2)
        assert (await store.delete("a/b", version=1)).is_err()
        assert (await store.delete("a/b", version=2)).is_ok()
        assert (await store.put("a/b", b"3", version=2)).is_err()
        assert (await store.put("a/b", b"3", version=0)).unwrap() == 4
        await store.put("ab", b"", version=0)
        assert (await store.list_versions("a/")).unwrap() == {"a/b": 4}
        assert await count_calls(address) == {
            "get": 2,
            "put": 6,
            "delete": 2,
            "list": 1,
        }

    run_with_server(ConfigStore(), test)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.lists(
        st.tuples(st.sampled_from(["put", "delete"]), st.integers(0, 4)), max_size=20
    )
)
def test_a_version_never_stands_for_two_values(steps):
    """A writer that holds an old version must not overwrite a value it hasn't read."""
    values = KeyValues()
    version, used_versions = 0, {0}
    for step, expected_version in steps:
        try:
            if step == "put":
                version = values.put("k", b"", version=expected_version, lease=None)
                assert version not in used_versions
                used_versions.add(version)
            else:
                values.delete("k", version=expected_version)
                version = 0
            assert values.version("k") == version
        except Exception as error:
            assert error.actual == version != expected_version


def test_expired_lease_deletes_its_keys():
    values = KeyValues()
    lease = values.open_lease(5.0, now=0.0)
    other = values.open_lease(50.0, now=0.0)
    values.put("a", b"", version=0, lease=lease)
    values.put("b", b"", version=0, lease=other)
    values.put("c", b"", version=0, lease=lease)
    values.put("c", b"", version=1, lease=None)
    assert values.renew_lease(lease, now=4.0)
    values.expire_leases(8.9)
    assert sorted(values.entry_by_key) == ["a", "b", "c"]
    values.expire_leases(9.0)
    assert sorted(values.entry_by_key) == ["b", "c"]
    assert not values.renew_lease(lease, now=9.0)


def test_lease_over_http():
    standin = ConfigStore()

    async def test(address):
        store = Store(address=address)
        lease = (await store.grant_lease(ttl_s=60)).unwrap()
        assert (await store.put("k", b"", version=0, lease=lease)).is_ok()
        assert (await store.renew_lease(lease)).unwrap() is True
        standin.values.expire_leases(trio.current_time() + 61)
        assert (await store.get("k")).unwrap() is None
        assert (await store.renew_lease(lease)).unwrap() is False
        assert (await store.put("k", b"", version=0, lease=lease)).is_err()

    run_with_server(standin, test)


def test_watch_fires_on_a_write_and_counts_once():
    async def test(address):
        store = Store(address=address)
        assert (await store.watch("k", after=0, timeout_s=0.01)).unwrap() is None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(store.put, "other", b"", version=0))
            nursery.start_soon(partial(store.put, "k", b"1", version=0))
            seen = (await store.watch("k", after=0, timeout_s=10)).unwrap()
        assert (seen.value, seen.version) == (b"1", 1)
        assert (await store.watch("k", after=0, timeout_s=10)).unwrap() == seen
        assert (await count_calls(address))["watch"] == 3

    run_with_server(ConfigStore(), test)


def test_value_over_the_limit_is_refused_with_413():
    async def test(address):
        store = Store(address=address)
        assert (await store.put("k", b"x" * VALUE_BYTES_LIMIT, version=0)).is_ok()
        refused = await store.put("k", b"x" * (VALUE_BYTES_LIMIT + 1), version=1)
        assert "413" in str(refused.unwrap_err())
        assert (await store.get("k")).unwrap().version == 1

    run_with_server(ConfigStore(), test)


def test_write_faults():
    """A write whose response is lost takes effect; a refused write has no effect."""

    async def test(address):
        store = Store(address=address)
        await call(address, "POST", "/faults", {"lose_answers": 1, "refuse_writes": 1})
        refused = (await store.put("k", b"1", version=0)).unwrap_err()
        assert isinstance(refused, StoreUnavailableError)
        assert (await store.get("k")).unwrap() is None
        lost = (await store.put("k", b"1", version=0)).unwrap_err()
        assert isinstance(lost, AnswerLostError)
        assert (await store.get("k")).unwrap().value == b"1"
        assert (await store.put("k", b"2", version=1)).is_ok()

    run_with_server(ConfigStore(), test)


def test_outage_ends_watches_and_keeps_the_values():
    async def test(address):
        store = Store(address=address)
        await store.put("k", b"1", version=0)
        async with trio.open_nursery() as nursery:
            fault = partial(call, address, "POST", "/faults", {"down": True})
            nursery.start_soon(fault)
            ended = await store.watch("k", after=1, timeout_s=10)
        assert isinstance(ended.unwrap_err(), StoreUnavailableError)
        assert (await store.put("k", b"2", version=1)).is_err()
        await call(address, "POST", "/faults", {"down": False})
        assert (await store.get("k")).unwrap().value == b"1"

    run_with_server(ConfigStore(), test)


def test_delayed_write_takes_effect_after_its_caller_gave_up():
    """A client must not assume that a write that timed out has no effect."""
    standin = ConfigStore()

    async def test(address):
        store = Store(address=address)
        standin.faults.delay_s = 0.2
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(store.put, "k", b"1", version=0))
            for _ in range(1000):
                if standin.calls_by_kind["put"]:
                    break
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        standin.faults.delay_s = 0.0
        seen = await store.watch("k", after=0, timeout_s=10)
        assert seen.unwrap().value == b"1"

    run_with_server(standin, test)


@pytest.mark.parametrize(
    ("method", "target", "value", "status"),
    [
        ("POST", "/faults", {"dwon": True}, 400),
        ("POST", "/faults", {"delay_s": -1}, 400),
        ("PUT", "/v1/kv/k", None, 400),
        ("PUT", "/v1/kv/k?version=-1", None, 400),
        ("GET", "/v1/watch/k?after=0&timeout_s=nan", None, 400),
        ("POST", "/v1/leases", {"ttl_s": 0}, 400),
        ("PUT", "/v1/keys", None, 405),
        ("GET", "/v1/nothing", None, 404),
    ],
)
def test_bad_call_is_refused(method, target, value, status):
    """If a misspelt switch were ignored, a test would pass without its fault."""

    async def test(address):
        assert (await call(address, method, target, value))[0] == status

    run_with_server(ConfigStore(), test)


def test_binary_prints_its_address_when_ready():
    command = [sys.executable, "-m", "standins.config_store", "--port", "0"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        word, address_text = process.stdout.readline().split()
        assert word == "listening"
        store = Store(address=parse_address(address_text))
        assert trio.run(store.get, "k").unwrap() is None
    finally:
        process.terminate()
        process.wait()
        process.stdout.close()


def test_vm_list_shows_changes_after_the_lag():
    """Because of the lag, routers trust an agent's refusal more than the list."""
    vm_list = VmList(lag_s=5.0)

    class Writer:
        async def send(self, response):
            self.response = response

    async def call_vm_list(method, value=None):
        body = b"" if value is None else msgspec.json.encode(value)
        request = HttpRequest(method=method, target="/v1/vms", body=body)
        writer = Writer()
        await vm_list.handle(request, writer)
        return msgspec.json.decode(writer.response.body)

    async def main():
        live = {"name": "vm-1", "state": "live"}
        leaving = {"name": "vm-1", "state": "leaving"}
        await call_vm_list("POST", {"vms": [live]})
        await trio.sleep(3)
        await call_vm_list("POST", {"vms": [leaving]})
        assert await call_vm_list("GET") == {"vms": []}
        await trio.sleep(2)
        assert await call_vm_list("GET") == {"vms": [live]}
        await trio.sleep(3)
        assert await call_vm_list("GET") == {"vms": [leaving]}

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_readers_share_the_rate():
    """If each load got the full rate, changes of placement would seem too cheap."""
    rate = SharedRate()
    times = [rate.reserve(100, rate=50.0, now=now) for now in (0.0, 0.0, 1.0, 10.0)]
    assert times == [2.0, 4.0, 6.0, 12.0]


def test_weights_arrive_whole_or_the_cut_is_detected():
    async def test(address):
        path = "/v1/weights/m"
        status, body = await call(address, "GET", path)
        assert (status, len(body)) == (200, 50_000)
        assert body == (weight_block("m") * 4)[:50_000]
        await call(address, "POST", "/faults", {"cut_after_bytes": 20_000})
        with pytest.raises(ResponseLostError):
            await call(address, "GET", path)
        await call(address, "POST", "/faults", {"down": True})
        assert (await call(address, "GET", path))[0] == 503

    run_with_server(WeightStore(rate_bytes_per_s=1e9, weight_bytes=50_000), test)
