"""Agent-based routers while prompts with one beginning crash each engine."""

from lavenderfold.messages import RunAccepted
from lavenderfold.outcomes import MayHaveRun, Reason
from tests.router_fleet import (
    FakeAgent,
    Fleet,
    answer_at_once,
    completion,
    run_ended,
    run_fleet,
)

TARGETS = 6
CRASHES = 5
LATE_RUNS_LIMIT = 3
# Longer than a block of the prompts' hashes.
BEGINNING_WORDS = 40


def prompt(beginning: str, number: int) -> str:
    return " ".join([beginning] * BEGINNING_WORDS + [f"question {number}"])


def crash_on_deadly(agent: FakeAgent, run) -> list:
    if "deadly" not in run.prompt:
        return answer_at_once(agent, run)
    lost = MayHaveRun(Reason.CONNECTION_LOST, "the engine closed the connection")
    return [RunAccepted(run.run_id), run_ended(run.run_id, lost)]


def test_prompt_that_crashed_five_engines_reaches_no_more_engines():
    """Guards against retries that crash one engine after the other."""
    agents = [
        FakeAgent(f"t{number}", answer_run=crash_on_deadly) for number in range(TARGETS)
    ]

    def deadly_runs() -> int:
        return sum("deadly" in run.prompt for agent in agents for run in agent.runs)

    async def check(fleet: Fleet):
        number = 0
        while deadly_runs() < CRASHES:
            number += 1
            body = completion(prompt=prompt("deadly", number))
            await fleet.call("POST", "/v1/completions", body)
        runs_before = deadly_runs()
        for number in range(100, 105):
            body = completion(prompt=prompt("deadly", number))
            await fleet.call("POST", "/v1/completions", body)
        assert deadly_runs() - runs_before <= LATE_RUNS_LIMIT
        sound = completion(prompt=prompt("sound", 1))
        answer = await fleet.call("POST", "/v1/completions", sound)
        assert answer.status == 200

    run_fleet(check, *agents, prepaid=1_000_000)
