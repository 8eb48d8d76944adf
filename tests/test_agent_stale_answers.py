"""Targets of agents that send an earlier answer once more on a kept connection."""

from contextlib import asynccontextmanager
from functools import partial

import msgspec
import pytest
import trio

from lavenderfold.agent._engine import build_model_caller
from lavenderfold.agent._runs import AppendResult
from lavenderfold.agent._target import CompleteAnswer, build_app_caller
from lavenderfold.http import HttpClient
from lavenderfold.settings import Address
from tests.agent_support import make_model_order, make_sign_off_order
from tests.direct_support import LOOPBACK
from tests.raw_answers import encode_head


class RepeatingTarget:
    """Answers each request on a connection and sends all earlier answers again first.

    ``requests`` counts them over all connections.
    """

    def __init__(self, *, event_stream: bool):
        self.requests = 0
        self._event_stream = event_stream

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        earlier_answers = b""
        async with stream:
            while await stream.receive_some(65536):
                self.requests += 1
                answer = self._encode_answer(self.requests)
                await stream.send_all(earlier_answers + answer)
                earlier_answers += answer

    def _encode_answer(self, number: int) -> bytes:
        body = f"answer {number}".encode()
        if self._event_stream:
            event = {"text": body.decode(), "tokens": 2}
            end = {"tokens": 2, "done": True}
            body = b"".join(
                b"data: " + msgspec.json.encode(each) + b"\n\n" for each in (event, end)
            )
        return encode_head("200 OK", [("content-length", str(len(body)))]) + body


@asynccontextmanager
async def running_target(target: RepeatingTarget):
    async with trio.open_nursery() as nursery:
        start_listening = partial(
            trio.serve_tcp, target.serve_connection, 0, host=LOOPBACK
        )
        listeners = await nursery.start(start_listening)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(10):
            yield Address(host=LOOPBACK, port=port)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("kind", ["model", "app"])
def test_run_never_gets_the_answer_of_an_earlier_run(kind):
    """Guards against another caller's answer: these answers bear no id of their run."""
    is_model = kind == "model"

    async def run_once(call, run_id: str) -> bytes:
        received = []

        def sink(data: bytes, tokens: int) -> AppendResult:
            received.append(data)
            return AppendResult.APPENDED

        if is_model:
            order = make_model_order(run_id, "a prompt")
        else:
            order = make_sign_off_order(run_id, idempotent=True)
        assert isinstance(await call(order, sink), CompleteAnswer)
        return b"".join(received)

    async def main():
        async with running_target(RepeatingTarget(event_stream=is_model)) as address:
            if is_model:
                client = HttpClient(address=address)
                call = build_model_caller(client=client, max_resumes=0)
            else:
                call = build_app_caller(address=address)
            answers = [await run_once(call, f"run-{number}") for number in range(3)]
            assert answers == [b"answer 1", b"answer 2", b"answer 3"]

    trio.run(main)
