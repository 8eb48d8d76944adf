"""Periods of reports and heartbeats, which depend on a router's number of links.

A received message costs about 125 us of processor time and a sent one up to
100 us. The rates over all links are bounded, so that this cost doesn't grow with
the number of links. Instead, the time to detect a silent peer grows.
"""

import msgspec

MAX_REPORTS_PER_S = 100.0
MIN_REPORT_PERIOD_S = 0.25
MAX_HEARTBEATS_PER_S = 10.0
MIN_AGENT_HEARTBEAT_PERIOD_S = 5.0
MIN_PEER_HEARTBEAT_PERIOD_S = 1.0
# A target without a report for REPORT_TIMEOUT_PERIODS gets no new runs; its link is
# closed after SILENCE_LIMIT_REPORT_PERIODS. The second limit is longer, so that runs
# in progress survive a short stall without a new link.
REPORT_TIMEOUT_PERIODS = 3
SILENCE_LIMIT_REPORT_PERIODS = 8
MIN_REPORT_TIMEOUT_S = 2.0
MIN_SILENCE_LIMIT_S = 5.0
SILENCE_LIMIT_HEARTBEAT_PERIODS = 3


class AgentLinkTiming(msgspec.Struct, frozen=True):
    """Periods and time limits of the links to agents, in seconds.

    Agents are asked to report every ``report_period_s``. A target whose last report
    is older than ``report_timeout_s`` gets no new runs. A link that was silent for
    ``silence_limit_s`` is closed; this is checked every ``check_period_s``.
    """

    report_period_s: float
    report_timeout_s: float
    silence_limit_s: float
    heartbeat_period_s: float

    @property
    def check_period_s(self) -> float:
        return self.silence_limit_s / SILENCE_LIMIT_REPORT_PERIODS


def agent_link_timing(link_count: int) -> AgentLinkTiming:
    """Return the periods and limits for a router with this many links to agents."""
    report_period_s = max(MIN_REPORT_PERIOD_S, link_count / MAX_REPORTS_PER_S)
    return AgentLinkTiming(
        report_period_s=report_period_s,
        report_timeout_s=max(
            MIN_REPORT_TIMEOUT_S, REPORT_TIMEOUT_PERIODS * report_period_s
        ),
        silence_limit_s=max(
            MIN_SILENCE_LIMIT_S, SILENCE_LIMIT_REPORT_PERIODS * report_period_s
        ),
        heartbeat_period_s=max(
            MIN_AGENT_HEARTBEAT_PERIOD_S, link_count / MAX_HEARTBEATS_PER_S
        ),
    )


def peer_heartbeat_s(link_count: int) -> float:
    """Return the heartbeat period of each of this many links to routers."""
    return max(MIN_PEER_HEARTBEAT_PERIOD_S, link_count / MAX_HEARTBEATS_PER_S)


def peer_silence_limit_s(heartbeat_period_s: float) -> float:
    """Return how long a peer that announced this period may be silent."""
    return max(
        MIN_SILENCE_LIMIT_S, SILENCE_LIMIT_HEARTBEAT_PERIODS * heartbeat_period_s
    )
