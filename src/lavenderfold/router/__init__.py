"""The router process, which admits requests, routes them and settles their cost."""

from lavenderfold.router._router import Router
from lavenderfold.router._settings import RouterLimits, RouterSettings

__all__ = ["Router", "RouterLimits", "RouterSettings"]
