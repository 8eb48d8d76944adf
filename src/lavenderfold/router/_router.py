"""The router: its parts, how they are connected, start and drain."""

import logging
from functools import partial

import trio

from lavenderfold import metrics
from lavenderfold.budgets import GrantPool, LedgerClient
from lavenderfold.config import FleetConfig
from lavenderfold.http import serve
from lavenderfold.logs import log_event
from lavenderfold.messages import FenceReport, LoadReport, RouterHello, UsageReport
from lavenderfold.router._agents import AgentHandlers, AgentLinks
from lavenderfold.router._decisions import Decisions
from lavenderfold.router._dispatch import Dispatch
from lavenderfold.router._face import CallerFace
from lavenderfold.router._grants import GrantKeeper
from lavenderfold.router._lives import Lives, RequestStates
from lavenderfold.router._members import Membership
from lavenderfold.router._money_peers import NoPeers
from lavenderfold.router._operator import OperatorFace
from lavenderfold.router._relay import Relay
from lavenderfold.router._services import Services
from lavenderfold.router._settings import RouterSettings
from lavenderfold.router._settlement import Settler
from lavenderfold.routing import LoadView, TargetState
from lavenderfold.settings import Address
from lavenderfold.store import Store
from lavenderfold.timers import TimerService

PUMP_PERIOD_S = 0.05
TEND_PERIOD_S = 1.0
DRAIN_POLL_S = 0.02
# A retirement that the store doesn't take in this time is left to reclaim.
RETIRE_WAIT_S = 5.0

logger = logging.getLogger("lavenderfold.router")


class Router:
    """One router process. ``run`` serves until drained.

    ``listening`` is set once callers are served; ``addresses`` then holds the
    bound addresses by the name of their setting.
    """

    def __init__(self, *, settings: RouterSettings, timers: TimerService, store: Store):
        self.settings = settings
        self.config = FleetConfig()
        self.revision = 0
        self.is_draining = False
        self.listening = trio.Event()
        self.addresses: dict[str, Address] = {}
        self._timers = timers
        self._store = store
        self._drain_asked = trio.Event()
        self._membership = Membership(store=store, settings=settings)
        self._view = LoadView()
        self._is_registering = False

    def drain(self) -> None:
        """Accept no new request, finish those in flight, then end ``run``."""
        self.is_draining = True
        self._drain_asked.set()

    def is_ready(self, target: str) -> bool:
        """Return whether a target may be given work."""
        now = self._timers.now()
        return self._view.state(target, now=now) is TargetState.READY

    def install(self, revision: int, config: FleetConfig) -> None:
        """Put a configuration into effect if its revision is higher."""
        if revision <= self.revision:
            return
        self.revision, self.config = revision, config
        log_event(logger, "configuration_installed", revision=revision)
        self._agents.install(config, self._nursery)
        self._dispatch.install(config)
        self._grants.wake_all()

    async def run(self) -> None:
        """Serve callers until ``drain`` was called and all is finished."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._timers.run)
            incarnation = await self._membership.register()
            self._build(incarnation, nursery)
            nursery.start_soon(self._ledger.run)
            await self._start_servers(nursery)
            self._timers.every(PUMP_PERIOD_S, lambda _: self._dispatch.pump())
            nursery.start_soon(self._tend_grants)
            self.listening.set()
            await self._drain_asked.wait()
            await self._finish()
            nursery.cancel_scope.cancel()

    def _build(self, incarnation: int, nursery: trio.Nursery) -> None:
        settings, limits = self.settings, self.settings.limits
        statsd = metrics.connect(address=settings.statsd_address, prefix="router")
        self._ledger = LedgerClient(
            store=self._store,
            timers=self._timers,
            shard_count=settings.shard_count,
            batch_window_s=limits.ledger_batch_s,
            retention_s=limits.retention_s,
        )
        self._agents = AgentLinks(
            handlers=AgentHandlers(
                connected=lambda target: None,
                lost=self._view.disconnected,
                reported=self._take_load,
                usage_reported=self._take_usage,
                fenced=self._take_fence_report,
            ),
            hello=self._hello,
            timers=self._timers,
            batch_window_s=limits.link_batch_s,
        )
        self._dispatch = Dispatch(
            view=self._view,
            timers=self._timers,
            region=settings.region,
            queue_length=limits.queue_length,
        )
        self._grants = GrantKeeper(
            pool=GrantPool(incarnation=incarnation),
            ledger=self._ledger,
            peers=NoPeers(),
            timers=self._timers,
            metrics=statsd,
            nursery=nursery,
            config=lambda: self.config,
            revision=lambda: self.revision,
            own_fenced=self._take_new_incarnation,
        )
        self._settler = Settler(
            ledger=self._ledger,
            agents=self._agents,
            timers=self._timers,
            nursery=nursery,
            usage_settled=self._grants.usage_reported,
        )
        self._services = Services(
            settings=settings,
            timers=self._timers,
            metrics=statsd,
            nursery=nursery,
            config=lambda: self.config,
            decisions=Decisions(limit=limits.decisions),
            view=self._view,
            agents=self._agents,
            dispatch=self._dispatch,
            grants=self._grants,
            settler=self._settler,
        )
        self._lives = Lives(services=self._services)

    async def _start_servers(self, nursery: trio.Nursery) -> None:
        self._face = CallerFace(
            services=self._services,
            lives=self._lives,
            relay=Relay(services=self._services),
            states=RequestStates(lives=self._lives, ledger=self._ledger),
            is_draining=lambda: self.is_draining,
        )
        operators = OperatorFace(
            services=self._services,
            incarnation=lambda: self._membership.incarnation,
            revision=lambda: self.revision,
            is_draining=lambda: self.is_draining,
        )
        limits = self.settings.limits
        for name, face in (("listen", self._face), ("operator_listen", operators)):
            start = partial(
                serve,
                face.handle,
                address=getattr(self.settings, name),
                body_limit=limits.body_bytes,
            )
            self.addresses[name] = await nursery.start(start)

    async def _finish(self) -> None:
        """Wait until nothing is in flight, then give up grants and membership."""
        log_event(logger, "draining", active=self._lives.active)
        with trio.move_on_after(self.settings.limits.drain_s):
            await self._wait_idle()
            await self._grants.hand_back_everything()
        with trio.move_on_after(RETIRE_WAIT_S):
            await self._membership.retire(self._membership.incarnation)
        log_event(logger, "drained", active=self._lives.active)

    async def _wait_idle(self) -> None:
        idle = trio.Event()

        def check(_: float) -> None:
            if self._is_idle():
                idle.set()

        self._timers.every(DRAIN_POLL_S, check)
        await idle.wait()

    def _is_idle(self) -> bool:
        return (
            self._lives.active == 0
            and self._settler.is_idle
            and self._face.open_requests == 0
        )

    async def _tend_grants(self) -> None:
        while True:
            await trio.sleep(TEND_PERIOD_S)
            await self._grants.tend()

    def _hello(self) -> RouterHello:
        return RouterHello(
            router=self.settings.router,
            incarnation=self._membership.incarnation,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            revision=self.revision,
        )

    def _take_load(self, target: str, report: LoadReport) -> None:
        self._view.report(target, report, now=self._timers.now())
        self._dispatch.pump()

    def _take_usage(self, target: str, report: UsageReport) -> None:
        self._settler.take_report(target, report)

    def _take_fence_report(self, target: str, report: FenceReport) -> None:
        pass

    def _take_new_incarnation(self, fenced: int) -> None:
        """Register again after this router's incarnation was fenced."""
        if fenced == self._membership.incarnation and not self._is_registering:
            self._is_registering = True
            self._nursery.start_soon(self._register_again)

    async def _register_again(self) -> None:
        self._grants.pool.incarnation = await self._membership.register()
        self._is_registering = False
        self._grants.wake_all()
