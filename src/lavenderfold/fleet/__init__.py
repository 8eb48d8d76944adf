"""What a router knows of its fleet: routes, organisations, services, targets."""

from lavenderfold.fleet._config import (
    CallerLimits,
    FleetConfig,
    Organisation,
    RepeatPolicy,
    Route,
    Service,
    ServiceShare,
)
from lavenderfold.fleet._directory import Target, TargetDirectory
from lavenderfold.fleet._follower import ItemSink, PrefixFollower
from lavenderfold.fleet._hub import HUB_PATH, PrefixHub
from lavenderfold.fleet._regional import RegionalStore
from lavenderfold.fleet._routes import RouteTable

__all__ = [
    "CallerLimits",
    "FleetConfig",
    "HUB_PATH",
    "ItemSink",
    "Organisation",
    "PrefixFollower",
    "PrefixHub",
    "RegionalStore",
    "RepeatPolicy",
    "Route",
    "RouteTable",
    "Service",
    "ServiceShare",
    "Target",
    "TargetDirectory",
]
