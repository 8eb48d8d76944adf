"""Services that all requests of one router share."""

from collections.abc import Callable

import msgspec

from lavenderfold.direct._answer_memory import AnswerMemory
from lavenderfold.direct._connections import TargetClients
from lavenderfold.direct._event_loop_monitor import EventLoopMonitor
from lavenderfold.direct._first_event_times import FirstEventTimes
from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._metrics import RouterMetrics
from lavenderfold.direct._notices import TargetNotices
from lavenderfold.direct._reachability import Reachability
from lavenderfold.direct._requests import PlatformCodec
from lavenderfold.escrow import BalanceManager
from lavenderfold.fleet import TargetDirectory
from lavenderfold.placement import Placement
from lavenderfold.quarantine import PromptQuarantine
from lavenderfold.routing import RetryBudget
from lavenderfold.timers import TimerService


class RouterServices(msgspec.Struct, kw_only=True):
    """Services that all requests of one router share.

    ``domain`` is the failure domain of the router.
    """

    balance_manager: BalanceManager
    load_tracker: LoadTracker
    clients: TargetClients
    codec: PlatformCodec
    directory: TargetDirectory
    metrics: RouterMetrics
    notices: TargetNotices
    quarantine: PromptQuarantine
    event_loop_monitor: EventLoopMonitor
    reachability: Reachability
    timers: TimerService
    new_retry_budget: Callable[[], RetryBudget]
    domain: str
    placement: Placement = msgspec.field(default_factory=Placement)
    answer_memory: AnswerMemory = msgspec.field(default_factory=AnswerMemory)
    first_event_times: FirstEventTimes = msgspec.field(default_factory=FirstEventTimes)
    retry_budget_by_service: dict[str, RetryBudget] = msgspec.field(
        default_factory=dict
    )

    def retry_budget(self, service_name: str) -> RetryBudget:
        """Return the retry budget of a service."""
        retry_budget = self.retry_budget_by_service.get(service_name)
        if retry_budget is None:
            retry_budget = self.new_retry_budget()
            self.retry_budget_by_service[service_name] = retry_budget
        return retry_budget
