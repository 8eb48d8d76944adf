"""The rates of reports and heartbeats, and how each side notices a dead peer."""

import pytest
from hypothesis import given, settings, strategies as st

from lavenderfold.agent._observed_target import CacheEvent, ObservedTarget
from lavenderfold.agent._reports import LoadReporter
from lavenderfold.agent._router_links import RouterLinks
from lavenderfold.messages import LoadReport, RouterHello
from lavenderfold.router._link_timing import (
    HEARTBEATS_PER_S,
    REPORTS_PER_S,
    agent_link_timing,
    peer_heartbeat_s,
    peer_silence_limit_s,
)

TICK_S = 0.25
DETERMINISTIC = settings(derandomize=True, deadline=None)


class RecordingLink:
    """Stands for an open link; keeps what is posted."""

    def __init__(self):
        self.closed = False
        self.posted = []

    def post(self, message):
        self.posted.append(message)

    def close(self):
        self.closed = True


def make_hello(incarnation, report_period_s):
    return RouterHello(
        router=f"r{incarnation}",
        incarnation=incarnation,
        region="s",
        failure_domain="f",
        revision=1,
        grant_sequence=0,
        report_period_s=report_period_s,
    )


def make_report(prefixes):
    return LoadReport(
        running=0,
        queued=0,
        queued_tokens=0,
        slots=1,
        tokens_per_s=1.0,
        ready=True,
        draining=False,
        revision=1,
        prefixes=prefixes or [],
        prefixes_known=prefixes is not None,
    )


class ReportingAgent:
    """The reporting part of an agent with a link for each period."""

    def __init__(self, periods):
        self.target = ObservedTarget(models=["m"])
        self.links = RouterLinks(region="s")
        self.routers = []
        for number, period_s in enumerate(periods):
            router = self.links.add(RecordingLink(), now=0.0)
            self.links.record_hello(router, make_hello(number, period_s))
            self.routers.append(router)
        self.reporter = LoadReporter(
            links=self.links,
            target=self.target,
            make_report=make_report,
            tick_s=TICK_S,
        )

    def tick(self, seconds, *, start=0.0):
        for number in range(int(seconds / TICK_S)):
            self.reporter.report_due(start + number * TICK_S)

    def counts(self):
        return [len(router.link.posted) for router in self.routers]


@DETERMINISTIC
@given(st.integers(1, 2000))
def test_control_messages_per_second_are_bounded(links):
    """Without the bound a router's idle cost grows with its number of links."""
    pace = agent_link_timing(links)
    assert links / pace.report_period_s <= REPORTS_PER_S * 1.0001
    assert links / pace.heartbeat_period_s <= HEARTBEATS_PER_S * 1.0001
    assert links / peer_heartbeat_s(links) <= HEARTBEATS_PER_S * 1.0001


@DETERMINISTIC
@given(st.integers(0, 2000))
def test_limits_leave_room_for_a_late_message(links):
    """A limit near the period would take a busy peer for a dead one."""
    pace = agent_link_timing(links)
    assert pace.report_timeout_s >= 3 * pace.report_period_s
    assert pace.silence_limit_s >= 2 * pace.report_timeout_s
    assert pace.check_period_s < pace.heartbeat_period_s
    period_s = peer_heartbeat_s(links)
    assert peer_silence_limit_s(period_s) >= 3 * period_s


def test_each_router_is_reported_to_at_its_own_period():
    """One common period would flood the routers with many links."""
    agent = ReportingAgent([0.25, 1.0, 3.2])
    agent.tick(32.0)
    fast, middle, slow = agent.counts()
    assert fast == 128
    assert middle == 32
    assert slow == pytest.approx(10, abs=1)


def test_urgent_report_reaches_slow_links_at_once():
    """A drain that waits for the period would let a router send new work."""
    agent = ReportingAgent([0.25, 60.0])
    agent.tick(1.0)
    before = agent.counts()
    agent.reporter.report_all(1.1)
    assert agent.counts() == [count + 1 for count in before]


def test_changed_prefixes_reach_each_link_once():
    """A slow link must not miss a change that a fast one was told before."""
    agent = ReportingAgent([0.25, 3.0])
    agent.tick(6.0)
    agent.target.apply_cache_events([CacheEvent(sequence=1, action="stored", prefix=7)])
    agent.tick(90.0, start=6.0)
    for router in agent.routers:
        named = [report for report in router.link.posted if report.prefixes_known]
        assert [report.prefixes for report in named] == [[7]]


def test_router_without_heartbeats_loses_its_link():
    """A failed VM closes no connection; its usage must go to another router."""
    agent = ReportingAgent([0.25, 0.25])
    dead, alive = agent.routers
    dead.heartbeat_period_s = alive.heartbeat_period_s = 5.0
    alive.last_received_at = 10.0
    agent.links.close_silent(15.0)
    assert not dead.link.closed
    agent.links.close_silent(15.5)
    assert dead.link.closed
    assert not alive.link.closed
