"""Which targets a request may be sent to: regions, evacuations and cold targets."""

from lavenderfold.placement._evacuations import Evacuations
from lavenderfold.placement._placement import Placement
from lavenderfold.placement._regions import allowed_regions, in_regions

__all__ = ["Evacuations", "Placement", "allowed_regions", "in_regions"]
