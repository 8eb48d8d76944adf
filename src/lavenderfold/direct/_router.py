"""A router that sends callers' requests directly to the targets."""

import logging
import secrets
from collections.abc import Callable

import msgspec
import trio

from lavenderfold.direct._answer_memory import AnswerMemory
from lavenderfold.direct._balancing import TargetBalancing, send_spread_by_service
from lavenderfold.direct._caller_api import CallerApi
from lavenderfold.direct._caller_limits import CallerLimitHistory
from lavenderfold.direct._connections import TargetClients
from lavenderfold.direct._event_loop_monitor import EventLoopMonitor
from lavenderfold.direct._explain_route import EXPLAIN_PATH, answer_question
from lavenderfold.direct._link_monitor import LinkMonitor
from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._metrics import RouterMetrics, RouterSnapshot
from lavenderfold.direct._notices import TargetNotices
from lavenderfold.direct._reachability import Reachability
from lavenderfold.direct._requests import PlatformCodec
from lavenderfold.direct._router_options import RELOADABLE_OPTIONS, RouterOptions
from lavenderfold.direct._router_placement import RouterPlacement
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.direct._sinks import ConfigSink, RecordReader, TargetSink
from lavenderfold.escrow import BalanceManager
from lavenderfold.event_loop import event_loop_turns
from lavenderfold.fleet import ItemSink, PrefixFollower, RouteTable, Target
from lavenderfold.http import (
    HttpRequest,
    HttpResponse,
    ResponseWriter,
    ServerOptions,
    connections_limit,
    platform_connections_limit,
    serve,
)
from lavenderfold.process_memory import ProcessMemory, held_limit
from lavenderfold.quarantine import EvidencePublisher, PromptQuarantine
from lavenderfold.routing import RetryBudget, router_reserve
from lavenderfold.settings import Address
from lavenderfold.shared import RelayDirectory, SharedStore, StoreCallCounter
from lavenderfold.timers import TimerService

HOLDER_ID_BYTES = 8
# While draining, requests are accepted for this long, because callers keep coming
# until the load balancer has seen two failed readiness checks. Later requests are
# refused, because their answers might not end within the grace period.
DRAIN_ACCEPT_S = 2.5
# The same, at most, as a fraction of the grace period.
DRAIN_ACCEPT_FRACTION = 0.45
# Part of the grace period that is reserved for handing grants back.
HAND_BACK_RESERVE_S = 1.0
HAND_BACK_TIMEOUT_S = 0.5
# Part of the grace period that is reserved for the end of the process.
EXIT_RESERVE_S = 0.2
# How long requests that are being read are waited for, if answers take all their time.
LAST_REQUESTS_S = 0.3
EXPIRY_PERIOD_S = 0.2
CLEANUP_PERIOD_S = 2.0
REPORT_PERIOD_S = 4.0

logger = logging.getLogger("lavenderfold.router")


class DirectRouter:
    """Follows configuration and targets, manages grants and serves callers."""

    def __init__(
        self,
        *,
        options: RouterOptions,
        store: SharedStore,
        reader: RecordReader,
        codec: PlatformCodec,
        timers: TimerService,
        store_calls: StoreCallCounter,
        relays: RelayDirectory | None = None,
        log_lines_left_out: Callable[[], int] = int,
    ):
        self._options = options
        self._timers = timers
        self._log_lines_left_out = log_lines_left_out
        self._holder = f"{options.name}/{secrets.token_hex(HOLDER_ID_BYTES)}"
        self._draining = trio.Event()
        self._stop_requested = trio.Event()
        self._stopped_serving = trio.Event()
        self._metrics = RouterMetrics()
        self.reachability = Reachability(timers=timers)
        self.event_loop_monitor = EventLoopMonitor()
        self.link_monitor = LinkMonitor(capacity_bytes_per_s=options.link_bytes_per_s)
        self._store_calls = store_calls
        store_calls.subscribe(self._metrics.record_store_call)
        self._balance_manager = BalanceManager(
            store=store,
            timers=timers,
            holder=self._holder,
            prefix=options.ledger_prefix,
            relays=relays,
        )
        self._config = ConfigSink(
            key=options.config_key, reader=reader, on_installed=self._apply_config
        )
        self._placement = RouterPlacement(
            region_by_domain=options.region_by_domain,
            warm_up_overshoot=options.warm_up_overshoot,
            warm_up_tolerance=options.warm_up_tolerance,
            router_count=lambda: self._balance_manager.router_count,
            timers=timers,
        )
        self._targets = TargetSink(
            reader=reader, timers=timers, on_entry=self._placement.record_entry
        )

        def new_follower(prefix: str, sink: ItemSink) -> PrefixFollower:
            return PrefixFollower(
                store=store,
                timers=timers,
                prefix=prefix,
                sink=sink,
                wait_s=options.watch_wait_s,
                on_answer=self.reachability.record_answer,
                on_changed=self._metrics.record_change_delay,
            )

        operator_sink = self._placement.operator_sink(
            config_key=options.config_key,
            config=self._config,
            evacuations_prefix=options.evacuations_prefix,
        )
        self._config_follower = new_follower(options.operator_prefix, operator_sink)
        self._target_follower = new_follower(options.targets_prefix, self._targets)
        self._placement.follow(self._targets.directory, self._target_follower)
        self._quarantine = PromptQuarantine(timers=timers)
        self._crash_evidence = EvidencePublisher(
            store=store, quarantine=self._quarantine, key=options.crashes_key
        )
        self._crash_follower = new_follower(options.crashes_key, self._crash_evidence)
        self._memory = ProcessMemory(limit_bytes=held_limit(options.memory_limit_bytes))
        load_tracker = LoadTracker()
        self._balancing: TargetBalancing | None = None
        if options.balances_by_cost:
            self._balancing = TargetBalancing(
                timers=timers, balance_manager=self._balance_manager
            )
        self._services = RouterServices(
            balance_manager=self._balance_manager,
            load_tracker=load_tracker,
            notices=TargetNotices(
                load_tracker=load_tracker, metrics=self._metrics, timers=timers
            ),
            clients=TargetClients(),
            codec=codec,
            directory=self._targets.directory,
            metrics=self._metrics,
            quarantine=self._quarantine,
            event_loop_monitor=self.event_loop_monitor,
            reachability=self.reachability,
            timers=timers,
            new_retry_budget=self._new_retry_budget,
            domain=options.domain,
            balancing=self._balancing,
            placement=self._placement.placement,
            answer_memory=AnswerMemory(memory=self._memory),
        )
        self._caller_api = CallerApi(services=self._services, config=self._config)
        self._limits = CallerLimitHistory()
        self.listen_address: Address | None = None
        self.metrics_address: Address | None = None

    @property
    def options(self) -> RouterOptions:
        """The options in force."""
        return self._options

    @property
    def active(self) -> int:
        """How many requests are in progress."""
        return self._caller_api.active

    @property
    def is_ready(self) -> bool:
        """Whether new callers should be sent to this router."""
        return (
            not self._draining.is_set()
            and self._config.table is not None
            and self._config_follower.is_listed
            and self._target_follower.is_listed
            and self._crash_follower.is_listed
            and self._balance_manager.loaded.is_set()
            and not self.reachability.is_isolated
            and not self.event_loop_monitor.is_overloaded
            and not self.link_monitor.is_out_of_rotation
        )

    def reload(self, options: RouterOptions) -> None:
        """Apply changed RELOADABLE_OPTIONS; other options need a restart."""
        changed = [
            name
            for name in options.__struct_fields__
            if getattr(options, name) != getattr(self._options, name)
        ]
        new_values = {name: getattr(options, name) for name in RELOADABLE_OPTIONS}
        self._options = msgspec.structs.replace(self._options, **new_values)
        self._update_retry_limits()
        self._placement.placement.region_by_domain = self._options.region_by_domain
        fields = {
            "installed": [name for name in changed if name in RELOADABLE_OPTIONS],
            "need_restart": [
                name for name in changed if name not in RELOADABLE_OPTIONS
            ],
        }
        logger.info("settings_reloaded", extra=fields)

    def drain(self) -> None:
        """Stop being ready, finish the requests in progress, then stop."""
        logger.info("drain_started", extra={"active": self._caller_api.active})
        self._draining.set()

    async def run(self) -> None:
        """Serve callers until drained."""
        fields = {"router": self._options.name, "holder": self._holder}
        logger.info("router_started", extra=fields)
        self._timers.every(EXPIRY_PERIOD_S, self._targets.expire)
        self._timers.every(EXPIRY_PERIOD_S, self._placement.expire)
        self._timers.every(
            REPORT_PERIOD_S, self._balance_manager.report, delay=REPORT_PERIOD_S
        )
        self._timers.every(
            REPORT_PERIOD_S, self._store_calls.report, delay=REPORT_PERIOD_S
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._timers.run)
            nursery.start_soon(self._config_follower.run)
            nursery.start_soon(self._target_follower.run)
            nursery.start_soon(self._crash_follower.run)
            nursery.start_soon(self._crash_evidence.run)
            nursery.start_soon(self._balance_manager.run)
            nursery.start_soon(self._clean_up_periodically)
            nursery.start_soon(self.event_loop_monitor.run)
            nursery.start_soon(self.link_monitor.run)
            await self._start_servers(nursery)
            await self._draining.wait()
            await self._finish()
            nursery.cancel_scope.cancel()
        logger.info("router_stopped", extra=fields)

    def _is_closing(self) -> bool:
        """Whether to close connections, so that callers go to another router."""
        return (
            self._draining.is_set()
            or self.event_loop_monitor.is_overloaded
            or self.link_monitor.is_out_of_rotation
        )

    async def _start_servers(self, nursery: trio.Nursery) -> None:
        options = ServerOptions(
            limits=lambda: self._limits.in_force(self._timers.now()),
            is_closing=self._is_closing,
            cancels_on_disconnect=True,
            on_closed=self._metrics.record_closed_connection,
            stop_requested=self._stop_requested,
            memory=self._memory,
            connections_limit=connections_limit(self._options.descriptor_limit),
        )
        platform_options = ServerOptions(
            memory=self._memory,
            connections_limit=platform_connections_limit(
                self._options.descriptor_limit
            ),
            closes_each=True,
        )

        async def serve_callers(task_status) -> None:
            await serve(
                self._caller_api.handle,
                address=self._options.listen,
                options=options,
                task_status=task_status,
            )
            self._stopped_serving.set()

        async def serve_readiness(task_status) -> None:
            await serve(
                self._answer_readiness,
                address=self._options.ready_listen,
                options=platform_options,
                task_status=task_status,
            )

        async def serve_metrics(task_status) -> None:
            await serve(
                self._answer_metrics,
                address=self._options.metrics_listen,
                options=platform_options,
                task_status=task_status,
            )

        self.metrics_address = await nursery.start(serve_metrics)
        self.listen_address = await nursery.start(serve_callers)
        await nursery.start(serve_readiness)

    async def _answer_readiness(
        self, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        await writer.send(HttpResponse(status=200 if self.is_ready else 503))

    async def _answer_metrics(
        self, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        if request.path == EXPLAIN_PATH:
            response = answer_question(request, self._services, self._config.table)
            await writer.send(response)
            return
        await self._metrics.answer(self._snapshot(), request, writer)

    def _snapshot(self) -> RouterSnapshot:
        is_true_by_state = {
            "ready": self.is_ready,
            "draining": self._draining.is_set(),
            "isolated": self.reachability.is_isolated,
            "overloaded": self.event_loop_monitor.is_overloaded,
            "link_saturated": self.link_monitor.is_saturated,
        }
        now = self._timers.now()
        options = self._options
        targets = self._targets.directory.targets()
        targets_by_state = self._services.load_tracker.count_by_notice(targets, now=now)
        targets_by_state |= self._placement.placement.count_by_state(targets, now=now)
        return RouterSnapshot(
            active=self._caller_api.active,
            admission_by_service=self._services.admission_states(),
            incomplete_answer_bytes=self._services.answer_memory.held_bytes,
            ledger_outage_s=self._balance_manager.outage_s,
            refused_in_outages=self._balance_manager.refused_in_outages,
            balances=self._balance_manager.local_balance_states(),
            longest_turn_s=event_loop_turns().longest_s,
            log_lines_left_out=self._log_lines_left_out(),
            memory=self._memory.use(),
            quarantine=self._quarantine.snapshot(),
            states=frozenset(name for name, holds in is_true_by_state.items() if holds),
            targets_by_state=targets_by_state,
            send_spread_by_service=send_spread_by_service(self._balancing, targets),
            watch_age_by_prefix={
                options.operator_prefix: now - self._config_follower.answered_at,
                options.targets_prefix: now - self._target_follower.answered_at,
            },
        )

    async def _finish(self) -> None:
        grace_s = self._options.grace_period_s
        grace_ends_at = trio.current_time() + grace_s
        await trio.sleep(min(DRAIN_ACCEPT_S, DRAIN_ACCEPT_FRACTION * grace_s))
        self._caller_api.is_closed = True
        with trio.move_on_at(grace_ends_at - HAND_BACK_RESERVE_S):
            await self._caller_api.wait_idle()
        with trio.move_on_after(HAND_BACK_TIMEOUT_S):
            await self._balance_manager.return_all()
        # Requests that are still being read are refused when they are complete. If
        # answers have used up their time, those that arrive late don't get more.
        ends_at = grace_ends_at - EXIT_RESERVE_S
        if self._caller_api.active:
            self._caller_api.refuse_unanswered()
            ends_at = trio.current_time() + LAST_REQUESTS_S
        with trio.move_on_at(ends_at):
            self._stop_requested.set()
            await self._stopped_serving.wait()

    async def _clean_up_periodically(self) -> None:
        while True:
            await trio.sleep(CLEANUP_PERIOD_S)
            self._update_retry_limits()
            targets, now = self._targets.directory.targets(), self._timers.now()
            self._services.load_tracker.keep_only(targets, now=now)
            self._placement.placement.cold.keep_only(targets, now=now)
            if self._balancing is not None:
                self._balancing.update(targets)
            await self._services.clients.keep_only(self._known_targets())

    @property
    def _retry_reserve(self) -> float:
        return router_reserve(
            self._options.fleet_retry_reserve, self._balance_manager.router_count
        )

    def _new_retry_budget(self) -> RetryBudget:
        return RetryBudget(share=self._options.retry_share, reserve=self._retry_reserve)

    def _update_retry_limits(self) -> None:
        for retry_budget in self._services.retry_budget_by_service.values():
            retry_budget.set_limits(
                share=self._options.retry_share, reserve=self._retry_reserve
            )

    def _known_targets(self) -> list[Target]:
        table = self._config.table
        services = table.service_by_name if table else {}
        directory = self._targets.directory
        return [each for name in services for each in directory.usable(name)]

    def _apply_config(self, table: RouteTable) -> None:
        self._placement.placement.cold.set_services(table.config.services)
        self._metrics.set_config_version(table.version)
        self._limits.set(table.config.limits, now=self._timers.now())
        limit_by_organisation = {
            each.name: each.limit_tokens
            for each in table.config.organisations
            if each.limit_tokens is not None
        }
        self._balance_manager.set_limits(limit_by_organisation, version=table.version)
