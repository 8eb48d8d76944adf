"""The operators' configuration: its model, files and revisions."""

from lavenderfold.config._model import (
    ApiKey,
    Budget,
    FailureDomain,
    FleetConfig,
    Organisation,
    RequestClass,
    Route,
    RouteKind,
    Target,
)

__all__ = [
    "ApiKey",
    "Budget",
    "FailureDomain",
    "FleetConfig",
    "Organisation",
    "RequestClass",
    "Route",
    "RouteKind",
    "Target",
]
