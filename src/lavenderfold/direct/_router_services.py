"""Services that all requests of one router share."""

import random
from collections.abc import Callable

import msgspec

from lavenderfold.admission import AdmissionGate, TargetTokens
from lavenderfold.direct._answer_memory import AnswerMemory
from lavenderfold.direct._balancing import TargetBalancing
from lavenderfold.direct._connections import TargetClients
from lavenderfold.direct._event_loop_monitor import EventLoopMonitor
from lavenderfold.direct._first_event_times import FirstEventTimes
from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._metrics import AdmissionState, RouterMetrics
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

    ``domain`` is the failure domain of the router. ``balancing`` chooses targets by
    expected cost, if that is enabled. ``draw`` returns a uniform random number in
    [0, 1).
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
    balancing: TargetBalancing | None = None
    draw: Callable[[], float] = random.random
    placement: Placement = msgspec.field(default_factory=Placement)
    answer_memory: AnswerMemory = msgspec.field(default_factory=AnswerMemory)
    first_event_times: FirstEventTimes = msgspec.field(default_factory=FirstEventTimes)
    target_tokens: TargetTokens = msgspec.field(default_factory=TargetTokens)
    retry_budget_by_service: dict[str, RetryBudget] = msgspec.field(
        default_factory=dict
    )

    admission_gate_by_service: dict[str, AdmissionGate] = msgspec.field(
        default_factory=dict
    )

    def admission_gate(
        self, service_name: str, priority: int | None
    ) -> AdmissionGate | None:
        """Return the admission to a service, None if its requests have no priority."""
        if priority is None:
            return None
        gate = self.admission_gate_by_service.get(service_name)
        if gate is None:
            gate = self.admission_gate_by_service[service_name] = AdmissionGate()
        return gate

    def admission_states(self) -> dict[str, AdmissionState]:
        """Return the state of the admission by service, for the metrics."""
        return {
            name: AdmissionState(
                limit=gate.admission.limit.value,
                used=gate.admission.used,
                queued=gate.admission.queued,
            )
            for name, gate in self.admission_gate_by_service.items()
        }

    def retry_budget(self, service_name: str) -> RetryBudget:
        """Return the retry budget of a service."""
        retry_budget = self.retry_budget_by_service.get(service_name)
        if retry_budget is None:
            retry_budget = self.new_retry_budget()
            self.retry_budget_by_service[service_name] = retry_budget
        return retry_budget
