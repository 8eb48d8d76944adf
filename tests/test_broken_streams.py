"""Streams that break off, and what the next target answers instead of their rest."""

import msgspec
import pytest
import trio

from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import HttpClient, HttpRequest, HttpResponse, ResponseLostError
from tests.direct_support import (
    answer_successfully,
    count_target_requests,
    event,
    fail,
    make_config,
    make_route,
    reject,
    run_scenario,
    stream,
    valid_headers,
)
from tests.raw_answers import EVENT_STREAM, encode_head, encode_success, send_and_close

WHOLE_STREAM = b"".join(event(number) for number in range(1, 5))
FIRST_EVENTS = event(1) + event(2)
# Carries nothing of the answer, so it may reach the caller.
COMMENT = b": ready\n\n"


async def answer_503_signed(request, writer):
    headers = valid_headers(request)
    await writer.send(HttpResponse(status=503, headers=headers, body=b"failed"))


async def answer_without_content(request, writer):
    head = encode_head("204 No Content", [*valid_headers(request), EVENT_STREAM])
    await send_and_close(writer, head)


async def answer_unsigned(request, writer):
    headers = [("x-attempt", request.header("x-attempt")), EVENT_STREAM]
    await writer.send(HttpResponse(status=200, headers=headers, body=event(3)))


async def answer_for_another(request, writer):
    headers = [("x-attempt", "another"), ("x-signature", "yes"), EVENT_STREAM]
    await writer.send(HttpResponse(status=200, headers=headers, body=event(3)))


async def stream_from_the_beginning(request, writer):
    """Ignore the last event id, as a target that can't resume a stream."""
    headers = [*valid_headers(request), EVENT_STREAM]
    await writer.start(200, headers)
    for number in range(1, 5):
        await writer.write(event(number))
    await writer.finish()


async def stream_from_the_beginning_after_a_comment(request, writer):
    """Begin again after a comment, which has no event id."""
    await writer.start(200, [*valid_headers(request), EVENT_STREAM])
    await writer.write(COMMENT)
    await trio.sleep(0.05)
    await writer.write(event(1) + event(2) + event(3))
    await writer.finish()


async def stream_from_the_last_event(request, writer):
    """Send the event once more after which the stream should go on."""
    headers = [*valid_headers(request), EVENT_STREAM]
    await writer.start(200, headers)
    await writer.write(event(2) + event(3) + event(4))
    await writer.finish()


async def stream_nothing(request, writer):
    await writer.start(200, [*valid_headers(request), EVENT_STREAM])
    await writer.finish()


async def stream_a_comment(request, writer):
    await writer.start(200, [*valid_headers(request), EVENT_STREAM])
    await writer.write(COMMENT)
    await writer.finish()


async def stream_nothing_unframed(request, writer):
    await send_and_close(writer, encode_success(request, EVENT_STREAM))


async def stream_nothing_with_length(request, writer):
    headers = [*valid_headers(request), EVENT_STREAM]
    await writer.send(HttpResponse(status=200, headers=headers))


async def write_error_in_stream(request, writer):
    await writer.start(200, [*valid_headers(request), EVENT_STREAM])
    await writer.write(b"HTTP/1.1 500 Internal Server Error\n\n")
    await writer.finish()


NO_CONTINUATIONS = {
    "error": fail,
    "signed 503": answer_503_signed,
    "refusal": reject,
    "whole success": answer_successfully,
    "no content": answer_without_content,
    "unsigned": answer_unsigned,
    "another attempt": answer_for_another,
    "from the beginning": stream_from_the_beginning,
    "from the beginning after a comment": stream_from_the_beginning_after_a_comment,
    "from the last event": stream_from_the_last_event,
    "no events": stream_nothing,
    "no events, but a comment": stream_a_comment,
    "no events, unframed": stream_nothing_unframed,
    "no events, length": stream_nothing_with_length,
    "error in the stream": write_error_in_stream,
}


def then(*scripts):
    """Return a script that runs one of the scripts for each request, in order."""
    remaining = list(scripts)

    async def script(request, writer):
        await remaining.pop(0)(request, writer)

    return script


async def read_until_broken(fleet, path: str) -> bytes:
    """Return what a caller receives of a stream that has to break off."""
    received = b""
    request = HttpRequest(
        method="POST",
        target=path,
        headers=[("x-attempt", "a"), ("x-key", "secret"), ("x-tokens", "10,20")],
    )
    client = HttpClient(address=fleet.address)
    with pytest.raises(ResponseLostError):
        async with client.stream(request) as answer:
            assert answer.status == 200
            async for part in answer.chunks():
                received += part
    return received


@pytest.mark.parametrize("name", NO_CONTINUATIONS)
def test_answer_that_does_not_continue_a_stream_leaves_it_broken(name):
    """Guards against another answer inside a stream, and against a false end."""
    script = then(stream(end_at=2, cut=True), NO_CONTINUATIONS[name])

    async def scenario(fleet):
        received = await read_until_broken(fleet, "/draft/x")
        assert received.replace(COMMENT, b"") == FIRST_EVENTS
        assert count_target_requests(fleet) == 2

    run_scenario(scenario, script, script)


@pytest.mark.parametrize("name", NO_CONTINUATIONS)
def test_stream_goes_on_at_a_third_target_after_a_wrong_continuation(name):
    """A wrong answer must leave neither bytes nor a false event id behind."""
    script = then(stream(end_at=2, cut=True), NO_CONTINUATIONS[name], stream())
    route = make_route("draft", RepeatPolicy.STREAM, is_resumable=True, attempt_limit=3)

    async def scenario(fleet):
        answer = await fleet.send_request("/draft/x")
        assert answer.status == 200
        assert answer.body.replace(COMMENT, b"") == WHOLE_STREAM
        assert count_target_requests(fleet) == 3

    config = make_config(routes=(route,))
    run_scenario(scenario, script, script, script, config=config)


def test_stream_breaks_off_when_the_retry_budget_is_spent():
    """Guards against a refusal inside the stream, or an end that looks whole."""
    script = then(*[stream(end_at=2, cut=True), fail] * 2)

    async def scenario(fleet):
        spent = msgspec.structs.replace(
            fleet.router.options, retry_share=0.0, fleet_retry_reserve=0.0
        )
        fleet.router.reload(spent)
        # A router has a reserve of at least one retry, which the first stream takes.
        assert await read_until_broken(fleet, "/draft/x") == FIRST_EVENTS
        assert count_target_requests(fleet) == 2
        assert await read_until_broken(fleet, "/draft/x") == FIRST_EVENTS
        assert count_target_requests(fleet) == 3

    run_scenario(scenario, script, script)


def test_stream_without_event_ids_is_not_continued():
    """Another target would begin again, and the caller get the first events twice."""

    async def break_off(request, writer):
        await writer.start(200, [*valid_headers(request), EVENT_STREAM])
        await writer.write(b"data: piece 1\n\n")
        raise RuntimeError("the target closes the connection")

    async def scenario(fleet):
        assert await read_until_broken(fleet, "/draft/x") == b"data: piece 1\n\n"
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, break_off, break_off)


def test_event_stream_of_an_idempotent_route_is_not_continued():
    """Its targets don't know the last event id, so they would begin again."""
    script = stream(end_at=2, cut=True)

    async def scenario(fleet):
        assert await read_until_broken(fleet, "/read/x") == FIRST_EVENTS
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, script, script)


def test_stream_that_cannot_be_continued_is_not_cut_for_a_pause():
    """Giving up a silent target would only lose the rest of its stream."""

    async def pause(request, writer):
        await writer.start(200, [*valid_headers(request), EVENT_STREAM])
        await writer.write(event(1))
        # Longer than the router waits if another target can take over.
        await trio.sleep(1.0)
        await writer.write(event(2))
        await writer.finish()

    async def scenario(fleet):
        answer = await fleet.send_request("/read/x")
        assert answer.body == FIRST_EVENTS
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, pause, pause)


def test_stream_that_breaks_off_before_its_first_event_is_begun_again():
    """Nothing has reached the caller yet, so any whole answer may follow."""
    script = then(stream(end_at=0, cut=True), stream())

    async def scenario(fleet):
        answer = await fleet.send_request("/draft/x")
        assert (answer.status, answer.body) == (200, WHOLE_STREAM)

    run_scenario(scenario, script, script)


def test_refusal_after_a_stream_broke_off_before_its_first_event_promises_nothing():
    """The first target ran the request, so "not run" would be false."""
    script = then(stream(end_at=0, cut=True), reject)

    async def scenario(fleet):
        answer = await fleet.send_request("/draft/x")
        assert answer.status == 502

    run_scenario(scenario, script, script)


def test_stream_that_a_caller_resumes_itself_may_be_empty():
    """Its last event may have arrived before the connection broke."""

    async def scenario(fleet):
        answer = await fleet.send_request("/draft/x", last="4")
        assert (answer.status, answer.body) == (200, b"")

    run_scenario(scenario, stream())


def test_error_without_end_does_not_hold_a_broken_stream_open():
    """Guards against reading an error's body that no caller will get."""

    async def fail_endlessly(request, writer):
        head = encode_head("500 Internal Server Error", valid_headers(request))
        with pytest.raises(trio.BrokenResourceError):
            await writer._stream.send_all(head)
            while True:
                await writer._stream.send_all(b"x")
                await trio.sleep(0.05)

    script = then(stream(end_at=2, cut=True), fail_endlessly)
    route = make_route("draft", RepeatPolicy.STREAM, is_resumable=True, timeout_s=10.0)

    async def scenario(fleet):
        started_at = trio.current_time()
        assert await read_until_broken(fleet, "/draft/x") == FIRST_EVENTS
        assert trio.current_time() - started_at < 2.0

    config = make_config(routes=(route,))
    run_scenario(scenario, script, script, config=config)
