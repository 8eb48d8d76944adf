"""Load balancing by expected cost, from observations that may be stale."""

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
