"""Header values that aren't ASCII, which HTTP allows."""

import msgspec
import pytest

from lavenderfold.fleet import Organisation
from tests.answer_bytes import (
    STREAM_HEADER,
    Exchange,
    answer_bytes,
    call,
    caller_request,
    run_byte_scenario,
)
from tests.direct_support import event, make_config

NOTE = b"caf\xe9 \xff"
TEXT = NOTE.decode("latin-1")


def with_note(data: bytes) -> bytes:
    """Return a message with the header ``X-Note`` after its first line."""
    first_line, rest = data.split(b"\r\n", 1)
    return first_line + b"\r\nX-Note: " + NOTE + b"\r\n" + rest


def test_request_with_bytes_beyond_ascii_is_forwarded():
    """The caller got a 500, and nothing was sent to a target."""
    seen = []

    async def script(exchange: Exchange) -> bytes:
        seen.extend(exchange.headers)
        await exchange.write(answer_bytes(exchange.request_id, b"whole"))
        return b""

    async def scenario(fleet, targets):
        request = with_note(caller_request("a1", "/sign/x"))
        answer = await call(fleet.address, request)
        assert (answer.status, answer.body) == (200, b"whole")
        assert (b"x-note", NOTE) in seen

    run_byte_scenario(scenario, script)


@pytest.mark.parametrize(
    ("path", "body", "headers"),
    [("/sign/x", b"whole", ""), ("/chat/x", event(1), STREAM_HEADER)],
)
def test_answer_with_bytes_beyond_ascii_is_relayed(path, body, headers):
    """The caller got a 500, or a closed connection, for a request that had run."""

    async def script(exchange: Exchange) -> bytes:
        answer = answer_bytes(exchange.request_id, body, headers=headers)
        await exchange.write(with_note(answer))
        return b""

    async def scenario(fleet, targets):
        answer = await call(fleet.address, caller_request("a1", path))
        assert (answer.status, answer.body) == (200, body)
        assert answer.values("x-note") == [TEXT]

    run_byte_scenario(scenario, script)


def test_organisation_with_a_name_beyond_ascii_is_served():
    """Each of its requests got a 500. The target is told the name in UTF-8."""
    name = "Landström 光"
    organisation = Organisation(name=name, keys=("secret",), limit_tokens=10_000)
    config = msgspec.structs.replace(make_config(), organisations=(organisation,))
    seen = []

    async def script(exchange: Exchange) -> bytes:
        seen.extend(exchange.headers)
        await exchange.write(answer_bytes(exchange.request_id, b"whole"))
        return b""

    async def scenario(fleet, targets):
        answer = await call(fleet.address, caller_request("a1", "/sign/x"))
        assert answer.status == 200
        assert (b"tenant", name.encode()) in seen

    run_byte_scenario(scenario, script, config=config)
