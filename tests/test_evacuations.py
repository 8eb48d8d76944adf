"""Evacuations over sockets, with a store that is slow, away or loses answers."""

import logging

import pytest
import trio
from lavenderfold_platform.settings import CONFIG_KEY, OPERATOR_PREFIX

from lavenderfold.fleet import PrefixFollower, Service
from lavenderfold.placement._evacuations import FIRST_SHARE, RETURN_S
from tests.direct_support import DirectFleet, answer_successfully, fail, make_config
from tests.placement_support import PREFIX, BadStore, Selector, make_target
from tests.test_hub import SeenKeys, run as run_region

# The time that the settings of the deployment allow.
EVACUATION_S = 5.0
OUTAGE_S = 1.0


class EvacuatingFleet(DirectFleet):
    """A fleet whose router follows the operator's prefix."""

    def configure(self, config):
        super().configure(config)
        self.store.put(CONFIG_KEY, self.store.value("config"))

    async def start(self, name: str = "router") -> None:
        await self.start_router(name, config_key=CONFIG_KEY, evacuations_prefix=PREFIX)
        await self.wait_until(lambda: self.router.is_ready)

    def received(self, id: str) -> int:
        return len(self.target_by_id[id].received)

    async def is_used(self, id: str) -> bool:
        """Send some requests; return whether the target got one of them."""
        before = self.received(id)
        for number in range(12):
            await self.send_request("/read/x", attempt=f"{trio.current_time()}{number}")
        return self.received(id) > before


def run(scenario, *domains: str) -> None:
    async def main():
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                fleet = EvacuatingFleet(nursery=nursery, store=BadStore())
                fleet.configure(make_config())
                for domain in domains:
                    await fleet.add_target(domain, answer_successfully, domain=domain)
                await scenario(fleet)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def slow(store):
    store.delay_s = 0.5


async def away(store):
    store.is_down = True
    store.forget_history()


async def lost_history(store):
    store.forget_history()


async def lost_answers(store):
    store.loses_answers = True


@pytest.mark.parametrize("fault", [slow, away, lost_history, lost_answers])
def test_evacuation_is_in_force_within_the_bound(fault):
    """A watch that isn't begun again after a fault misses the key."""

    async def scenario(fleet):
        await fleet.start()
        await fault(fleet.store)
        fleet.store.put(PREFIX + "a", b"{}")
        await trio.sleep(OUTAGE_S)
        fleet.store.is_down = fleet.store.loses_answers = False
        await trio.sleep(EVACUATION_S - OUTAGE_S)
        assert not await fleet.is_used("a")
        # It lasts until the key is removed, also if the history is lost meanwhile.
        await fault(fleet.store)
        await trio.sleep(OUTAGE_S)
        fleet.store.is_down = fleet.store.loses_answers = False
        assert not await fleet.is_used("a")
        await trio.sleep(OUTAGE_S)
        assert not await fleet.is_used("a")

    run(scenario, "a", "b")


def test_router_that_restarts_knows_the_evacuation_before_it_is_ready():
    async def scenario(fleet):
        await fleet.start()
        fleet.store.put(PREFIX + "a", b"not json")
        await trio.sleep(0.3)
        fleet.store.is_down = True
        await fleet.start_router(
            "second", config_key=CONFIG_KEY, evacuations_prefix=PREFIX
        )
        await trio.sleep(0.3)
        assert not fleet.router.is_ready
        fleet.store.is_down = False
        await fleet.wait_until(lambda: fleet.router.is_ready)
        assert not await fleet.is_used("a")

    run(scenario, "a", "b")


def test_last_domain_is_evacuated_too_and_returns():
    """The rule is relaxed when no target is left, or the domain stays out."""

    async def scenario(fleet):
        await fleet.start()
        fleet.store.put(PREFIX + "a", b"{}")
        await trio.sleep(0.3)
        response = await fleet.send_request("/read/x")
        assert response.status == 503 and b"no_target" in response.body
        assert response.header("retry-after")
        fleet.store.remove(PREFIX + "a")
        await trio.sleep(0.3)
        assert (await fleet.send_request("/read/x")).status == 200

    run(scenario, "a")


def test_request_in_progress_finishes():
    async def scenario(fleet):
        await fleet.start()
        statuses = []

        async def answer_late(request, writer):
            await trio.sleep(0.5)
            await answer_successfully(request, writer)

        async def send():
            statuses.append((await fleet.send_request("/sign/x")).status)

        fleet.target_by_id["a"].script = answer_late
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.1)
            fleet.store.put(PREFIX + "a", b"{}")
        assert statuses == [200]

    run(scenario, "a")


def test_unknown_domain_is_logged_once(caplog):
    async def scenario(fleet):
        await fleet.start()
        for _ in range(2):
            fleet.store.put(PREFIX + "mars", b"{}")
            await trio.sleep(0.2)
            fleet.store.remove(PREFIX + "mars")
            await trio.sleep(0.2)
        assert await fleet.is_used("a")

    with caplog.at_level(logging.INFO):
        run(scenario, "a")
    messages = [each.getMessage() for each in caplog.records]
    assert messages.count("evacuation_domain_unknown") == 1


def test_domain_that_returns_gets_a_growing_share():
    """Its targets hold no prompt parts; all requests at once would overload them."""
    selector = Selector()
    for domain in "ab":
        target = make_target(domain, domain)
        selector.directory.put(domain, target, revision=1)
    selector.evacuate("a", 5)
    selector.sink.handle_removal(PREFIX + "a", revision=6, is_certain=True)

    def count() -> int:
        ids = [
            selector.selection(attempt_id=str(each)).choose().target.id
            for each in range(400)
        ]
        return ids.count("a")

    first = count()
    selector.wait(RETURN_S)
    assert 0 < first < 400 * FIRST_SHARE
    assert count() > 2 * first


def test_domain_that_returns_cold_gets_a_limited_rate():
    """Other targets fail, so each retry would go to the targets that return."""
    service = Service(
        name="service",
        connection_limit=9,
        tokens_per_event=2,
        warm_up_s=8.0,
        warm_up_rate=17.0,
    )

    async def scenario(fleet):
        fleet.configure(make_config(version=2, services=(service,)))
        await fleet.start()
        fleet.store.put(PREFIX + "a", b"{}")
        await trio.sleep(0.3)
        fleet.target_by_id["b"].script = fail
        fleet.store.remove(PREFIX + "a")
        await trio.sleep(0.3)
        before = fleet.received("a")
        for number in range(10):
            await fleet.send_request("/read/x", attempt=f"{number}", tokens="1,1")
        assert fleet.received("b") >= 9
        assert fleet.received("a") - before <= 1

    run(scenario, "a", "b")


def test_one_hub_serves_routers_with_and_without_evacuations():
    """Routers of both kinds run while settings change; each needs its own prefix."""

    prefixes = frozenset((CONFIG_KEY, OPERATOR_PREFIX))

    async def scenario(region):
        region.hub_store.put(CONFIG_KEY, b"1")
        region.hub_store.put(PREFIX + "a", b"{}")
        await region.start()
        sinks = {prefix: SeenKeys() for prefix in prefixes}
        for prefix, sink in sinks.items():
            follower = PrefixFollower(
                store=region.router_store(prefixes=prefixes),
                timers=region.timers,
                prefix=prefix,
                sink=sink,
            )
            region.nursery.start_soon(follower.run)
        await trio.sleep(0.5)
        assert set(sinks[CONFIG_KEY].known_keys()) == {CONFIG_KEY}
        assert set(sinks[OPERATOR_PREFIX].known_keys()) == {CONFIG_KEY, PREFIX + "a"}
        region.hub_store.remove(PREFIX + "a")
        await trio.sleep(0.5)
        assert set(sinks[OPERATOR_PREFIX].known_keys()) == {CONFIG_KEY}
        assert region.fallback_store.calls == 0

    run_region(scenario)
