"""Ends of runs that wait to be read when the router's limit for the run passes."""

import time

import trio

from lavenderfold.links._link import LENGTH_PREFIX
from lavenderfold.messages import RunAccepted
from lavenderfold.router import _request_execution
from tests.router_fleet import (
    ANSWER,
    SIGNOFF_PATH,
    FakeAgent,
    make_frames,
    new_id,
    response_error,
    run_ended,
    run_fleet,
)

# The classes of the fleet's requests may wait 2 s and run 10 s.
CLASS_LIMITS_S = 12.0
RUN_LIMIT_S = 0.5


def answer_while_suspended(agent, run):
    """Send the whole answer, then stop the event loop until the limit has passed."""
    answer = [
        *make_frames(run.run_id, ANSWER),
        run_ended(run.run_id, agent.outcome_of_latest_run(run.key)),
    ]
    link = agent.links[-1]
    data = link._encode([RunAccepted(run.run_id), *answer])
    link._stream.socket._sock.send(LENGTH_PREFIX.pack(len(data)) + data)
    time.sleep(RUN_LIMIT_S + 0.3)
    return []


def test_end_of_a_run_that_waits_when_its_limit_passes_is_read(monkeypatch):
    """Guards against a sign-off that ran and is reported as perhaps not run."""
    grace_s = RUN_LIMIT_S - CLASS_LIMITS_S
    monkeypatch.setattr(_request_execution, "RUN_GRACE_S", grace_s)

    async def check(fleet):
        headers = {"idempotency-key": new_id()}
        response = await fleet.call("POST", SIGNOFF_PATH, b"{}", headers=headers)
        assert response.status == 201, response_error(response)
        assert response.body == ANSWER

    run_fleet(check, FakeAgent("app1", answer_run=answer_while_suspended))


def test_run_without_an_end_is_given_up_at_its_limit(monkeypatch):
    """Guards against a caller that waits beyond the limit for an agent's answer."""
    grace_s = RUN_LIMIT_S - CLASS_LIMITS_S
    monkeypatch.setattr(_request_execution, "RUN_GRACE_S", grace_s)
    agent = FakeAgent("app1", answer_run=lambda agent, run: [trio.Event()])

    async def check(fleet):
        headers = {"idempotency-key": new_id()}
        response = await fleet.call("POST", SIGNOFF_PATH, b"{}", headers=headers)
        assert response.status == 504
        assert response_error(response)["outcome"] == "may_have_run"

    run_fleet(check, agent)
