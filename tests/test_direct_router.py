"""A direct router with scripted targets: its guarantees when targets fail."""

import pytest
import trio

from lavenderfold.escrow import decode_page, page_key
from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    ResponseLostError,
)
from standins.memory_store import MemoryStore
from tests.direct_support import (
    DirectFleet,
    answer_successfully,
    count_target_requests,
    event,
    fail,
    make_config,
    reject,
    run_scenario,
    stream,
    valid_headers,
)


async def cut_off(request, writer):
    raise RuntimeError("the target fails before it answers")


async def hang(request, writer):
    await trio.sleep_forever()


async def close_without_answer(request, writer):
    await writer._stream.aclose()


def test_answer_is_relayed_completely():
    async def scenario(fleet):
        answer = await fleet.send_request("/read/x")
        assert (answer.status, answer.body) == (200, b"done")
        assert answer.header("x-signature") == "yes"

    run_scenario(scenario, answer_successfully)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/x", "secret", 404), ("/read/x", "wrong", 401), ("/read/x", "", 401)],
)
def test_requests_without_route_or_key_are_not_run(path, key, status):
    async def scenario(fleet):
        answer = await fleet.send_request(path, key=key)
        assert answer.status == status
        assert count_target_requests(fleet) == 0

    run_scenario(scenario, answer_successfully)


def test_rejected_single_run_goes_to_another_target():
    """A target that reports that it didn't run a request permits another attempt."""

    async def scenario(fleet):
        first = "t0" if (await fleet.send_request("/sign/x")).status == 200 else None
        fleet.target_by_id["t0"].script = reject
        fleet.target_by_id["t1"].script = reject
        answer = await fleet.send_request("/sign/x", attempt="attempt-2")
        assert first is not None
        assert answer.status == 503
        assert float(answer.header("retry-after")) > 0

    run_scenario(scenario, answer_successfully, answer_successfully)


@pytest.mark.parametrize("script", [close_without_answer, cut_off])
def test_single_run_is_never_repeated_after_a_lost_answer(script):
    """The target may have run the request although its answer was lost."""

    async def scenario(fleet):
        answer = await fleet.send_request("/sign/x")
        assert answer.status in (500, 502)
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, script, script)


def test_lost_answer_never_gets_a_status_that_guarantees_not_run():
    async def answer_503(request, writer):
        headers = valid_headers(request)
        await writer.send(HttpResponse(status=503, headers=headers))

    async def scenario(fleet):
        answer = await fleet.send_request("/sign/x")
        assert answer.status == 502
        assert answer.header("x-signature") is None

    run_scenario(scenario, answer_503)


def test_idempotent_request_is_repeated_at_another_target():
    async def scenario(fleet):
        fleet.target_by_id["t0"].script = close_without_answer
        statuses = {
            (await fleet.send_request("/read/x", attempt=f"attempt-{n}")).status
            for n in range(6)
        }
        assert statuses == {200}

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_idempotent_request_fails_over_from_a_silent_target():
    """A target behind a network partition neither answers nor closes connections."""

    async def scenario(fleet):
        for target in fleet.target_by_id.values():

            async def hang_once(request, writer):
                if count_target_requests(fleet) == 1:
                    await trio.sleep_forever()
                await answer_successfully(request, writer)

            target.script = hang_once
        answer = await fleet.send_request("/read/x")
        assert answer.status == 200
        assert count_target_requests(fleet) == 2

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_error_response_of_a_target_is_relayed_with_its_signature():
    async def scenario(fleet):
        answer = await fleet.send_request("/sign/x")
        assert (answer.status, answer.body) == (500, b"failed")
        assert answer.header("x-signature") == "yes"

    run_scenario(scenario, fail)


def test_unsigned_success_never_reaches_the_caller():
    """Another program at a reused address may answer instead of the target."""

    async def unsigned(request, writer):
        headers = [("x-attempt", request.header("x-attempt"))]
        await writer.send(HttpResponse(status=200, headers=headers, body=b"other"))

    async def scenario(fleet):
        assert (await fleet.send_request("/sign/x")).status == 502

    run_scenario(scenario, unsigned)


def test_answer_of_another_attempt_never_reaches_the_caller():
    """A late answer may arrive when the answer to the next request is expected."""

    async def late(request, writer):
        headers = [("x-attempt", "another"), ("x-signature", "yes")]
        await writer.send(HttpResponse(status=200, headers=headers, body=b"late"))

    async def scenario(fleet):
        assert (await fleet.send_request("/read/x")).status == 502

    run_scenario(scenario, late, late)


def test_resumable_stream_continues_at_another_target():
    """A connection that breaks within an event must not corrupt the answer."""

    async def scenario(fleet):
        cut_once = stream(end_at=2, cut=True)

        def script_of(target):
            async def script(request, writer):
                is_first = count_target_requests(fleet) == 1
                await (cut_once if is_first else stream())(request, writer)

            return script

        for target in fleet.target_by_id.values():
            target.script = script_of(target)
        answer = await fleet.send_request("/draft/x")
        assert answer.body == b"".join(event(number) for number in range(1, 5))
        assert count_target_requests(fleet) == 2

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_truncated_stream_never_looks_complete():
    async def scenario(fleet):
        with pytest.raises(ResponseLostError):
            await fleet.send_request("/chat/x")
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, stream(end_at=2, cut=True), stream(end_at=2, cut=True))


def test_request_is_answered_when_the_timeout_of_its_route_ends():
    async def scenario(fleet):
        before = trio.current_time()
        answer = await fleet.send_request("/sign/x")
        assert answer.status == 504
        assert trio.current_time() - before < 2.5

    run_scenario(scenario, hang)


def test_target_request_is_cancelled_when_the_caller_disconnects():
    """Work for a caller that has disconnected costs tokens and is of no use."""
    closed = trio.Event()

    async def notice_close(request, writer):
        try:
            await writer._stream.receive_some(1)
        finally:
            closed.set()

    async def scenario(fleet):
        with trio.move_on_after(0.3):
            await fleet.send_request("/chat/x")
        with trio.fail_after(0.5):
            await closed.wait()

    run_scenario(scenario, notice_close)


def test_request_that_exceeds_the_balance_is_not_run():
    async def scenario(fleet):
        answer = await fleet.send_request("/read/x", tokens="9000,2000")
        assert answer.status == 402
        assert count_target_requests(fleet) == 0

    run_scenario(scenario, answer_successfully)


def test_generation_without_its_size_is_not_run():
    """Its token usage would be unbounded."""

    async def scenario(fleet):
        assert (await fleet.send_request("/chat/x", tokens="")).status == 400
        assert count_target_requests(fleet) == 0

    run_scenario(scenario, stream())


def test_metrics_count_results_and_balances():
    """Operators monitor the results of requests through the metrics."""

    async def scenario(fleet):
        await fleet.send_request("/chat/x")
        await fleet.send_request("/chat/x", tokens="9000,2000")
        client = HttpClient(address=fleet.router.metrics_address)
        page = (await client.request(HttpRequest(method="GET", target="/"))).body
        assert b'lavenderfold_requests_total{end="delivered"} 1.0' in page
        assert b'lavenderfold_requests_total{end="budget_spent"} 1.0' in page
        assert b'part="spent"} 18.0' in page
        writes = b'store_calls_total{kind="write",purpose="ledger",result="ok"}'
        assert writes in page
        assert b'lavenderfold_watch_age_seconds{prefix="targets/"}' in page
        assert b'lavenderfold_router_state{state="ready"} 1.0' in page
        assert b'lavenderfold_router_state{state="link_saturated"} 0.0' in page
        assert b"lavenderfold_active_requests 0.0" in page
        assert b"lavenderfold_log_lines_left_out 0.0" in page
        assert b"\nlavenderfold_uncounted_bytes " in page
        assert b"lavenderfold_longest_pause_seconds_count" in page

    run_scenario(scenario, stream())


def test_used_tokens_are_prompt_and_delivered_events():
    """Charging the worst case would refuse later requests that the balance covers."""

    async def scenario(fleet):
        await fleet.send_request("/draft/x", tokens="10,50")
        fleet.router.drain()
        page = None
        while page is None or page.balance_by_organisation["org"].charged != 18:
            await trio.sleep(0.05)
            page = decode_page(fleet.store.value(page_key("ledger/", "org")))

    run_scenario(scenario, stream())


def test_draining_target_gets_no_new_request():
    async def scenario(fleet):
        fleet.register(fleet.target_by_id["t0"], is_draining=True)
        await trio.sleep(0.1)
        for number in range(6):
            await fleet.send_request("/read/x", attempt=f"attempt-{number}")
        assert not fleet.target_by_id["t0"].received

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_target_removed_while_history_is_lost_gets_no_new_request():
    """The removal is noticed only if the targets are listed again."""

    async def scenario(fleet):
        fleet.store.remove("targets/t0")
        fleet.store.forget_history()
        fleet.store.put("targets/other", b"unreadable")
        await trio.sleep(1.5)
        await fleet.send_request("/read/x")
        assert not fleet.target_by_id["t0"].received

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_request_that_arrives_before_the_configuration_waits_for_it():
    """When all routers restart at once, refused callers only met other such routers."""

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                fleet = DirectFleet(nursery=nursery, store=MemoryStore())
                await fleet.add_target("t0", answer_successfully)
                await fleet.start_router()
                assert not fleet.router.is_ready
                statuses = []

                async def send():
                    statuses.append((await fleet.send_request("/read/x")).status)

                async with trio.open_nursery() as callers:
                    callers.start_soon(send)
                    await trio.sleep(0.1)
                    fleet.configure(make_config())
                assert statuses == [200]
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_request_is_refused_if_no_configuration_arrives():
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                fleet = DirectFleet(nursery=nursery, store=MemoryStore())
                await fleet.start_router()
                assert (await fleet.send_request("/read/x")).status == 503
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_older_configuration_is_never_installed():
    async def scenario(fleet):
        fleet.configure(make_config(version=5, routes=()))
        await trio.sleep(0.1)
        fleet.configure(make_config(version=4))
        await trio.sleep(0.1)
        assert (await fleet.send_request("/read/x")).status == 404

    run_scenario(scenario, answer_successfully)


def test_revoked_key_is_refused():
    async def scenario(fleet):
        assert (await fleet.send_request("/read/x")).status == 200
        fleet.configure(make_config(version=2, organisations=()))
        await trio.sleep(0.1)
        assert fleet.router.is_ready
        organisations = make_config().organisations
        other = type(organisations[0])(name="org", keys=("other",))
        fleet.configure(make_config(version=3, organisations=(other,)))
        await trio.sleep(0.1)
        assert (await fleet.send_request("/read/x")).status == 401

    run_scenario(scenario, answer_successfully)


def test_late_requests_while_draining_are_refused_and_open_ones_finish():
    """A request accepted late in the grace period would be aborted at its end."""

    async def slow(request, writer):
        await trio.sleep(1.5)
        await answer_successfully(request, writer)

    async def scenario(fleet):
        answers = {}

        async def ask(name):
            answers[name] = (await fleet.send_request("/sign/x", attempt=name)).status

        async with trio.open_nursery() as nursery:
            fleet.router.drain()
            await trio.sleep(1.8)
            nursery.start_soon(ask, "in time")
            await trio.sleep(1.0)
            nursery.start_soon(ask, "late")
        assert not fleet.router.is_ready
        assert answers == {"in time": 200, "late": 503}

    run_scenario(scenario, slow)
