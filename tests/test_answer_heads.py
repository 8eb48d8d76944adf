"""Heads of answers that contain parts of an earlier answer on a kept connection."""

import logging

import pytest
from lavenderfold_platform.headers import read_answer

from lavenderfold.direct import InvalidAnswerError, InvalidCause
from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import HttpClient, HttpRequest
from tests.answer_bytes import (
    Exchange,
    answer_bytes,
    call,
    caller_request,
    refusal_bytes,
    run_byte_scenario,
)
from tests.direct_support import make_config, make_route

# An error that the only attempt got is passed on to the caller.
ONE_ATTEMPT = make_config(
    routes=(make_route("read", RepeatPolicy.IDEMPOTENT, attempt_limit=1),)
)


def preceded_by(late_bytes: bytes, *, headers: str = ""):
    """Return a script that writes bytes before its second answer on a connection."""

    async def script(exchange: Exchange) -> bytes:
        answer = answer_bytes(exchange.request_id, b"whole", headers=headers)
        await exchange.write((late_bytes if exchange.number else b"") + answer)
        return answer

    return script


async def call_twice(fleet, path: str = "/read/x"):
    """Return the answer to the second of two requests on a kept connection."""
    first = await call(fleet.address, caller_request("a1", path))
    assert (first.status, first.body) == (200, b"whole")
    return await call(fleet.address, caller_request("a2", path))


TORN_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nReplica-Signature: s0\r\nServer: x"
TORN_REFUSAL = b"HTTP/1.1 503 X\r\nAttempt-Id: a1\r\nNot-Executed: "


# These leave no header twice.
TORN_WITHOUT_REPETITION = {
    "date": b"HTTP/1.1 404 Not Found\r\nDate: Fri, 04 D",
    "empty date": b"HTTP/1.1 404 X\r\nDate:",
    "refusal": b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nDate: Fri",
    "misdirected": b"HTTP/1.1 421 X\r\nDate: Fri",
    "reason": b"HTTP/1.1 500 Internal Ser",
    "empty reason": b"HTTP/1.1 500 ",
    "interim": b"HTTP/1.1 100 Continue\r\nDate: Fri",
    "twice torn": b"HTTP/1.1 404 X\r\nDate: HTTP/1.1 503 X\r\nServer: a",
    "older version": b"HTTP/1.0 404 X\r\nDate: Fri",
}


def assert_uncertain(answer) -> None:
    assert (answer.status, answer.is_whole) == (502, True)
    assert b"may_have_run" in answer.body
    assert answer.values("attempt-id") == ["a2"]
    assert not any("HTTP/" in value for _, value in answer.headers)


def test_head_with_the_headers_of_two_answers_reaches_no_caller(caplog):
    """The caller got the id and the signature of an earlier answer beside its own."""

    async def scenario(fleet, targets):
        assert_uncertain(await call_twice(fleet))
        assert targets[0].received == ["a1", "a2"]
        # The connection with the two heads is closed.
        third = await call(fleet.address, caller_request("a3", "/read/x"))
        assert (third.status, targets[0].connections) == (200, 2)
        metrics = HttpClient(address=fleet.router.metrics_address)
        page = (await metrics.request(HttpRequest(method="GET", target="/"))).body
        await metrics.close()
        assert b"lavenderfold_invalid_answers_total{cause=" in page

    with caplog.at_level(logging.WARNING):
        run_byte_scenario(scenario, preceded_by(TORN_HEAD))
    lines = [each for each in caplog.records if each.message == "answer_invalid"]
    assert [(each.target, each.request_id) for each in lines] == [("t0", "a2")]


def test_request_that_ran_is_not_refused_by_the_head_of_an_earlier_refusal():
    """The caller was told 503 "not_run" for a request that its target had run."""

    async def scenario(fleet, targets):
        answer = await call_twice(fleet)
        assert not answer.says_not_run
        assert_uncertain(answer)

    run_byte_scenario(scenario, preceded_by(TORN_REFUSAL))


@pytest.mark.parametrize("place", TORN_WITHOUT_REPETITION)
def test_head_that_contains_the_next_status_line_is_no_answer(place):
    """The status of an earlier answer, or its refusal, was taken for this one's."""

    async def scenario(fleet, targets):
        assert_uncertain(await call_twice(fleet))

    script = preceded_by(TORN_WITHOUT_REPETITION[place])
    run_byte_scenario(scenario, script, config=ONE_ATTEMPT)


def test_cut_at_any_byte_of_an_earlier_answer_leaves_no_answer():
    """One cut place that parses is enough to mix two answers."""
    old_answers = (
        answer_bytes("a0", b"old body", signature="s0"),
        answer_bytes("a0", b"old body", status_line="HTTP/1.1 500 Failed"),
        refusal_bytes("a0"),
        b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    )
    torn = [old[:end] for old in old_answers for end in range(1, len(old) + 1)]
    late_bytes = iter(torn)

    async def script(exchange: Exchange) -> bytes:
        answer = answer_bytes(exchange.request_id, b"whole")
        late = next(late_bytes) if exchange.number else b""
        await exchange.write(late + answer)
        return answer

    async def scenario(fleet, targets):
        for number, late in enumerate(torn):
            first = caller_request(f"first-{number}", "/read/x")
            assert (await call(fleet.address, first)).body == b"whole", late
            second = caller_request(f"second-{number}", "/read/x")
            answer = await call(fleet.address, second)
            assert answer.status == 502 and not answer.says_not_run, late
            assert answer.values("attempt-id") == [f"second-{number}"], late

    run_byte_scenario(scenario, script, config=ONE_ATTEMPT)


def test_header_that_names_a_protocol_version_is_no_status_line():
    """Guards against refusing answers that passed a proxy, or that name a protocol."""
    headers = "Via: HTTP/1.1 proxy\r\nUpgrade: HTTP/2.0\r\n"

    async def scenario(fleet, targets):
        assert (await call_twice(fleet)).status == 200

    run_byte_scenario(scenario, preceded_by(b"", headers=headers))


@pytest.mark.parametrize(
    "name",
    [
        "attempt-id",
        "content-length",
        "content-type",
        "not-executed",
        "replica-signature",
        "retry-after",
        "server-leaving",
        "weight-versions",
    ],
)
def test_single_valued_header_that_stands_twice_invalidates_the_head(name):
    """The last of the two was taken, and both were passed on."""
    value = "5" if name != "content-type" else "text/plain"
    headers = [("attempt-id", "a1"), ("replica-signature", "s"), (name, value)]
    with pytest.raises(InvalidAnswerError) as raised:
        read_answer(503, [*headers, (name, value)])
    assert raised.value.cause is InvalidCause.REPEATED_HEADER


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("replica-signature", ""),
        ("replica-signature", "s1 s2"),
        ("content-type", "text"),
        ("content-length", "many"),
        ("weight-versions", "3x"),
    ],
)
def test_value_of_another_kind_invalidates_the_head(name, value):
    """A cut value would otherwise count as a signature or a type."""
    with pytest.raises(InvalidAnswerError) as raised:
        read_answer(200, [("attempt-id", "a1"), (name, value)])
    assert raised.value.cause is InvalidCause.HEADER_VALUE
    assert raised.value.detail == name


def test_success_that_says_not_run_is_no_refusal():
    """A request whose answer is a success has run, whatever else its head says."""
    headers = [("attempt-id", "a1"), ("not-executed", "1")]
    with pytest.raises(InvalidAnswerError):
        read_answer(200, headers)
    assert read_answer(503, headers).is_not_run


@pytest.mark.parametrize(
    ("data", "detail"),
    [
        (b"HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n\r\n", "illegal header line"),
        (b"garbage\r\n\r\n", "illegal status line"),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "conflicting Content-Length headers",
        ),
        (
            answer_bytes("a2", b"zz\r\n").replace(
                b"Content-Length: 4", b"Transfer-Encoding: chunked"
            ),
            "illegal chunk header",
        ),
    ],
    ids=["header line", "status line", "two lengths", "chunk"],
)
def test_bytes_that_are_no_http_are_logged_with_their_fault(data, detail, caplog):
    """They counted as a connection that broke, and nothing told what was wrong."""

    async def script(exchange: Exchange) -> bytes:
        first = answer_bytes(exchange.request_id, b"whole")
        await exchange.write(data if exchange.number else first)
        return b""

    async def scenario(fleet, targets):
        assert_uncertain(await call_twice(fleet))

    with caplog.at_level(logging.WARNING):
        run_byte_scenario(scenario, script)
    lines = [each for each in caplog.records if each.message == "answer_invalid"]
    assert [each.cause for each in lines] == ["malformed"]
    assert lines[0].detail.startswith(detail)
    assert len(lines[0].detail) <= 100


def test_connection_that_ends_in_a_head_is_lost_and_not_malformed(caplog):
    """Only a lost attempt is a sign that its prompt crashed the target."""

    async def script(exchange: Exchange) -> bytes:
        answer = answer_bytes(exchange.request_id, b"whole")
        await exchange.write(answer[:30] if exchange.number else answer)
        if exchange.number:
            await exchange.close()
        return b""

    async def scenario(fleet, targets):
        assert_uncertain(await call_twice(fleet))

    with caplog.at_level(logging.WARNING):
        run_byte_scenario(scenario, script)
    events = {each.message for each in caplog.records}
    assert "attempt_lost" in events and "answer_invalid" not in events


def test_refusal_on_a_kept_connection_is_still_a_refusal():
    """Guards against heads judged so strictly that sound refusals are lost."""

    async def script(exchange: Exchange) -> bytes:
        if exchange.number:
            await exchange.write(refusal_bytes(exchange.request_id))
        else:
            await exchange.write(answer_bytes(exchange.request_id, b"whole"))
        return b""

    async def scenario(fleet, targets):
        assert (await call_twice(fleet)).says_not_run

    run_byte_scenario(scenario, script)
