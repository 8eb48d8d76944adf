"""An overloaded router makes its callers use other routers."""

import time

import trio

from lavenderfold.direct._event_loop_monitor import EventLoopMonitor
from tests.direct_support import answer_successfully, run_scenario


def test_one_late_probe_is_not_an_overload():
    """A machine that was suspended for half a second isn't overloaded."""
    monitor = EventLoopMonitor()
    monitor.record_delay(0.5)
    assert not monitor.is_overloaded


def test_late_probes_start_and_timely_probes_end_the_overload():
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


def block_event_loop() -> None:
    time.sleep(0.5)


def test_busy_event_loop_is_detected():
    async def main():
        monitor = EventLoopMonitor()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run)
            for _ in range(8):
                await trio.sleep(0.01)
                block_event_loop()
            assert monitor.is_overloaded
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_overloaded_router_isn_t_ready_and_closes_connections():
    """Callers would keep sending it too many requests on open connections."""

    async def scenario(fleet):
        for _ in range(10):
            fleet.router.event_loop_monitor.record_delay(0.4)
        assert not fleet.router.is_ready
        answer = await fleet.send_request("/read/x")
        assert answer.status == 200
        assert answer.header("connection") == "close"
        for _ in range(20):
            fleet.router.event_loop_monitor.record_delay(2.0)
        assert (await fleet.send_request("/read/x")).status == 503

    run_scenario(scenario, answer_successfully)


def test_router_whose_turns_take_long_is_overloaded():
    """Guards against callers that are sent to a router which then refuses them.

    A timer that is late by one short turn shows no overload, but a request takes
    several turns.
    """
    monitor = EventLoopMonitor()
    for _ in range(10):
        monitor.record_delay(0.1)
        monitor.record_request_delay(0.7)
    assert monitor.is_overloaded
    assert not monitor.is_refusing
    for _ in range(10):
        monitor.record_delay(0.01)
        monitor.record_request_delay(0.05)
    assert not monitor.is_overloaded
