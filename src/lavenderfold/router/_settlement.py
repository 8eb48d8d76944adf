"""Durable ledger writes for requests: bills, claims and agents' usage records."""

import logging
from collections.abc import Callable

import msgspec
import trio
from result import Err, Ok

from lavenderfold.budgets import (
    AlreadySettled,
    Claim,
    Claimed,
    ClaimExists,
    FinishClaim,
    LedgerClient,
    ReleaseClaim,
    Settle,
)
from lavenderfold.identifiers import RequestKey
from lavenderfold.logs import log_event
from lavenderfold.messages import UsageRecord, UsageReport, UsageStored
from lavenderfold.outcomes import MayHaveRun, NotRun, Outcome, Ran, Reason
from lavenderfold.router._agents import AgentLinks
from lavenderfold.timers import TimerService

LEDGER_RETRY_S = 0.5

logger = logging.getLogger("lavenderfold.router.settlement")


class _DeferredUsage(msgspec.Struct, frozen=True):
    """Usage that an agent reported of a run while its request is still in progress."""

    target: str
    record: UsageRecord


class Settler:
    """Writes to the ledger in background tasks that retry until a write is durable.

    ``durable_event_by_run_id`` contains the event of each open settlement, and that
    of each open claim release under ``claim:`` and the claimant.
    """

    def __init__(
        self,
        *,
        ledger: LedgerClient,
        agents: AgentLinks,
        timers: TimerService,
        nursery: trio.Nursery,
        usage_reported: Callable[[str, int], None],
    ):
        self.durable_event_by_run_id: dict[str, trio.Event] = {}
        self._ledger = ledger
        self._agents = agents
        self._timers = timers
        self._nursery = nursery
        self._usage_reported = usage_reported
        self._deferred_usage_by_run_id: dict[str, _DeferredUsage | None] = {}

    @property
    def is_idle(self) -> bool:
        return not self.durable_event_by_run_id

    def settle_run(
        self,
        *,
        record: UsageRecord,
        target: str,
        outcome: Ran | None = None,
        claimant: str | None = None,
        refund: Callable[[int], None] | None = None,
    ) -> trio.Event:
        """Bill a run and finish its claim; return an event that is set once durable.

        ``refund`` is called with the tokens of the earlier bill if the request was
        already billed.
        """
        is_durable = self.durable_event_by_run_id.get(record.run_id)
        if is_durable is None:
            is_durable = self.durable_event_by_run_id[record.run_id] = trio.Event()
            self._nursery.start_soon(
                self._settle, record, target, claimant, outcome, refund, is_durable
            )
        return is_durable

    def take_usage_report(self, target: str, usage_report: UsageReport) -> None:
        """Bill usage that an agent reports because no router has confirmed it.

        While the request of a run is still in progress, the report is deferred, so
        that the request is billed for the attempt whose answer its caller gets.
        """
        for record in usage_report.records:
            self._usage_reported(record.run_id, record.tokens)
            if record.run_id in self._deferred_usage_by_run_id:
                self._deferred_usage_by_run_id[record.run_id] = _DeferredUsage(
                    target, record
                )
            elif record.run_id not in self.durable_event_by_run_id:
                log_event(
                    logger,
                    "usage_taken",
                    request_id=record.key.request_id,
                    run=record.run_id,
                    target=target,
                    tokens=record.tokens,
                )
                self.settle_run(record=record, target=target)

    def begin_attempt(self, run_id: str) -> None:
        """Defer usage reports of a run, as its request hasn't ended."""
        self._deferred_usage_by_run_id[run_id] = None

    def end_attempts(self, run_ids: list[str]) -> None:
        """Bill the deferred usage of these runs, whose request has ended."""
        for run_id in run_ids:
            deferred = self._deferred_usage_by_run_id.pop(run_id, None)
            if deferred is not None:
                self.settle_run(record=deferred.record, target=deferred.target)

    async def claim(
        self, key: RequestKey, claimant: str, *, deadline: float
    ) -> Outcome | None:
        """Claim a request that must not run twice.

        Returns None once it is claimed, or else the outcome that refuses to run it.
        """
        operation = Claim(
            budget=key.budget, request_id=key.request_id, claimant=claimant
        )
        timeout_s = max(0.0, deadline - self._timers.now())
        result = await self._ledger.submit(operation, timeout_s=timeout_s)
        if result.is_err():
            # The claim may have been written. As the request won't run, the claim
            # has to be released.
            self.release_claim(key, claimant)
            return NotRun(Reason.CLAIM_UNAVAILABLE, "the store can't be reached")
        match result.ok():
            case Claimed():
                return None
            case ClaimExists(outcome=None):
                return MayHaveRun(
                    Reason.CLAIMED_ELSEWHERE, "it may have run and won't be run again"
                )
            case ClaimExists(outcome=outcome):
                return outcome
        raise TypeError(f"unexpected answer to a claim: {result!r}")

    def release_claim(self, key: RequestKey, claimant: str) -> None:
        """Release the claim of a request that certainly didn't run, in a task."""
        operation = ReleaseClaim(
            budget=key.budget, request_id=key.request_id, claimant=claimant
        )
        name = f"claim:{claimant}"
        self.durable_event_by_run_id[name] = trio.Event()
        self._nursery.start_soon(self._release, name, operation)

    async def _release(self, name: str, operation: ReleaseClaim) -> None:
        await self.submit_until_durable(operation)
        del self.durable_event_by_run_id[name]

    async def submit_until_durable(self, operation):
        """Submit an operation again until it's durable; return its result."""
        while True:
            match await self._ledger.submit(operation):
                case Ok(result):
                    return result
                case Err(_):
                    await trio.sleep(LEDGER_RETRY_S)

    async def _settle(
        self,
        record: UsageRecord,
        target: str,
        claimant: str | None,
        outcome: Ran | None,
        refund: Callable[[int], None] | None,
        is_durable: trio.Event,
    ) -> None:
        key = record.key
        async with trio.open_nursery() as nursery:
            if claimant is not None:
                finish = FinishClaim(
                    budget=key.budget,
                    request_id=key.request_id,
                    claimant=claimant,
                    outcome=outcome,
                )
                nursery.start_soon(self.submit_until_durable, finish)
            if record.tokens > 0:
                nursery.start_soon(self._bill, record, refund)
        is_durable.set()
        del self.durable_event_by_run_id[record.run_id]
        stored = UsageStored(run_ids=[record.run_id])
        self._agents.post_if_connected(target, stored)

    async def _bill(
        self, record: UsageRecord, refund: Callable[[int], None] | None
    ) -> None:
        result = await self.submit_until_durable(
            Settle(
                budget=record.key.budget,
                grant_id=record.grant_id,
                request_id=record.key.request_id,
                tokens=record.tokens,
            )
        )
        log_event(
            logger,
            "settled",
            request_id=record.key.request_id,
            run=record.run_id,
            grant=record.grant_id,
            tokens=record.tokens,
            result=type(result).__name__,
        )
        if isinstance(result, AlreadySettled) and refund is not None:
            refund(result.tokens)
