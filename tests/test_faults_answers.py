"""Answers and sign-offs under failure, on real processes."""

import trio
from fault_support import (
    PROCESS_START_S,
    SLOW_FACTOR,
    Callers,
    in_thread,
    log_lines,
    make_asks,
    make_signs,
    new_request_id,
    post_sign,
    set_speed,
    sign_offs,
    start_fleet,
    start_playing,
    status,
    wait_until,
    write_configuration,
)

from lavenderfold.replay import CallOutcome, Step

FIRST, SECOND = "router-west-1", "router-west-2"
# At most half of an engine's slots, so that one engine can run two such sets.
STREAMS = 4
WRITERS = ("writer-1", "writer-2")


def run_ids(fleet, target: str) -> set[str]:
    """Return the ids of the runs that a target has counted."""
    return set(fleet[f"{target}-stand-in"].get("/stats")["runs_by_request_id"])


def busy_writer(fleet) -> str:
    """Return a model target that runs something."""
    return next(name for name in WRITERS if run_ids(fleet, name))


def test_termination_of_router_and_agent_cuts_no_stream(tmp_path):
    """A graceful shutdown must not interrupt answers, take new work or keep money."""

    async def play(fleet) -> None:
        callers = Callers(fleet)
        leaving = status(fleet, FIRST)["incarnation"]
        await in_thread(set_speed, fleet, SLOW_FACTOR)
        async with trio.open_nursery() as nursery:
            playing = start_playing(nursery, callers, make_asks(FIRST, STREAMS))
            await playing.wait_streaming(STREAMS)
            target = busy_writer(fleet)
            before = run_ids(fleet, target)
            fleet[f"{target}-agent"].terminate()
            fleet[FIRST].terminate()
            await wait_until(
                lambda: (
                    log_lines(fleet[f"{target}-agent"], "drain")
                    and log_lines(fleet[FIRST], "draining")
                ),
                "router and agent are leaving",
            )
            later = start_playing(
                nursery, callers, make_asks(SECOND, STREAMS, label="later")
            )
            await later.wait_streaming(STREAMS)
            assert run_ids(fleet, target) == before
            await in_thread(set_speed, fleet, 1.0)
            records = await playing.wait_finished()
            records = records + await later.wait_finished()
        attempts = [[each.step for each in record.attempts] for record in records]
        assert attempts == [[Step.POST]] * len(records)
        for name in (FIRST, f"{target}-agent"):
            assert await in_thread(fleet[name].wait_ended) == 0
        assert run_ids(fleet, target) == before
        await callers.judge(records, {})
        assert leaving not in await callers.holders()
        assert (await callers.budget()).unexplained == 0

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(play, fleet)


def test_sign_off_with_a_lost_answer_runs_once(tmp_path):
    """A lost answer says nothing about the run, so a retry must not repeat it."""

    async def play(fleet) -> None:
        callers = Callers(fleet)
        fleet["log-1-stand-in"].set_faults(lose_answers=1)
        request_id = new_request_id()
        for router in (FIRST, SECOND, FIRST):
            answered, body = await in_thread(
                post_sign, fleet, router, request_id, "lamp/1"
            )
            assert answered >= 400, body
            assert body["error"]["outcome"] == "may_have_run", body
            assert sign_offs(fleet) == 1
        # The service works again, and a player's caller treats the same loss alike.
        fleet["log-1-stand-in"].set_faults(lose_answers=1)
        records = await callers.play(make_signs(FIRST, 2))
        outcomes = sorted(record.outcome.value for record in records)
        assert outcomes == ["may_have_run", "ran"]
        assert sign_offs(fleet) == 3
        await callers.judge(records, {})

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(play, fleet)


def test_killed_agent_repeats_only_what_may_repeat(tmp_path):
    """A crash must neither lose questions nor run a sign-off a second time."""

    async def play(fleet) -> None:
        callers = Callers(fleet)
        await in_thread(set_speed, fleet, SLOW_FACTOR)
        # The service holds the sign-off until it's told to go on.
        fleet["log-1-stand-in"].set_faults(frozen=True)
        async with trio.open_nursery() as nursery:
            asking = start_playing(nursery, callers, make_asks(FIRST, STREAMS))
            signing = start_playing(nursery, callers, make_signs(FIRST, 1))
            await asking.wait_streaming(STREAMS)
            target = busy_writer(fleet)
            lost_runs = run_ids(fleet, target)
            await wait_until(
                lambda: log_lines(fleet["log-1-agent"], "run_start"), "a sign-off runs"
            )
            for name in (target, "log-1"):
                fleet[f"{name}-agent"].kill()
            fleet["log-1-stand-in"].set_faults(frozen=False)
            fleet["log-1-agent"].start()
            await in_thread(fleet["log-1-agent"].wait_ready)
            await in_thread(set_speed, fleet, 1.0)
            # The agent that is back knows of no run, which ends the wait for it.
            with trio.fail_after(PROCESS_START_S):
                signed = await signing.wait_finished()
            asked = await asking.wait_finished()
        assert [each.outcome for each in signed] == [CallOutcome.MAY_HAVE_RUN]
        assert sign_offs(fleet) <= 1
        evidence = await callers.judge(asked + signed, {})
        runs_by_id = evidence.runs_by_request_id()
        repeated = [r for r in asked if len(runs_by_id[r.request_id]) == 2]
        assert len(repeated) == len(lost_runs)

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(play, fleet)
