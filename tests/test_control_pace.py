"""The rates of reports and heartbeats, and the detection of dead peers."""

import pytest
from hypothesis import given, settings, strategies as st

from lavenderfold.agent._observed_target import CacheEvent, ObservedTarget
from lavenderfold.agent._reports import LoadReporter
from lavenderfold.agent._router_links import RouterLinks
from lavenderfold.messages import LoadReport, RouterHello
from lavenderfold.router._link_timing import (
    MAX_HEARTBEATS_PER_S,
    MAX_REPORTS_PER_S,
    agent_link_timing,
    peer_heartbeat_s,
    peer_silence_limit_s,
)

TICK_S = 0.25
DETERMINISTIC = settings(derandomize=True, deadline=None)


class RecordingLink:
    """Replaces an open link and records the posted messages."""

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
    """The load reporter of an agent with one link for each report period."""

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
def test_control_messages_per_second_are_bounded(link_count):
    """Without a bound, the cost of an idle router grows with its number of links."""
    timing = agent_link_timing(link_count)
    assert link_count / timing.report_period_s <= MAX_REPORTS_PER_S * 1.0001
    assert link_count / timing.heartbeat_period_s <= MAX_HEARTBEATS_PER_S * 1.0001
    assert link_count / peer_heartbeat_s(link_count) <= MAX_HEARTBEATS_PER_S * 1.0001


@DETERMINISTIC
@given(st.integers(0, 2000))
def test_limits_leave_room_for_a_late_message(link_count):
    """With a limit near the period, a busy peer would be considered dead."""
    timing = agent_link_timing(link_count)
    assert timing.report_timeout_s >= 3 * timing.report_period_s
    assert timing.silence_limit_s >= 2 * timing.report_timeout_s
    assert timing.check_period_s < timing.heartbeat_period_s
    period_s = peer_heartbeat_s(link_count)
    assert peer_silence_limit_s(period_s) >= 3 * period_s


def test_each_router_is_reported_to_at_its_own_period():
    """One common period would send too many reports to routers with many links."""
    agent = ReportingAgent([0.25, 1.0, 3.2])
    agent.tick(32.0)
    fast, middle, slow = agent.counts()
    assert fast == 128
    assert middle == 32
    assert slow == pytest.approx(10, abs=1)


def test_urgent_report_reaches_slow_links_at_once():
    """If a drain was reported only after the period, routers would send new runs."""
    agent = ReportingAgent([0.25, 60.0])
    agent.tick(1.0)
    before = agent.counts()
    agent.reporter.report_all(1.1)
    assert agent.counts() == [count + 1 for count in before]


def test_changed_prefixes_reach_each_link_once():
    """A change that was already reported on a fast link must still reach a slow one."""
    agent = ReportingAgent([0.25, 3.0])
    agent.tick(6.0)
    agent.target.apply_cache_events([CacheEvent(sequence=1, action="stored", prefix=7)])
    agent.tick(90.0, start=6.0)
    for router in agent.routers:
        named = [report for report in router.link.posted if report.prefixes_known]
        assert [report.prefixes for report in named] == [[7]]


def test_router_without_heartbeats_loses_its_link():
    """The failure of a router's VM doesn't close its connections.

    The agent must close the link itself, to report usage to another router instead.
    """
    agent = ReportingAgent([0.25, 0.25])
    dead, alive = agent.routers
    dead.heartbeat_period_s = alive.heartbeat_period_s = 5.0
    alive.last_received_at = 10.0
    agent.links.close_silent(15.0)
    assert not dead.link.closed
    agent.links.close_silent(15.5)
    assert dead.link.closed
    assert not alive.link.closed
