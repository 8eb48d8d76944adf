"""Collects the evidence of a replay from ledger and targets."""

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

POLL_S = 0.2
STATS_TIMEOUT_S = 5.0


class EvidenceError(Exception):
    """``source`` can't be read, so that no outcome can be checked."""

    def __init__(self, source: str, cause: object):
        super().__init__(f"can't read {source}: {cause}")
        self.source = source


class _Stats(msgspec.Struct):
    runs_by_request_id: dict[str, int]
    tokens_by_request_id: dict[str, int] = msgspec.field(default_factory=dict)


class EvidenceReader:
    """Reads the ledger and the targets' own counts.

    ``settle_s`` bounds the wait for usage that is still on its way into the
    ledger when the last answer ends.
    """

    def __init__(self, *, store: Store, targets: Sequence[Address], settle_s: float):
        self._store = store
        self._targets = targets
        self._settle_s = settle_s

    async def read_budgets(self) -> dict[BudgetKey, BudgetEvidence]:
        """Return the ledger's budgets. Raises EvidenceError."""
        answer = await read_ledger(self._store)
        if answer.is_err():
            raise EvidenceError("the ledger", answer.unwrap_err())
        return answer.unwrap()

    async def read(
        self, records: Sequence[CallRecord], before: dict[BudgetKey, BudgetEvidence]
    ) -> Evidence:
        """Return all evidence. Raises EvidenceError."""
        wanted = {
            record.request_id for record in records if record.outcome is CallOutcome.RAN
        }
        after = await self.read_budgets()
        with trio.move_on_after(self._settle_s):
            while not wanted <= _billed(after):
                await trio.sleep(POLL_S)
                after = await self.read_budgets()
        runs = [run for address in self._targets for run in await _read_runs(address)]
        return Evidence(before=before, after=after, runs=runs)


async def _read_runs(address: Address) -> list[RunEvidence]:
    client = HttpClient(address=address)
    answer = None
    with trio.move_on_after(STATS_TIMEOUT_S):
        try:
            answer = await client.request(HttpRequest(method="GET", target="/stats"))
        except HttpClientError as error:
            raise EvidenceError(f"the counts of target {address}", error) from error
    await client.close()
    if answer is None:
        raise EvidenceError(f"the counts of target {address}", "timeout")
    try:
        stats = msgspec.json.decode(answer.body, type=_Stats)
    except msgspec.DecodeError as error:
        raise EvidenceError(f"the counts of target {address}", error) from error
    return [
        RunEvidence(
            target=str(address),
            request_id=_request_id(name),
            tokens=stats.tokens_by_request_id.get(name),
        )
        for name, count in stats.runs_by_request_id.items()
        for _ in range(count)
    ]


def _request_id(name: str) -> str:
    """Return the request id in the name that an agent gives a run.

    The name also holds organisation and budget, and at engines the run's id.
    """
    parts = name.split("/")
    return next((part for part in parts if request_id_time(part).is_ok()), name)


def _billed(budgets: dict[BudgetKey, BudgetEvidence]) -> set[str]:
    return {
        request_id
        for budget in budgets.values()
        for request_id in budget.tokens_by_request_id
    }
