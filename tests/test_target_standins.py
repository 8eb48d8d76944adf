"""Tests of the fake targets, on which tests of the rest of the system rely."""

import hashlib
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from lavenderfold.http import HttpClient, HttpRequest, ResponseLostError
from lavenderfold.settings import Address
from standins.engine_core import Engine, EngineOptions, Stream
from standins.model_engine import ModelEngine
from standins.plain_service import PlainService
from standins.target_common import serve_target
from standins.texts import answer_text

ANY_PORT = Address(host="127.0.0.1", port=0)
FAST_OPTIONS = EngineOptions(step_s=0.0, report_lag_s=0.0, event_lag_s=0.0, event_gap=0)
LONG_PROMPT = "length:40 " + " ".join(f"word{number}" for number in range(63))


@asynccontextmanager
async def running_target(target):
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_target, target, ANY_PORT)
        client = HttpClient(address=address)
        with trio.fail_after(10):
            yield client
        await client.close()
        nursery.cancel_scope.cancel()


async def call(client, method, target, value=None, headers=()):
    body = b"" if value is None else msgspec.json.encode(value)
    request = HttpRequest(
        method=method, target=target, headers=list(headers), body=body
    )
    response = await client.request(request)
    return response.status, response.body


def completion(request_id, offset=0, prompt=LONG_PROMPT):
    return {
        "request_id": request_id,
        "model": "quick",
        "prompt": prompt,
        "max_tokens": 30,
        "offset": offset,
    }


async def read_stream(client, value):
    """Return the text received and the total tokens, None if the stream was cut."""
    body = msgspec.json.encode(value)
    request = HttpRequest(method="POST", target="/v1/completions", body=body)
    data = b""
    try:
        async with client.stream(request) as response:
            async for chunk in response.chunks():
                data += chunk
    except ResponseLostError:
        pass
    events = [
        msgspec.json.decode(line.removeprefix(b"data: "))
        for line in data.split(b"\n\n")
        if line
    ]
    total = events.pop()["tokens"] if events and "done" in events[-1] else None
    return "".join(event["text"] for event in events), total


def test_cut_answer_is_resumed_by_offset_and_runs_once():
    """If a resume ran the request again, tests that count runs couldn't detect a
    request that a router ran twice.
    """

    async def check():
        async with running_target(ModelEngine(options=FAST_OPTIONS)) as client:
            await call(client, "POST", "/faults", {"cut_after_tokens": 13})
            text, total, cut_count = "", None, 0
            while total is None:
                part, total = await read_stream(client, completion("a", len(text)))
                text += part
                cut_count += total is None
            assert cut_count >= 2
            expected_text = answer_text(LONG_PROMPT, 30)
            assert hashlib.sha256(text.encode()).digest() == (
                hashlib.sha256(expected_text.encode()).digest()
            )
            assert total == 30
            stats = msgspec.json.decode((await call(client, "GET", "/stats"))[1])
            assert stats["runs_by_request_id"] == {"a": 1}
            status, _ = await call(
                client, "POST", "/v1/completions", completion("b", 5)
            )
            assert status == 404

    trio.run(check)


def test_engine_serves_urgent_streams_first_and_caches_prefixes():
    engine = Engine(options=EngineOptions(slots=1, event_gap=3), now=0.0)
    priority_by_request_id = {"late": 5, "urgent": 0, "early": 5}
    for request_id in ("early", "late", "urgent"):
        stream = Stream(
            request_id=request_id,
            prompt=LONG_PROMPT,
            max_tokens=2,
            priority=priority_by_request_id[request_id],
        )
        engine.submit(stream, now=0.0)
    ended = {}
    for step in range(1, 20):
        engine.step(now=float(step))
        for request_id, stream in engine.stream_by_id.items():
            if stream.ended_at is not None:
                ended.setdefault(request_id, step)
    assert sorted(ended, key=ended.get) == ["urgent", "early", "late"]
    # The first stream stores the 4 blocks of the prompt; the other two streams
    # find all of them in the cache.
    assert engine.cache.hit_blocks == 8
    sequences = [event.sequence for event in engine.cache.events(after=0, until=99)]
    assert sequences == [1, 2, 4]
    assert engine.cache.events(after=0, until=0.5) == []


def test_prefix_cache_is_limited():
    engine = Engine(options=EngineOptions(cache_blocks=2, event_gap=0), now=0.0)
    hits = [engine.cache.use(hashes, now=0.0) for hashes in ([1, 2], [3], [1, 2])]
    assert hits == [0, 0, 0]
    actions = [event.action for event in engine.cache.events(after=0, until=1)]
    assert actions.count("evicted") == 2


def test_load_report_lags():
    engine = Engine(options=FAST_OPTIONS, now=0.0)
    stream = Stream(request_id="a", prompt="p", max_tokens=2, priority=0)
    engine.submit(stream, now=1.0)
    assert engine.load(now=1.2, lag_s=0.5).queued == 0
    assert engine.load(now=1.6, lag_s=0.5).queued == 1


@pytest.mark.parametrize(("checked", "status"), [(True, 409), (False, 200)])
def test_stale_order_is_refused_only_by_engines_that_check(checked, status):
    options = msgspec.structs.replace(FAST_OPTIONS, check_fencing=checked)

    async def check():
        async with running_target(ModelEngine(options=options)) as client:
            order = {"fencing_token": 5, "action": "load", "model": "new"}
            assert (await call(client, "POST", "/v1/orders", order))[0] == 200
            stale_order = {**order, "fencing_token": 4}
            assert (await call(client, "POST", "/v1/orders", stale_order))[0] == status

    trio.run(check)


def test_cancelled_stream_is_cut_off():
    """A reader must not take a cancelled answer for a complete one."""
    body = msgspec.json.encode({**completion("org/a"), "max_tokens": 10_000})
    body = body.replace(b"length:40", b"length:10000")
    request = HttpRequest(method="POST", target="/v1/completions", body=body)

    async def check():
        engine = ModelEngine(options=FAST_OPTIONS)
        async with running_target(engine) as client, client.stream(request) as response:
            chunks = response.chunks()
            await anext(chunks)
            status, _ = await call(client, "DELETE", "/v1/completions/org%2Fa")
            assert status == 200
            with pytest.raises(ResponseLostError):
                async for _ in chunks:
                    pass
            assert engine.stats()["cancelled"] == ["org/a"]

    trio.run(check)


def test_sign_off_with_lost_answer_has_run_and_failed_one_has_not():
    headers = [("x-request-id", "s")]

    async def check():
        async with running_target(PlainService()) as client:
            await call(client, "POST", "/faults", {"lose_answers": 1})
            with pytest.raises(ResponseLostError):
                await call(client, "POST", "/sign", {"n": 1}, headers)
            await call(client, "POST", "/faults", {"fail_next": 1})
            failed_headers = [("x-request-id", "f")]
            assert (await call(client, "POST", "/sign", {}, failed_headers))[0] == 500
            status, body = await call(client, "POST", "/sign", {"n": 2}, headers)
            assert status == 200
            assert msgspec.json.decode(body)["counter"] == 2
            stats = msgspec.json.decode((await call(client, "GET", "/stats"))[1])
            assert stats["runs_by_request_id"] == {"s": 2}

    trio.run(check)


def test_unknown_fault_switch_is_refused():
    """If a misspelt switch were ignored, a test would pass without its fault."""

    async def check():
        async with running_target(PlainService()) as client:
            status, _ = await call(client, "POST", "/faults", {"dwon": True})
            assert status == 400

    trio.run(check)
