"""Direct routers whose targets say in their answers that they leave."""

import msgspec
import pytest
import trio

from lavenderfold.fleet._directory import REMOVAL_GRACE_S
from lavenderfold.http import HttpResponse, ResponseLostError
from tests.direct_support import (
    TargetRecord,
    answer_successfully,
    event,
    fail,
    reject,
    run_scenario,
    stream,
    valid_headers,
)
from tests.notice_support import count_arrivals, reach, read_metrics

# Longer than the period in which the router drops the state of removed targets.
CLEANUP_S = 2.3


async def answer_unsigned(request, writer):
    headers = [("x-attempt", request.header("x-attempt"))]
    await writer.send(HttpResponse(status=200, headers=headers, body=b"done"))


async def answer_other_attempt(request, writer):
    headers = [("x-attempt", "an earlier one"), ("x-signature", "yes")]
    await writer.send(HttpResponse(status=200, headers=headers, body=b"done"))


async def answer_body_late(request, writer):
    """Send the body later than the router waits for this target."""
    await writer.start(200, valid_headers(request))
    await trio.sleep(1.0)


async def break_off_after_head(request, writer):
    await writer.start(200, valid_headers(request))
    raise RuntimeError("the target closes the connection within its answer")


@pytest.mark.parametrize(
    "script",
    [
        answer_successfully,
        fail,
        reject,
        answer_unsigned,
        answer_other_attempt,
        answer_body_late,
        break_off_after_head,
    ],
)
def test_target_that_says_it_leaves_gets_no_new_request(script):
    """Guards against answers of some kind whose notice of leaving is overlooked."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.is_leaving = True
        target.script = script
        await reach(fleet, "t0")
        # Longer than the ejection after the failed attempt.
        await trio.sleep(0.6)
        assert await count_arrivals(fleet, "t0") == 0

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_leaving_takes_effect_at_the_head_of_a_stream_that_goes_on():
    """Guards against a target that gets requests until its long answer has ended."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        is_begun, may_end = trio.Event(), trio.Event()
        answers = []

        async def slow_stream(request, writer):
            headers = [*valid_headers(request), ("content-type", "text/event-stream")]
            await writer.start(200, headers)
            await writer.write(event(1))
            is_begun.set()
            await may_end.wait()
            await writer.write(event(2))
            await writer.finish()

        async def read_stream():
            answers.append(await reach(fleet, "t0", "/chat/x"))

        target.is_leaving = True
        target.script = slow_stream
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_stream)
            await is_begun.wait()
            await trio.sleep(0.05)
            assert await count_arrivals(fleet, "t0") == 0
            may_end.set()
        assert answers[0].body == event(1) + event(2)

    run_scenario(scenario, stream())


async def put_again(fleet):
    fleet.register(fleet.target_by_id["t0"])


async def list_again(fleet):
    fleet.store.forget_history()
    fleet.store.put("targets/other", b"unreadable")


async def remove_and_put_again(fleet):
    fleet.store.remove("targets/t0")
    await trio.sleep(CLEANUP_S)
    fleet.register(fleet.target_by_id["t0"])


async def drain_and_put_again(fleet):
    fleet.register(fleet.target_by_id["t0"], is_draining=True)
    await trio.sleep(CLEANUP_S)
    fleet.register(fleet.target_by_id["t0"])


async def return_after_outage(fleet):
    fleet.store.is_down = True
    fleet.store.remove("targets/t0")
    await trio.sleep(0.3)
    fleet.store.forget_history()
    fleet.store.is_down = False
    await trio.sleep(REMOVAL_GRACE_S + CLEANUP_S)
    fleet.register(fleet.target_by_id["t0"])


@pytest.mark.parametrize(
    "change",
    [
        put_again,
        list_again,
        remove_and_put_again,
        drain_and_put_again,
        return_after_outage,
    ],
)
def test_directory_doesn_t_take_leaving_back(change):
    """Guards against a late entry that calls a leaving target ready."""

    async def scenario(fleet):
        fleet.target_by_id["t0"].is_leaving = True
        await reach(fleet, "t0")
        await change(fleet)
        await trio.sleep(0.3)
        assert await count_arrivals(fleet, "t0") == 0

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_new_incarnation_with_the_same_id_is_used_at_once():
    """Guards against a restarted target that stays unused."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.down_s = 0.05
        target.is_leaving = True
        await reach(fleet, "t0")
        target.crash()
        await fleet.wait_until(lambda: target.born == 1)
        await trio.sleep(0.1)
        assert await count_arrivals(fleet, "t0") > 0

    run_scenario(scenario, answer_successfully, answer_successfully)


def put_successor(fleet, target, id: str = "successor") -> None:
    """Replace the entry of a target by that of another one at the same address."""
    fleet.store.remove(f"targets/{target.id}")
    record = TargetRecord(
        service="service", host=target.address.host, port=target.address.port, born=7
    )
    fleet.store.put(f"targets/{id}", msgspec.json.encode(record))


def test_other_target_at_the_same_address_is_used_at_once():
    """Guards against a notice that is kept by address."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.is_leaving = True
        await reach(fleet, "t0")
        target.is_leaving = False
        put_successor(fleet, target)
        await trio.sleep(0.1)
        assert await count_arrivals(fleet, "t0") > 0

    run_scenario(scenario, answer_successfully, answer_successfully)


@pytest.mark.parametrize("attempt", [None, "an earlier one"])
def test_old_target_at_a_reused_address_doesn_t_mark_the_new_one(attempt):
    """Guards against a notice of the old target that takes its successor out.

    The old one still accepts connections and says that the request isn't for it.
    """

    async def answer_as_old_target(request, writer):
        headers = [("x-attempt", attempt or request.header("x-attempt"))]
        await writer.send(HttpResponse(status=421, headers=headers))

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.script = answer_as_old_target
        target.is_leaving = True
        put_successor(fleet, target)
        await trio.sleep(0.1)
        await reach(fleet, "t0")
        target.script = answer_successfully
        target.is_leaving = False
        # Longer than the ejection after the misdirected attempt.
        await trio.sleep(0.6)
        assert await count_arrivals(fleet, "t0") > 0

    run_scenario(scenario, answer_successfully, answer_successfully)


@pytest.mark.parametrize("successor", ["successor", "t0"])
def test_late_answer_of_the_old_incarnation_doesn_t_mark_the_new_one(successor):
    """Guards against a long answer that takes out what has the address by then."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        may_answer = trio.Event()

        async def answer_late(request, writer):
            await may_answer.wait()
            await answer_successfully(request, writer)

        target.script = answer_late
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send_request, "/sign/x")
            await fleet.wait_until(lambda: target.received)
            put_successor(fleet, target, successor)
            await trio.sleep(0.1)
            target.is_leaving = True
            may_answer.set()
        target.script = answer_successfully
        target.is_leaving = False
        assert await count_arrivals(fleet, "t0") == 10

    run_scenario(scenario, answer_successfully)


def test_request_is_refused_as_not_run_if_all_targets_leave():
    """Guards against the fallback to targets that were set aside."""

    async def scenario(fleet):
        for target in fleet.target_by_id.values():
            target.is_leaving = True
            await reach(fleet, target.id)
        answer = await fleet.send_request("/sign/x")
        assert answer.status == 503
        assert msgspec.json.decode(answer.body) == {
            "error": {"type": "no_target", "outcome": "not_run"}
        }
        for target in fleet.target_by_id.values():
            assert await count_arrivals(fleet, target.id) == 0

    run_scenario(scenario, answer_successfully, answer_successfully)


@pytest.mark.parametrize("script", [reject, fail])
def test_failed_request_doesn_t_go_to_a_leaving_target(script):
    """Guards against failover that looks only at the targets it has tried."""

    async def scenario(fleet):
        fleet.target_by_id["t0"].is_leaving = True
        await reach(fleet, "t0")
        fleet.target_by_id["t1"].script = script
        assert await count_arrivals(fleet, "t0") == 0

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_stream_isn_t_resumed_at_a_leaving_target():
    """Guards against resumption that looks only at the targets it has tried."""

    async def scenario(fleet):
        fleet.target_by_id["t0"].is_leaving = True
        await reach(fleet, "t0", "/draft/x")
        before = len(fleet.target_by_id["t0"].received)
        fleet.target_by_id["t1"].script = stream(end_at=2, cut=True)
        with pytest.raises(ResponseLostError):
            await fleet.send_request("/draft/x")
        assert len(fleet.target_by_id["t0"].received) == before

    run_scenario(scenario, stream(), stream())


def test_leaving_is_explained_once(caplog):
    """Guards against a target that gets nothing for no visible reason."""
    caplog.set_level("INFO")

    async def scenario(fleet):
        async def answer_slowly(request, writer):
            await trio.sleep(0.1)
            await answer_successfully(request, writer)

        target = fleet.target_by_id["t0"]
        target.is_leaving = True
        target.script = answer_slowly
        async with trio.open_nursery() as nursery:
            for number in range(4):
                attempt = f"attempt-{number}"
                nursery.start_soon(_send, fleet, attempt)
        assert len(target.received) > 1
        assert 'lavenderfold_targets{state="leaving"} 1.0' in await read_metrics(fleet)

    async def _send(fleet, attempt):
        await fleet.send_request("/read/x", attempt=attempt)

    run_scenario(scenario, answer_successfully)
    lines = [each for each in caplog.records if each.message == "target_leaving"]
    assert [(each.target, each.born) for each in lines] == [("t0", 0)]
    assert lines[0].request_id.startswith("attempt-")
