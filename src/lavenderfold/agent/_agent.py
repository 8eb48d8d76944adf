"""The agent's I/O layer: links, the target and timers around the run table."""

import logging
import secrets
import signal
from functools import partial

import msgspec
import trio

from lavenderfold import metrics
from lavenderfold.agent import _engine, _platform
from lavenderfold.agent._admission import AgentState, refusal
from lavenderfold.agent._fencing import Fences, GateOpener, open_gate
from lavenderfold.agent._observed_target import ObservedTarget
from lavenderfold.agent._reports import (
    LoadReporter,
    fence_report,
    hello,
    load_report,
)
from lavenderfold.agent._router_links import RouterLink, RouterLinks
from lavenderfold.agent._run_table import Abort, Delivery, RunTable
from lavenderfold.agent._runs import RunRecord, Submission, is_model_order
from lavenderfold.agent._settings import AgentSettings, TargetKind
from lavenderfold.agent._target import TargetEnd, Whole, make_app_call
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
    UsageStored,
)
from lavenderfold.outcomes import MayHaveRun, Reason
from lavenderfold.settings import Address
from lavenderfold.store import Store
from lavenderfold.timers import TimerService

# Time for the transport's threads to write the last batches before exit.
LAST_FLUSH_S = 0.2
# A batch beyond the transport's message limit of 16 MiB would break the link.
BATCH_BYTES = 4 * 1024 * 1024

logger = logging.getLogger(__name__)


class Agent:
    """Serves routers' links in front of one target until it has drained."""

    def __init__(
        self,
        *,
        settings: AgentSettings,
        timers: TimerService,
        gate_opener: GateOpener = open_gate,
    ):
        self._settings = settings
        self._limits = settings.limits
        self._timers = timers
        self._gate_opener = gate_opener
        self._metrics = metrics.connect(
            address=settings.statsd_address, prefix="lavenderfold.agent"
        )
        self._run_table = RunTable(limits=settings.limits)
        self._usage = UnsettledUsage(limits=settings.limits)
        self._fences = Fences()
        self._target = ObservedTarget(models=settings.models)
        self._router_links = RouterLinks(region=settings.region)
        self._reporter = LoadReporter(
            links=self._router_links,
            target=self._target,
            make_report=self._load_report,
            tick_s=settings.limits.report_period_s,
        )
        self._engine = HttpClient(address=settings.target_address)
        if settings.kind is TargetKind.MODEL:
            self._call = _engine.make_model_call(
                client=self._engine, resumes=settings.limits.engine_resumes
            )
        else:
            self._call = make_app_call(address=settings.target_address)
        self._boot_id = secrets.token_hex(8)
        self._revision = 0
        self._highest_token = 0
        self._draining_since: float | None = None
        self._drained = trio.Event()
        self._flush_scheduled = False
        self._scope_by_run: dict[str, trio.CancelScope] = {}
        self._abort_by_run: dict[str, Abort] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until drained; reports the bound address as started."""
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
            # While an earlier process still holds the address, incarnations newer
            # than the record could run requests there.
            nursery.start_soon(self._read_member_record)
            log_event(
                logger, "listening", address=address, target=self._settings.target
            )
            task_status.started(address)
            await self._drained.wait()
            self._router_links.flush_all()
            await trio.sleep(LAST_FLUSH_S)
            nursery.cancel_scope.cancel()

    async def drain_on_signal(self) -> None:
        """Drain when the process is told to terminate."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                self.drain(cause=signal.Signals(number).name)

    def drain(self, *, cause: str) -> None:
        """Refuse new and waiting runs from now on and exit once all is done."""
        if self._draining_since is not None:
            return
        self._draining_since = self._timers.now()
        log_event(logger, "drain", cause=cause, running=self._run_table.running_count)
        self._run_table.refuse_queued(now=self._timers.now())
        self._flush_replies()
        self._report_load()

    async def _read_member_record(self) -> None:
        store = Store(address=self._settings.store_address)
        gate = await _platform.read_gate(store, self._gate_opener)
        self._fences.open(gate)
        self._report_load()

    async def _watch_vm_list(self) -> None:
        await _platform.wait_until_leaving(
            self._settings.vm_list_address, self._settings.vm
        )
        self.drain(cause="vm_leaving")

    async def _serve_link(self, link: Link) -> None:
        router = self._router_links.add(link, now=self._timers.now())
        try:
            link.post(hello(self._settings, self._target, self._boot_id))
            link.post(self._load_report(self._target.newest_prefixes()))
            while True:
                batch = await link.receive()
                if link.closed:
                    return
                self._take_batch(router, batch)
        except LinkClosedError:
            return
        except msgspec.MsgspecError as error:
            log_event(logger, "link_malformed", peer=link.peer, cause=str(error))
        finally:
            self._lose_link(router)

    def _lose_link(self, router: RouterLink) -> None:
        now = self._timers.now()
        self._router_links.remove(router)
        self._run_table.detach(router.number, now=now)
        readers = self._router_links.readers()
        if all(reader.incarnation != router.incarnation for reader in readers):
            self._usage.router_gone(
                link=router.number, incarnation=router.incarnation, now=now
            )
        self._report_usage()
        log_event(logger, "link_closed", link=router.number, router=router.incarnation)

    def _take_batch(self, router: RouterLink, batch: list) -> None:
        router.last_received_at = self._timers.now()
        for message in batch:
            self._take(router, message)
        self._start_runs()
        self._flush_replies()

    def _take(self, router: RouterLink, message: object) -> None:
        now = self._timers.now()
        match message:
            case Run():
                self._submit(router, message, now)
            case ResumeRun(subscription=name, key=key, offset=offset):
                known = self._run_table.resume(
                    name, key, offset, router.number, now=now
                )
                log_event(logger, "resume", request=key, offset=offset, known=known)
                self._schedule_flush()
            case CancelRun(run_id=run_id):
                abort = self._run_table.cancel(run_id, router.number, now=now)
                if abort is not None:
                    self._abort(abort)
            case UsageStored(run_ids=run_ids):
                self._usage.stored(run_ids)
            case Fence(incarnation=incarnation):
                self._fence(router, incarnation)
            case RouterHello(incarnation=incarnation, grant_sequence=sequence):
                self._router_links.record_hello(router, message)
                self._fences.greet(incarnation, sequence)
                self._revision = max(self._revision, message.revision)
            case Heartbeat(revision=revision, period_s=period_s):
                router.heartbeat_period_s = period_s
                self._revision = max(self._revision, revision)
            case PlacementOrder():
                self._nursery.start_soon(self._place, message)

    def _submit(self, router: RouterLink, order: Run, now: float) -> None:
        result = self._run_table.submit(
            order,
            router.number,
            owner=router.incarnation,
            now=now,
            refusal=refusal(order, self._state(order)),
        )
        if isinstance(result, Submission):
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

    def _state(self, order: Run) -> AgentState:
        return AgentState(
            kind=self._settings.kind,
            draining=self._draining_since is not None,
            record_read=self._fences.ready,
            payer_admitted=self._fences.admits(order.payer),
            target_healthy=self._target.healthy,
            serves_model=not order.model or self._target.serves(order.model),
            usage_full=self._usage.is_full,
        )

    def _fence(self, router: RouterLink, incarnation: int) -> None:
        self._fences.fence(incarnation)
        report = fence_report(
            self._settings,
            incarnation,
            held=[self._run_table.held(incarnation), self._usage.held(incarnation)],
            complete_after=self._fences.complete_after(incarnation),
        )
        self._router_links.post(router.number, report)
        log_event(
            logger,
            "fence",
            incarnation=incarnation,
            held=sum(report.held_by_grant_id.values()),
            complete_after=report.complete_after,
        )

    async def _place(self, order: PlacementOrder) -> None:
        status = None
        if order.fencing_token >= self._highest_token:
            # Some engines ignore the token, so the agent refuses stale ones itself.
            self._highest_token = order.fencing_token
            status = await _engine.relay_order(self._engine, order)
        log_event(
            logger,
            "placement_order",
            action=order.action,
            model=order.model,
            fencing_token=order.fencing_token,
            status=status if status is not None else "none",
        )

    def _start_runs(self) -> None:
        while (
            record := self._run_table.start_next(now=self._timers.now())
        ) is not None:
            scope = trio.CancelScope()
            self._scope_by_run[record.run_id] = scope
            self._nursery.start_soon(self._run_one, record, scope)

    async def _run_one(self, record: RunRecord, scope: trio.CancelScope) -> None:
        order = record.order
        log_event(
            logger,
            "run_start",
            run_id=order.run_id,
            request=order.key,
            attempt=order.attempt,
            payer=order.payer,
            priority=order.priority,
            running=self._run_table.running_count,
            queued=self._run_table.queued_count,
        )
        self._metrics.incr("started")
        end: TargetEnd | None = None
        with scope:
            try:
                end = await self._call(order, partial(self._append, order.run_id))
            except Exception as error:
                # One faulty answer must not end the runs of all other requests.
                logger.exception("run_failed", extra={"run_id": order.run_id})
                end = MayHaveRun(Reason.TARGET_FAILED, repr(error))
        if end is None:
            end = self._abort_by_run[order.run_id].outcome
        self._scope_by_run.pop(order.run_id)
        self._abort_by_run.pop(order.run_id, None)
        self._end(order, end)
        if scope.cancelled_caught and is_model_order(order):
            await _engine.cancel_at_engine(self._engine, order)

    def _append(self, run_id: str, data: bytes, tokens: int) -> object:
        appended = self._run_table.append(run_id, data, tokens)
        self._schedule_flush()
        return appended

    def _end(self, order: Run, end: TargetEnd) -> None:
        now = self._timers.now()
        if isinstance(end, Whole):
            record = self._run_table.finish(
                order.run_id, status=end.status, content_type=end.content_type, now=now
            )
        else:
            record = self._run_table.end(order.run_id, end, now=now)
        usage = record.usage()
        if usage is not None:
            # The end of a whole run names its tokens; any other needs a report.
            at_once = not isinstance(end, Whole) or not self._is_connected(record.owner)
            self._usage.add(usage, owner=record.owner, at_once=at_once, now=now)
            self._report_usage()
        self._metrics.incr("ended")
        log_event(
            logger,
            "run_end",
            run_id=order.run_id,
            request=order.key,
            outcome=type(record.outcome).__name__,
            reason=getattr(record.outcome, "reason", None),
            detail=getattr(record.outcome, "detail", None),
            tokens=usage.tokens if usage is not None else 0,
            status=record.status,
            run_s=now - record.started_at,
        )
        self._start_runs()
        self._flush_replies()

    def _is_connected(self, incarnation: int | None) -> bool:
        return any(
            reader.incarnation == incarnation for reader in self._router_links.readers()
        )

    def _abort(self, abort: Abort) -> None:
        scope = self._scope_by_run.get(abort.run_id)
        if scope is not None:
            self._abort_by_run.setdefault(abort.run_id, abort)
            scope.cancel()

    def _tick(self, now: float) -> None:
        for abort in self._run_table.expire(now=now):
            self._abort(abort)
        self._start_runs()
        self._report_usage()
        self._flush_replies()
        self._router_links.close_silent(now)
        self._reporter.report_due(now)
        self._check_drained(now)

    def _check_drained(self, now: float) -> None:
        if self._draining_since is None or self._drained.is_set():
            return
        settled = self._run_table.all_read and len(self._usage) == 0
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

    def _report_usage(self) -> None:
        readers = self._router_links.readers()
        for link, report in self._usage.due_reports(readers, now=self._timers.now()):
            self._router_links.post(link, report)

    def _report_load(self) -> None:
        self._reporter.report_all(self._timers.now())

    def _load_report(self, prefixes: list[int] | None) -> LoadReport:
        return load_report(
            table=self._run_table,
            target=self._target,
            slots=self._limits.slots,
            ready=self._fences.ready and self._target.healthy,
            draining=self._draining_since is not None,
            revision=self._revision,
            prefixes=prefixes,
        )

    def _schedule_flush(self) -> None:
        if self._flush_scheduled:
            return
        self._flush_scheduled = True
        self._timers.once(self._limits.frame_window_s, self._flush_parts)

    def _flush_parts(self, now: float) -> None:
        self._flush_scheduled = False
        self._flush_replies()
        self._deliver(self._run_table.take_parts())

    def _flush_replies(self) -> None:
        self._deliver(self._run_table.take_replies())

    def _deliver(self, deliveries: list[Delivery]) -> None:
        size = 0
        for delivery in deliveries:
            self._router_links.post(delivery.link, delivery.message)
            if isinstance(delivery.message, Frame):
                size += len(delivery.message.data)
            if size > BATCH_BYTES:
                self._router_links.flush_all()
                size = 0
