"""Outcome checks: compare what callers received with ledger and targets.

Each check takes the records and the evidence and returns its findings; an
empty list means that the outcome holds.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence

import msgspec

from lavenderfold.identifiers import BudgetKey
from lavenderfold.replay._records import CallOutcome, CallRecord
from lavenderfold.replay._trace import Expected

SPENT_REASON = "budget_spent"


class BudgetEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """One budget of the ledger; ``granted`` is the sum of its open grants."""

    limit: int
    settled: int = 0
    unexplained: int = 0
    granted: int = 0
    tokens_by_request_id: dict[str, int] = msgspec.field(default_factory=dict)


class RunEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """One run as its target counted it.

    ``tokens`` are those of its output, None if the target doesn't count them.
    """

    target: str
    request_id: str
    tokens: int | None = None


class Evidence(msgspec.Struct, kw_only=True):
    """What ledger and targets say; ``before`` was read before the replay."""

    before: dict[BudgetKey, BudgetEvidence] = msgspec.field(default_factory=dict)
    after: dict[BudgetKey, BudgetEvidence] = msgspec.field(default_factory=dict)
    runs: list[RunEvidence] = msgspec.field(default_factory=list)

    def runs_by_request_id(self) -> dict[str, list[RunEvidence]]:
        """Return the runs of each request."""
        runs = defaultdict(list)
        for run in self.runs:
            runs[run.request_id].append(run)
        return runs

    def bills_by_request_id(self) -> dict[str, list[tuple[BudgetKey, int]]]:
        """Return budget and tokens of each usage entry of a request."""
        bills = defaultdict(list)
        for key, budget in self.after.items():
            for request_id, tokens in budget.tokens_by_request_id.items():
                bills[request_id].append((key, tokens))
        return bills


class Finding(msgspec.Struct, frozen=True):
    """A broken outcome: the request or budget, and what is wrong with it."""

    subject: str
    fault: str


Check = Callable[[Sequence[CallRecord], Evidence], list[Finding]]


def check_whole_answers(
    records: Sequence[CallRecord], evidence: Evidence
) -> list[Finding]:
    """Each answer given as whole has the stated length and digest."""
    findings = []
    for record in records:
        if not record.answered:
            continue
        if record.stated_length not in (None, record.length):
            fault = f"stated {record.stated_length} bytes, received {record.length}"
            findings.append(Finding(record.name, fault))
        elif record.stated_digest != record.digest:
            fault = f"stated digest {record.stated_digest}, received {record.digest}"
            findings.append(Finding(record.name, fault))
    return findings


def check_own_answers(
    records: Sequence[CallRecord], evidence: Evidence
) -> list[Finding]:
    """Each answer is the one that was recorded for this very request."""
    findings = []
    for record in records:
        if not record.answered:
            continue
        request = record.request
        stated = record.stated_request_id
        if stated != record.request_id:
            findings.append(Finding(record.name, f"got the answer of {stated!r}"))
        elif request.answer_digest not in ("", record.digest):
            fault = f"recorded digest {request.answer_digest}, got {record.digest}"
            findings.append(Finding(record.name, fault))
        elif request.answer_part.encode() not in record.head:
            fault = f"the answer lacks {request.answer_part!r}"
            findings.append(Finding(record.name, fault))
    return findings


def check_refusals(records: Sequence[CallRecord], evidence: Evidence) -> list[Finding]:
    """A request that was refused as not run was not run."""
    runs_by_id = evidence.runs_by_request_id()
    findings = []
    for record in records:
        runs = runs_by_id[record.request_id]
        if record.outcome is CallOutcome.NOT_RUN and runs:
            targets = ", ".join(run.target for run in runs)
            findings.append(Finding(record.name, f"said not run, ran at {targets}"))
    return findings


def check_billing(records: Sequence[CallRecord], evidence: Evidence) -> list[Finding]:
    """Each request that ran is billed once to its organisation, others not."""
    bills_by_id = evidence.bills_by_request_id()
    runs_by_id = evidence.runs_by_request_id()
    findings = []
    for record in records:
        bills = bills_by_id[record.request_id]
        fault = _billing_fault(record, bills)
        if not fault and bills:
            fault = _amount_fault(record, bills[0][1], runs_by_id[record.request_id])
        if fault:
            findings.append(Finding(record.name, fault))
    for key, after in evidence.after.items():
        fault = _settled_fault(evidence.before.get(key), after)
        if fault:
            findings.append(Finding(str(key), fault))
    return findings


def check_spend(records: Sequence[CallRecord], evidence: Evidence) -> list[Finding]:
    """No budget is overspent, by the ledger and by what callers received."""
    findings = []
    for key, budget in evidence.after.items():
        used = budget.settled + budget.unexplained + budget.granted
        # A lowered limit can't revoke what was granted under the old one.
        limit = max(budget.limit, evidence.before.get(key, budget).limit)
        if used > limit:
            findings.append(Finding(str(key), f"{used} used of {limit}"))
    received: Counter[str] = Counter()
    limits: Counter[str] = Counter()
    for record in records:
        received[record.request.organisation] += record.stated_tokens or 0
    for key, budget in evidence.after.items():
        before = evidence.before.get(key)
        limits[key.organisation] += budget.limit - (before.settled if before else 0)
    for organisation, tokens in received.items():
        if tokens > limits[organisation]:
            fault = f"{tokens} tokens received, {limits[organisation]} were left"
            findings.append(Finding(organisation, fault))
    return findings


def check_single_runs(
    records: Sequence[CallRecord], evidence: Evidence
) -> list[Finding]:
    """A request that must not repeat ran at most once."""
    runs_by_id = evidence.runs_by_request_id()
    findings = []
    for record in records:
        runs = runs_by_id[record.request_id]
        if not record.request.idempotent and len(runs) > 1:
            targets = ", ".join(run.target for run in runs)
            findings.append(Finding(record.name, f"ran {len(runs)} times: {targets}"))
    return findings


def check_false_refusals(
    records: Sequence[CallRecord], evidence: Evidence
) -> list[Finding]:
    """No request was refused for lack of money that was there.

    Money that is unused after the replay was unused at every earlier time, so
    a refusal is certainly false if the request's most would still fit. The
    lower of the limits before and after is taken, in case of a top-up.
    """
    left: Counter[str] = Counter()
    for key, after in evidence.after.items():
        limit = min(after.limit, evidence.before.get(key, after).limit)
        unspent = limit - after.settled - after.unexplained
        left[key.organisation] = max(left[key.organisation], unspent)
    return [
        Finding(
            record.name,
            f"refused as spent, {left[record.request.organisation]} tokens were left",
        )
        for record in records
        if record.outcome is CallOutcome.NOT_RUN
        and record.reason == SPENT_REASON
        and 0 < record.request.worst_case <= left[record.request.organisation]
    ]


def check_expectations(
    records: Sequence[CallRecord], evidence: Evidence
) -> list[Finding]:
    """Each request ended as the trace says, and ran if it says so."""
    runs_by_id = evidence.runs_by_request_id()
    findings = []
    for record in records:
        fault = _expectation_fault(record)
        # Without this, counts that can't be matched would satisfy every check
        # that nothing ran.
        if record.outcome is CallOutcome.RAN and not runs_by_id[record.request_id]:
            fault = "no target counted its run"
        if fault:
            findings.append(Finding(record.name, fault))
    return findings


def check_arrivals(records: Sequence[CallRecord], evidence: Evidence) -> list[Finding]:
    """Each request that may repeat arrived, whatever failed meanwhile."""
    findings = []
    for record in records:
        fault = _expectation_fault(record)
        must_arrive = record.request.expected is Expected.RAN
        if fault and must_arrive and record.request.idempotent:
            findings.append(Finding(record.name, fault))
    return findings


def _expectation_fault(record: CallRecord) -> str:
    wanted = record.request.expected
    unexpected = wanted is not Expected.ANY and record.outcome.value != wanted.value
    lost = record.outcome is CallOutcome.RAN and not record.answered
    if not (record.fault or lost or unexpected):
        return ""
    got = record.fault or f"{record.outcome} ({record.reason})"
    return f"expected {wanted}, got {got}"


def _billing_fault(record: CallRecord, bills: list[tuple[BudgetKey, int]]) -> str:
    if any(key.organisation != record.request.organisation for key, _ in bills):
        return "billed to another organisation"
    if len(bills) > 1:
        return f"billed {len(bills)} times"
    if record.outcome is CallOutcome.NOT_RUN and bills:
        return "billed, but refused as not run"
    if record.outcome is not CallOutcome.RAN:
        return ""
    return "" if bills else "ran, but not billed"


def _amount_fault(record: CallRecord, billed: int, runs: list[RunEvidence]) -> str:
    if record.stated_tokens not in (None, billed):
        return f"billed {billed} tokens, answer states {record.stated_tokens}"
    # Of several runs only one is billed, and it isn't known which.
    if len(runs) == 1 and billed < (runs[0].tokens or 0):
        return f"billed {billed} tokens, the target produced {runs[0].tokens}"
    return ""


def _settled_fault(before: BudgetEvidence | None, after: BudgetEvidence) -> str:
    known = before.tokens_by_request_id if before else {}
    entries = sum(
        tokens
        for request_id, tokens in after.tokens_by_request_id.items()
        if request_id not in known
    )
    settled = after.settled - (before.settled if before else 0)
    if settled != entries:
        return f"settled grew by {settled}, the new usage entries sum to {entries}"
    return ""


OUTCOME_CHECK_BY_NAME: dict[str, Check] = {
    "whole answers": check_whole_answers,
    "own answers": check_own_answers,
    "refused means not run": check_refusals,
    "billed once": check_billing,
    "no overspend": check_spend,
    "no double sign-off": check_single_runs,
    "no false refusal": check_false_refusals,
}


def select_checks(*, faults_injected: bool) -> dict[str, Check]:
    """Return the checks by name.

    While faults are injected a request that must not repeat may stay unknown;
    all others must still arrive.
    """
    if faults_injected:
        return {**OUTCOME_CHECK_BY_NAME, "arrived": check_arrivals}
    return {**OUTCOME_CHECK_BY_NAME, "as expected": check_expectations}
