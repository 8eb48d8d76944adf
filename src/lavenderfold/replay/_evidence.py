"""Reads the evidence for the checks from the ledger and the targets."""

from collections.abc import Sequence

import msgspec
import trio

from lavenderfold.http import HttpClient, HttpClientError, HttpRequest
from lavenderfold.identifiers import BudgetKey, request_id_time
from lavenderfold.replay._checks import BudgetEvidence, Evidence, RunEvidence
from lavenderfold.replay._ledger import read_ledger
from lavenderfold.replay._records import CallOutcome, CallRecord
from lavenderfold.settings import Address
from lavenderfold.store import Store

LEDGER_POLL_INTERVAL_S = 0.2
STATS_TIMEOUT_S = 5.0


class EvidenceError(Exception):
    """A source of evidence can't be read, so the outcomes can't be checked."""

    def __init__(self, source: str, cause: object):
        super().__init__(f"can't read {source}: {cause}")
        self.source = source


class _TargetStats(msgspec.Struct):
    runs_by_request_id: dict[str, int]
    tokens_by_request_id: dict[str, int] = msgspec.field(default_factory=dict)


class EvidenceReader:
    """Reads the ledger's budgets and the runs that the targets counted.

    ``settle_s`` limits the wait for usage that has not reached the ledger when the
    last answer ends.
    """

    def __init__(self, *, store: Store, targets: Sequence[Address], settle_s: float):
        self._store = store
        self._targets = targets
        self._settle_s = settle_s

    async def read_budgets(self) -> dict[BudgetKey, BudgetEvidence]:
        """Return all budgets of the ledger. Raises EvidenceError."""
        result = await read_ledger(self._store)
        if result.is_err():
            raise EvidenceError("the ledger", result.unwrap_err())
        return result.unwrap()

    async def read(
        self, records: Sequence[CallRecord], before: dict[BudgetKey, BudgetEvidence]
    ) -> Evidence:
        """Wait for the usage of ``records`` and return all evidence.

        ``before`` holds the budgets as read before the replay. Raises EvidenceError.
        """
        ran_request_ids = {
            record.request_id for record in records if record.outcome is CallOutcome.RAN
        }
        after = await self.read_budgets()
        with trio.move_on_after(self._settle_s):
            while not ran_request_ids <= _billed_request_ids(after):
                await trio.sleep(LEDGER_POLL_INTERVAL_S)
                after = await self.read_budgets()
        runs = [run for address in self._targets for run in await _read_runs(address)]
        return Evidence(before=before, after=after, runs=runs)


async def _read_runs(address: Address) -> list[RunEvidence]:
    client = HttpClient(address=address)
    response = None
    with trio.move_on_after(STATS_TIMEOUT_S):
        try:
            response = await client.request(HttpRequest(method="GET", target="/stats"))
        except HttpClientError as error:
            raise EvidenceError(f"the counts of target {address}", error) from error
    await client.close()
    if response is None:
        raise EvidenceError(f"the counts of target {address}", "timeout")
    try:
        stats = msgspec.json.decode(response.body, type=_TargetStats)
    except msgspec.DecodeError as error:
        raise EvidenceError(f"the counts of target {address}", error) from error
    return [
        RunEvidence(
            target=str(address),
            request_id=_extract_request_id(run_name),
            tokens=stats.tokens_by_request_id.get(run_name),
        )
        for run_name, count in stats.runs_by_request_id.items()
        for _ in range(count)
    ]


def _extract_request_id(run_name: str) -> str:
    """Return the request id that is part of an agent's name for a run.

    The name also contains the organisation and the budget and, for an engine, the
    id of the run. A name without a request id is returned as it is.
    """
    parts = run_name.split("/")
    return next((part for part in parts if request_id_time(part).is_ok()), run_name)


def _billed_request_ids(budgets: dict[BudgetKey, BudgetEvidence]) -> set[str]:
    return {
        request_id
        for budget in budgets.values()
        for request_id in budget.tokens_by_request_id
    }
