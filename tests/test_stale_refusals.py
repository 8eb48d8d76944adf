"""Targets that send an earlier answer once more, or a refusal inside an answer."""

import pytest
import trio

from lavenderfold.http import ResponseLostError
from tests.direct_support import (
    answer_successfully,
    count_target_requests,
    event,
    reject,
    run_scenario,
    stream,
)
from tests.raw_answers import (
    CHUNKED,
    EVENT_STREAM,
    encode_chunk,
    encode_head,
    encode_refusal,
    encode_success,
    send_and_close,
    wait_for_next_request,
)


def refuse_again(attempt_id: str):
    """Return a script that answers, then refuses when the next request arrives.

    The refusal is that of an earlier request. The next one is run all the same.
    """
    is_sent = False

    async def script(request, writer):
        nonlocal is_sent
        await answer_successfully(request, writer)
        if not is_sent:
            is_sent = True
            await wait_for_next_request(writer)
            await writer._stream.send_all(encode_refusal(attempt_id))

    return script


@pytest.mark.parametrize("second_id", ["attempt-2", "attempt-1"])
def test_refusal_sent_again_on_a_kept_connection_refuses_no_other_request(second_id):
    """Guards against "not run" for a request that the target runs.

    Its attempt id tells such a refusal from the answer that is due, unless a caller
    uses the same id again.
    """

    async def scenario(fleet):
        await fleet.send_request("/read/x", attempt="attempt-1")
        answer = await fleet.send_request("/read/x", attempt=second_id)
        assert answer.status in (200, 502)
        assert answer.header("retry-after") is None

    run_scenario(scenario, refuse_again("attempt-1"))


def test_refused_request_sent_to_the_same_target_again_gets_its_own_answer():
    """Guards against the first refusal answering the second try.

    The target sends the refusal of the first try twice, the second time when it has
    begun to run the second try.
    """

    is_first = True

    async def refuse_twice(request, writer):
        nonlocal is_first
        if not is_first:
            await answer_successfully(request, writer)
            return
        is_first = False
        await reject(request, writer)
        with trio.move_on_after(0.5):
            await wait_for_next_request(writer)
            await writer._stream.send_all(encode_refusal("attempt-1"))

    async def scenario(fleet):
        assert (await fleet.send_request("/read/x")).status == 503
        assert (await fleet.send_request("/read/x")).status == 200

    run_scenario(scenario, refuse_twice)


@pytest.mark.parametrize("attempt_id", ["another", "attempt-1"])
def test_refusal_after_a_whole_answer_leaves_the_answer_as_it_is(attempt_id):
    """Bytes after a whole answer belong to no request, and the connection is left."""

    async def answer_and_refuse(request, writer):
        answer = encode_success(request, ("content-length", "4"), body=b"done")
        await writer._stream.send_all(answer + encode_refusal(attempt_id))
        await trio.sleep(0.1)

    async def scenario(fleet):
        for path in ("/read/x", "/sign/x", "/read/x"):
            answer = await fleet.send_request(path)
            assert (answer.status, answer.body) == (200, b"done")
        assert count_target_requests(fleet) == 3

    run_scenario(scenario, answer_and_refuse)


def test_refusal_of_another_attempt_lets_no_second_target_run_a_single_run():
    """Guards against a second run: the first target may be running the request."""

    async def refuse_another(request, writer):
        await send_and_close(writer, encode_refusal("another"))

    async def scenario(fleet):
        answer = await fleet.send_request("/sign/x")
        assert answer.status == 502
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, refuse_another, refuse_another)


REFUSAL = encode_refusal("attempt-1")


@pytest.mark.parametrize("framing", ["chunks", "length"])
@pytest.mark.parametrize("part", [b"", b"do"])
def test_refusal_inside_an_answer_does_not_count_as_a_refusal(framing, part):
    """Guards against "not run" for a request whose answer had begun."""

    async def refuse_inside(request, writer):
        if framing == "chunks":
            body = encode_chunk(part) if part else b""
            data = encode_success(request, CHUNKED, body=body)
        else:
            header = ("content-length", "4000")
            data = encode_success(request, header, body=part)
        await send_and_close(writer, data + REFUSAL)

    async def scenario(fleet):
        answer = await fleet.send_request("/sign/x")
        assert answer.status == 502
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, refuse_inside, refuse_inside)


def test_refusal_after_an_interim_head_of_the_answer_counts_by_its_id():
    """An interim head says nothing of the request, so the refusal stands."""

    async def refuse_after_interim(request, writer):
        interim = encode_head("102 Processing", [])
        await send_and_close(writer, interim + REFUSAL)

    async def scenario(fleet):
        assert (await fleet.send_request("/sign/x")).status == 503

    run_scenario(scenario, refuse_after_interim)


@pytest.mark.parametrize("framing", ["chunks", "inside a chunk", "unframed"])
@pytest.mark.parametrize("is_resumable", [False, True])
@pytest.mark.parametrize("end", [b"", b"\n\n", b"\n\n" + event(2)])
def test_refusal_inside_a_stream_never_reaches_the_caller(framing, is_resumable, end):
    """Guards against a target's refusal between the events of a caller's stream."""
    head = REFUSAL.replace(b"\r\n", b"\n") if end else REFUSAL

    async def refuse_inside(request, writer):
        if request.header("x-last") is not None:
            await stream()(request, writer)
            return
        headers = [EVENT_STREAM] if framing == "unframed" else [EVENT_STREAM, CHUNKED]
        data = encode_success(request, *headers)
        first, refusal = event(1), head + end
        if framing != "unframed":
            first = encode_chunk(first)
        if framing == "inside a chunk":
            refusal = encode_chunk(refusal) + b"0\r\n\r\n"
        await writer._stream.send_all(data + first)
        # The router relays the first event before the refusal arrives.
        await trio.sleep(0.1)
        await send_and_close(writer, refusal)

    async def scenario(fleet):
        if is_resumable:
            answer = await fleet.send_request("/draft/x")
            assert answer.body == b"".join(event(number) for number in range(1, 5))
        else:
            with pytest.raises(ResponseLostError):
                await fleet.send_request("/chat/x")

    run_scenario(scenario, refuse_inside, refuse_inside)
