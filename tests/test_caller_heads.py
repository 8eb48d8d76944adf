"""Callers' requests whose heads repeat headers."""

import pytest

from tests.answer_bytes import (
    Exchange,
    answer_bytes,
    call,
    caller_request,
    run_byte_scenario,
)

SEEN: list[tuple[bytes, bytes]] = []


async def answer_whole(exchange: Exchange) -> bytes:
    SEEN[:] = exchange.headers
    await exchange.write(answer_bytes(exchange.request_id, b"whole"))
    return b""


def with_lines(lines: bytes) -> bytes:
    """Return a proper request with further header lines."""
    first_line, rest = caller_request("a1", "/sign/x").split(b"\r\n", 1)
    return first_line + b"\r\n" + lines + b"\r\n" + rest


@pytest.mark.parametrize(
    ("name", "lines"),
    [
        (b"attempt-id", b"Attempt-Id: a1"),
        (b"attempt-id", b"Attempt-Id: a2"),
        (b"deadline-ms", b"Deadline-Ms: 2000"),
        (b"key", b"Key: secret"),
        (b"key", b"Key: other"),
        (b"token-usage", b"Token-Usage: 1,2"),
        (b"prompt-prefix", b"Prompt-Prefix: aa:5\r\nPrompt-Prefix: bb:5"),
        (b"last-event-id", b"Last-Event-Id: 1\r\nLast-Event-Id: 2"),
        (b"model", b"Model: m\r\nModel: n"),
        (b"Host", b"Host: other"),
    ],
)
def test_request_with_a_header_twice_is_refused_as_not_run(name, lines):
    """Router and target could each use another one of the two values."""

    async def scenario(fleet, targets):
        answer = await call(fleet.address, with_lines(lines))
        assert (answer.status, answer.is_whole) == (400, True)
        assert name in answer.body and b'"not_run"' in answer.body
        assert targets[0].received == []

    run_byte_scenario(scenario, answer_whole)


def test_headers_that_may_repeat_are_forwarded_as_they_came():
    """Guards against refusing proper requests."""
    lines = b"Accept: a/b\r\nAccept: c/d\r\nX-Own: 1\r\nX-Own: 1\r\nModel: m"

    async def scenario(fleet, targets):
        answer = await call(fleet.address, with_lines(lines))
        assert (answer.status, answer.body) == (200, b"whole")
        repeated = [item for item in SEEN if item[0] in (b"accept", b"x-own")]
        assert repeated == [
            (b"accept", b"a/b"),
            (b"accept", b"c/d"),
            (b"x-own", b"1"),
            (b"x-own", b"1"),
        ]

    run_byte_scenario(scenario, answer_whole)
