"""Which targets a request may be sent to: regions, evacuations and cold targets."""

from lavenderfold.placement._evacuations import Evacuations
from lavenderfold.placement._placement import Placement
from lavenderfold.placement._regions import allowed_regions, in_regions
from lavenderfold.placement._warm_up import ColdTargets, Permit, send_interval_s

__all__ = [
    "ColdTargets",
    "Evacuations",
    "Permit",
    "Placement",
    "allowed_regions",
    "in_regions",
    "send_interval_s",
]
