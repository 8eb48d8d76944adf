"""Builds the components of a router and connects them."""

from typing import TYPE_CHECKING

import trio

from lavenderfold import metrics
from lavenderfold.budgets import GrantPool, LedgerClient
from lavenderfold.messages import LoadReport, Loan, LoanRequest
from lavenderfold.router._agents import AgentHandlers, AgentLinks
from lavenderfold.router._answer_relay import AnswerRelay
from lavenderfold.router._caller_api import CallerApi
from lavenderfold.router._decision_log import DecisionLog
from lavenderfold.router._dispatcher import Dispatcher
from lavenderfold.router._grants import GrantManager
from lavenderfold.router._ledger import SharedLedger
from lavenderfold.router._operator_api import OperatorApi
from lavenderfold.router._peers import PeerHandlers, PeerLinks
from lavenderfold.router._prompt_guard import PromptGuard
from lavenderfold.router._reclaim import Reclaimer
from lavenderfold.router._request_registry import RequestRegistry, RequestStateReader
from lavenderfold.router._services import RouterServices
from lavenderfold.router._settlement import Settler
from lavenderfold.routing import LoadView
from lavenderfold.store import Store
from lavenderfold.timers import TimerService

if TYPE_CHECKING:
    from lavenderfold.router._router import Router


class RouterComponents:
    """The components of one router. ``router`` owns its incarnation and state."""

    def __init__(
        self,
        *,
        router: "Router",
        timers: TimerService,
        store: Store,
        nursery: trio.Nursery,
    ):
        self._router = router
        self._settings = router.settings
        self._timers = timers
        self._nursery = nursery
        self._metrics = metrics.connect(
            address=self._settings.statsd_address, prefix="lavenderfold.router"
        )
        limits = self._settings.limits
        self.load_view = LoadView()
        self.ledger = self._build_ledger(store)
        self.dispatcher = Dispatcher(
            load_view=self.load_view,
            timers=timers,
            region=self._settings.region,
            queue_length=limits.queue_length,
        )
        self.agents = self._build_agents()
        self.peers = self._build_peers()
        self.grants = self._build_grants()
        self.settler = Settler(
            ledger=self.ledger,
            agents=self.agents,
            nursery=nursery,
            timers=timers,
            usage_reported=self.grants.usage_reported,
        )
        services = self._build_services()
        self.request_registry = RequestRegistry(services=services)
        self.caller_api = CallerApi(
            services=services,
            request_registry=self.request_registry,
            answer_relay=AnswerRelay(services=services),
            state_reader=RequestStateReader(
                request_registry=self.request_registry, ledger=self.ledger
            ),
            is_draining=lambda: router.is_draining,
            has_config=lambda: router.state.revision > 0,
        )
        self.operator_api = OperatorApi(
            services=services,
            incarnation=lambda: router.incarnation,
            revision=lambda: router.state.revision,
            is_draining=lambda: router.is_draining,
        )
        self.reclaimer = self._build_reclaimer(store)

    @property
    def is_idle(self) -> bool:
        """Whether no request, settlement or call of the HTTP API is in progress."""
        return (
            self.request_registry.active_count == 0
            and self.settler.is_idle
            and self.caller_api.open_requests == 0
        )

    def _build_ledger(self, store: Store) -> SharedLedger:
        limits = self._settings.limits
        client = LedgerClient(
            store=store,
            timers=self._timers,
            shard_count=self._settings.shard_count,
            batch_window_s=limits.ledger_batch_s,
            retention_s=limits.retention_s,
        )
        return SharedLedger(
            client=client,
            shard_count=self._settings.shard_count,
            incarnation=lambda: self._router.incarnation,
            region=self._settings.region,
            store_region=self._settings.store_region,
            peers=lambda: self.peers.connected(),
            now=self._timers.now,
        )

    def _build_agents(self) -> AgentLinks:
        handlers = AgentHandlers(
            link_lost=self.load_view.remove_target,
            load_reported=self._handle_load_report,
            usage_reported=lambda *args: self.settler.take_usage_report(*args),
            fence_reported=lambda _, report: self.reclaimer.add_fence_report(report),
        )
        return AgentLinks(
            router=self._settings.router,
            region=self._settings.region,
            targets_per_group=self._settings.limits.targets_per_group,
            handlers=handlers,
            hello=self._router.hello,
            timers=self._timers,
            batch_window_s=self._settings.limits.link_batch_s,
        )

    def _build_peers(self) -> PeerLinks:
        watcher = self._router.watcher
        handlers = PeerHandlers(
            lend=self._lend,
            accept_loan_return=lambda returned: self.grants.accept_loan_return(
                returned
            ),
            hand_back_for_peer=lambda key, report: (
                self.grants.hand_backs.hand_back_for_peer(key, report)
            ),
            tokens_returned=lambda key: self.grants.tokens_returned(key),
            snapshot=self._router.state.snapshot,
            take_snapshot=lambda snapshot: watcher.offer(snapshot, source="peer"),
            commit=self.ledger.serve,
            handle_answer=self.ledger.handle_answer,
            link_lost=self.ledger.on_link_lost,
        )
        return PeerLinks(
            settings=self._settings,
            timers=self._timers,
            hello=self._router.peer_hello,
            handlers=handlers,
        )

    def _build_grants(self) -> GrantManager:
        router = self._router
        return GrantManager(
            pool=GrantPool(incarnation=router.incarnation),
            ledger=self.ledger,
            peers=self.peers,
            timers=self._timers,
            metrics=self._metrics,
            nursery=self._nursery,
            config=lambda: router.state.config,
            revision=lambda: router.state.revision,
            on_own_fenced=router.register_again,
        )

    def _build_services(self) -> RouterServices:
        return RouterServices(
            settings=self._settings,
            timers=self._timers,
            metrics=self._metrics,
            nursery=self._nursery,
            config=lambda: self._router.state.config,
            decision_log=DecisionLog(limit=self._settings.limits.decisions),
            load_view=self.load_view,
            agents=self.agents,
            dispatcher=self.dispatcher,
            grants=self.grants,
            settler=self.settler,
            prompt_guard=PromptGuard(timers=self._timers),
        )

    def _build_reclaimer(self, store: Store) -> Reclaimer:
        router = self._router
        return Reclaimer(
            settings=self._settings,
            store=store,
            ledger=self.ledger,
            agents=self.agents,
            membership=router.membership,
            liveness_key=router.liveness_key,
            timers=self._timers,
            config=lambda: router.state.config,
        )

    def _lend(self, request: LoanRequest) -> Loan:
        if self._router.is_draining:
            # Tokens that are lent now couldn't be handed back at exit.
            request = LoanRequest(loan_id=request.loan_id, key=request.key, tokens=0)
        return self.grants.lend(request)

    def _handle_load_report(self, target: str, report: LoadReport) -> None:
        self.load_view.record_report(target, report, now=self._timers.now())
        self.dispatcher.dispatch_waiting()
