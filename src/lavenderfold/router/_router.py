"""The router process: start-up, configuration changes, registration and drain."""

import logging
import secrets
from functools import partial

import msgspec
import trio

from lavenderfold.config import ConfigState, ConfigWatcher, FleetConfig, Revisions
from lavenderfold.http import (
    ServerLimits,
    ServerOptions,
    connections_limit,
    platform_connections_limit,
    serve,
)
from lavenderfold.logs import log_event
from lavenderfold.messages import PeerHello, RouterHello
from lavenderfold.process_memory import ProcessMemory, held_limit
from lavenderfold.router._components import RouterComponents
from lavenderfold.router._liveness_key import LivenessKey
from lavenderfold.router._members import Membership
from lavenderfold.router._settings import RouterSettings
from lavenderfold.routing import TargetState
from lavenderfold.settings import Address
from lavenderfold.store import Store
from lavenderfold.timers import TimerService

# Queued requests are dispatched on load reports, ends of runs and failed sends. The
# timer is only needed when a target has stopped reporting.
DISPATCH_PERIOD_S = 1.0
GRANT_MAINTENANCE_PERIOD_S = 1.0
DRAIN_POLL_S = 0.02
# If the store doesn't accept the retirement in this time, the reclaimer does it.
RETIRE_WAIT_S = 5.0
# How long a drained router waits for requests that are still being read.
LAST_REQUESTS_WAIT_S = 5.0
PROVISIONAL_INCARNATION_BITS = 62

logger = logging.getLogger("lavenderfold.router")


class Router:
    """One router process. ``run`` serves until drained.

    ``listening`` is set once all servers run; ``addresses`` then contains the bound
    addresses by the name of their setting. ``finished`` is set at the end of a
    drain. Until the router is registered in the store, ``incarnation`` is a negative
    random number, which distinguishes it from other routers. It can't hold grants
    until then.
    """

    def __init__(self, *, settings: RouterSettings, timers: TimerService, store: Store):
        self.settings = settings
        self.state = ConfigState()
        self.is_draining = False
        self.incarnation = -1 - secrets.randbits(PROVISIONAL_INCARNATION_BITS)
        self.listening = trio.Event()
        self.finished = trio.Event()
        self.addresses: dict[str, Address] = {}
        self.watcher = ConfigWatcher(state=self.state, revisions=Revisions(store=store))
        self._timers = timers
        self._drain_requested = trio.Event()
        self._stop_requested = trio.Event()
        self._stopped_serving = trio.Event()
        self.membership = Membership(store=store, settings=settings)
        self.liveness_key = LivenessKey(
            store=store, lease_s=settings.limits.member_lease_s
        )
        self._store = store
        self._is_registering = False
        self._liveness_scope = trio.CancelScope()

    def drain(self) -> None:
        """Refuse new requests, finish those in progress, then end ``run``."""
        self.is_draining = True
        self._drain_requested.set()

    def is_ready(self, target: str) -> bool:
        """Return whether a target may get new runs."""
        state = self._components.load_view.state(target, now=self._timers.now())
        return state is TargetState.READY

    @property
    def is_idle(self) -> bool:
        """Whether no request or settlement is in progress."""
        return self._components.is_idle

    async def run(self) -> None:
        """Serve callers until ``drain`` is called and all requests have ended."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._components = RouterComponents(
                router=self, timers=self._timers, store=self._store, nursery=nursery
            )
            nursery.start_soon(self._timers.run)
            nursery.start_soon(self._components.ledger.run)
            await self._start_servers(nursery)
            self.watcher.subscribe(lambda _: self._apply_config())
            nursery.start_soon(self.watcher.run)
            self._register()
            self._timers.every(
                DISPATCH_PERIOD_S,
                lambda _: self._components.dispatcher.dispatch_waiting(),
            )
            nursery.start_soon(self._maintain_grants)
            nursery.start_soon(self._components.reclaimer.run)
            self.listening.set()
            await self._drain_requested.wait()
            await self._finish()
            self.finished.set()
            nursery.cancel_scope.cancel()

    def register_again(self, fenced: int) -> None:
        """Take a new incarnation after this router's own was fenced."""
        if fenced == self.incarnation:
            log_event(logger, "fenced", incarnation=fenced)
            self._register()

    def hello(self) -> RouterHello:
        """Return the first message for an agent."""
        return RouterHello(
            router=self.settings.router,
            incarnation=self.incarnation,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            revision=self.state.revision,
            grant_sequence=self._components.grants.pool.grant_sequence,
            report_period_s=self._components.agents.timing.report_period_s,
        )

    def peer_hello(self) -> PeerHello:
        """Return the first message for another router."""
        return PeerHello(
            router=self.settings.router,
            incarnation=self.incarnation,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            revision=self.state.revision,
        )

    async def _start_servers(self, nursery: trio.Nursery) -> None:
        parts = self._components
        own_limits = self.settings.limits
        limits = ServerLimits(body_bytes=own_limits.body_bytes)
        memory = ProcessMemory(limit_bytes=held_limit(own_limits.memory_limit_bytes))
        serve_operators = partial(
            serve,
            parts.operator_api.handle,
            address=self.settings.operator_listen,
            options=ServerOptions(
                limits=lambda: limits,
                memory=memory,
                connections_limit=platform_connections_limit(own_limits.max_open_files),
            ),
        )

        async def serve_callers(task_status: trio.TaskStatus[Address]) -> None:
            options = ServerOptions(
                limits=lambda: limits,
                is_closing=lambda: self.is_draining,
                stop_requested=self._stop_requested,
                memory=memory,
                connections_limit=connections_limit(own_limits.max_open_files),
            )
            await serve(
                parts.caller_api.handle,
                address=self.settings.listen,
                options=options,
                task_status=task_status,
            )
            self._stopped_serving.set()

        self.addresses["listen"] = await nursery.start(serve_callers)
        self.addresses["operator_listen"] = await nursery.start(serve_operators)
        self.addresses["peer_listen"] = await nursery.start(parts.peers.run)

    def _apply_config(self) -> None:
        config = self.state.config
        reachable = _with_addresses(config, self.settings.agent_address_by_target)
        self._components.agents.install(reachable, self._nursery)
        self._components.load_view.report_timeout_s = (
            self._components.agents.timing.report_timeout_s
        )
        self._components.dispatcher.install_config(config)
        self._components.grants.wake_all()
        self._components.peers.announce()

    def _register(self) -> None:
        if not self._is_registering:
            self._is_registering = True
            self._nursery.start_soon(self._take_incarnation)

    async def _take_incarnation(self) -> None:
        self.incarnation = await self.membership.register()
        self._is_registering = False
        self._components.grants.set_incarnation(self.incarnation)
        self._components.agents.post_all(self.hello())
        self._components.peers.announce()
        self._liveness_scope.cancel()
        with trio.CancelScope() as self._liveness_scope:
            await self.liveness_key.keep(self.incarnation)

    async def _finish(self) -> None:
        """Wait until the router is idle, hand back its grants and retire it."""
        log_event(
            logger, "draining", active=self._components.request_registry.active_count
        )
        with trio.move_on_after(self.settings.limits.drain_s):
            await self._wait_idle()
            await self._components.grants.hand_back_everything()
        if self.incarnation > 0:
            with trio.move_on_after(RETIRE_WAIT_S):
                await self.membership.retire(self.incarnation)
        # Requests that are still being read are refused when they are complete.
        with trio.move_on_after(LAST_REQUESTS_WAIT_S):
            self._stop_requested.set()
            await self._stopped_serving.wait()
        log_event(
            logger, "drained", active=self._components.request_registry.active_count
        )

    async def _wait_idle(self) -> None:
        idle = trio.Event()

        def check(_: float) -> None:
            if self._components.is_idle:
                idle.set()

        self._timers.every(DRAIN_POLL_S, check)
        await idle.wait()

    async def _maintain_grants(self) -> None:
        while True:
            await trio.sleep(GRANT_MAINTENANCE_PERIOD_S)
            await self._components.grants.maintain()


def _with_addresses(
    config: FleetConfig, address_by_target: dict[str, Address]
) -> FleetConfig:
    targets = {
        name: msgspec.structs.replace(
            target, agent=address_by_target.get(name, target.agent)
        )
        for name, target in config.targets.items()
    }
    return msgspec.structs.replace(config, targets=targets)
