"""Direct routers whose targets turn requests away and want none for a while."""

import msgspec
import pytest
import trio

from lavenderfold.direct import _load
from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import ResponseLostError
from tests.direct_support import (
    answer_successfully,
    event,
    fail,
    make_config,
    make_route,
    reject,
    run_scenario,
    stream,
    valid_headers,
)
from tests.notice_support import count_arrivals, reach, read_metrics, turn_away

PAUSE_S = 0.8
# The latency objective of the route that may wait for the end of a pause.
PATIENT_OBJECTIVE_S = 1.5


def error_type(answer) -> str:
    return msgspec.json.decode(answer.body)["error"]["type"]


def retry_after_s(answer) -> float:
    return float(answer.header("retry-after"))


async def start_pause(fleet, id: str = "t0", pause_s: float = PAUSE_S) -> None:
    """Let a target turn one request away; it would answer later ones."""
    target = fleet.target_by_id[id]
    target.pause_s = pause_s
    await reach(fleet, id)
    target.pause_s = None


@pytest.mark.parametrize("is_not_run", [True, False])
def test_target_that_pauses_is_used_again_when_the_pause_is_over(is_not_run):
    """Guards against a target that counts as failed because it has turned away."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.script = turn_away(PAUSE_S, is_not_run=is_not_run)
        await reach(fleet, "t0")
        paused_at = trio.current_time()
        target.script = answer_successfully
        while trio.current_time() < paused_at + PAUSE_S - 0.2:
            assert await count_arrivals(fleet, "t0") == 0
        await trio.sleep_until(paused_at + PAUSE_S + 0.02)
        assert await count_arrivals(fleet, "t0") > 0

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_no_request_arrives_in_the_pause_though_many_callers_send():
    """Guards against requests, held or repeated, that come in spite of the pause."""
    target_pause_s, margin_s = 1.0, 0.1

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        arrivals = []
        answered_at = []

        async def turn_away_and_note(request, writer):
            arrivals.append(trio.current_time())
            await turn_away(target_pause_s)(request, writer)
            answered_at.append(trio.current_time())

        async def send_often(caller):
            for number in range(20):
                attempt = f"attempt-{caller}-{number}"
                path = "/read/x" if number % 2 else "/sign/x"
                await fleet.send_request(path, attempt=attempt)
                await trio.sleep(0.05)

        target.script = turn_away_and_note
        async with trio.open_nursery() as nursery:
            for caller in range(10):
                nursery.start_soon(send_often, caller)
        begin, end = answered_at[0] + margin_s, answered_at[0] + target_pause_s
        assert not [each for each in arrivals if begin < each < end]

    run_scenario(scenario, answer_successfully, answer_successfully)


@pytest.mark.parametrize("is_not_run", [True, False])
def test_repeated_pauses_don_t_eject_a_target(is_not_run):
    """Guards against ejections that grow while a target only asks for pauses."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.script = turn_away(0.1, is_not_run=is_not_run)
        for _ in range(4):
            await reach(fleet, "t0")
            await trio.sleep(0.12)
        target.script = answer_successfully
        assert await count_arrivals(fleet, "t0") > 0

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_success_of_an_earlier_request_doesn_t_end_the_pause():
    """Guards against a success that lifts a pause as it lifts an ejection."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        is_running, may_answer = trio.Event(), trio.Event()
        statuses = []

        async def answer_late(request, writer):
            is_running.set()
            await may_answer.wait()
            await answer_successfully(request, writer)

        async def send_slow():
            answer = await fleet.send_request("/sign/x", attempt="slow")
            statuses.append(answer.status)

        target.script = answer_late
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_slow)
            await is_running.wait()
            await start_pause(fleet)
            target.script = answer_successfully
            may_answer.set()
        assert statuses == [200]
        assert await count_arrivals(fleet, "t0") == 0

    run_scenario(scenario, answer_successfully)


@pytest.mark.parametrize("pauses", [(PAUSE_S, 0.05), (0.05, PAUSE_S)])
def test_later_end_of_two_pauses_counts(pauses):
    """Guards against a shorter second pause that cuts the first one."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        may_answer = trio.Event()

        async def turn_away_together(request, writer):
            if len(target.received) == len(pauses):
                may_answer.set()
            await may_answer.wait()
            number = int(request.header("x-attempt"))
            await trio.sleep(0.05 * number)
            await turn_away(pauses[number])(request, writer)

        target.script = turn_away_together
        async with trio.open_nursery() as nursery:
            for number in range(len(pauses)):
                nursery.start_soon(send, fleet, str(number))
        await trio.sleep(0.1)
        assert await count_arrivals(fleet, "t0") == 0

    async def send(fleet, attempt):
        await fleet.send_request("/sign/x", attempt=attempt)

    run_scenario(scenario, answer_successfully)


def test_request_is_refused_at_once_if_all_targets_pause():
    """Guards against refusals that come late or don't tell when to return."""

    async def scenario(fleet):
        await start_pause(fleet, "t0", 0.9)
        await start_pause(fleet, "t1", 0.6)
        before = trio.current_time()
        answer = await fleet.send_request("/sign/x")
        assert trio.current_time() - before < 0.1
        assert (answer.status, error_type(answer)) == (503, "targets_paused")
        # Spread between the end of the pause and a third of the caller's 3 s.
        assert 0.3 < retry_after_s(answer) <= 1.0
        await trio.sleep(retry_after_s(answer))
        assert (await fleet.send_request("/sign/x")).status == 200

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_request_that_is_turned_away_learns_when_the_pause_ends():
    """Guards against callers that come back while the only target pauses."""

    async def scenario(fleet):
        fleet.target_by_id["t0"].pause_s = 0.6
        answer = await fleet.send_request("/sign/x")
        assert answer.status == 503
        assert 0.5 < retry_after_s(answer) <= 1.0

    run_scenario(scenario, answer_successfully)


def test_caller_isn_t_told_to_wait_longer_than_it_can():
    """Guards against callers that don't ask another router before their deadline."""

    async def scenario(fleet):
        await start_pause(fleet, "t0", 20.0)
        answer = await fleet.send_request("/sign/x", patience="1.5")
        assert answer.status == 503
        assert retry_after_s(answer) < 0.5

    run_scenario(scenario, answer_successfully)


def patient_config():
    route = make_route(
        "patient", RepeatPolicy.SINGLE_RUN, latency_objective_s=PATIENT_OBJECTIVE_S
    )
    return make_config(routes=(*make_config().routes, route))


def test_request_waits_for_a_pause_that_ends_well_within_its_objective():
    """Guards against refusals of requests that would still be answered in time."""

    async def scenario(fleet):
        await start_pause(fleet, "t0", 0.4)
        before = trio.current_time()
        answer = await fleet.send_request("/patient/x")
        assert answer.status == 200
        assert 0.2 < trio.current_time() - before < PATIENT_OBJECTIVE_S

    run_scenario(scenario, answer_successfully, config=patient_config())


def test_waiting_request_is_refused_if_its_target_leaves_meanwhile():
    """Guards against held requests that go to a target which has said it leaves."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        may_answer = trio.Event()
        answers = []

        async def answer_late(request, writer):
            await may_answer.wait()
            await answer_successfully(request, writer)

        async def send(path):
            answers.append(await fleet.send_request(path, attempt=path))

        target.script = answer_late
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "/sign/x")
            await fleet.wait_until(lambda: len(target.received) == 1)
            await start_pause(fleet, "t0", 0.4)
            nursery.start_soon(send, "/patient/x")
            await trio.sleep(0.1)
            target.is_leaving = True
            arrivals_before = len(target.received)
            target.script = turn_away(0.01)
            may_answer.set()
        assert len(target.received) == arrivals_before
        assert [each.status for each in answers] == [200, 503]
        assert error_type(answers[1]) == "no_target"

    run_scenario(scenario, answer_successfully, config=patient_config())


@pytest.mark.parametrize("script", [reject, fail])
def test_failed_request_doesn_t_go_to_a_pausing_target(script):
    """Guards against failover that looks only at the targets it has tried."""

    async def scenario(fleet):
        await start_pause(fleet, "t0", 5.0)
        fleet.target_by_id["t1"].script = script
        assert await count_arrivals(fleet, "t0") == 0

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_stream_isn_t_resumed_at_a_pausing_target():
    """Guards against resumption that looks only at the targets it has tried."""

    async def scenario(fleet):
        await start_pause(fleet, "t0", 5.0)
        before = len(fleet.target_by_id["t0"].received)
        fleet.target_by_id["t1"].script = stream(end_at=2, cut=True)
        with pytest.raises(ResponseLostError):
            await fleet.send_request("/draft/x")
        assert len(fleet.target_by_id["t0"].received) == before

    run_scenario(scenario, stream(), stream())


def test_stream_is_resumed_after_a_pause_within_its_pause_limit():
    """Guards against a stream that is cut although a target is soon free again."""
    route = make_route(
        "novel", RepeatPolicy.STREAM, is_resumable=True, pause_limit_s=1.0
    )
    config = make_config(routes=(*make_config().routes, route))

    async def scenario(fleet):
        await start_pause(fleet, "t0", 0.4)
        fleet.target_by_id["t1"].script = stream(end_at=2, cut=True)
        answer = await fleet.send_request("/novel/x")
        assert answer.body == b"".join(event(number) for number in range(1, 5))

    run_scenario(scenario, stream(), stream(), config=config)


@pytest.mark.parametrize(
    ("pause", "value"),
    [
        ("soon", "invalid"),
        ("nan", "invalid"),
        ("-1", "invalid"),
        ("inf", "too_long"),
        ("1e9", "too_long"),
        ("0.31", "too_long"),
    ],
)
def test_bad_pause_is_counted_and_takes_no_target_out_for_good(
    pause, value, monkeypatch
):
    """Guards against errors and endless pauses from values that are no pause."""
    limit_s = 0.3
    monkeypatch.setattr(_load, "PAUSE_LIMIT_S", limit_s)

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.pause_s = pause
        assert (await fleet.send_request("/sign/x")).status == 503
        target.pause_s = None
        await trio.sleep(limit_s + 0.02)
        assert (await fleet.send_request("/sign/x", attempt="b")).status == 200
        counted = f'lavenderfold_target_pauses_total{{value="{value}"}} 1.0'
        assert counted in await read_metrics(fleet)

    run_scenario(scenario, answer_successfully)


def test_pause_is_explained_once_a_second(caplog):
    """Guards against a target that gets nothing for no visible reason."""
    caplog.set_level("INFO")

    async def scenario(fleet):
        fleet.target_by_id["t0"].pause_s = 0.05
        for number in range(6):
            await fleet.send_request("/sign/x", attempt=f"attempt-{number}")
            await trio.sleep(0.06)
        await fleet.send_request("/sign/x", attempt="last")
        page = await read_metrics(fleet)
        assert 'lavenderfold_targets{state="pausing"} 1.0' in page
        assert 'lavenderfold_target_pauses_total{value="valid"} 7.0' in page

    run_scenario(scenario, answer_successfully)
    lines = [each for each in caplog.records if each.message == "target_pausing"]
    assert [(each.target, each.born) for each in lines] == [("t0", 0)]
    assert lines[0].request_id == "attempt-0"
    assert lines[0].pause_ms == 50


def test_crash_isn_t_recorded_for_a_target_that_turned_away(caplog):
    """Guards against evidence of a crash from a refusal whose connection broke."""
    caplog.set_level("INFO")

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]

        async def crash_after_head(request, writer):
            headers = [*valid_headers(request), ("x-pause", "0.2")]
            await writer.start(503, headers)
            await trio.sleep(0.05)
            target.crash()
            await trio.sleep_forever()

        target.script = crash_after_head
        await fleet.send_request("/draft/x", parts="shared,own")
        await trio.sleep(0.3)

    run_scenario(scenario, stream())
    assert not [each for each in caplog.records if each.message == "crash_observed"]
