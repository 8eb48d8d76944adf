"""The agent process: connects routers' links, the target and timers to the run table.

The run table decides; this module performs the I/O.
"""

import logging
import secrets
import signal

import msgspec
import trio

from lavenderfold import metrics
from lavenderfold.agent import _engine, _platform
from lavenderfold.agent._admission import AdmissionState, check_admission
from lavenderfold.agent._fencing import DeferredGate, GateFactory, make_gate
from lavenderfold.agent._observed_target import ObservedTarget
from lavenderfold.agent._reports import (
    LoadReporter,
    make_fence_report,
    make_hello,
    make_load_report,
)
from lavenderfold.agent._router_links import RouterLink, RouterLinks
from lavenderfold.agent._run_executor import RunExecutor
from lavenderfold.agent._run_table import Delivery, RunTable
from lavenderfold.agent._runs import RunRecord, SubmitResult
from lavenderfold.agent._settings import AgentSettings
from lavenderfold.agent._usage import UnsettledUsage
from lavenderfold.http import HttpClient
from lavenderfold.links import Link, LinkClosedError, Listener
from lavenderfold.logs import log_event
from lavenderfold.messages import (
    CancelRun,
    Fence,
    Frame,
    Heartbeat,
    LoadReport,
    MessageToAgent,
    PlacementOrder,
    ResumeRun,
    RouterHello,
    Run,
    UsageRecord,
    UsageStored,
)
from lavenderfold.outcomes import Ran
from lavenderfold.settings import Address
from lavenderfold.store import Store
from lavenderfold.timers import TimerService

# Time for the transport to write the last batches before the process exits.
FINAL_FLUSH_S = 0.2
# Flush well before a batch reaches the link's limit of 16 MiB: the receiver closes
# the link on a larger batch.
FLUSH_THRESHOLD_BYTES = 4 * 1024 * 1024

logger = logging.getLogger(__name__)


class Agent:
    """Accepts links from routers and runs their orders at one target until drained."""

    def __init__(
        self,
        *,
        settings: AgentSettings,
        timers: TimerService,
        gate_factory: GateFactory = make_gate,
    ):
        self._settings = settings
        self._limits = settings.limits
        self._timers = timers
        self._gate_factory = gate_factory
        self._metrics = metrics.connect(
            address=settings.statsd_address, prefix="lavenderfold.agent"
        )
        self._run_table = RunTable(limits=settings.limits)
        self._usage = UnsettledUsage(limits=settings.limits)
        self._gate = DeferredGate()
        self._target = ObservedTarget(models=settings.models)
        self._router_links = RouterLinks(region=settings.region)
        self._load_reporter = LoadReporter(
            links=self._router_links,
            target=self._target,
            make_report=self._make_load_report,
            tick_s=settings.limits.report_period_s,
        )
        self._engine_client = HttpClient(address=settings.target_address)
        self._executor = RunExecutor(
            settings=settings,
            table=self._run_table,
            engine_client=self._engine_client,
            timers=timers,
            metrics=self._metrics,
            on_append=self._schedule_flush,
            on_end=self._handle_run_end,
        )
        self._boot_id = secrets.token_hex(8)
        self._config_revision = 0
        self._highest_fencing_token = 0
        self._draining_since: float | None = None
        self._tick_due_at: float | None = None
        self._drained = trio.Event()
        self._flush_scheduled = False
        self._overdue_run_ids: set[str] = set()
        self._nursery: trio.Nursery | None = None

    async def run(
        self, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until drained. The bound address is passed to ``task_status``."""
        listener = Listener(address=self._settings.listen, message_type=MessageToAgent)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._timers.every(self._limits.report_period_s, self._tick)
            nursery.start_soon(self._timers.run)
            nursery.start_soon(
                _platform.watch_target, self._settings, self._target, self._report_load
            )
            if self._settings.vm_list_address is not None:
                nursery.start_soon(self._watch_vm_list)
            address = await nursery.start(listener.run, self._serve_link)
            # The record is read only after the address is bound: while an earlier
            # process still held the address, it could run requests for incarnations
            # that are newer than a record read before.
            nursery.start_soon(self._read_member_record)
            log_event(
                logger, "listening", address=address, target=self._settings.target
            )
            task_status.started(address)
            await self._drained.wait()
            self._router_links.flush_all()
            await trio.sleep(FINAL_FLUSH_S)
            nursery.cancel_scope.cancel()

    async def drain_on_signal(self) -> None:
        """Start to drain on SIGTERM or SIGINT."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                self.drain(cause=signal.Signals(number).name)

    def drain(self, *, cause: str) -> None:
        """Refuse new and queued runs; exit once running ones end and usage is stored.

        The agent exits after ``drain_limit_s`` at the latest.
        """
        if self._draining_since is not None:
            return
        self._draining_since = self._timers.now()
        log_event(logger, "drain", cause=cause, running=self._run_table.running_count)
        self._run_table.refuse_queued(now=self._timers.now())
        self._flush_replies()
        self._report_load()

    async def _read_member_record(self) -> None:
        store = Store(address=self._settings.store_address)
        gate = await _platform.read_gate(store, self._gate_factory)
        self._gate.set_gate(gate)
        self._report_load()

    async def _watch_vm_list(self) -> None:
        await _platform.wait_until_leaving(
            self._settings.vm_list_address, self._settings.vm
        )
        self.drain(cause="vm_leaving")

    async def _serve_link(self, link: Link) -> None:
        router = self._router_links.add(link, now=self._timers.now())
        try:
            link.post(make_hello(self._settings, self._target, self._boot_id))
            link.post(self._make_load_report(self._target.newest_prefixes()))
            while True:
                batch = await link.receive()
                if link.closed:
                    return
                self._handle_batch(router, batch)
        except LinkClosedError:
            return
        except msgspec.MsgspecError as error:
            log_event(logger, "link_malformed", peer=link.peer, cause=str(error))
        finally:
            self._remove_link(router)

    def _remove_link(self, router: RouterLink) -> None:
        now = self._timers.now()
        self._router_links.remove(router)
        self._run_table.remove_link(router.number, now=now)
        if not self._router_links.is_connected(router.incarnation):
            self._usage.handle_router_loss(
                link_number=router.number, incarnation=router.incarnation, now=now
            )
        self._report_due_usage()
        log_event(logger, "link_closed", link=router.number, router=router.incarnation)

    def _handle_batch(self, router: RouterLink, batch: list) -> None:
        router.last_received_at = self._timers.now()
        for message in batch:
            self._handle_message(router, message)
        self._start_runs()
        self._flush_replies()

    def _handle_message(self, router: RouterLink, message: object) -> None:
        now = self._timers.now()
        match message:
            case Run():
                self._submit_run(router, message, now)
            case ResumeRun(subscription=name, key=key, offset=offset):
                known = self._run_table.resume(
                    name, key, offset, router.number, now=now
                )
                log_event(logger, "resume", request=key, offset=offset, known=known)
                self._schedule_flush()
            case CancelRun(run_id=run_id):
                abort = self._run_table.cancel(run_id, router.number, now=now)
                if abort is not None:
                    self._executor.abort(abort)
            case UsageStored(run_ids=run_ids):
                self._usage.mark_stored(run_ids)
            case Fence(incarnation=incarnation):
                self._fence_incarnation(router, incarnation)
            case RouterHello(incarnation=incarnation, grant_sequence=sequence):
                self._router_links.record_hello(router, message)
                self._gate.greet(incarnation, sequence)
                self._config_revision = max(self._config_revision, message.revision)
            case Heartbeat(revision=revision, period_s=period_s):
                router.heartbeat_period_s = period_s
                self._config_revision = max(self._config_revision, revision)
            case PlacementOrder():
                self._nursery.start_soon(self._relay_placement_order, message)

    def _submit_run(self, router: RouterLink, order: Run, now: float) -> None:
        result = self._run_table.submit(
            order,
            router.number,
            sender_incarnation=router.incarnation,
            now=now,
            refusal=check_admission(order, self._admission_state(order)),
        )
        if isinstance(result, SubmitResult):
            return
        self._metrics.incr("refused")
        log_event(
            logger,
            "run_refused",
            run_id=order.run_id,
            request=order.key,
            payer=order.payer,
            outcome=type(result).__name__,
            reason=result.reason,
            detail=result.detail,
        )

    def _admission_state(self, order: Run) -> AdmissionState:
        return AdmissionState(
            kind=self._settings.kind,
            draining=self._draining_since is not None,
            record_read=self._gate.is_ready,
            payer_admitted=self._gate.admits(order.payer),
            target_healthy=self._target.is_healthy,
            serves_model=not order.model or self._target.serves(order.model),
            usage_full=self._usage.is_full,
        )

    def _fence_incarnation(self, router: RouterLink, incarnation: int) -> None:
        self._gate.fence(incarnation)
        report = make_fence_report(
            self._settings,
            incarnation,
            held=[
                self._run_table.held_tokens_by_grant(incarnation),
                self._usage.held_tokens_by_grant(incarnation),
            ],
            complete_after=self._gate.complete_after(incarnation),
        )
        self._router_links.post(router.number, report)
        log_event(
            logger,
            "fence",
            incarnation=incarnation,
            held=sum(report.held_by_grant_id.values()),
            complete_after=report.complete_after,
        )

    async def _relay_placement_order(self, order: PlacementOrder) -> None:
        status = None
        if order.fencing_token >= self._highest_fencing_token:
            # Some engines don't check the fencing token, so the agent drops orders
            # with a lower token than the highest one seen.
            self._highest_fencing_token = order.fencing_token
            status = await _engine.send_placement_order(self._engine_client, order)
        log_event(
            logger,
            "placement_order",
            action=order.action,
            model=order.model,
            fencing_token=order.fencing_token,
            status=status if status is not None else "none",
        )

    def _start_runs(self) -> None:
        self._executor.start_queued(self._nursery)

    def _handle_run_end(self, record: RunRecord, usage: UsageRecord | None) -> None:
        if usage is not None:
            # RunEnded of a complete answer carries the tokens to its router. Any other
            # outcome has no token count, so its usage needs a report right away.
            is_sender_connected = self._router_links.is_connected(
                record.sender_incarnation
            )
            is_complete = isinstance(record.outcome, Ran)
            self._usage.add(
                usage,
                sender_incarnation=record.sender_incarnation,
                report_immediately=not (is_complete and is_sender_connected),
                now=record.ended_at,
            )
            self._report_due_usage()
        self._start_runs()
        self._flush_replies()

    def _tick(self, now: float) -> None:
        # A tick may come late, after a suspension of the process. What targets and
        # routers sent meanwhile is read before the next tick, which stops the runs.
        overdue = {abort.run_id: abort for abort in self._run_table.expire(now=now)}
        for run_id in overdue.keys() & self._overdue_run_ids:
            self._executor.abort(overdue[run_id])
        self._overdue_run_ids = set(overdue)
        self._start_runs()
        self._report_due_usage()
        self._flush_replies()
        self._router_links.close_silent(now, check_due_at=self._tick_due_at)
        self._tick_due_at = now + self._limits.report_period_s
        self._load_reporter.report_due(now)
        self._check_drained(now)

    def _check_drained(self, now: float) -> None:
        if self._draining_since is None or self._drained.is_set():
            return
        settled = self._run_table.all_delivered and len(self._usage) == 0
        overdue = now >= self._draining_since + self._limits.drain_limit_s
        if settled or overdue:
            log_event(
                logger,
                "drained",
                settled=settled,
                running=self._run_table.running_count,
                unsettled=len(self._usage),
            )
            self._drained.set()

    def _report_due_usage(self) -> None:
        routers = self._router_links.connected_routers()
        for link_number, report in self._usage.due_reports(
            routers, now=self._timers.now()
        ):
            self._router_links.post(link_number, report)

    def _report_load(self) -> None:
        self._load_reporter.report_all(self._timers.now())

    def _make_load_report(self, prefixes: list[int] | None) -> LoadReport:
        return make_load_report(
            table=self._run_table,
            target=self._target,
            slots=self._limits.slots,
            ready=self._gate.is_ready and self._target.is_healthy,
            draining=self._draining_since is not None,
            revision=self._config_revision,
            prefixes=prefixes,
        )

    def _schedule_flush(self) -> None:
        if self._flush_scheduled:
            return
        self._flush_scheduled = True
        self._timers.once(self._limits.frame_window_s, self._flush_frames)

    def _flush_frames(self, now: float) -> None:
        self._flush_scheduled = False
        self._flush_replies()
        self._deliver(self._run_table.take_frames())

    def _flush_replies(self) -> None:
        self._deliver(self._run_table.take_replies())

    def _deliver(self, deliveries: list[Delivery]) -> None:
        unflushed_bytes = 0
        for delivery in deliveries:
            self._router_links.post(delivery.link, delivery.message)
            if isinstance(delivery.message, Frame):
                unflushed_bytes += len(delivery.message.data)
            if unflushed_bytes > FLUSH_THRESHOLD_BYTES:
                self._router_links.flush_all()
                unflushed_bytes = 0
