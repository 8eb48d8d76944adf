"""Targets that stop at any byte of their answer and close the connection."""

import pytest
import trio

from lavenderfold.agent._runs import AppendResult
from lavenderfold.agent._target import CompleteAnswer, build_app_caller
from lavenderfold.http import HttpClient, HttpRequest, ResponseLostError, serve
from lavenderfold.settings import Address
from tests.agent_support import make_sign_off_order
from tests.direct_support import (
    LOOPBACK,
    count_target_requests,
    event,
    run_scenario,
)
from tests.raw_answers import (
    CHUNKED,
    EVENT_STREAM,
    encode_chunk,
    encode_success,
    send_and_close,
)

BODY = b"0123456789"
EVENTS = [event(1), event(2)]
LAST_CHUNK = b"0\r\n\r\n"


def encode_answer(request: HttpRequest, framing: str, *, is_stream: bool) -> bytes:
    """Return a whole answer; one without framing ends when its connection closes."""
    parts = EVENTS if is_stream else [BODY[:7], BODY[7:]]
    headers = [EVENT_STREAM] if is_stream else []
    body = b"".join(parts)
    if framing == "length":
        headers.append(("content-length", str(len(body))))
    elif framing == "chunks":
        headers.append(CHUNKED)
        body = b"".join(encode_chunk(part) for part in parts) + LAST_CHUNK
    return encode_success(request, *headers, body=body)


class CuttingTarget:
    """Sends an answer up to ``cut_at`` and ends the connection.

    ``head_bytes`` is the size of the head, ``answer_bytes`` that of the whole answer.
    """

    def __init__(self, *, framing: str, is_stream: bool, is_reset: bool):
        self.cut_at = 0
        self.head_bytes = 0
        self.answer_bytes = 1
        self._framing = framing
        self._is_stream = is_stream
        self._is_reset = is_reset

    async def answer(self, request, writer) -> None:
        answer = encode_answer(request, self._framing, is_stream=self._is_stream)
        self.head_bytes = answer.index(b"\r\n\r\n") + 4
        self.answer_bytes = len(answer)
        await send_and_close(writer, answer[: self.cut_at], is_reset=self._is_reset)

    def has_next_cut(self) -> bool:
        """Return whether the answer can be cut after one byte more."""
        self.cut_at += 1
        if self._framing == "connection":
            # What follows the head can't be told from a whole answer.
            return self.cut_at <= self.head_bytes
        return self.cut_at < self.answer_bytes


async def read_answer(fleet, path: str) -> tuple[int, bytes, bool]:
    """Return status, body and whether the answer that a caller got is whole."""
    client = HttpClient(address=fleet.address)
    request = HttpRequest(
        method="POST",
        target=path,
        headers=[("x-attempt", "a"), ("x-key", "secret"), ("x-tokens", "1,2")],
    )
    body = b""
    try:
        async with client.stream(request) as answer:
            async for part in answer.chunks():
                body += part
    except ResponseLostError:
        return answer.status, body, False
    finally:
        await client.close()
    return answer.status, body, True


@pytest.mark.parametrize("framing", ["length", "chunks", "connection"])
def test_answer_cut_at_any_byte_is_answered_as_lost(framing):
    """Guards against a 200 with an empty or short body that looks whole."""
    target = CuttingTarget(framing=framing, is_stream=False, is_reset=False)

    async def scenario(fleet):
        while True:
            received = count_target_requests(fleet)
            status, _, _ = await read_answer(fleet, "/sign/x")
            assert status == 502, target.cut_at
            assert count_target_requests(fleet) == received + 1
            if not target.has_next_cut():
                break
        assert target.cut_at >= target.head_bytes > 0

    run_scenario(scenario, target.answer, target.answer)


@pytest.mark.parametrize("framing", ["length", "chunks", "connection"])
def test_stream_cut_at_any_byte_never_looks_whole(framing):
    """Guards against a false end, and against part of an event."""
    target = CuttingTarget(framing=framing, is_stream=True, is_reset=False)
    prefixes = [b"", EVENTS[0], EVENTS[0] + EVENTS[1]]

    async def scenario(fleet):
        while True:
            status, body, is_whole = await read_answer(fleet, "/chat/x")
            assert status == 502 or (status == 200 and not is_whole), target.cut_at
            assert status == 502 or body in prefixes[1:], target.cut_at
            if not target.has_next_cut():
                break
        assert target.cut_at >= target.head_bytes > 0

    run_scenario(scenario, target.answer, target.answer)


RESET_CUTS = {
    "status line": lambda answer: 12,
    "headers": lambda answer: answer.index(b"x-signature") + 3,
    "head": lambda answer: answer.index(b"\r\n\r\n") + 4,
    "body": lambda answer: answer.index(BODY[:4]) + 4,
    "whole": len,
}


@pytest.mark.parametrize("where", RESET_CUTS)
@pytest.mark.parametrize("framing", ["length", "chunks", "connection"])
def test_answer_that_is_reset_is_whole_only_with_its_framing(framing, where):
    async def reset(request, writer):
        answer = encode_answer(request, framing, is_stream=False)
        cut_at = RESET_CUTS[where](answer)
        await send_and_close(writer, answer[:cut_at], is_reset=True)

    async def scenario(fleet):
        status, body, is_whole = await read_answer(fleet, "/sign/x")
        if where == "whole" and framing != "connection":
            assert (status, body, is_whole) == (200, BODY, True)
        else:
            assert status == 502

    run_scenario(scenario, reset)


@pytest.mark.parametrize("framing", ["length", "chunks", "connection"])
def test_stream_whose_last_event_has_no_blank_line_never_looks_whole(framing):
    """The event may have been cut; its framing says nothing of that."""

    async def omit_blank_line(request, writer):
        body = event(1) + event(2)[:-1]
        headers = [EVENT_STREAM]
        if framing == "length":
            headers.append(("content-length", str(len(body))))
        elif framing == "chunks":
            headers.append(CHUNKED)
            body = encode_chunk(body) + LAST_CHUNK
        await send_and_close(writer, encode_success(request, *headers, body=body))

    async def scenario(fleet):
        assert await read_answer(fleet, "/chat/x") == (200, event(1), False)

    run_scenario(scenario, omit_blank_line)


def test_empty_answer_with_a_length_is_whole():
    """An answer may be empty if its framing says so."""

    async def answer_nothing(request, writer):
        answer = encode_success(request, ("content-length", "0"))
        await send_and_close(writer, answer)

    async def scenario(fleet):
        assert await read_answer(fleet, "/sign/x") == (200, b"", True)

    run_scenario(scenario, answer_nothing)


def test_agent_takes_no_head_without_framing_and_body_for_a_whole_answer():
    """Guards against an empty answer of a service that stopped after its head."""

    async def stop_after_head(request, writer):
        await send_and_close(writer, b"HTTP/1.1 200 OK\r\ncontent-type: text/x\r\n\r\n")

    def sink(data: bytes, tokens: int) -> AppendResult:
        return AppendResult.APPENDED

    async def serve_target(task_status):
        listen = Address(host=LOOPBACK, port=0)
        await serve(stop_after_head, address=listen, task_status=task_status)

    async def main():
        async with trio.open_nursery() as nursery:
            with trio.fail_after(10):
                address = await nursery.start(serve_target)
                call = build_app_caller(address=address)
                result = await call(make_sign_off_order("run"), sink)
                assert not isinstance(result, CompleteAnswer)
            nursery.cancel_scope.cancel()

    trio.run(main)
