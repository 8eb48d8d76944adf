"""Agent-based routers while prompts with one beginning crash each engine."""

from functools import partial

import msgspec
import pytest
import trio

from lavenderfold.messages import RunAccepted, RunUnknown
from lavenderfold.outcomes import MayHaveRun, Reason
from lavenderfold.quarantine import BEGINNING_S
from lavenderfold.quarantine._culprits import QUARANTINE_CRASHES, SUSPECT_CRASHES
from lavenderfold.quarantine._quarantine import OBJECTION_S, SAME_MOMENT_S
from tests.router_fleet import (
    ANSWER,
    FakeAgent,
    Fleet,
    answer_at_once,
    completion,
    make_frames,
    response_error,
    run_ended,
    run_fleet,
    wait_until,
)

TARGETS = 6
CRASHES = 5
LATE_RUNS_LIMIT = 3
# Longer than a block of the prompts' hashes.
BEGINNING_WORDS = 40
LOST = MayHaveRun(Reason.CONNECTION_LOST, "the engine closed the connection")


def prompt(beginning: str, number: int) -> str:
    return " ".join([beginning] * BEGINNING_WORDS + [f"question {number}"])


def crash_on_deadly(agent: FakeAgent, run) -> list:
    if "deadly" not in run.prompt:
        return answer_at_once(agent, run)
    return [RunAccepted(run.run_id), run_ended(run.run_id, LOST)]


def test_prompt_that_crashed_five_engines_reaches_no_more_engines():
    """Guards against retries that crash one engine after the other."""
    agents = [
        FakeAgent(f"t{number}", answer_run=crash_on_deadly) for number in range(TARGETS)
    ]

    def deadly_runs() -> int:
        return sum("deadly" in run.prompt for agent in agents for run in agent.runs)

    async def check(fleet: Fleet):
        for number in range(1, 4 * CRASHES):
            body = completion(prompt=prompt("deadly", number))
            await fleet.call("POST", "/v1/completions", body)
            if deadly_runs() >= CRASHES:
                break
        assert deadly_runs() <= CRASHES
        runs_before = deadly_runs()
        for number in range(100, 105):
            body = completion(prompt=prompt("deadly", number))
            await fleet.call("POST", "/v1/completions", body)
        assert deadly_runs() - runs_before <= LATE_RUNS_LIMIT
        sound = completion(prompt=prompt("sound", 1))
        answer = await fleet.call("POST", "/v1/completions", sound)
        assert answer.status == 200

    run_fleet(check, *agents, prepaid=1_000_000)


class ForgetfulAgent(FakeAgent):
    """An agent that doesn't know its runs any more when its link is back."""

    def answer_resume(self, message) -> list:
        return [RunUnknown(message.subscription)]


def make_agents(answer_run=crash_on_deadly) -> list[FakeAgent]:
    names = [f"t{number}" for number in range(TARGETS)]
    return [ForgetfulAgent(name, answer_run=answer_run) for name in names]


async def send(fleet: Fleet, beginning: str, number: int):
    body = completion(prompt=prompt(beginning, number))
    return await fleet.call("POST", "/v1/completions", body)


def count_runs(agents: list[FakeAgent], text: str) -> int:
    return sum(text in run.prompt for agent in agents for run in agent.runs)


def test_lost_request_may_have_run_and_later_ones_are_refused_as_not_run():
    """Guards against callers who can't tell a lost request from a refused one."""
    agents = make_agents()

    async def check(fleet: Fleet):
        lost = await send(fleet, "deadly", 1)
        assert (lost.status, response_error(lost)["outcome"]) == (502, "may_have_run")
        # Not sent to a third engine.
        assert count_runs(agents, "deadly") == SUSPECT_CRASHES
        last = await send(fleet, "deadly", 2)
        assert (last.status, response_error(last)["outcome"]) == (502, "may_have_run")
        assert count_runs(agents, "deadly") == QUARANTINE_CRASHES
        for number in range(3, 6):
            refused = await send(fleet, "deadly", number)
            assert refused.status == 503
            error = response_error(refused)
            assert error["type"] == "prompt_quarantined"
            assert error["outcome"] == "not_run"
            assert int(dict(refused.headers)["retry-after"]) > 60
        assert count_runs(agents, "deadly") == QUARANTINE_CRASHES

    run_fleet(check, *agents, prepaid=1_000_000)


def test_beginning_that_sound_prompts_share_is_not_blamed():
    """Guards against refusing all prompts that begin like the deadly ones."""
    agents = make_agents()
    common = "common " * 16

    async def check(fleet: Fleet):
        for number in range(4):
            for beginning in (common + "deadly", common + "sound"):
                answer = await send(fleet, beginning, number)
                assert (answer.status == 200) == ("sound" in beginning)
        assert count_runs(agents, "deadly") == QUARANTINE_CRASHES

    run_fleet(check, *agents, prepaid=1_000_000)


def end_late(run) -> list:
    """Lose a run after its answer went on beyond its beginning."""
    first, second, *_ = make_frames(run.run_id, ANSWER)
    ends = trio.Event()

    async def wait():
        await trio.sleep(BEGINNING_S + 0.1)
        ends.set()

    trio.lowlevel.spawn_system_task(wait)
    return [RunAccepted(run.run_id), first, ends, second, run_ended(run.run_id, LOST)]


def lose_link(run) -> list:
    """Lose the agent together with its engine, as when a VM goes away."""
    return [RunAccepted(run.run_id), None]


def fail(run) -> list:
    outcome = MayHaveRun(Reason.TARGET_FAILED, "status 500")
    return [RunAccepted(run.run_id), run_ended(run.run_id, outcome)]


@pytest.mark.parametrize("steps", [end_late, lose_link, fail])
def test_loss_of_another_cause_is_no_evidence(steps):
    """Guards against refusing prompts for lost VMs, errors and long answers."""
    is_failing = True

    def answer_run(agent: FakeAgent, run) -> list:
        return steps(run) if is_failing else answer_at_once(agent, run)

    agents = make_agents(answer_run)

    async def check(fleet: Fleet):
        nonlocal is_failing
        for number in range(4):
            await fleet.wait_connected(fleet.router)
            answer = await send(fleet, "unlucky", number)
            assert answer.status != 200
            await trio.sleep(SAME_MOMENT_S)
        await trio.sleep(OBJECTION_S)
        is_failing = False
        await fleet.wait_connected(fleet.router)
        assert (await send(fleet, "unlucky", 9)).status == 200

    run_fleet(check, *agents, prepaid=1_000_000)


def test_request_that_waits_for_a_target_is_not_sent_after_the_quarantine_began():
    """Guards against a queue of requests that crash each engine that is back."""
    is_held = trio.Event()

    def answer_run(agent: FakeAgent, run) -> list:
        if "hold" in run.prompt:
            return [RunAccepted(run.run_id), is_held, *answer_at_once(agent, run)[1:]]
        return crash_on_deadly(agent, run)

    agents = [FakeAgent("t0", answer_run=answer_run)]
    agents[0].report = msgspec.structs.replace(agents[0].report, slots=1)

    async def check(fleet: Fleet):
        statuses = []

        async def send_later(beginning: str, number: int):
            statuses.append((await send(fleet, beginning, number)).status)

        await send(fleet, "deadly", 1)
        assert count_runs(agents, "deadly") == SUSPECT_CRASHES
        async with trio.open_nursery() as nursery:
            for number in range(2):
                nursery.start_soon(send_later, "hold", number)
            await wait_until(lambda: count_runs(agents, "hold") == 2)
            for number in range(10, 14):
                nursery.start_soon(partial(send_later, "deadly", number))
            await trio.sleep(0.3)
            is_held.set()
        # Two of the four are sent at once when the target has room.
        assert count_runs(agents, "deadly") == SUSPECT_CRASHES + 2
        assert sorted(statuses) == [200, 200, 502, 502, 503, 503]

    run_fleet(check, *agents, prepaid=1_000_000, wait_s=10.0)
