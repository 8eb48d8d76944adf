"""Entries of another writer among those of the targets.

A router that ended at such an entry, or stopped reading, would do so again at each
start. It must skip the entry and go on with the others.
"""

import base64
import logging
import os
from functools import partial

import msgspec
import pytest
import trio
from lavenderfold_platform.records import RECORD_READER, read_config, read_target
from lavenderfold_platform.store import PlatformStore

from lavenderfold.decoding import decode_json
from lavenderfold.direct import UnreadableItemError
from lavenderfold.direct._sinks import TargetSink
from lavenderfold.fleet import PrefixFollower, Service
from lavenderfold.http import json_response, serve
from lavenderfold.logs import BoundedLogHandler
from lavenderfold.settings import Address
from lavenderfold.shared import Item
from lavenderfold.timers import TimerService

ENTRY = {
    "backend": "service",
    "address": "10.0.0.1:80",
    "zone": "domain",
    "state": "ready",
    "capacity": 4,
    "born": 7,
}
DEPTH = 100_000


def entry(**changes) -> bytes:
    return msgspec.json.encode(ENTRY | changes)


def entry_with(field: str, text: str) -> bytes:
    """Return an entry whose field has this JSON text."""
    others = msgspec.json.encode(
        {name: value for name, value in ENTRY.items() if name != field}
    )
    return others[:-1] + f',"{field}":{text}}}'.encode()


def read_service(fields: str) -> Service:
    """Return the service of a configuration with these fields in JSON."""
    text = (
        '{"version":1,"routes":[],"backends":[{"name":"b","max_connections":1,'
        f'{fields}}}],"limits":{{"max_header_bytes":1,"max_body_bytes":1,'
        '"header_timeout_ms":1,"idle_timeout_ms":1}}'
    )
    return read_config(Item("op/config", text.encode(), 1)).services[0]


ODD_VALUES = {
    "nested": b"[" * DEPTH + b"]" * DEPTH,
    "nested in an unknown field": entry_with("note", "[" * DEPTH + "]" * DEPTH),
    "nested objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "not UTF-8": entry().replace(b"service", b"\xff\xfe"),
    "half of a surrogate pair": entry_with("backend", '"\\ud800"'),
    "huge capacity": entry_with("capacity", "9" * 400),
    "capacity of too many digits": entry_with("capacity", "9" * 5000),
    "no capacity": entry(capacity=0),
    "negative capacity": entry(capacity=-1),
    "infinite capacity": entry_with("capacity", "1e400"),
    "born beyond 64 bits": entry_with("born", str(2**70)),
    "born before 1970": entry(born=-5),
    "port above 65535": entry(address="10.0.0.1:70000"),
    "port of too many digits": entry(address="10.0.0.1:" + "9" * 5000),
    "port 0": entry(address="10.0.0.1:0"),
    "negative port": entry(address="10.0.0.1:-1"),
    "port in other digits": entry(address="10.0.0.1:\u0661\u0662"),
    "port as superscript": entry(address="10.0.0.1:\u00b2"),
    "unspecified address": entry(address="0.0.0.0:80"),
    "address with a scope": entry(address="[fe80::1%a\x00b]:80"),
    "multicast address": entry(address="224.0.0.1:80"),
    "empty": b"",
}
ODD_FIGURES = [
    "1e400",
    "-1e300",
    "-0.5",
    "600001",
    "1e99",
    "NaN",
    "-Infinity",
    "Infinity",
    "null",
    "true",
    '"8000"',
    "[8]",
    "{}",
    "9" * 5000,
]
ODD_IDS = ["", " a", "a\r\nb", "a\x00", "a/b", "\ud800"]


@pytest.mark.parametrize("name", ODD_VALUES)
def test_odd_value_is_an_unreadable_entry(name):
    """Another error would end the router that reads the entry."""
    with pytest.raises(UnreadableItemError):
        read_target(Item("servers/t1", ODD_VALUES[name], 1))


@pytest.mark.parametrize("figure", ODD_FIGURES)
def test_odd_warm_up_leaves_the_entry_readable(figure):
    """A mistake in one figure would take a sound target out of use."""
    value = entry_with("warmup_remaining_ms", figure)
    target = read_target(Item("servers/t1", value, 1))
    assert target.warm_up_s is None
    assert target.id == "t1"


@pytest.mark.parametrize("figure", [*ODD_FIGURES, "1000001"])
@pytest.mark.parametrize("field", ["warmup_s", "warmup_per_s"])
def test_odd_warm_up_leaves_the_configuration_readable(field, figure):
    """The configuration before it would stay in force for the whole fleet."""
    if (field, figure) == ("warmup_per_s", "600001"):
        # A rate that no target reaches is harmless.
        return
    service = read_service(f'"{field}":{figure}')
    assert (service.warm_up_s, service.warm_up_rate) == (0.0, 0.0)


@pytest.mark.parametrize(
    ("fields", "warm_up_s"),
    [
        ('"warmup_s":8', 0.0),
        ('"warmup_s":8,"warmup_per_s":-1', 0.0),
        ('"warmup_s":8,"warmup_per_s":0', 8.0),
    ],
)
def test_warm_up_rate_of_zero_is_a_limit(fields, warm_up_s):
    """It was read like a rate that is missing, so cold targets had no limit."""
    service = read_service(fields)
    assert (service.warm_up_s, service.warm_up_rate) == (warm_up_s, 0.0)


def test_missing_regions_may_be_null():
    """The configuration before it would stay in force for the whole fleet."""
    text = (
        '{"version":1,"routes":[{"name":"r","hostname":"h","path_prefix":"/",'
        '"route_type":"idempotent","timeout_ms":1,"allowed_regions":null}],'
        '"backends":[],"limits":{"max_header_bytes":1,"max_body_bytes":1,'
        '"header_timeout_ms":1,"idle_timeout_ms":1},'
        '"tenants":[{"name":"t","allowed_regions":null}]}'
    )
    config = read_config(Item("op/config", text.encode(), 1))
    assert config.routes[0].allowed_regions == frozenset()
    assert config.organisations[0].allowed_regions == frozenset()


def test_warm_up_is_read():
    """An entry that says 0 is warm; one that says nothing may be cold."""
    for milliseconds, seconds in ((0, 0.0), (8000, 8.0), (1.5, 0.0015)):
        value = entry(warmup_remaining_ms=milliseconds)
        assert read_target(Item("servers/t1", value, 1)).warm_up_s == seconds
    assert read_target(Item("servers/t1", entry(), 1)).warm_up_s is None


@pytest.mark.parametrize("target_id", ODD_IDS)
def test_id_that_no_header_can_hold_is_an_unreadable_entry(target_id):
    """Each request to that target would fail while its head is written."""
    with pytest.raises(UnreadableItemError):
        read_target(Item(f"servers/{target_id}", entry(), 1))


def test_router_keeps_following_beside_odd_entries():
    """Guards against a router that stops reading, or lists without end."""
    odd_rows = [
        {"key": f"servers/odd{number}", "payload": base64.b64encode(value).decode()}
        for number, value in enumerate(ODD_VALUES.values())
    ]
    odd_rows += [
        {"key": "servers/no-base64", "payload": "%"},
        {"key": "servers/not-ascii", "payload": "\u00e9"},
    ]
    sound_payload = base64.b64encode(entry()).decode()
    answered = []

    async def answer(request, writer):
        answered.append(request.path)
        if request.path == "/kv-range":
            rows = [*odd_rows, {"key": "servers/t1", "payload": sound_payload}]
            rows = [{"revision": 2, **each} for each in rows]
            await writer.send(json_response(200, {"entries": rows, "at": 2}))
            return
        if len(answered) > 2:
            await trio.sleep_forever()
        rows = [*odd_rows, {"key": "servers/t2", "payload": sound_payload}]
        rows = [{"revision": 3, **each} for each in rows]
        await writer.send(json_response(200, {"events": rows, "at": 3}))

    async def main():
        timers = TimerService()
        sink = TargetSink(reader=RECORD_READER, timers=timers)
        async with trio.open_nursery() as nursery:
            listen = Address(host="127.0.0.1", port=0)
            address = await nursery.start(partial(serve, answer, address=listen))
            follower = PrefixFollower(
                store=PlatformStore(address=address),
                timers=timers,
                prefix="servers/",
                sink=sink,
            )
            nursery.start_soon(follower.run)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        targets = sink.directory.usable("service")
        assert [each.id for each in targets] == ["t1", "t2"]
        assert answered == ["/kv-range", "/kv-watch", "/kv-watch"]

    trio.run(main)


def test_deeply_nested_json_is_a_decode_error():
    """The callers of all decoders expect no other error."""
    for data in (ODD_VALUES["nested in an unknown field"], b"\xff"):
        with pytest.raises(msgspec.DecodeError):
            decode_json(data, dict)


def test_field_that_cannot_be_written_loses_only_its_line(monkeypatch):
    """A number of more than 64 bits in a log line ended the request that logged it."""
    monkeypatch.setattr(logging, "raiseExceptions", False)
    reading, writing = os.pipe()
    handler = BoundedLogHandler(fd=writing)

    def format_badly(record):
        raise OverflowError("integer out of range")

    monkeypatch.setattr(handler, "format", format_badly)
    handler.handle(logging.LogRecord("l", logging.INFO, "", 0, "event", (), None))
    handler.flush_pending()
    for fd in (reading, writing):
        os.close(fd)
