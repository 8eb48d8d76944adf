"""Model engines that send an agent bytes without end that are no answer.

Each call gives up at a limit of its own; the bounds below add what the sockets hold.
"""

from functools import partial

import pytest
import trio

from lavenderfold.agent import _engine, _platform
from lavenderfold.agent._runs import AppendResult
from lavenderfold.http import HttpClient
from lavenderfold.outcomes import MayHaveRun, Reason
from lavenderfold.settings import Address
from tests.agent_support import make_model_order

HEAD = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"
BLOCK_BYTES = 16 * 1024
SOCKET_BYTES = 16 * 1024 * 1024
TIMEOUT_S = 10.0


class EndlessEngine:
    """Answers each call with a body without end; ``sent`` counts its bytes."""

    def __init__(self, *, start: bytes = b""):
        self.sent = 0
        self._start = start

    async def serve(self, stream: trio.SocketStream) -> None:
        await stream.receive_some(BLOCK_BYTES)
        try:
            await stream.send_all(HEAD + self._start)
            while True:
                await stream.send_all(b"x" * BLOCK_BYTES)
                self.sent += BLOCK_BYTES
        except trio.BrokenResourceError:
            await stream.aclose()


def run_with_engine(engine: EndlessEngine, scenario) -> None:
    """Call ``scenario`` with the address of an engine."""

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                serve = partial(trio.serve_tcp, engine.serve, 0, host="127.0.0.1")
                listeners = await nursery.start(serve)
                port = listeners[0].socket.getsockname()[1]
                await scenario(Address(host="127.0.0.1", port=port))
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_event_without_an_end_is_given_up():
    """Guards against an agent that ends for its memory, with the runs of others."""
    engine = EndlessEngine(start=b"data: ")

    async def scenario(address):
        call = _engine.build_model_caller(
            client=HttpClient(address=address), max_resumes=1
        )
        result = await call(
            make_model_order("run", "a prompt"),
            lambda data, tokens: AppendResult.APPENDED,
        )
        assert isinstance(result, MayHaveRun)
        assert result.reason is Reason.TARGET_FAILED

    run_with_engine(engine, scenario)
    assert engine.sent < _engine.EVENT_BYTES_LIMIT + SOCKET_BYTES


async def cancel(client: HttpClient) -> None:
    await _engine.cancel_at_engine(client, make_model_order("run", "a prompt"))


async def probe(client: HttpClient) -> None:
    answer = await _platform._fetch(
        client, "/v1/load", _platform.EngineLoad, timeout_s=TIMEOUT_S
    )
    assert answer is None


@pytest.mark.parametrize("call", [cancel, probe])
def test_body_without_an_end_is_given_up(call):
    """Guards against cancellations and probes that keep what a faulty engine sends."""
    engine = EndlessEngine()

    async def scenario(address):
        await call(HttpClient(address=address))

    run_with_engine(engine, scenario)
    assert engine.sent < _platform.PROBE_BYTES_LIMIT + SOCKET_BYTES
