"""Targets that fall silent for about a second and go on: no answer is given up.

The load pattern: one target pauses while it runs many requests of a router, which has
fewer retries in reserve than the target has requests.
"""

import msgspec
import pytest
import trio

from lavenderfold.fleet import RepeatPolicy, Service
from lavenderfold.routing import RetryBudget
from tests.direct_support import (
    HttpResponse,
    answer_successfully,
    count_target_requests,
    crash,
    event,
    fail,
    make_config,
    make_route,
    reject,
    run_scenario,
    stream,
    valid_headers,
)
from tests.patience_support import request_during_change

# Longer than a router waits for a target if another one can take over.
SILENCE_S = 1.3
REQUESTS = 8
WHOLE_STREAM = b"".join(event(number) for number in range(1, 5))
# Long enough for the silence of one target and the whole answer of another.
PATIENT_CONFIG = make_config(
    routes=(
        make_route("read", RepeatPolicy.IDEMPOTENT, timeout_s=6.0),
        make_route("draft", RepeatPolicy.STREAM, is_resumable=True, timeout_s=6.0),
    )
)


async def pause_in_stream(request, writer):
    """Send a stream with a silence before its third event."""
    first = int(request.header("x-last") or 0) + 1
    headers = [*valid_headers(request), ("content-type", "text/event-stream")]
    await writer.start(200, headers)
    for number in range(first, 5):
        if number == 3:
            await trio.sleep(SILENCE_S)
        await writer.write(event(number))
    await writer.finish()


async def pause_before_stream(request, writer):
    await trio.sleep(SILENCE_S)
    await stream()(request, writer)


async def pause_before_answer(request, writer):
    await trio.sleep(SILENCE_S)
    headers = valid_headers(request)
    await writer.send(HttpResponse(status=200, headers=headers, body=b"done"))


async def send_many(fleet, path: str) -> list[HttpResponse]:
    """Send requests at the same time and return their answers."""
    answers = []

    async def send(number):
        request_id = f"attempt-{number}"
        answers.append(await fleet.send_request(path, attempt=request_id, patience="6"))

    async with trio.open_nursery() as nursery:
        for number in range(REQUESTS):
            nursery.start_soon(send, number)
    return answers


def allow_no_retries(fleet) -> None:
    """Leave the router one retry in reserve, as one of many in a large fleet."""
    options = msgspec.structs.replace(
        fleet.router.options, retry_share=0.0, fleet_retry_reserve=0.0
    )
    fleet.router.reload(options)


@pytest.mark.parametrize("script", [pause_in_stream, pause_before_stream])
def test_streams_of_a_silent_target_go_on_without_retries_left(script):
    """Guards against streams that are cut although their target would have gone on."""

    async def scenario(fleet):
        allow_no_retries(fleet)
        answers = await send_many(fleet, "/draft/x")
        assert [each.body for each in answers] == [WHOLE_STREAM] * REQUESTS
        assert count_target_requests(fleet) <= REQUESTS + 1

    run_scenario(scenario, script, script, config=PATIENT_CONFIG)


def test_requests_at_a_silent_target_are_answered_without_retries_left():
    """Guards against 502 for requests that their target was about to answer."""

    async def scenario(fleet):
        allow_no_retries(fleet)
        answers = await send_many(fleet, "/read/x")
        assert [each.status for each in answers] == [200] * REQUESTS

    run_scenario(
        scenario, pause_before_answer, pause_before_answer, config=PATIENT_CONFIG
    )


def test_stream_of_a_silent_target_goes_on_if_the_other_target_left():
    """Guards against a stream that is cut for a target that isn't usable any more."""

    async def scenario(fleet):
        def deregister_other():
            for target in fleet.target_by_id.values():
                if not target.received:
                    fleet.register(target, is_draining=True)

        answer = await request_during_change(
            fleet,
            "/draft/x",
            is_due=lambda: count_target_requests(fleet) == 1,
            change=deregister_other,
        )
        assert answer.body == WHOLE_STREAM

    run_scenario(scenario, pause_in_stream, pause_in_stream, config=PATIENT_CONFIG)


def test_silent_target_is_replaced_while_retries_are_left():
    """Guards against callers that wait for a target which never answers."""

    async def never(request, writer):
        await trio.sleep(30)

    async def scenario(fleet):
        for number in range(2):
            answer = await fleet.send_request(
                "/draft/x", attempt=f"attempt-{number}", patience="6"
            )
            assert answer.body == WHOLE_STREAM

    run_scenario(scenario, never, stream(), config=PATIENT_CONFIG)


def test_retry_reserved_for_a_target_that_goes_on_is_returned():
    """Guards against a retry budget that is used up by targets that pause."""
    retry_budget = RetryBudget(share=0.0, reserve=1.0)
    assert retry_budget.try_acquire()
    retry_budget.release()
    retry_budget.release()
    assert retry_budget.try_acquire()
    assert not retry_budget.try_acquire()


def pause_then(other):
    """Return a script for two targets: the first pauses in its stream.

    The target that takes over runs ``other``.
    """

    async def script(request, writer):
        if request.header("x-last") is not None or script.begun:
            await other(request, writer)
            return
        script.begun = True
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        await writer.start(200, headers)
        for number in range(1, 5):
            if number == 3:
                await trio.sleep(1.0)
            await writer.write(event(number))
        await writer.finish()

    script.begun = False
    return script


def test_stream_goes_on_if_the_target_that_takes_over_refuses_it():
    """Guards against a stream that is cut for a target that doesn't take it.

    Its first target goes on 0.4 s later. A refusal that is certainly not run uses up
    the last attempt.
    """

    async def scenario(fleet):
        answer = await fleet.send_request("/draft/x", patience="6")
        assert answer.body == WHOLE_STREAM

    script = pause_then(reject)
    run_scenario(scenario, script, script, config=PATIENT_CONFIG)


def test_request_is_answered_if_the_target_that_takes_over_refuses_it():
    """Guards against 502 for a request that its silent target was about to answer."""
    begun = []

    async def script(request, writer):
        if begun:
            await reject(request, writer)
            return
        begun.append(request)
        await trio.sleep(1.0)
        headers = valid_headers(request)
        await writer.send(HttpResponse(status=200, headers=headers, body=b"done"))

    async def scenario(fleet):
        answer = await fleet.send_request("/read/x", patience="6")
        assert (answer.status, answer.body) == (200, b"done")

    route = make_route("read", RepeatPolicy.IDEMPOTENT, timeout_s=6.0)
    run_scenario(scenario, script, script, config=make_config(routes=(route,)))


def answer_late_or(other):
    """Return a script for two targets: the first one asked answers after a silence.

    The target that takes over runs ``other``.
    """

    async def script(request, writer):
        if script.begun:
            await other(request, writer)
            return
        script.begun = True
        await pause_before_answer(request, writer)

    script.begun = False
    return script


async def refuse_and_close(request, writer):
    raise RuntimeError("the target closes the connection before an answer")


@pytest.mark.parametrize("other", [reject, fail, refuse_and_close])
def test_request_is_answered_whatever_the_other_target_does_with_it(other):
    """Guards against a failure instead of an answer that its target was to send."""

    async def scenario(fleet):
        answer = await fleet.send_request("/read/x", patience="6")
        assert (answer.status, answer.body) == (200, b"done")

    script = answer_late_or(other)
    run_scenario(scenario, script, script, config=PATIENT_CONFIG)


async def never_answer(request, writer):
    await trio.sleep(30)


def delayed(other):
    async def script(request, writer):
        await trio.sleep(0.3)
        await other(request, writer)

    return script


@pytest.mark.parametrize("other", [never_answer, delayed(reject), delayed(fail)])
def test_plain_request_is_answered_if_the_other_target_does_not_answer_soon(other):
    """Guards against 504 for a request that its silent target was about to answer."""

    async def scenario(fleet):
        answer = await fleet.send_request("/read/x", patience="6", tokens="")
        assert (answer.status, answer.body) == (200, b"done")

    plain_service = Service(name="service", connection_limit=9)
    config = msgspec.structs.replace(PATIENT_CONFIG, services=(plain_service,))
    script = answer_late_or(other)
    run_scenario(scenario, script, script, config=config)


async def begin_again(request, writer):
    """Answer as a target that can't resume a stream."""
    headers = [*valid_headers(request), ("content-type", "text/event-stream")]
    await writer.start(200, headers)
    for number in range(1, 5):
        await writer.write(event(number))
    await writer.finish()


@pytest.mark.parametrize("other", [begin_again, crash, answer_successfully])
def test_stream_goes_on_if_the_other_target_cannot_continue_it(other):
    """Guards against a stream that is cut for a target that only sends a head."""

    async def scenario(fleet):
        answer = await fleet.send_request("/draft/x", patience="6")
        assert answer.body == WHOLE_STREAM

    script = pause_then(other)
    run_scenario(scenario, script, script, config=PATIENT_CONFIG)


def test_request_is_answered_if_the_other_target_cannot_be_connected_to():
    """Guards against an attempt that is given up for a target that is down."""

    async def scenario(fleet):
        def crash_other():
            for target in fleet.target_by_id.values():
                if not target.received:
                    target.down_s = 9.0
                    target.crash()

        answer = await request_during_change(
            fleet,
            "/read/x",
            is_due=lambda: count_target_requests(fleet) == 1,
            change=crash_other,
        )
        assert (answer.status, answer.body) == (200, b"done")

    run_scenario(
        scenario, pause_before_answer, pause_before_answer, config=PATIENT_CONFIG
    )


def test_target_that_was_asked_once_is_not_used_after_it_left():
    """Guards against a take-over that was prepared once and is acted on much later.

    The silent target goes on just after the other one was asked; that one has left
    before the second silence.
    """
    received = []
    is_other_asked = trio.Event()

    async def script(request, writer):
        received.append(request)
        if len(received) > 1:
            is_other_asked.set()
            await trio.sleep(9)
            return
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        await writer.start(200, headers)
        for number in range(1, 5):
            if number == 2:
                await is_other_asked.wait()
            if number == 4:
                await trio.sleep(SILENCE_S)
            await writer.write(event(number))
        await writer.finish()

    async def scenario(fleet):
        def deregister_other():
            targets = fleet.target_by_id.values()
            other = next(each for each in targets if received[1] in each.received)
            fleet.register(other, is_draining=True)

        answer = await request_during_change(
            fleet,
            "/draft/x",
            is_due=lambda: len(received) == 2,
            change=deregister_other,
        )
        assert answer.body == WHOLE_STREAM

    run_scenario(scenario, script, script, config=PATIENT_CONFIG)
