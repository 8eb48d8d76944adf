"""Priority and admission in a router with targets on loopback."""

from functools import partial
from types import SimpleNamespace

import msgspec
import pytest
import trio

from lavenderfold.admission import AdmissionGate
from lavenderfold.direct._request_admission import RequestAdmission
from lavenderfold.fleet import Organisation, RepeatPolicy, RouteTable
from lavenderfold.http import HttpClient, HttpRequest
from tests.direct_support import (
    answer_successfully,
    count_target_requests,
    make_config,
    make_route,
    reject,
    run_scenario,
)
from tests.notice_support import turn_away
from tests.test_direct_decisions import make_request


def ordered_config(**changes):
    """Return a configuration in which urgent requests precede those of batches."""
    routes = (
        make_route("urgent", RepeatPolicy.SINGLE_RUN, priority=1),
        make_route("batch", RepeatPolicy.SINGLE_RUN, priority=12),
    )
    return make_config(**{"routes": routes, **changes})


async def read_metrics(fleet) -> str:
    client = HttpClient(address=fleet.router.metrics_address)
    request = HttpRequest(method="GET", target="/", headers=[], body=b"")
    metrics = (await client.request(request)).body.decode()
    await client.close()
    return metrics


@pytest.mark.parametrize(("path", "priority"), [("/urgent/x", "1"), ("/batch/x", "9")])
def test_target_is_told_the_priority(path, priority):
    """Load: a batch and urgent requests meet in the engines.

    Guards against engines that can't tell them apart.
    """

    async def scenario(fleet):
        await fleet.send_request(path)
        (request,) = fleet.target_by_id["t0"].received
        assert request.header("x-priority") == priority

    run_scenario(scenario, answer_successfully, config=ordered_config())


def test_target_is_told_no_priority_if_routes_have_the_same():
    """Guards against a header where the configuration has no order."""

    async def scenario(fleet):
        await fleet.send_request("/read/x")
        (request,) = fleet.target_by_id["t0"].received
        assert request.header("x-priority") is None

    run_scenario(scenario, answer_successfully)


def test_priority_of_the_organisation_precedes_that_of_the_route():
    table = RouteTable(ordered_config())
    route = table.route("host", "/batch/x")
    first = Organisation(name="first", keys=(), priority=0)
    other = msgspec.structs.replace(first, priority=None)
    assert table.priority("service", route, first) == 0
    assert table.priority("service", route, other) == 9
    assert table.priority("service", route, None) == 9


@pytest.mark.parametrize("is_resumable", [False, True])
def test_id_of_an_event_counts_only_on_resumable_routes(is_resumable):
    """Guards against callers who pass the queue by a header without a meaning."""
    table = RouteTable(ordered_config())
    route = table.route("host", "/batch/x")
    admission = RequestAdmission(
        services=SimpleNamespace(
            admission_gate=lambda *_: AdmissionGate(), metrics=None
        ),
        table=table,
        service_name="service",
        request=msgspec.structs.replace(make_request(), last_event_id="1"),
        route=msgspec.structs.replace(route, is_resumable=is_resumable),
        organisation=None,
        deadline=1.0,
    )
    assert admission._entry.has_begun is is_resumable


def test_refusal_while_the_targets_have_no_room():
    """Load: ten requests in progress, and targets that reject all others.

    Guards against requests that are sent to be rejected, and against an urgent one
    that isn't served when room is there again.
    """
    may_end = trio.Event()

    async def hold(request, writer):
        await may_end.wait()
        await answer_successfully(request, writer)

    async def scenario(fleet):
        statuses = []

        async def send(path, attempt):
            answer = await fleet.send_request(path, attempt=attempt)
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(10):
                nursery.start_soon(send, "/batch/x", f"held-{number}")
            await fleet.wait_until(lambda: count_target_requests(fleet) == 10)
            for target in fleet.target_by_id.values():
                target.script = reject
            for number in range(2):
                await send("/batch/x", f"rejected-{number}")
            assert statuses == [503] * 2
            received = count_target_requests(fleet)
            refused = await fleet.send_request("/batch/x", attempt="refused")
            assert refused.status == 503
            assert refused.header("x-attempt") == "refused"
            assert b'"overloaded"' in refused.body and b'"not_run"' in refused.body
            assert 0.25 <= float(refused.header("retry-after")) <= 0.5
            assert count_target_requests(fleet) == received
            for target in fleet.target_by_id.values():
                target.script = answer_successfully
            nursery.start_soon(send, "/urgent/x", "urgent")
            await trio.sleep(0.05)
            assert count_target_requests(fleet) == received
            may_end.set()
        assert statuses[2:] == [200] * 11
        metrics = await read_metrics(fleet)
        labels = '{organisation="org",priority="9",service="service"}'
        assert f"lavenderfold_admission_refusals_total{labels} 1.0" in metrics
        assert 'lavenderfold_admission{part="queued",service="service"} 0.0' in metrics

    run_scenario(scenario, hold, hold, config=ordered_config())


async def send_together(fleet, count, name):
    async with trio.open_nursery() as nursery:
        for number in range(count):
            send = partial(fleet.send_request, attempt=f"{name}-{number}")
            nursery.start_soon(send, "/batch/x")


def test_slow_targets_lower_the_limit():
    """Load: both targets take 0.4 s instead of some ms.

    Guards against answers that are late by the route's measure and go unnoticed.
    """

    async def answer_late(request, writer):
        await trio.sleep(0.4)
        await answer_successfully(request, writer)

    async def scenario(fleet):
        await send_together(fleet, 4, "usual")
        assert 'part="limit",service="service"} 1000.0' in await read_metrics(fleet)
        for target in fleet.target_by_id.values():
            target.script = answer_late
        await send_together(fleet, 10, "slow")
        metrics = await read_metrics(fleet)
        assert 'part="limit",service="service"}' in metrics
        assert 'part="limit",service="service"} 1000.0' not in metrics
        assert '{cause="slow",service="service"}' in metrics

    run_scenario(
        scenario, answer_successfully, answer_successfully, config=ordered_config()
    )


def test_pausing_targets_don_t_lack_room():
    """Load: targets that pause, as planned, and turn requests away.

    Guards against a limit that outlasts the pause.
    """

    async def scenario(fleet):
        for number in range(6):
            await fleet.send_request("/batch/x", attempt=f"a{number}")
            await trio.sleep(0.06)
        assert count_target_requests(fleet) >= 6
        metrics = await read_metrics(fleet)
        assert "lavenderfold_congestion_signals_total{" not in metrics

    run_scenario(scenario, turn_away(0.05), turn_away(0.05), config=ordered_config())
