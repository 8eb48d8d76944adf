"""A direct router before scripted targets: promises kept under their failures."""

import pytest
import trio

from lavenderfold.escrow import LedgerPage, page_key
from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    ResponseLostError,
)
from tests.direct_support import (
    answer_whole,
    event,
    fail,
    fleet_config,
    good_headers,
    reject,
    run_fleet,
    runs,
    stream,
)


async def cut_off(request, writer):
    raise RuntimeError("the target breaks off")


async def hang(request, writer):
    await trio.sleep_forever()


async def close_without_answer(request, writer):
    await writer._stream.aclose()


def test_answer_is_relayed_whole():
    async def scenario(fleet):
        answer = await fleet.ask("/read/x")
        assert (answer.status, answer.body) == (200, b"done")
        assert answer.header("x-signature") == "yes"

    run_fleet(scenario, answer_whole)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/x", "secret", 404), ("/read/x", "wrong", 401), ("/read/x", "", 401)],
)
def test_requests_without_route_or_key_run_nowhere(path, key, status):
    async def scenario(fleet):
        answer = await fleet.ask(path, key=key)
        assert answer.status == status
        assert runs(fleet) == 0

    run_fleet(scenario, answer_whole)


def test_rejected_single_run_goes_to_another_target():
    """A target that says it didn't run a request permits another one."""

    async def scenario(fleet):
        first = "t0" if (await fleet.ask("/sign/x")).status == 200 else None
        fleet.target_by_id["t0"].script = reject
        fleet.target_by_id["t1"].script = reject
        answer = await fleet.ask("/sign/x", attempt="attempt-2")
        assert first is not None
        assert answer.status == 503
        assert float(answer.header("retry-after")) > 0

    run_fleet(scenario, answer_whole, answer_whole)


@pytest.mark.parametrize("script", [close_without_answer, cut_off])
def test_single_run_is_never_repeated_after_a_lost_answer(script):
    """The target may have run it, whatever became of its answer."""

    async def scenario(fleet):
        answer = await fleet.ask("/sign/x")
        assert answer.status in (500, 502)
        assert runs(fleet) == 1

    run_fleet(scenario, script, script)


def test_lost_answer_never_gets_a_status_that_promises_not_run():
    async def answer_503(request, writer):
        headers = good_headers(request)
        await writer.send(HttpResponse(status=503, headers=headers))

    async def scenario(fleet):
        answer = await fleet.ask("/sign/x")
        assert answer.status == 502
        assert answer.header("x-signature") is None

    run_fleet(scenario, answer_503)


def test_idempotent_request_is_repeated_elsewhere():
    async def scenario(fleet):
        fleet.target_by_id["t0"].script = close_without_answer
        statuses = {
            (await fleet.ask("/read/x", attempt=f"attempt-{n}")).status
            for n in range(6)
        }
        assert statuses == {200}

    run_fleet(scenario, answer_whole, answer_whole)


def test_idempotent_request_leaves_a_target_that_is_silent():
    """A target that a cut hides answers nothing and closes nothing."""

    async def scenario(fleet):
        for target in fleet.target_by_id.values():

            async def hang_once(request, writer):
                if runs(fleet) == 1:
                    await trio.sleep_forever()
                await answer_whole(request, writer)

            target.script = hang_once
        answer = await fleet.ask("/read/x")
        assert answer.status == 200
        assert runs(fleet) == 2

    run_fleet(scenario, answer_whole, answer_whole)


def test_failure_of_a_target_is_relayed_with_its_signature():
    async def scenario(fleet):
        answer = await fleet.ask("/sign/x")
        assert (answer.status, answer.body) == (500, b"failed")
        assert answer.header("x-signature") == "yes"

    run_fleet(scenario, fail)


def test_unsigned_success_never_reaches_the_caller():
    """Bytes of another program at a reused address aren't a target's answer."""

    async def unsigned(request, writer):
        headers = [("x-attempt", request.header("x-attempt"))]
        await writer.send(HttpResponse(status=200, headers=headers, body=b"other"))

    async def scenario(fleet):
        assert (await fleet.ask("/sign/x")).status == 502

    run_fleet(scenario, unsigned)


def test_answer_of_another_attempt_never_reaches_the_caller():
    """A late answer may arrive where the next one is expected."""

    async def late(request, writer):
        headers = [("x-attempt", "another"), ("x-signature", "yes")]
        await writer.send(HttpResponse(status=200, headers=headers, body=b"late"))

    async def scenario(fleet):
        assert (await fleet.ask("/read/x")).status == 502

    run_fleet(scenario, late, late)


def test_resumable_stream_continues_at_another_target():
    """A cut in the middle of an event must leave no trace in the answer."""

    async def scenario(fleet):
        cut_once = stream(end_at=2, cut=True)

        def script_of(target):
            async def script(request, writer):
                is_first = runs(fleet) == 1
                await (cut_once if is_first else stream())(request, writer)

            return script

        for target in fleet.target_by_id.values():
            target.script = script_of(target)
        answer = await fleet.ask("/draft/x")
        assert answer.body == b"".join(event(number) for number in range(1, 5))
        assert runs(fleet) == 2

    run_fleet(scenario, answer_whole, answer_whole)


def test_cut_stream_never_looks_complete():
    async def scenario(fleet):
        with pytest.raises(ResponseLostError):
            await fleet.ask("/chat/x")
        assert runs(fleet) == 1

    run_fleet(scenario, stream(end_at=2, cut=True), stream(end_at=2, cut=True))


def test_timeout_of_the_route_is_answered_in_time():
    async def scenario(fleet):
        before = trio.current_time()
        answer = await fleet.ask("/sign/x")
        assert answer.status == 504
        assert trio.current_time() - before < 2.5

    run_fleet(scenario, hang)


def test_target_stops_when_the_caller_leaves():
    """Work for a caller that left is paid and serves nobody."""
    closed = trio.Event()

    async def notice_close(request, writer):
        try:
            await writer._stream.receive_some(1)
        finally:
            closed.set()

    async def scenario(fleet):
        with trio.move_on_after(0.3):
            await fleet.ask("/chat/x")
        with trio.fail_after(0.5):
            await closed.wait()

    run_fleet(scenario, notice_close)


def test_request_that_no_balance_covers_runs_nowhere():
    async def scenario(fleet):
        answer = await fleet.ask("/read/x", tokens="9000,2000")
        assert answer.status == 402
        assert runs(fleet) == 0

    run_fleet(scenario, answer_whole)


def test_generation_without_its_size_runs_nowhere():
    """Nothing bounds what it takes from the balance."""

    async def scenario(fleet):
        assert (await fleet.ask("/chat/x", tokens="")).status == 400
        assert runs(fleet) == 0

    run_fleet(scenario, stream())


def test_metrics_count_ends_and_balances():
    """An operator sees from outside what became of the requests."""

    async def scenario(fleet):
        await fleet.ask("/chat/x")
        await fleet.ask("/chat/x", tokens="9000,2000")
        client = HttpClient(address=fleet.router.metrics_address)
        page = (await client.request(HttpRequest(method="GET", target="/"))).body
        assert b'lavenderfold_requests_total{end="delivered"} 1.0' in page
        assert b'lavenderfold_requests_total{end="budget_spent"} 1.0' in page
        assert b'part="spent"} 18.0' in page
        assert b'lavenderfold_store_calls_total{kind="write",result="ok"}' in page
        assert b'lavenderfold_watch_age_seconds{prefix="targets/"}' in page
        assert b'lavenderfold_router_state{state="ready"} 1.0' in page
        assert b"lavenderfold_active_requests 0.0" in page
        assert b"lavenderfold_log_lines_left_out 0.0" in page
        assert b"lavenderfold_longest_pause_seconds_count" in page

    run_fleet(scenario, stream())


def test_used_tokens_are_prompt_and_delivered_events():
    """Billing the worst case would refuse requests that the balance covers."""

    async def scenario(fleet):
        await fleet.ask("/draft/x", tokens="10,50")
        fleet.router.drain()
        page = None
        while page is None or page.balance_by_organisation["org"].charged != 18:
            await trio.sleep(0.05)
            page = LedgerPage.decode(fleet.store.value(page_key("ledger/", "org")))

    run_fleet(scenario, stream())


def test_draining_target_gets_no_new_request():
    async def scenario(fleet):
        fleet.register(fleet.target_by_id["t0"], is_draining=True)
        await trio.sleep(0.1)
        for number in range(6):
            await fleet.ask("/read/x", attempt=f"attempt-{number}")
        assert not fleet.target_by_id["t0"].seen

    run_fleet(scenario, answer_whole, answer_whole)


def test_target_that_leaves_while_history_is_lost_gets_no_new_request():
    """The removal is seen only by listing the targets again."""

    async def scenario(fleet):
        fleet.store.remove("targets/t0")
        fleet.store.forget_history()
        fleet.store.put("targets/other", b"unreadable")
        await trio.sleep(1.5)
        await fleet.ask("/read/x")
        assert not fleet.target_by_id["t0"].seen

    run_fleet(scenario, answer_whole, answer_whole)


def test_older_configuration_is_never_installed():
    async def scenario(fleet):
        fleet.configure(fleet_config(version=5, routes=()))
        await trio.sleep(0.1)
        fleet.configure(fleet_config(version=4))
        await trio.sleep(0.1)
        assert (await fleet.ask("/read/x")).status == 404

    run_fleet(scenario, answer_whole)


def test_revoked_key_is_refused():
    async def scenario(fleet):
        assert (await fleet.ask("/read/x")).status == 200
        fleet.configure(fleet_config(version=2, organisations=()))
        await trio.sleep(0.1)
        assert fleet.router.is_ready
        organisations = fleet_config().organisations
        other = type(organisations[0])(name="org", keys=("other",))
        fleet.configure(fleet_config(version=3, organisations=(other,)))
        await trio.sleep(0.1)
        assert (await fleet.ask("/read/x")).status == 401

    run_fleet(scenario, answer_whole)


def test_requests_long_after_sigterm_are_refused_and_open_ones_end():
    """A request taken late in the grace period would be cut at its end."""

    async def slow(request, writer):
        await trio.sleep(1.5)
        await answer_whole(request, writer)

    async def scenario(fleet):
        answers = {}

        async def ask(name):
            answers[name] = (await fleet.ask("/sign/x", attempt=name)).status

        async with trio.open_nursery() as nursery:
            fleet.router.drain()
            await trio.sleep(1.8)
            nursery.start_soon(ask, "in time")
            await trio.sleep(1.0)
            nursery.start_soon(ask, "late")
        assert not fleet.router.is_ready
        assert answers == {"in time": 200, "late": 503}

    run_fleet(scenario, slow)
