"""The router binary: callers' HTTP, admission, route choice, answers, settlement."""

from lavenderfold.router._router import Router
from lavenderfold.router._settings import RouterLimits, RouterSettings

__all__ = ["Router", "RouterLimits", "RouterSettings"]
