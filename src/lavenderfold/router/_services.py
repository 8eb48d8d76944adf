"""The components that the request handlers of a router share."""

from collections.abc import Callable

import trio

from lavenderfold.config import FleetConfig
from lavenderfold.metrics import Metrics
from lavenderfold.router._agents import AgentLinks
from lavenderfold.router._decisions import Decisions
from lavenderfold.router._dispatch import Dispatch
from lavenderfold.router._grants import GrantManager
from lavenderfold.router._settings import RouterSettings
from lavenderfold.router._settlement import Settler
from lavenderfold.routing import LoadView
from lavenderfold.timers import TimerService


class RouterServices:
    """The components and settings that the request handlers of one router share."""

    def __init__(
        self,
        *,
        settings: RouterSettings,
        timers: TimerService,
        metrics: Metrics,
        nursery: trio.Nursery,
        config: Callable[[], FleetConfig],
        decisions: Decisions,
        load_view: LoadView,
        agents: AgentLinks,
        dispatch: Dispatch,
        grants: GrantManager,
        settler: Settler,
    ):
        self.settings = settings
        self.timers = timers
        self.metrics = metrics
        self.nursery = nursery
        self.config = config
        self.decisions = decisions
        self.load_view = load_view
        self.agents = agents
        self.dispatch = dispatch
        self.grants = grants
        self.settler = settler
