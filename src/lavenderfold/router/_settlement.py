"""Durable writes about requests: billing, claims and agents' usage records."""

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


class _Report(msgspec.Struct, frozen=True):
    """Usage that an agent reported of a run whose request goes on."""

    target: str
    record: UsageRecord


class Settler:
    """Writes to the ledger in tasks of their own until each write is durable."""

    def __init__(
        self,
        *,
        ledger: LedgerClient,
        agents: AgentLinks,
        timers: TimerService,
        nursery: trio.Nursery,
        usage_reported: Callable[[str, int], None],
    ):
        self.open_by_run_id: dict[str, trio.Event] = {}
        self._ledger = ledger
        self._agents = agents
        self._timers = timers
        self._nursery = nursery
        self._usage_reported = usage_reported
        self._report_by_tried_run_id: dict[str, _Report | None] = {}

    @property
    def is_idle(self) -> bool:
        return not self.open_by_run_id

    def settle_run(
        self,
        *,
        record: UsageRecord,
        target: str,
        outcome: Ran | None = None,
        claimant: str | None = None,
        refund: Callable[[int], None] | None = None,
    ) -> trio.Event:
        """Bill a run and finish its claim; the event is set once durable.

        ``refund`` is called with the tokens if the request was billed before.
        """
        is_durable = self.open_by_run_id.get(record.run_id)
        if is_durable is None:
            is_durable = self.open_by_run_id[record.run_id] = trio.Event()
            self._nursery.start_soon(
                self._settle, record, target, claimant, outcome, refund, is_durable
            )
        return is_durable

    def take_report(self, target: str, report: UsageReport) -> None:
        """Bill usage that an agent keeps because no router confirmed it.

        While a request is still being tried, the usage of a failed attempt
        waits, so that the request is billed for the answer that it gets.
        """
        for record in report.records:
            self._usage_reported(record.run_id, record.tokens)
            if record.run_id in self._report_by_tried_run_id:
                self._report_by_tried_run_id[record.run_id] = _Report(target, record)
            elif record.run_id not in self.open_by_run_id:
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
        """Note that a run belongs to a request that hasn't ended."""
        self._report_by_tried_run_id[run_id] = None

    def end_attempts(self, run_ids: list[str]) -> None:
        """Bill what was reported of these runs, now that their request ended."""
        for run_id in run_ids:
            report = self._report_by_tried_run_id.pop(run_id, None)
            if report is not None:
                self.settle_run(record=report.record, target=report.target)

    async def claim(
        self, key: RequestKey, claimant: str, *, deadline: float
    ) -> Outcome | None:
        """Claim a request that must not repeat; returns why it may not run."""
        operation = Claim(
            budget=key.budget, request_id=key.request_id, claimant=claimant
        )
        wait_s = max(0.0, deadline - self._timers.now())
        result = await self._ledger.submit(operation, timeout_s=wait_s)
        if result.is_err():
            # The claim may have been written; without a run it is released.
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
        """Release the claim of a request that certainly didn't run."""
        operation = ReleaseClaim(
            budget=key.budget, request_id=key.request_id, claimant=claimant
        )
        name = f"claim:{claimant}"
        self.open_by_run_id[name] = trio.Event()
        self._nursery.start_soon(self._release, name, operation)

    async def _release(self, name: str, operation: ReleaseClaim) -> None:
        await self.write(operation)
        del self.open_by_run_id[name]

    async def write(self, operation):
        """Submit an operation until it's durable; returns its result."""
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
                nursery.start_soon(self.write, finish)
            if record.tokens > 0:
                nursery.start_soon(self._bill, record, refund)
        is_durable.set()
        del self.open_by_run_id[record.run_id]
        stored = UsageStored(run_ids=[record.run_id])
        self._agents.post_if_connected(target, stored)

    async def _bill(
        self, record: UsageRecord, refund: Callable[[int], None] | None
    ) -> None:
        result = await self.write(
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
