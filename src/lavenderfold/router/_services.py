"""The components that the request handlers of a router share."""

from collections.abc import Callable

import trio

from lavenderfold.config import FleetConfig
from lavenderfold.metrics import Metrics
from lavenderfold.router._agents import AgentLinks
from lavenderfold.router._decision_log import DecisionLog
from lavenderfold.router._dispatcher import Dispatcher
from lavenderfold.router._grants import GrantManager
from lavenderfold.router._prompt_guard import PromptGuard
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
        decision_log: DecisionLog,
        load_view: LoadView,
        agents: AgentLinks,
        dispatcher: Dispatcher,
        grants: GrantManager,
        settler: Settler,
        prompt_guard: PromptGuard,
    ):
        self.settings = settings
        self.timers = timers
        self.metrics = metrics
        self.nursery = nursery
        self.config = config
        self.decision_log = decision_log
        self.load_view = load_view
        self.agents = agents
        self.dispatcher = dispatcher
        self.grants = grants
        self.settler = settler
        self.prompt_guard = prompt_guard
