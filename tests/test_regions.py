"""Regions in which requests may be served, over sockets: each kind of attempt."""

from contextlib import suppress

import msgspec
import pytest
import trio

from lavenderfold.fleet import Organisation, RepeatPolicy, Service
from lavenderfold.http import HttpClientError
from standins.memory_store import MemoryStore
from tests.direct_support import (
    EVENT_TOKENS,
    DirectFleet,
    answer_successfully,
    fail,
    make_config,
    make_route,
    stream,
)

REGION_BY_DOMAIN = {"n1": "north", "n2": "north", "s1": "south"}
NORTH = frozenset(("north",))
ALL = frozenset()


def config(route_regions=ALL, organisation_regions=ALL):
    policies = {"read": RepeatPolicy.IDEMPOTENT, "draft": RepeatPolicy.STREAM}
    return make_config(
        routes=tuple(
            make_route(
                name,
                policy,
                is_resumable=name == "draft",
                allowed_regions=route_regions,
                attempt_limit=4,
            )
            for name, policy in policies.items()
        ),
        services=(
            Service(name="service", connection_limit=9, tokens_per_event=EVENT_TOKENS),
        ),
        organisations=(
            Organisation(
                name="org",
                keys=("secret",),
                limit_tokens=10_000,
                allowed_regions=organisation_regions,
            ),
        ),
    )


def run(scenario, script_by_domain, **regions):
    """Call ``scenario`` with a fleet that has a target in each of these domains."""

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                fleet = DirectFleet(nursery=nursery, store=MemoryStore())
                fleet.configure(config(**regions))
                for domain, script in script_by_domain.items():
                    await fleet.add_target(domain, script, domain=domain)
                await fleet.start_router(region_by_domain=REGION_BY_DOMAIN)
                await fleet.wait_until(lambda: fleet.router.is_ready)
                await scenario(fleet)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def silent(request, writer):
    await trio.sleep_forever()


@pytest.mark.parametrize(
    ("path", "script"),
    [
        ("/read/x", fail),
        ("/read/x", silent),
        ("/draft/x", stream(end_at=2, cut=True)),
        ("/draft/x", silent),
    ],
)
def test_no_attempt_leaves_the_region(path, script):
    """A retry, a takeover or a resumption goes to another region if it is healthy."""

    async def scenario(fleet):
        with suppress(HttpClientError):
            # A stream that no other target may go on with stays cut.
            await fleet.send_request(path)
        assert fleet.target_by_id["n1"].received
        assert not fleet.target_by_id["s1"].received
        assert not fleet.target_by_id["nowhere"].received

    targets = {"n1": script, "s1": answer_successfully, "nowhere": answer_successfully}
    run(scenario, targets, route_regions=NORTH)


@pytest.mark.parametrize(
    ("route_regions", "organisation_regions"),
    [
        (NORTH, frozenset(("south",))),
        (ALL, frozenset(("mars",))),
        (frozenset(("mars", "south")), NORTH),
    ],
)
def test_no_allowed_target_is_refused_as_not_run(route_regions, organisation_regions):
    """An empty intersection is taken for no restriction, or the request waits."""

    async def scenario(fleet):
        with trio.fail_after(0.5):
            response = await fleet.send_request("/read/x")
        assert response.status == 503
        assert b"no_target" in response.body and b"not_run" in response.body
        assert float(response.header("retry-after")) > 0
        assert not any(each.received for each in fleet.target_by_id.values())

    targets = {"n1": answer_successfully, "s1": answer_successfully}
    run(
        scenario,
        targets,
        route_regions=route_regions,
        organisation_regions=organisation_regions,
    )


def test_service_without_any_target_is_refused_at_once_too():
    """The request waits for tokens although nothing may serve it."""

    async def scenario(fleet):
        fleet.store.is_down = True
        with trio.fail_after(0.5):
            response = await fleet.send_request("/read/x", tokens="5000,4000")
        assert response.status == 503 and b"no_target" in response.body

    run(scenario, {}, route_regions=NORTH)


def test_unrestricted_requests_use_targets_without_a_region():
    """A target whose domain isn't in the table is lost for all requests."""

    async def scenario(fleet):
        assert (await fleet.send_request("/read/x")).status == 200

    run(scenario, {"nowhere": answer_successfully})


def test_changed_regions_apply_without_a_restart():
    """A zone that the settings move to another region is used as before."""

    async def scenario(fleet):
        assert (await fleet.send_request("/read/x")).status == 200
        moved = msgspec.structs.replace(
            fleet.router.options, region_by_domain={"n1": "south"}
        )
        fleet.router.reload(moved)
        assert (await fleet.send_request("/read/x")).status == 503

    run(scenario, {"n1": answer_successfully}, route_regions=NORTH)


def test_key_on_a_public_route_keeps_its_restriction():
    """A public route ignores the key, and its organisation's regions with it."""

    async def scenario(fleet):
        routes = (make_route("read", RepeatPolicy.IDEMPOTENT, is_public=True),)
        changed = config(organisation_regions=NORTH)
        changed = make_config(
            version=2, routes=routes, organisations=changed.organisations
        )
        fleet.configure(changed)
        await trio.sleep(0.2)
        assert (await fleet.send_request("/read/x", tokens="")).status == 503
        assert not fleet.target_by_id["s1"].received
        assert (await fleet.send_request("/read/x", key="", tokens="")).status == 200

    run(scenario, {"s1": answer_successfully}, organisation_regions=NORTH)
