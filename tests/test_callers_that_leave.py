"""Seeded runs of callers that leave while targets stand still and go on."""

import math
import random

import pytest
import trio

from lavenderfold.accepting import AcceptedConnection
from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import ServerOptions, _server
from lavenderfold.http._open_connections import OpenConnections
from lavenderfold.http._request_reader import RequestReader
from lavenderfold.http._stop import IdleConnections
from lavenderfold.link_traffic import CountedStream
from lavenderfold.process_memory import ProcessMemory
from tests.direct_support import (
    DirectFleet,
    answer_successfully,
    direct_fleet,
    make_config,
    make_route,
    stream,
)

RUN_S = 4.0
REQUESTS = 80
# A router on loopback learns of a close, and its last bytes arrive, within this time.
NOTICE_S = 0.25
PATHS = ("/read/x", "/sign/x", "/draft/x")
ROUTES = tuple(
    make_route(name, policy, timeout_s=3.0, attempt_limit=3, is_resumable=True)
    for name, policy in (
        ("read", RepeatPolicy.IDEMPOTENT),
        ("sign", RepeatPolicy.SINGLE_RUN),
        ("draft", RepeatPolicy.STREAM),
    )
)


class Run:
    """Callers with random patience at targets that stand still at random times.

    ``late_ids`` are the requests that reached a target after their callers had left.
    """

    def __init__(self, *, seed: int):
        self.late_ids: list[str] = []
        self.left = 0
        self._random = random.Random(seed)
        self._left_at_by_id: dict[str, float] = {}
        self._stills_until = [0.0, 0.0, 0.0]

    async def run(self) -> None:
        scripts = [self._new_script(number) for number in range(3)]
        config = make_config(routes=ROUTES, limit=10_000_000)
        async with (
            direct_fleet(*scripts, config=config) as fleet,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(self._suspend_targets)
            for number in range(REQUESTS):
                delay_s = self._random.uniform(0, RUN_S)
                nursery.start_soon(self._call, fleet, f"a{number}", delay_s)

    def _new_script(self, number: int):
        async def script(request, writer):
            left_at = self._left_at_by_id.get(request.header("x-attempt"), math.inf)
            if trio.current_time() > left_at + NOTICE_S:
                self.late_ids.append(request.header("x-attempt"))
            await trio.sleep_until(self._stills_until[number])
            answer = answer_successfully
            if request.target.startswith("/draft"):
                answer = stream()
            await answer(request, writer)

        return script

    async def _suspend_targets(self) -> None:
        started_at = trio.current_time()
        while trio.current_time() < started_at + RUN_S:
            for number in range(3):
                still_s = self._random.uniform(0.5, 2.0)
                self._stills_until[number] = trio.current_time() + still_s
            await trio.sleep(self._random.uniform(0.5, 1.5))

    async def _call(self, fleet: DirectFleet, request_id: str, delay_s: float) -> None:
        patience_s = self._random.uniform(0.1, 1.0)
        path = self._random.choice(PATHS)
        await trio.sleep(delay_s)
        with trio.move_on_after(patience_s) as scope:
            await fleet.send_request(path, attempt=request_id)
        if scope.cancelled_caught:
            self.left += 1
            self._left_at_by_id[request_id] = trio.current_time()


def run(seed: int) -> Run:
    run = Run(seed=seed)

    async def main():
        with trio.fail_after(30):
            await run.run()

    trio.run(main)
    assert run.left, "no caller left; the run shows nothing"
    return run


@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_sent_on_for_a_caller_that_has_left(seed):
    """Guards against second attempts that run for nobody when a target goes on."""
    assert not run(seed).late_ids


def test_run_finds_requests_that_go_on_after_their_callers_left(monkeypatch):
    """Planted: the server doesn't notice that a caller closes its connection."""

    async def ignore(self, handler_scope):
        await trio.sleep_forever()

    monkeypatch.setattr(_server.ServerConnection, "_cancel_on_disconnect", ignore)
    assert any(run(seed).late_ids for seed in range(3))


def test_connection_that_was_closed_meanwhile_counts_as_left():
    """Guards against errors when a connection is given up for a new one."""

    async def scenario() -> None:
        ours, theirs = trio.socket.socketpair()
        accepted = AcceptedConnection(stream=CountedStream(ours), queued_since=0.0)
        connections = OpenConnections(limit=None, memory=ProcessMemory())
        reader = RequestReader(
            accepted=accepted,
            options=ServerOptions(),
            held=connections.open(on_evicted=ours.close, on_closed=ours.close),
            idle_connections=IdleConnections(),
        )
        ours.close()
        assert await reader.has_caller_left()
        theirs.close()

    trio.run(scenario)
