"""Runs the orders of the run table at the target, each in a task of its own."""

import logging
from collections.abc import Callable
from functools import partial

import trio

from lavenderfold.agent import _engine
from lavenderfold.agent._run_table import Abort, RunTable
from lavenderfold.agent._runs import AppendResult, RunRecord, is_model_order
from lavenderfold.agent._settings import AgentSettings, TargetKind
from lavenderfold.agent._target import (
    CompleteAnswer,
    TargetCaller,
    TargetResult,
    build_app_caller,
)
from lavenderfold.http import HttpClient
from lavenderfold.logs import log_event
from lavenderfold.messages import Run, UsageRecord
from lavenderfold.metrics import Metrics
from lavenderfold.outcomes import MayHaveRun, Reason
from lavenderfold.timers import TimerService

# Lines about runs have the same logger as the agent's other lines.
logger = logging.getLogger("lavenderfold.agent._agent")


class RunExecutor:
    """Calls the target for started runs and records their answers in the run table.

    ``on_append`` is called after a part was added to an answer, and ``on_end`` with
    the record of a run that has ended and its usage, if there is any.
    """

    __slots__ = (
        "_table",
        "_call_target",
        "_engine_client",
        "_timers",
        "_metrics",
        "_on_append",
        "_on_end",
        "_scope_by_run_id",
        "_abort_by_run_id",
    )

    def __init__(
        self,
        *,
        settings: AgentSettings,
        table: RunTable,
        engine_client: HttpClient,
        timers: TimerService,
        metrics: Metrics,
        on_append: Callable[[], None],
        on_end: Callable[[RunRecord, UsageRecord | None], None],
    ):
        self._table = table
        self._call_target = _build_caller(settings, engine_client)
        self._engine_client = engine_client
        self._timers = timers
        self._metrics = metrics
        self._on_append = on_append
        self._on_end = on_end
        self._scope_by_run_id: dict[str, trio.CancelScope] = {}
        self._abort_by_run_id: dict[str, Abort] = {}

    def start_queued(self, nursery: trio.Nursery) -> None:
        """Start queued runs in ``nursery`` while slots are free."""
        while (record := self._table.start_next(now=self._timers.now())) is not None:
            scope = trio.CancelScope()
            self._scope_by_run_id[record.run_id] = scope
            nursery.start_soon(self._execute, record.order, scope)

    def abort(self, abort: Abort) -> None:
        """Stop a run at the target, unless it has ended. The first abort counts."""
        scope = self._scope_by_run_id.get(abort.run_id)
        if scope is not None:
            self._abort_by_run_id.setdefault(abort.run_id, abort)
            scope.cancel()

    async def _execute(self, order: Run, scope: trio.CancelScope) -> None:
        log_event(
            logger,
            "run_start",
            run_id=order.run_id,
            request=order.key,
            attempt=order.attempt,
            payer=order.payer,
            priority=order.priority,
            running=self._table.running_count,
            queued=self._table.queued_count,
        )
        self._metrics.incr("started")
        result: TargetResult | None = None
        with scope:
            try:
                result = await self._call_target(
                    order, partial(self._append_to_answer, order.run_id)
                )
            except Exception as error:
                # An exception that left this task would cancel the nursery and with
                # it the runs of all other requests.
                logger.exception("run_failed", extra={"run_id": order.run_id})
                result = MayHaveRun(Reason.TARGET_FAILED, repr(error))
        if result is None:
            result = self._abort_by_run_id[order.run_id].outcome
        self._scope_by_run_id.pop(order.run_id)
        self._abort_by_run_id.pop(order.run_id, None)
        self._end_run(order, result)
        if scope.cancelled_caught and is_model_order(order):
            await _engine.cancel_at_engine(self._engine_client, order)

    def _append_to_answer(self, run_id: str, data: bytes, tokens: int) -> AppendResult:
        append_result = self._table.append(run_id, data, tokens)
        self._on_append()
        return append_result

    def _end_run(self, order: Run, result: TargetResult) -> None:
        now = self._timers.now()
        if isinstance(result, CompleteAnswer):
            record = self._table.complete(
                order.run_id,
                status=result.status,
                content_type=result.content_type,
                now=now,
            )
        else:
            record = self._table.end(order.run_id, result, now=now)
        usage = record.usage_record()
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
        self._on_end(record, usage)


def _build_caller(settings: AgentSettings, engine_client: HttpClient) -> TargetCaller:
    if settings.kind is TargetKind.MODEL:
        return _engine.build_model_caller(
            client=engine_client, max_resumes=settings.limits.engine_resumes
        )
    return build_app_caller(address=settings.target_address)
