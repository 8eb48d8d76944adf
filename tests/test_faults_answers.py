"""Tests of answers and sign-offs during faults, with real processes."""

import trio
from fault_support import (
    PROCESS_START_S,
    SLOW_FACTOR,
    FleetCallers,
    count_sign_offs,
    find_log_lines,
    make_model_requests,
    make_sign_off_requests,
    new_request_id,
    post_sign_off,
    router_status,
    run_in_thread,
    set_speed,
    start_fleet,
    start_trace,
    wait_until,
    write_configuration,
)

from lavenderfold.replay import CallOutcome, Step

FIRST_ROUTER, SECOND_ROUTER = "router-west-1", "router-west-2"
# At most half of an engine's slots, so that one engine can run two such traces.
STREAM_COUNT = 4
WRITERS = ("writer-1", "writer-2")


def run_ids(fleet, target: str) -> set[str]:
    """Return the request ids of the runs that a target has counted."""
    return set(fleet[f"{target}-stand-in"].get("/stats")["runs_by_request_id"])


def busy_writer(fleet) -> str:
    """Return the name of a model target that has runs."""
    return next(name for name in WRITERS if run_ids(fleet, name))


def test_terminated_router_and_agent_complete_open_streams(tmp_path):
    """A graceful shutdown must not break answers, accept new work or keep tokens."""

    async def scenario(fleet) -> None:
        callers = FleetCallers(fleet)
        leaving = router_status(fleet, FIRST_ROUTER)["incarnation"]
        await run_in_thread(set_speed, fleet, SLOW_FACTOR)
        async with trio.open_nursery() as nursery:
            trace = start_trace(
                nursery, callers, make_model_requests(FIRST_ROUTER, STREAM_COUNT)
            )
            await trace.wait_until_streaming(STREAM_COUNT)
            target = busy_writer(fleet)
            before = run_ids(fleet, target)
            fleet[f"{target}-agent"].terminate()
            fleet[FIRST_ROUTER].terminate()
            await wait_until(
                lambda: (
                    find_log_lines(fleet[f"{target}-agent"], "drain")
                    and find_log_lines(fleet[FIRST_ROUTER], "draining")
                ),
                "router and agent are draining",
            )
            later = start_trace(
                nursery,
                callers,
                make_model_requests(SECOND_ROUTER, STREAM_COUNT, label="later"),
            )
            await later.wait_until_streaming(STREAM_COUNT)
            assert run_ids(fleet, target) == before
            await run_in_thread(set_speed, fleet, 1.0)
            records = await trace.wait_until_finished()
            records = records + await later.wait_until_finished()
        attempts = [[each.step for each in record.attempts] for record in records]
        assert attempts == [[Step.POST]] * len(records)
        for name in (FIRST_ROUTER, f"{target}-agent"):
            assert await run_in_thread(fleet[name].wait_ended) == 0
        assert run_ids(fleet, target) == before
        await callers.assert_checks_pass(records, {})
        assert leaving not in await callers.holders()
        assert (await callers.budget()).unexplained == 0

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(scenario, fleet)


def test_sign_off_with_a_lost_answer_runs_once(tmp_path):
    """A request whose answer was lost may have run; a retry must not run it again."""

    async def scenario(fleet) -> None:
        callers = FleetCallers(fleet)
        fleet["log-1-stand-in"].set_faults(lose_answers=1)
        request_id = new_request_id()
        for router in (FIRST_ROUTER, SECOND_ROUTER, FIRST_ROUTER):
            status_code, body = await run_in_thread(
                post_sign_off, fleet, router, request_id, "lamp/1"
            )
            assert status_code >= 400, body
            assert body["error"]["outcome"] == "may_have_run", body
            assert count_sign_offs(fleet) == 1
        # The service answers again. A simulated caller must handle a lost answer in
        # the same way.
        fleet["log-1-stand-in"].set_faults(lose_answers=1)
        records = await callers.play(make_sign_off_requests(FIRST_ROUTER, 2))
        outcomes = sorted(record.outcome.value for record in records)
        assert outcomes == ["may_have_run", "ran"]
        assert count_sign_offs(fleet) == 3
        await callers.assert_checks_pass(records, {})

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(scenario, fleet)


def test_only_idempotent_requests_run_again_after_an_agent_is_killed(tmp_path):
    """An agent's crash must not lose model requests or run a sign-off twice."""

    async def scenario(fleet) -> None:
        callers = FleetCallers(fleet)
        await run_in_thread(set_speed, fleet, SLOW_FACTOR)
        # The frozen service doesn't answer the sign-off until it's unfrozen.
        fleet["log-1-stand-in"].set_faults(frozen=True)
        async with trio.open_nursery() as nursery:
            model_trace = start_trace(
                nursery, callers, make_model_requests(FIRST_ROUTER, STREAM_COUNT)
            )
            sign_off_trace = start_trace(
                nursery, callers, make_sign_off_requests(FIRST_ROUTER, 1)
            )
            await model_trace.wait_until_streaming(STREAM_COUNT)
            target = busy_writer(fleet)
            lost_runs = run_ids(fleet, target)
            await wait_until(
                lambda: find_log_lines(fleet["log-1-agent"], "run_start"),
                "a sign-off runs",
            )
            for name in (target, "log-1"):
                fleet[f"{name}-agent"].kill()
            fleet["log-1-stand-in"].set_faults(frozen=False)
            fleet["log-1-agent"].start()
            await run_in_thread(fleet["log-1-agent"].wait_ready)
            await run_in_thread(set_speed, fleet, 1.0)
            # The restarted agent answers that it doesn't know the run, so the router
            # stops waiting for it.
            with trio.fail_after(PROCESS_START_S):
                sign_off_records = await sign_off_trace.wait_until_finished()
            model_records = await model_trace.wait_until_finished()
        assert [each.outcome for each in sign_off_records] == [CallOutcome.MAY_HAVE_RUN]
        assert count_sign_offs(fleet) <= 1
        evidence = await callers.assert_checks_pass(
            model_records + sign_off_records, {}
        )
        runs_by_id = evidence.runs_by_request_id()
        repeated = [r for r in model_records if len(runs_by_id[r.request_id]) == 2]
        assert len(repeated) == len(lost_runs)

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(scenario, fleet)
