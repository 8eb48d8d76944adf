"""Tests of the targets that a router keeps links to and of links to the others."""

import msgspec
from hypothesis import given, settings, strategies as st

from lavenderfold.routing import Candidate, connected_targets
from tests.router_fleet import (
    ANSWER,
    ANSWER_PATH,
    FakeAgent,
    Fleet,
    completion,
    new_id,
    run_fleet,
    wait_until,
)

DETERMINISTIC = settings(derandomize=True, deadline=None)
ROUTERS = [f"router-{number}" for number in range(200)]
GROUPS = st.dictionaries(
    st.sampled_from(["model:a", "model:b", "app:c"]),
    st.lists(
        st.builds(
            Candidate,
            target=st.integers(0, 40).map(lambda number: f"t{number}"),
            region=st.sampled_from(["west", "east"]),
        ),
        unique_by=lambda each: each.target,
        max_size=25,
    ),
)


def make_group(same_region, other_region):
    return [
        *(
            Candidate(target=f"n{number}", region="west")
            for number in range(same_region)
        ),
        *(
            Candidate(target=f"f{number}", region="east")
            for number in range(other_region)
        ),
    ]


@DETERMINISTIC
@given(GROUPS, st.integers(1, 12))
def test_each_group_is_covered_within_the_limit(groups, limit):
    """A group without a link would refuse all its requests."""
    for group, candidates in groups.items():
        selected = connected_targets(
            "router-1", {group: candidates}, region="west", per_group=limit
        )
        assert len(selected) == min(limit, len(candidates))
        other_region = {each.target for each in candidates if each.region != "west"}
        if other_region and limit > 1:
            assert selected & other_region
        unselected_same_region = (
            {each.target for each in candidates} - other_region - selected
        )
        if unselected_same_region:
            assert len(selected & other_region) <= 1
    alone = [
        connected_targets("router-1", {name: each}, region="west", per_group=limit)
        for name, each in groups.items()
    ]
    together = connected_targets("router-1", groups, region="west", per_group=limit)
    assert together == frozenset().union(*alone)


@DETERMINISTIC
@given(st.integers(1, 40), st.integers(0, 40), st.integers(2, 12))
def test_every_target_is_selected_by_a_router(same_region, other_region, limit):
    """A target that no router selects would get no requests."""
    group = {"model:a": make_group(same_region, other_region)}
    selected = set()
    for number, router in enumerate(ROUTERS):
        region = "west" if number % 2 else "east"
        selected |= connected_targets(router, group, region=region, per_group=limit)
    assert selected == {each.target for each in group["model:a"]}


@DETERMINISTIC
@given(st.integers(2, 30), st.integers(0, 30), st.integers(1, 12), st.data())
def test_removal_changes_only_links_to_the_removed_target(
    same_region, other_region, limit, data
):
    """Otherwise each failed VM would move links throughout the fleet."""
    group = make_group(same_region, other_region)
    removed = data.draw(st.sampled_from(group))
    remaining = [each for each in group if each is not removed]
    for router in ROUTERS[:20]:
        before = connected_targets(router, {"g": group}, region="west", per_group=limit)
        after = connected_targets(
            router, {"g": remaining}, region="west", per_group=limit
        )
        assert before - {removed.target} <= after
        assert len(after - before) <= (removed.target in before)


def test_small_fleet_keeps_all_links_by_default():
    """By default, routers keep links to all targets of a fleet with 9 and 3 targets."""
    agents = [FakeAgent(f"t{number}") for number in range(9)]
    agents += [FakeAgent(f"app{number}") for number in range(3)]

    async def check(fleet: Fleet):
        assert len(fleet.router._components.agents.link_by_target) == 12

    run_fleet(check, *agents)


def links_of(fleet, router):
    agents = router._components.agents
    return set(agents.link_by_target), set(agents._temporary_link_by_target)


def stream_text(body):
    """Return the text in a body of server-sent events."""
    lines = body.decode().splitlines()
    data = [line.removeprefix("data: ") for line in lines if "data: " in line]
    return "".join(msgspec.json.decode(each).get("text", "") for each in data)


async def start_subset_router(fleet: Fleet):
    """Start a router with a standing link to only one target of each group.

    Returns the router and that target's name.
    """
    subset_router = await fleet.start_router(peers=[fleet.router], targets_per_group=1)
    await wait_until(
        lambda: subset_router.state.revision == fleet.router.state.revision
    )
    (linked_target,), _ = links_of(fleet, subset_router)
    await wait_until(lambda: subset_router.is_ready(linked_target))
    return subset_router, linked_target


def test_resume_finds_a_run_at_a_target_without_standing_link():
    """Callers resume at any router, also at one without a link to the run's agent."""
    agents = [FakeAgent("t1"), FakeAgent("t2")]

    async def check(fleet: Fleet):
        subset_router, linked_target = await start_subset_router(fleet)
        by_name = {agent.name: agent for agent in agents}
        (unlinked_target,) = by_name.keys() - {linked_target}
        report = by_name[linked_target].report
        by_name[linked_target].report = msgspec.structs.replace(report, draining=True)
        await wait_until(lambda: not fleet.router.is_ready(linked_target))
        request_id = new_id()
        headers = {"idempotency-key": request_id}
        await fleet.call("POST", "/v1/completions", completion(), headers=headers)
        assert len(by_name[unlinked_target].runs) == 1
        response = await fleet.call(
            "GET", ANSWER_PATH.format(request_id), router=subset_router
        )
        assert response.status == 200
        assert stream_text(response.body) == ANSWER.decode()
        assert links_of(fleet, subset_router) == ({linked_target}, {unlinked_target})
        assert not subset_router.is_ready(unlinked_target)

    run_fleet(check, *agents)


def test_router_sends_new_work_only_to_its_selected_targets():
    """Load reports on a temporary link must not make its target get new work."""
    agents = [FakeAgent("t1"), FakeAgent("t2")]

    async def check(fleet: Fleet):
        subset_router, linked_target = await start_subset_router(fleet)
        await subset_router._components.agents.open_all(["t1", "t2"])
        for _ in range(4):
            response = await fleet.call(
                "POST", "/v1/completions", completion(), router=subset_router
            )
            assert response.status == 200
        runs = {agent.name: len(agent.runs) for agent in agents}
        assert runs[linked_target] == 4
        assert sum(runs.values()) == 4

    run_fleet(check, *agents)


def test_dead_router_is_fenced_at_targets_without_standing_link():
    """An agent that isn't fenced may still run work on the dead router's grants.

    The router that fences and reclaims has no standing link to one of the agents.
    """
    agents = [FakeAgent("t1"), FakeAgent("t2")]

    async def check(fleet: Fleet):
        subset_router, _ = await start_subset_router(fleet)
        response = await fleet.call("POST", "/v1/completions", completion())
        assert response.status == 200
        dead_incarnation = fleet.router.incarnation
        fleet.kill(fleet.router)
        await wait_until(
            lambda: all(dead_incarnation in agent.fenced for agent in agents)
        )
        await wait_until(lambda: dead_incarnation not in grant_holders(fleet))
        assert subset_router.incarnation not in agents[0].fenced

    run_fleet(check, *agents)


def grant_holders(fleet):
    grants = fleet.budget_record().grants_by_id.values()
    return {grant.holder for grant in grants}
