"""Routers whose network link is full while others of their failure domain idle."""

import random
from itertools import pairwise

import pytest
import trio
import trio.testing

from lavenderfold.direct._link_monitor import SAMPLE_PERIOD_S, LinkMonitor
from lavenderfold.link_traffic import CountedStream, link_traffic
from tests.direct_support import answer_successfully, run_scenario

CAPACITY = 625_000


def play(monitor: LinkMonitor, *, share: float, duration_s: float) -> None:
    """Use a share of the capacity for sending, for some seconds."""
    for _ in range(round(duration_s / SAMPLE_PERIOD_S)):
        sent_bytes = round(share * CAPACITY * SAMPLE_PERIOD_S)
        monitor.record(
            sent_bytes=sent_bytes, received_bytes=0, elapsed_s=SAMPLE_PERIOD_S
        )


def test_callers_of_one_busy_organisation_fill_the_link():
    """Guards against a router that stays in rotation while its answers queue."""
    monitor = LinkMonitor(capacity_bytes_per_s=CAPACITY)
    play(monitor, share=0.6, duration_s=10)
    assert not monitor.is_saturated
    play(monitor, share=0.98, duration_s=3)
    assert monitor.is_saturated
    play(monitor, share=0.6, duration_s=10)
    assert monitor.is_saturated
    play(monitor, share=0.3, duration_s=3)
    assert not monitor.is_saturated


def test_large_configuration_does_not_move_callers():
    """Guards against routers that all leave the rotation when a version arrives."""
    monitor = LinkMonitor(capacity_bytes_per_s=CAPACITY)
    play(monitor, share=0.4, duration_s=5)
    play(monitor, share=1.0, duration_s=0.5)
    assert not monitor.is_saturated


@pytest.mark.parametrize("own_share", [0.0, 0.55])
def test_links_of_all_routers_of_a_failure_domain_are_full(own_share):
    """Guards against routers that all leave the rotation together, again and again.

    The load: callers use 80% of the links and go to the routers that are ready at a
    check each 0.5 s. ``own_share`` of each link is used by other traffic, with which
    the routers never returned.
    """
    monitors = [
        LinkMonitor(capacity_bytes_per_s=CAPACITY, rng=random.Random(number))
        for number in range(4)
    ]
    ready_by_check = []
    for _ in range(240):
        ready = [each for each in monitors if not each.is_out_of_rotation]
        ready_by_check.append(len(ready))
        for monitor in monitors:
            callers_share = 0.8 * len(monitors) / len(ready) if monitor in ready else 0
            share = min(1.0, own_share + callers_share)
            play(monitor, share=share, duration_s=0.5)
    assert ready_by_check.count(0) <= 0.05 * len(ready_by_check)
    assert any(each < len(monitors) for each in ready_by_check)


def test_unknown_capacity_is_never_used_up():
    monitor = LinkMonitor(capacity_bytes_per_s=None)
    play(monitor, share=5.0, duration_s=5)
    assert not monitor.is_saturated


def test_traffic_of_both_directions_is_counted():
    async def main():
        left, right = trio.socket.socketpair()
        async with CountedStream(left) as sender, CountedStream(right) as receiver:
            await sender.send_all(bytes(1000))
            await receiver.receive_some(4096)
            assert link_traffic().sent_bytes >= 1000
            assert link_traffic().received_bytes >= 1000

    trio.run(main)


def test_long_write_to_a_slow_reader_is_counted_as_it_is_sent():
    """Guards against a router that leaves the rotation at the end of one answer.

    An answer of 4 MB that took 10 s counted as sent in 0.1 s, many times the capacity.
    """

    async def main():
        left, right = trio.socket.socketpair()
        counts, size_bytes = [0], 4_000_000
        async with (
            CountedStream(left) as sender,
            CountedStream(right) as reader,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(sender.send_all, bytes(size_bytes))
            read_bytes = 0
            while read_bytes < size_bytes:
                await trio.testing.wait_all_tasks_blocked()
                counts.append(link_traffic().sent_bytes)
                read_bytes += len(await reader.receive_some(65536))
        assert link_traffic().sent_bytes >= size_bytes
        steps = [after - before for before, after in pairwise(counts)]
        assert max(steps) < size_bytes / 4

    trio.run(main)


def test_router_with_a_full_link_is_not_ready_and_closes_connections():
    """Guards against callers that stay with the one router that can't answer."""

    async def scenario(fleet):
        fleet.router.link_monitor.is_saturated = True
        assert not fleet.router.is_ready
        answer = await fleet.send_request("/read/x")
        assert answer.status == 200
        assert ("connection", "close") in answer.headers

    run_scenario(scenario, answer_successfully)
