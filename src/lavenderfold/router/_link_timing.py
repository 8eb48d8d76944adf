"""How often a router's links carry control messages, by their number.

A received message costs about 125 us of processor time and a sent one up to
100 us. The rates over all links are bounded, so that the cost of control doesn't
grow with the number of links; the time to notice a silent peer does.
"""

import msgspec

REPORTS_PER_S = 100.0
SHORTEST_REPORT_PERIOD_S = 0.25
HEARTBEATS_PER_S = 10.0
SHORTEST_AGENT_HEARTBEAT_S = 5.0
SHORTEST_PEER_HEARTBEAT_S = 1.0
# Reports that may be late or lost before a target gets no more work, and before
# its link is closed. A run in flight survives a short stall without a new link.
LATE_REPORTS = 3
SILENT_REPORTS = 8
SHORTEST_REPORT_TIMEOUT_S = 2.0
SHORTEST_SILENCE_LIMIT_S = 5.0
SILENT_HEARTBEATS = 3


class AgentLinkTiming(msgspec.Struct, frozen=True):
    """Periods and limits of the links to agents, in seconds.

    ``report_period_s`` is what agents are asked for. A target whose report is
    older than ``report_timeout_s`` gets no work, and a link that was silent for
    ``silence_limit_s`` is closed, which is checked each ``check_period_s``.
    """

    report_period_s: float
    report_timeout_s: float
    silence_limit_s: float
    heartbeat_period_s: float

    @property
    def check_period_s(self) -> float:
        return self.silence_limit_s / SILENT_REPORTS


def agent_link_timing(links: int) -> AgentLinkTiming:
    """Return the pace of a router with this many links to agents."""
    report_period_s = max(SHORTEST_REPORT_PERIOD_S, links / REPORTS_PER_S)
    return AgentLinkTiming(
        report_period_s=report_period_s,
        report_timeout_s=max(SHORTEST_REPORT_TIMEOUT_S, LATE_REPORTS * report_period_s),
        silence_limit_s=max(SHORTEST_SILENCE_LIMIT_S, SILENT_REPORTS * report_period_s),
        heartbeat_period_s=max(SHORTEST_AGENT_HEARTBEAT_S, links / HEARTBEATS_PER_S),
    )


def peer_heartbeat_s(links: int) -> float:
    """Return the period of heartbeats on each of this many links to routers."""
    return max(SHORTEST_PEER_HEARTBEAT_S, links / HEARTBEATS_PER_S)


def peer_silence_limit_s(heartbeat_period_s: float) -> float:
    """Return how long a peer that announced this period may be silent."""
    return max(SHORTEST_SILENCE_LIMIT_S, SILENT_HEARTBEATS * heartbeat_period_s)
