"""The process beside each target: the only entry point to it."""

from lavenderfold.agent._agent import Agent
from lavenderfold.agent._settings import AgentSettings, Limits, TargetKind

__all__ = ["Agent", "AgentSettings", "Limits", "TargetKind"]
