"""Choice of targets by expected cost, with knowledge that may be stale."""

from lavenderfold.balancing._balancer import (
    Balancer,
    CostedTarget,
    Demand,
    TargetUse,
)

__all__ = [
    "Balancer",
    "CostedTarget",
    "Demand",
    "TargetUse",
]
