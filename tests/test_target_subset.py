"""The targets that a router keeps links to, and how it reaches the others."""

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


def make_group(near, far):
    return [
        *(Candidate(target=f"n{number}", region="west") for number in range(near)),
        *(Candidate(target=f"f{number}", region="east") for number in range(far)),
    ]


@DETERMINISTIC
@given(GROUPS, st.integers(1, 12))
def test_each_group_is_covered_within_the_limit(groups, limit):
    """A group without a link would refuse all its requests."""
    for group, candidates in groups.items():
        picked = connected_targets(
            "router-1", {group: candidates}, region="west", per_group=limit
        )
        assert len(picked) == min(limit, len(candidates))
        far = {each.target for each in candidates if each.region != "west"}
        if far and limit > 1:
            assert picked & far
        near_left = {each.target for each in candidates} - far - picked
        if near_left:
            assert len(picked & far) <= 1
    alone = [
        connected_targets("router-1", {name: each}, region="west", per_group=limit)
        for name, each in groups.items()
    ]
    together = connected_targets("router-1", groups, region="west", per_group=limit)
    assert together == frozenset().union(*alone)


@DETERMINISTIC
@given(st.integers(1, 40), st.integers(0, 40), st.integers(2, 12))
def test_every_target_has_routers(near, far, limit):
    """A target that no router picks would stand idle."""
    group = {"model:a": make_group(near, far)}
    picked = set()
    for number, router in enumerate(ROUTERS):
        region = "west" if number % 2 else "east"
        picked |= connected_targets(router, group, region=region, per_group=limit)
    assert picked == {each.target for each in group["model:a"]}


@DETERMINISTIC
@given(st.integers(2, 30), st.integers(0, 30), st.integers(1, 12), st.data())
def test_removal_moves_only_the_links_to_the_removed_target(near, far, limit, data):
    """A fleet-wide reshuffle of links would follow each failed VM."""
    group = make_group(near, far)
    gone = data.draw(st.sampled_from(group))
    fewer = [each for each in group if each is not gone]
    for router in ROUTERS[:20]:
        before = connected_targets(router, {"g": group}, region="west", per_group=limit)
        after = connected_targets(router, {"g": fewer}, region="west", per_group=limit)
        assert before - {gone.target} <= after
        assert len(after - before) <= (gone.target in before)


def test_fleets_of_today_keep_all_their_links():
    """The default must not change what a fleet of 9 and 3 targets does."""
    agents = [FakeAgent(f"t{number}") for number in range(9)]
    agents += [FakeAgent(f"app{number}") for number in range(3)]

    async def check(fleet: Fleet):
        assert len(fleet.router._components.agents.link_by_target) == 12

    run_fleet(check, *agents)


def links_of(fleet, router):
    agents = router._components.agents
    return set(agents.link_by_target), set(agents._temporary_link_by_target)


def text_of(body):
    """Return the text of a stream of server-sent events."""
    lines = body.decode().splitlines()
    data = [line.removeprefix("data: ") for line in lines if "data: " in line]
    return "".join(msgspec.json.decode(each).get("text", "") for each in data)


async def start_narrow(fleet: Fleet):
    """Start a second router that keeps a link to one target of each group."""
    narrow = await fleet.start_router(peers=[fleet.router], targets_per_group=1)
    await wait_until(lambda: narrow.state.revision == fleet.router.state.revision)
    (kept,), _ = links_of(fleet, narrow)
    await wait_until(lambda: narrow.is_ready(kept))
    return narrow, kept


def test_resume_finds_a_run_at_a_target_without_standing_link():
    """A caller resumes at any router, which may not be linked to the run's agent."""
    agents = [FakeAgent("t1"), FakeAgent("t2")]

    async def check(fleet: Fleet):
        narrow, kept = await start_narrow(fleet)
        by_name = {agent.name: agent for agent in agents}
        (other,) = by_name.keys() - {kept}
        report = by_name[kept].report
        by_name[kept].report = msgspec.structs.replace(report, draining=True)
        await wait_until(lambda: not fleet.router.is_ready(kept))
        wanted = new_id()
        headers = {"idempotency-key": wanted}
        await fleet.call("POST", "/v1/completions", completion(), headers=headers)
        assert len(by_name[other].runs) == 1
        response = await fleet.call("GET", ANSWER_PATH.format(wanted), router=narrow)
        assert response.status == 200
        assert text_of(response.body) == ANSWER.decode()
        assert links_of(fleet, narrow) == ({kept}, {other})
        assert not narrow.is_ready(other)

    run_fleet(check, *agents)


def test_narrow_router_sends_new_work_only_to_its_own_targets():
    """A brief link's reports must not draw work to a target outside the subset."""
    agents = [FakeAgent("t1"), FakeAgent("t2")]

    async def check(fleet: Fleet):
        narrow, kept = await start_narrow(fleet)
        await narrow._components.agents.open_all(["t1", "t2"])
        for _ in range(4):
            response = await fleet.call(
                "POST", "/v1/completions", completion(), router=narrow
            )
            assert response.status == 200
        runs = {agent.name: len(agent.runs) for agent in agents}
        assert runs[kept] == 4
        assert sum(runs.values()) == 4

    run_fleet(check, *agents)


def test_dead_router_is_fenced_at_targets_without_standing_link():
    """An agent that isn't asked may still run work of the dead router's grants."""
    agents = [FakeAgent("t1"), FakeAgent("t2")]

    async def check(fleet: Fleet):
        narrow, _ = await start_narrow(fleet)
        response = await fleet.call("POST", "/v1/completions", completion())
        assert response.status == 200
        dead = fleet.router.incarnation
        fleet.kill(fleet.router)
        await wait_until(lambda: all(dead in agent.fenced for agent in agents))
        await wait_until(lambda: dead not in holders(fleet))
        assert narrow.incarnation not in agents[0].fenced

    run_fleet(check, *agents)


def holders(fleet):
    grants = fleet.budget_record().grants_by_id.values()
    return {grant.holder for grant in grants}
