"""The agent: a process beside each target through which all requests reach it."""

from lavenderfold.agent._agent import Agent
from lavenderfold.agent._settings import AgentSettings, Limits, TargetKind

__all__ = ["Agent", "AgentSettings", "Limits", "TargetKind"]
