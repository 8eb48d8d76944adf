"""Which targets count as cold, and how requests to them are limited over sockets."""

import math
import random
from contextlib import suppress

import msgspec
import pytest
import trio

from lavenderfold.fleet import Service
from lavenderfold.http import HttpClientError
from lavenderfold.placement import ColdTargets, send_interval_s
from lavenderfold.placement._warm_up import CROWDED_INTERVAL_S, MIN_INTERVAL_S
from tests.direct_support import (
    DirectFleet,
    answer_successfully,
    direct_fleet,
    fail,
    make_config,
    stream,
)
from tests.placement_support import PREFIX, BadStore, Selector, make_target

WARM_UP_S = 8.0
SERVICE = Service(
    name="service", connection_limit=9, warm_up_s=WARM_UP_S, warm_up_rate=17.0
)
RNG = random.Random(7)


def cold_targets(*entries, is_first_listing: bool = False) -> ColdTargets:
    cold = ColdTargets(overshoot=1.5, tolerance=5.0)
    cold.set_services([SERVICE])
    for revision, entry in enumerate(entries, 1):
        cold.record_entry(
            entry, revision=revision, is_first_listing=is_first_listing, now=10.0
        )
    return cold


def entry(warm_up_s: float | None = None, born: int = 5):
    return make_target("t", "d", warm_up_s=warm_up_s, born=born)


@pytest.mark.parametrize(
    ("warm_up_s", "is_first_listing", "cold_s"),
    [(None, True, 0), (None, False, WARM_UP_S), (0.0, False, 0), (3.0, True, 3)],
)
def test_new_target_is_cold_unless_its_entry_or_the_start_says_otherwise(
    warm_up_s, is_first_listing, cold_s
):
    target = entry(warm_up_s)
    cold = cold_targets(target, is_first_listing=is_first_listing)
    assert cold.is_cold(target, now=10.0) == (cold_s > 0)
    assert cold.is_cold(target, now=10.0 + cold_s - 0.01) == (cold_s > 0)
    assert not cold.is_cold(target, now=10.0 + cold_s)


def test_changed_born_is_cold():
    cold = cold_targets(entry(0.0), entry(born=6))
    assert cold.is_cold(entry(born=6), now=11.0)


def test_later_entry_turns_a_target_cold_and_warm():
    cold = cold_targets(entry(0.0), entry(4.0))
    assert cold.is_cold(entry(), now=13.9)
    cold.record_entry(entry(0.0), revision=9, is_first_listing=False, now=12.0)
    assert not cold.is_cold(entry(), now=12.0)


def test_entry_that_is_listed_again_does_not_begin_the_countdown_anew():
    """A target would stay cold as long as the prefix is listed again and again."""
    cold = cold_targets(entry(4.0))
    cold.record_entry(entry(4.0), revision=1, is_first_listing=False, now=13.0)
    assert not cold.is_cold(entry(), now=14.5)


def test_incarnation_that_lost_its_entry_is_not_taken_for_a_new_one():
    """After an outage of the store all targets would be cold at once."""
    cold = cold_targets(entry(0.0))
    cold.keep_only([], now=11.0)
    cold.record_entry(entry(), revision=9, is_first_listing=False, now=20.0)
    assert not cold.is_cold(entry(), now=20.0)


def test_service_without_figures_has_no_cold_targets():
    cold = cold_targets(entry(4.0))
    cold.set_services([Service(name="service", connection_limit=9)])
    assert cold.permitted([entry()], now=10.0, rng=RNG) == [entry()]
    assert cold.take(entry(), now=10.0) is None


def test_permit_counts_from_the_first_byte():
    """Two attempts that connect slowly would be sent at the same moment."""
    cold = cold_targets(entry(WARM_UP_S))
    permit = cold.take(entry(), now=13.0)
    assert cold.permitted([entry()], now=14.9, rng=RNG) == []
    permit.record_sending(15.0)
    assert cold.wait_s(entry(), now=15.0, rng=RNG) >= MIN_INTERVAL_S


def test_unused_permit_is_returned():
    cold = cold_targets(entry(WARM_UP_S))
    cold.permitted([entry()], now=10.0, rng=RNG)
    permit = cold.take(entry(), now=15.0)
    permit.release()
    assert cold.permitted([entry()], now=15.0, rng=RNG) == [entry()]


@pytest.mark.parametrize("router_count", [0, 1, 5, 12, 28, 31, 60])
def test_interval_keeps_the_mean_rate(router_count):
    interval_s = send_interval_s(
        rate=17.0, overshoot=1.5, tolerance=5.0, router_count=router_count
    )
    assert interval_s >= MIN_INTERVAL_S
    assert (router_count or 31) / interval_s <= 17.0
    if not 0 < router_count <= 11:
        assert interval_s >= CROWDED_INTERVAL_S


@pytest.mark.parametrize("tolerance", [5.0, 0.0])
@pytest.mark.parametrize("rate", [0.0, 1e-320])
def test_rate_of_zero_leaves_the_tolerance(rate, tolerance):
    """A target that bears no request while it is cold got all of them."""
    cold = ColdTargets(overshoot=1.5, tolerance=tolerance, router_count=lambda: 10)
    cold.set_services([msgspec.structs.replace(SERVICE, warm_up_rate=rate)])
    cold.record_entry(entry(), revision=1, is_first_listing=False, now=10.0)
    cold.permitted([entry()], now=10.0, rng=RNG)
    cold.take(entry(), now=12.0).record_sending(12.0)
    wait_s = cold.wait_s(entry(), now=12.0, rng=RNG)
    assert wait_s < math.inf
    assert 10 / wait_s <= max(tolerance, 0.1)


def test_domain_that_returns_is_cold_until_its_targets_say_otherwise():
    """Its targets had no requests, and routers' next ones would meet them cold."""
    selector = Selector()
    cold = selector.placement.cold
    cold.set_services([SERVICE])
    target = make_target("t", "a", born=5, warm_up_s=0.0)
    selector.directory.put("t", target, revision=1)
    cold.record_entry(target, revision=1, is_first_listing=True, now=0.0)
    selector.wait(60.0)
    selector.evacuate("a", 2)
    selector.sink.handle_removal(PREFIX + "a", revision=3, is_certain=True)
    now = selector.timers.now()
    assert cold.is_cold(target, now=now + WARM_UP_S - 0.1)
    cold.record_entry(target, revision=4, is_first_listing=False, now=now + 1.0)
    assert not cold.is_cold(target, now=now + 1.0)


CONFIG = make_config(services=(msgspec.structs.replace(SERVICE, tokens_per_event=2),))


async def send_all(fleet: DirectFleet, count: int, path: str = "/read/x") -> list:
    """Send requests within a second; return their answers."""
    answers = []

    async def send(number: int) -> None:
        answers.append(await fleet.send_request(path, attempt=f"{path}{number}"))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(send, number)
            await trio.sleep(0.5 / count)
    return answers


def run_cold(scenario, *scripts) -> None:
    async def main():
        with trio.fail_after(20):
            async with direct_fleet(*scripts, config=CONFIG) as fleet:
                await scenario(fleet)

    trio.run(main)


@pytest.mark.parametrize(
    ("path", "script"), [("/read/x", fail), ("/draft/x", stream(end_at=2, cut=True))]
)
def test_retries_and_resumptions_count_as_well(path, script):
    """The other target's failures would send every request to the cold one."""

    async def scenario(fleet):
        cold = fleet.target_by_id["t1"]
        cold.warm_up_s = WARM_UP_S
        fleet.register(cold)
        await trio.sleep(0.2)
        with trio.move_on_after(2.0):
            for number in range(6):
                with suppress(HttpClientError):
                    # A stream that no target may go on with stays cut.
                    await fleet.send_request(path, attempt=f"{number}", tokens="1,1")
        assert len(cold.received) <= 2
        assert fleet.target_by_id["t0"].received

    run_cold(scenario, script, answer_successfully)


def test_many_targets_that_start_at_once_share_the_requests():
    """A fleet of cold targets must serve, each below its limit."""

    async def scenario(fleet):
        for number in range(2, 26):
            await fleet.add_target(f"t{number}", answer_successfully)
        fleet.target_by_id["t0"].warm_up_s = WARM_UP_S
        fleet.register(fleet.target_by_id["t0"])
        await trio.sleep(CROWDED_INTERVAL_S + 0.5)
        answers = await send_all(fleet, 8)
        assert [each.status for each in answers] == [200] * 8
        received = [len(each.received) for each in fleet.target_by_id.values()]
        assert max(received) == 1

    run_cold(scenario, answer_successfully)


def test_only_cold_target_without_permit_is_refused_with_a_time():
    """A request must not wait beyond its objective, nor reach the target."""

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.warm_up_s = WARM_UP_S
        fleet.register(target)
        await trio.sleep(CROWDED_INTERVAL_S + 0.5)
        answers = await send_all(fleet, 6)
        assert sorted(each.status for each in answers) == [200, *[503] * 5]
        refused = [each for each in answers if each.status == 503]
        assert all(b"not_run" in each.body for each in refused)
        assert all(float(each.header("retry-after")) > 0 for each in refused)
        assert len(target.received) == 1

    run_cold(scenario, answer_successfully)


def test_targets_of_the_first_listing_are_warm():
    async def scenario(fleet):
        answers = await send_all(fleet, 10)
        assert [each.status for each in answers] == [200] * 10

    run_cold(scenario, answer_successfully)


def test_requests_are_spread_while_no_entry_is_read():
    """A target that turns cold during an outage would go on as a prefix's home."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = DirectFleet(nursery=nursery, store=BadStore())
            # Nobody can be charged during the outage.
            fleet.configure(msgspec.structs.replace(CONFIG, organisations=()))
            for number in range(6):
                await fleet.add_target(f"t{number}", answer_successfully)
            await fleet.start_router()
            await fleet.wait_until(lambda: fleet.router.is_ready)
            fleet.store.is_down = True
            fleet.store.put("wake", b"")
            await trio.sleep(3.6)
            for number in range(12):
                answer = await fleet.send_request(
                    "/read/x", attempt=f"{number}", parts="a,b", tokens="1,1"
                )
                assert answer.status == 200
                if number == 5:
                    received = [len(t.received) for t in fleet.target_by_id.values()]
                    assert received == [1] * 6
            nursery.cancel_scope.cancel()

    trio.run(main)
