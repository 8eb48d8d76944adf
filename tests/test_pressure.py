"""A router whose processor is exhausted sends its callers to other routers."""

import time

import trio

from lavenderfold.direct._event_loop_monitor import EventLoopMonitor
from tests.direct_support import answer_whole, run_fleet


def test_one_late_probe_changes_nothing():
    """A machine that was suspended for half a second isn't overloaded."""
    monitor = EventLoopMonitor()
    monitor.record_delay(0.5)
    assert not monitor.is_overloaded


def test_probes_that_stay_late_take_the_router_out_and_back():
    monitor = EventLoopMonitor()
    for _ in range(10):
        monitor.record_delay(0.3)
    assert monitor.is_overloaded
    assert not monitor.is_refusing
    for _ in range(10):
        monitor.record_delay(0.8)
    assert monitor.is_refusing
    for _ in range(10):
        monitor.record_delay(0.0)
    assert not monitor.is_overloaded
    assert not monitor.is_refusing


def occupy_the_loop() -> None:
    time.sleep(0.5)


def test_a_busy_loop_is_noticed():
    async def main():
        monitor = EventLoopMonitor()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run)
            for _ in range(8):
                await trio.sleep(0.01)
                occupy_the_loop()
            assert monitor.is_overloaded
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_overloaded_router_isn_t_ready_and_closes_connections():
    """Its kept connections would go on bringing it more than it can do."""

    async def scenario(fleet):
        for _ in range(10):
            fleet.router.event_loop_monitor.record_delay(0.4)
        assert not fleet.router.is_ready
        answer = await fleet.ask("/read/x")
        assert answer.status == 200
        assert answer.header("connection") == "close"
        for _ in range(20):
            fleet.router.event_loop_monitor.record_delay(2.0)
        assert (await fleet.ask("/read/x")).status == 503

    run_fleet(scenario, answer_whole)
