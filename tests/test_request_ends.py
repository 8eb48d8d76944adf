"""Lines and counters that tell why a stream ended."""

import logging

import pytest
import trio

from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import HttpClient, HttpRequest
from tests.direct_support import (
    answer_successfully,
    crash,
    direct_fleet,
    event,
    fail,
    make_config,
    make_route,
    stream,
    valid_headers,
)
from tests.patience_support import make_stream_routes

PATIENCE_S = 1.0
CONFIG = make_config(
    routes=(
        make_route("read", RepeatPolicy.IDEMPOTENT),
        *make_stream_routes(patience_s=PATIENCE_S),
    )
)


async def never(request, writer):
    await trio.sleep(30)


async def one_event(request, writer):
    headers = [*valid_headers(request), ("content-type", "text/event-stream")]
    await writer.start(200, headers)
    await writer.write(event(1))
    await trio.sleep(30)


def crash_once():
    """Return a script that breaks off the first request and is silent afterwards."""
    received = []

    async def script(request, writer):
        received.append(request)
        await (crash if len(received) == 1 else never)(request, writer)

    return script


def run_request(caplog, path: str, *scripts, leaves_after_s: float = 9.0):
    """Send a request; return its line in the log and the router's metrics."""
    caplog.set_level(logging.INFO)
    pages = []

    async def main():
        with trio.fail_after(20):
            async with direct_fleet(*scripts, config=CONFIG) as fleet:
                with trio.move_on_after(leaves_after_s):
                    await fleet.send_request(path, patience="6")
                await trio.sleep(0.2)
                client = HttpClient(address=fleet.router.metrics_address)
                answer = await client.request(HttpRequest(method="GET", target="/"))
                pages.append(answer.body.decode())

    trio.run(main)
    lines = [vars(each) for each in caplog.records if each.getMessage() == "request"]
    assert len(lines) == 1
    return lines[0], pages[0]


@pytest.mark.parametrize(
    ("script", "leaves_after_s", "ended_by", "left_ms"),
    [
        (stream(), 9.0, "answer", (500, 1010)),
        (fail, 9.0, "answer", (500, 1010)),
        (never, 9.0, "patience", (0, 360)),
        (never, 0.2, "caller", (400, 830)),
        (one_event, 0.5, "caller", (100, 700)),
        (one_event, 1.3, "caller", (-700, -100)),
        (crash, 9.0, "router", (400, 1010)),
    ],
)
def test_line_and_counter_tell_why_a_stream_ended(
    caplog, script, leaves_after_s, ended_by, left_ms
):
    """Guards against callers that leave and can't be told from requests that end.

    ``patience_left_ms`` shows whether a caller left for the silence.
    """
    line, page = run_request(caplog, "/chat/x", script, leaves_after_s=leaves_after_s)
    assert line["ended_by"] == ended_by
    assert left_ms[0] <= line["patience_left_ms"] <= left_ms[1]
    assert f'lavenderfold_stream_ends_total{{by="{ended_by}"}} 1.0' in page


def test_request_without_a_stream_has_no_patience(caplog):
    """Guards against counts of streams that include other requests."""
    line, page = run_request(caplog, "/read/x", answer_successfully)
    assert (line["ended_by"], line["patience_left_ms"]) == ("answer", None)
    assert "lavenderfold_stream_ends_total{" not in page


def test_caller_that_leaves_during_a_second_attempt_is_counted_as_left(caplog):
    """Guards against a request that is counted by the outcome of its first attempt."""
    script = crash_once()
    line, page = run_request(caplog, "/draft/x", script, script, leaves_after_s=0.5)
    assert line["ended_by"] == "caller"
    assert 'lavenderfold_requests_total{end="left"} 1.0' in page
