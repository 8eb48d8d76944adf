"""Tests of the platform adapter: decoding of headers, entries and settings, and
the store's client.
"""

import math
from functools import partial

import msgspec
import pytest
import trio
from lavenderfold_platform.headers import read_answer, read_request, write_call
from lavenderfold_platform.process import SettingsFile
from lavenderfold_platform.records import read_config, read_target
from lavenderfold_platform.settings import (
    OPERATOR_PREFIX,
    read_settings,
    router_options,
)
from lavenderfold_platform.store import PlatformStore

from lavenderfold.direct import TargetCall, UnreadableItemError
from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import (
    HttpRequest,
    HttpResponse,
    MalformedRequestError,
    json_response,
    serve,
)
from lavenderfold.settings import Address, SettingsError
from lavenderfold.shared import (
    ConditionalWrite,
    HistoryLostError,
    Item,
    ListingWait,
    SharedStoreError,
    WriteConflictError,
    WriteRefusedError,
    WriteUncertainError,
)

HEADERS = [
    ("host", "Site.Example:80"),
    ("attempt-id", "a1"),
    ("deadline-ms", "2500"),
    ("key", "secret"),
    ("token-usage", "100, 20"),
    ("prompt-prefix", "aa:60,bb:40"),
    ("tenant", "forged"),
    ("cache-retain", "forged"),
    ("target-replica", "forged"),
    ("kv-from", "forged"),
    ("request-priority", "0"),
    ("connection", "close, x-hop, attempt-id"),
    ("x-hop", "1"),
    ("x-own", "2"),
]


def make_request(headers=HEADERS, target="/a/b?c=1") -> HttpRequest:
    return HttpRequest(method="POST", target=target, headers=headers, body=b"x")


def make_call(**changes) -> TargetCall:
    raw = {
        "version": 1,
        "routes": [ROUTE],
        "backends": [],
        "limits": LIMITS,
    }
    config = read_config(Item("op/config", msgspec.json.encode(raw), 1))
    values = {
        "request": read_request(make_request()),
        "route": config.routes[0],
        "target": read_target(Item("servers/t1", msgspec.json.encode(ENTRY), 1)),
        "organisation": "org",
        "remaining_s": 1.5,
        "last_event_id": None,
    }
    return TargetCall(**{**values, **changes})


ROUTE = {
    "name": "r",
    "hostname": "Site.Example",
    "path_prefix": "/a/",
    "route_type": "streaming",
    "timeout_ms": 4000,
    "target_latency_ms": 500,
    "backend": "s",
    "stream_resumption": True,
    "new field": 1,
}
LIMITS = {
    "max_header_bytes": 1000,
    "max_body_bytes": 2000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ENTRY = {
    "backend": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": 4,
    "born": 7,
}


def test_request_is_decoded():
    caller = read_request(make_request())
    assert (caller.host, caller.path, caller.target) == (
        "site.example",
        "/a/b",
        "/a/b?c=1",
    )
    assert caller.caller_timeout_s == 2.5
    assert caller.tokens.worst_case == 120
    assert [part.id for part in caller.prompt_parts] == ["aa", "bb"]


def test_untrusted_headers_are_not_forwarded():
    """A caller's key or forged tenant header must not reach a target."""
    sent = dict(write_call(make_call()).headers)
    assert sent["tenant"] == "org"
    assert sent["target-replica"] == "t1"
    assert sent["deadline-ms"] == "1500"
    assert sent["attempt-id"] == "a1"
    assert sent["x-own"] == "2"
    withheld = {"key", "cache-retain", "kv-from", "x-hop", "connection"}
    withheld.add("request-priority")
    assert not withheld & sent.keys()


def test_priority_of_the_call_is_sent():
    """Load: urgent and other requests share the engines of one service.

    Guards against a caller's value beside the router's.
    """
    sent = write_call(make_call(priority=3)).headers
    values = [value for name, value in sent if name == "request-priority"]
    assert values == ["3"]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("deadline-ms", "soon"),
        ("deadline-ms", "-1"),
        ("token-usage", "many"),
        ("token-usage", "1,-2"),
        ("token-usage", "1," + "9" * 5000),
        ("prompt-prefix", "ab:" + "9" * 5000),
        ("prompt-prefix", "aa"),
        ("attempt-id", ""),
        ("host", ""),
    ],
)
def test_invalid_headers_are_rejected(name, value):
    headers = [item for item in HEADERS if item[0] != name] + [(name, value)]
    with pytest.raises(MalformedRequestError):
        read_request(make_request(headers))


def test_repeated_header_is_rejected():
    """The router and the target could otherwise each use a different value."""
    with pytest.raises(MalformedRequestError):
        read_request(make_request([*HEADERS, ("token-usage", "1,1")]))


def test_misdirected_answer_is_not_run():
    answer = read_answer(421, [("attempt-id", "a1")])
    assert answer.is_not_run and answer.is_misdirected
    assert not read_answer(503, [("attempt-id", "a1")]).is_not_run
    assert read_answer(503, [("not-executed", "1")]).is_not_run


@pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
def test_leaving_is_read_from_any_answer(status):
    """Guards against a leaving that only successes or refusals can tell."""
    headers = [("attempt-id", "a1"), ("server-leaving", "1")]
    assert read_answer(status, headers).is_leaving
    assert not read_answer(status, [("server-leaving", "0")]).is_leaving
    assert not read_answer(status, [("attempt-id", "a1")]).is_leaving


@pytest.mark.parametrize(("text", "pause_s"), [("2", 2.0), ("0.25", 0.25), ("0", 0.0)])
def test_pause_is_read_from_an_answer_with_status_503(text, pause_s):
    """Guards against pauses read from answers that turn nothing away."""
    answer = read_answer(503, [("retry-after", text)])
    assert answer.pause_s == pause_s
    assert answer.asks_pause == (pause_s > 0)
    assert read_answer(200, [("retry-after", text)]).pause_s is None
    assert read_answer(503, [("attempt-id", "a1")]).pause_s is None


@pytest.mark.parametrize(
    "text",
    ["", "soon", "-1", "inf", "nan", "1_0", "1,5", "Fri, 04 Dec 2026 10:00:00 GMT"],
)
def test_invalid_pause_is_no_pause(text):
    """Guards against an error, or a pause without end, from an invalid value."""
    answer = read_answer(503, [("retry-after", text), ("not-executed", "1")])
    assert math.isnan(answer.pause_s)
    assert not answer.asks_pause
    assert answer.is_not_run


def test_pause_of_too_many_digits_is_read():
    """Guards against an error from a number that a float can't hold."""
    assert read_answer(503, [("retry-after", "9" * 5000)]).asks_pause


def test_config_is_decoded_and_unknown_fields_are_ignored():
    route = make_call().route
    assert route.repeat_policy is RepeatPolicy.STREAM
    assert (route.host, route.timeout_s, route.is_resumable) == (
        "site.example",
        4.0,
        True,
    )


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b'{"backend":1}',
        msgspec.json.encode({**ENTRY, "state": "resting"}),
        msgspec.json.encode({**ENTRY, "address": "nowhere"}),
        msgspec.json.encode({**ENTRY, "capacity": "4"}),
    ],
)
def test_invalid_target_entry_raises_unreadable_item_error(value):
    """Other programs may write below the same prefix.

    The router ignores an entry that raises this error, so that a bad entry can't hide
    the valid ones.
    """
    with pytest.raises(UnreadableItemError):
        read_target(Item("servers/t1", value, 1))


SETTINGS = """
node_name = "edge-1"
zone = "z"
region = "r"
ip = "10.0.0.1"
internal_ports = [7200, 7215]
unknown = 1
[listen_addrs]
public_addr = "10.0.0.1:80"
ready = "10.0.0.1:81"
[bounds]
grace_period_s = 8
retry_budget_ratio = 0.2
budget_slack = 64
connectivity_ms = 4000
[platform]
address = "10.0.0.2:90"
writes_per_s = 400
"""


def test_settings_are_decoded(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    options = router_options(read_settings(path))
    assert options.listen == Address(host="10.0.0.1", port=80)
    assert (options.retry_share, options.fleet_retry_reserve) == (0.1, 64)
    assert options.watch_wait_s == 2.0


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("", False),
        ('guarantees = ["other", "pool"]\n', False),
        ("balances_by_cost = false\n", False),
        ("balances_by_cost = true\n", True),
    ],
)
def test_targets_are_chosen_by_cost_where_the_settings_say_so(tmp_path, line, expected):
    """Deployments without the setting must be served as before."""
    path = tmp_path / "node.toml"
    path.write_text(line + SETTINGS)
    assert router_options(read_settings(path)).balances_by_cost is expected


def test_evacuations_are_followed_only_where_the_settings_bound_them(tmp_path):
    """Where nobody evacuates, a router must read no more than the configuration."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    options = router_options(read_settings(path))
    assert (options.evacuations_prefix, options.operator_prefix) == (None, "op/config")
    changed = SETTINGS.replace("[bounds]", "[bounds]\nevacuation_ms = 5000")
    path.write_text(changed + '[zones]\nz = "r"\n')
    options = router_options(read_settings(path))
    assert options.evacuations_prefix == "op/evacuate/"
    assert options.operator_prefix == OPERATOR_PREFIX
    assert options.region_by_domain == {"z": "r"}


@pytest.mark.parametrize("fault", ["zone = 1", "not toml"])
def test_error_in_invalid_settings_names_the_file(tmp_path, fault):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace('zone = "z"', fault))
    with pytest.raises(SettingsError, match="node.toml"):
        read_settings(path)


def test_changed_settings_are_reported_and_invalid_ones_ignored(tmp_path):
    """Reading a partly written file must not stop a router or change its settings."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    changes = []
    settings_file = SettingsFile(path=path, on_changed=changes.append)
    settings_file.check()
    assert not changes
    path.write_text("not toml")
    settings_file.check()
    assert not changes
    path.write_text(SETTINGS.replace("grace_period_s = 8", "grace_period_s = 5"))
    settings_file.check()
    assert [router_options(each).grace_period_s for each in changes] == [5.0]


def test_large_response_over_slow_link_is_read_completely():
    """A large response must not time out while parts of it keep arriving.

    Requests that timed out were repeated, and the repeated responses kept a
    congested link saturated.
    """
    page = {"entries": [row("a", "eHh4" * 3000)], "truncated": False, "at": 5}
    body = msgspec.json.encode(page)

    async def main():
        async def handle(request, writer):
            await writer.start(200, [])
            for start in range(0, len(body), 3000):
                await writer.write(body[start : start + 3000])
                await trio.sleep(0.3)
            await writer.finish()

        async with trio.open_nursery() as nursery:
            listen = Address(host="127.0.0.1", port=0)
            address = await nursery.start(partial(serve, handle, address=listen))
            listing = await PlatformStore(address=address).list_items("")
            assert len(listing.items) == 1
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_listing_waits_for_data_as_long_as_its_caller_allows():
    """Listings that were given up while the link was full were asked again."""
    body = msgspec.json.encode({"entries": [row("a")], "at": 5})

    async def main():
        async def handle(request, writer):
            await trio.sleep(0.9)
            await writer.start(200, [])
            await writer.write(body[:9])
            await trio.sleep(0.9)
            await writer.write(body[9:])
            await writer.finish()

        async with trio.open_nursery() as nursery:
            listen = Address(host="127.0.0.1", port=0)
            address = await nursery.start(partial(serve, handle, address=listen))
            store = PlatformStore(address=address)
            wait = ListingWait(timeout_s=2.0)
            assert len((await store.list_items("", wait=wait)).items) == 1
            assert trio.current_time() - wait.data_at < 0.5
            started_at = trio.current_time()
            with pytest.raises(SharedStoreError):
                await store.list_items("", wait=ListingWait(timeout_s=0.2))
            assert trio.current_time() - started_at < 0.8
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_listing_without_a_wait_of_its_own_times_out():
    """In steady state a silent path must be replaced by a relay quickly."""

    async def scenario(store, requests):
        started_at = trio.current_time()
        with pytest.raises(SharedStoreError):
            await store.list_items("")
        assert trio.current_time() - started_at < 1.2

    run_store([None], scenario)


def test_watch_without_response_times_out():
    """A watch on a silently lost connection must end before the drain time limit."""

    async def scenario(store, requests):
        started_at = trio.current_time()
        with pytest.raises(SharedStoreError):
            await store.wait_changes("", after=1, wait_s=0.2)
        assert trio.current_time() - started_at < 1.5

    run_store([None], scenario)


def run_store(responses, scenario) -> None:
    """Run a scenario with the store's client against a server with these responses.

    A response of None stands for a server that never responds.
    """

    async def main():
        requests = []

        async def handle(request, writer):
            requests.append(request)
            response = responses.pop(0)
            if response is None:
                await trio.sleep_forever()
            await writer.send(response)

        async with trio.open_nursery() as nursery:
            listen = Address(host="127.0.0.1", port=0)
            address = await nursery.start(partial(serve, handle, address=listen))
            await scenario(PlatformStore(address=address), requests)
            nursery.cancel_scope.cancel()

    trio.run(main)


def row(key: str, value: str = "eA==", revision: int = 3) -> dict:
    return {"key": key, "payload": value, "revision": revision, "created": 1}


def test_listing_reads_all_pages():
    pages = [
        json_response(200, {"entries": [row("a")], "truncated": True, "at": 5}),
        json_response(200, {"entries": [row("b")], "truncated": False, "at": 9}),
    ]

    async def scenario(store, requests):
        listing = await store.list_items("x/")
        assert [item.key for item in listing.items] == ["a", "b"]
        # A watch from the first page's revision finds changes made between the pages.
        assert listing.revision == 5
        assert "after=a" in requests[1].target

    run_store(pages, scenario)


def test_watch_distinguishes_writes_and_deletions():
    events = [row("a"), {"key": "b", "revision": 4, "deleted": True}]
    response = json_response(200, {"events": events, "at": 4})

    async def scenario(store, requests):
        changes = await store.wait_changes("", after=1, wait_s=1)
        assert [change.item is None for change in changes.changes] == [False, True]

    run_store([response], scenario)


@pytest.mark.parametrize(
    ("response", "error"),
    [
        (HttpResponse(status=503), WriteRefusedError),
        (HttpResponse(status=429), WriteRefusedError),
        (HttpResponse(status=500), WriteUncertainError),
        (None, WriteUncertainError),
        (json_response(412, {"entries": [row("a")]}), WriteConflictError),
    ],
)
def test_write_error_tells_whether_write_may_have_taken_effect(response, error):
    """A write that may have taken effect must not be reported as refused."""

    async def scenario(store, requests):
        with pytest.raises(error):
            await store.write([ConditionalWrite("a", b"x", 1)])

    run_store([response], scenario)


def test_lost_history_and_invalid_response_raise_different_errors():
    responses = [HttpResponse(status=410), HttpResponse(status=200, body=b"{")]

    async def scenario(store, requests):
        with pytest.raises(HistoryLostError):
            await store.wait_changes("", after=1, wait_s=1)
        with pytest.raises(SharedStoreError):
            await store.wait_changes("", after=1, wait_s=1)

    run_store(responses, scenario)
