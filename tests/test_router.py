"""The router with fake agents: input, answers, retries, money and drain."""

import msgspec

from tests.router_fleet import (
    ANSWER,
    FakeAgent,
    Fleet,
    ran,
    run_fleet,
    wait_until,
)


def completion(**changes) -> bytes:
    body = {"model": "ask", "prompt": "how dark is it", "max_tokens": 100}
    return msgspec.json.encode({**body, **changes})


def test_whole_answer_is_delivered_and_billed():
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        response = await fleet.call("POST", "/v1/completions", completion())
        assert response.status == 200
        answer = msgspec.json.decode(response.body)
        assert answer["text"] == ANSWER.decode()
        assert answer["digest"] == ran(ANSWER).digest
        assert answer["usage"] == {"tokens": 20}
        await wait_until(lambda: agent.stored == [agent.runs[0].run_id])
        assert fleet.record().settled == 20
        assert fleet.record().usage(answer["id"]) == 20

    run_fleet(check, agent)
