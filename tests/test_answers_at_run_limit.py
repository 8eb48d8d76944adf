"""Whole answers of targets that arrive when the limit of their run passes."""

import time
from functools import partial

import msgspec
import pytest
import trio

from lavenderfold.agent import TargetKind
from lavenderfold.agent._engine import build_model_caller
from lavenderfold.agent._runs import AppendResult
from lavenderfold.agent._target import CompleteAnswer, build_app_caller
from lavenderfold.http import HttpClient, HttpResponse, _client, json_response, serve
from lavenderfold.outcomes import Ran
from tests.agent_support import (
    ANY_PORT,
    LIMITS,
    make_model_order,
    make_sign_off_order,
    running_agent,
)


def suspend(duration_s: float) -> None:
    """Stop the event loop, and with it the process."""
    time.sleep(duration_s)


RUN_LIMIT_S = 0.6


class LateTarget:
    """A target whose whole answer arrives in the turn in which the run limit passes."""

    def __init__(self, data):
        self._data = data

    async def run(self):
        pass

    async def handle(self, request, writer):
        if request.method == "GET":
            await writer.send(json_response(200, {"models": ["quick"], "events": []}))
            return
        await trio.sleep(RUN_LIMIT_S / 2)
        # Sends without giving the agent a chance to read before it stops.
        assert writer._stream.socket._sock.send(self._data) == len(self._data)
        suspend(RUN_LIMIT_S)
        await trio.sleep(5.0)


async def run_late(kind, order, data):
    """Return the outcome of a run whose answer arrives at the run limit."""
    limits = msgspec.structs.replace(LIMITS, run_limit_s=RUN_LIMIT_S)
    target = LateTarget(data)
    async with running_agent(target, kind=kind, limits=limits) as harness:
        router = harness.connect()
        await router.wait_ready()
        router.link.post(order)
        return (await router.ended(order.run_id)).outcome


def test_whole_answer_of_an_engine_at_the_run_limit_is_kept():
    """Guards against a whole answer that is dropped when its connection is closed.

    Closing is a checkpoint within the run's cancel scope.
    """
    events = b'data: {"text": "one ", "tokens": 1}\n\n'
    events += b'data: {"done": true, "tokens": 1}\n\n'
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    data = head + b"%x\r\n%s\r\n" % (len(events), events)
    order = make_model_order("a", "prompt of four words")
    outcome = trio.run(run_late, TargetKind.MODEL, order, data)
    assert isinstance(outcome, Ran), outcome


@pytest.mark.parametrize("idempotent", [True, False])
def test_whole_answer_of_a_service_at_the_run_limit_is_kept(idempotent):
    """Guards against a sign-off that ran and is reported as perhaps not run."""
    data = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone"
    order = make_sign_off_order("a", idempotent=idempotent)
    outcome = trio.run(run_late, TargetKind.APP, order, data)
    assert isinstance(outcome, Ran), outcome


def test_answer_of_several_reads_at_the_run_limit_is_kept(monkeypatch):
    """Guards against a run that is stopped before the agent has read its answer.

    After a suspension the run limit and the answer, of ten reads, are due together.
    """
    monkeypatch.setattr(_client, "RECEIVE_BYTES", 1000)
    body = b"0123456789" * 1000
    data = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
    order = make_sign_off_order("a")
    outcome = trio.run(run_late, TargetKind.APP, order, data)
    assert isinstance(outcome, Ran), outcome
    assert outcome.length == len(body)


EVENTS = b'data: {"text": "one ", "tokens": 1}\n\ndata: {"done": true, "tokens": 1}\n\n'


def run_cancelled_at_answer(build_caller, order, append_result):
    """Return the result of a run that is cancelled when its answer has arrived."""

    async def main():
        async def handle(request, writer):
            if request.method == "DELETE":
                await trio.sleep_forever()
            await writer.send(HttpResponse(status=200, body=EVENTS))

        result = None
        async with trio.open_nursery() as nursery:
            address = await nursery.start(partial(serve, handle, address=ANY_PORT))
            with trio.CancelScope() as scope:

                def append(data, tokens):
                    scope.cancel()
                    return append_result

                result = await build_caller(address)(order, append)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


@pytest.mark.parametrize("idempotent", [True, False])
def test_answer_of_a_service_is_kept_if_its_run_is_cancelled_afterwards(idempotent):
    """Guards against an answer that is dropped while its connection is closed."""
    order = make_sign_off_order("a", idempotent=idempotent)
    result = run_cancelled_at_answer(
        lambda address: build_app_caller(address=address),
        order,
        AppendResult.APPENDED,
    )
    assert isinstance(result, CompleteAnswer)


@pytest.mark.parametrize(
    "append_result", [AppendResult.APPENDED, AppendResult.TOKEN_LIMIT_REACHED]
)
def test_answer_of_an_engine_is_kept_if_its_run_is_cancelled_afterwards(append_result):
    """Guards against an answer that is dropped while the engine is told to stop."""
    order = make_model_order("a", "prompt of four words")
    result = run_cancelled_at_answer(
        lambda address: build_model_caller(
            client=HttpClient(address=address), max_resumes=0
        ),
        order,
        append_result,
    )
    assert isinstance(result, CompleteAnswer)
