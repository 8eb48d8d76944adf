"""Checks that compare what callers received with the ledger and the targets.

Each check takes the records of all requests and the evidence and returns its
findings. A check passes if it returns an empty list.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence

import msgspec

from lavenderfold.identifiers import BudgetKey
from lavenderfold.replay._records import CallOutcome, CallRecord
from lavenderfold.replay._trace import Expected

BUDGET_REFUSAL_REASONS = frozenset({"budget_spent", "budget_unavailable"})


class BudgetEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """A budget as the ledger holds it; ``granted`` is the sum of its open grants."""

    limit: int
    settled: int = 0
    unexplained: int = 0
    granted: int = 0
    tokens_by_request_id: dict[str, int] = msgspec.field(default_factory=dict)


class RunEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """One run that a target counted.

    ``tokens`` is the length of its output, None if the target doesn't count tokens.
    """

    target: str
    request_id: str
    tokens: int | None = None


class Evidence(msgspec.Struct, kw_only=True):
    """The ledger's budgets before and after the replay and the targets' runs."""

    before: dict[BudgetKey, BudgetEvidence] = msgspec.field(default_factory=dict)
    after: dict[BudgetKey, BudgetEvidence] = msgspec.field(default_factory=dict)
    runs: list[RunEvidence] = msgspec.field(default_factory=list)

    def runs_by_request_id(self) -> dict[str, list[RunEvidence]]:
        """Return the runs of each request by its id."""
        runs = defaultdict(list)
        for run in self.runs:
            runs[run.request_id].append(run)
        return runs

    def bills_by_request_id(self) -> dict[str, list[tuple[BudgetKey, int]]]:
        """Return the budget and tokens of each usage entry by request id."""
        bills = defaultdict(list)
        for key, budget in self.after.items():
            for request_id, tokens in budget.tokens_by_request_id.items():
                bills[request_id].append((key, tokens))
        return bills


class Finding(msgspec.Struct, frozen=True):
    """A request, budget or organisation that fails a check, and the fault found."""

    subject: str
    fault: str


Check = Callable[[Sequence[CallRecord], Evidence], list[Finding]]


def check_whole_answers(
    records: Sequence[CallRecord], evidence: Evidence
) -> list[Finding]:
    """Check that each answer received as complete has the stated length and digest."""
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
    """Check that each answer belongs to its request and matches the recorded one."""
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
    """Check that no target ran a request that was refused as not run."""
    runs_by_id = evidence.runs_by_request_id()
    findings = []
    for record in records:
        runs = runs_by_id[record.request_id]
        if record.outcome is CallOutcome.NOT_RUN and runs:
            targets = ", ".join(run.target for run in runs)
            findings.append(Finding(record.name, f"said not run, ran at {targets}"))
    return findings


def check_billing(records: Sequence[CallRecord], evidence: Evidence) -> list[Finding]:
    """Check the bills: one for each request that ran, none for a refused one.

    The bill must go to the request's organisation.
    """
    bills_by_id = evidence.bills_by_request_id()
    runs_by_id = evidence.runs_by_request_id()
    findings = []
    for record in records:
        bills = bills_by_id[record.request_id]
        fault = _find_billing_fault(record, bills)
        if not fault and bills:
            fault = _find_amount_fault(
                record, bills[0][1], runs_by_id[record.request_id]
            )
        if fault:
            findings.append(Finding(record.name, fault))
    for key, after in evidence.after.items():
        fault = _find_settled_fault(evidence.before.get(key), after)
        if fault:
            findings.append(Finding(str(key), fault))
    return findings


def check_spend(records: Sequence[CallRecord], evidence: Evidence) -> list[Finding]:
    """Check that no budget is overspent.

    This is checked by the ledger and by the tokens that callers received.
    """
    findings = []
    for key, budget in evidence.after.items():
        used = budget.settled + budget.unexplained + budget.granted
        # Lowering the limit does not revoke tokens granted under the old limit.
        limit = max(budget.limit, evidence.before.get(key, budget).limit)
        if used > limit:
            findings.append(Finding(str(key), f"{used} used of {limit}"))
    received_by_organisation: Counter[str] = Counter()
    available: Counter[str] = Counter()
    for record in records:
        received_by_organisation[record.request.organisation] += (
            record.stated_tokens or 0
        )
    for key, budget in evidence.after.items():
        before = evidence.before.get(key)
        available[key.organisation] += budget.limit - (before.settled if before else 0)
    for organisation, tokens in received_by_organisation.items():
        if tokens > available[organisation]:
            fault = f"{tokens} tokens received, {available[organisation]} were left"
            findings.append(Finding(organisation, fault))
    return findings


def check_single_runs(
    records: Sequence[CallRecord], evidence: Evidence
) -> list[Finding]:
    """Check that each request that is not idempotent ran at most once."""
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
    """Check that no request was refused for lack of tokens while enough were left.

    Tokens that are unused after the replay were unused at every earlier time, so a
    refusal is certainly false if the request's worst case still fits into a budget
    of its organisation. The lower of the limits before and after is used, because
    the budget may have been topped up during the replay.
    """
    largest_remaining_by_organisation: Counter[str] = Counter()
    for key, after in evidence.after.items():
        limit = min(after.limit, evidence.before.get(key, after).limit)
        remaining = limit - after.settled - after.unexplained
        largest = max(largest_remaining_by_organisation[key.organisation], remaining)
        largest_remaining_by_organisation[key.organisation] = largest
    findings = []
    for record in records:
        is_refused = record.outcome is CallOutcome.NOT_RUN
        remaining = largest_remaining_by_organisation[record.request.organisation]
        is_affordable = 0 < record.request.worst_case <= remaining
        if is_refused and is_affordable and record.reason in BUDGET_REFUSAL_REASONS:
            fault = f"{record.reason}, but {remaining} tokens were left"
            findings.append(Finding(record.name, fault))
    return findings


def count_served_after_budget_refusal(records: Sequence[CallRecord]) -> int:
    """Return how many requests ran after a refusal for lack of tokens."""
    return sum(
        record.outcome is CallOutcome.RAN
        and any(attempt.reason in BUDGET_REFUSAL_REASONS for attempt in record.attempts)
        for record in records
    )


def check_expectations(
    records: Sequence[CallRecord], evidence: Evidence
) -> list[Finding]:
    """Check that each request ended as the trace expects.

    A request that ran must also have been counted by a target.
    """
    runs_by_id = evidence.runs_by_request_id()
    findings = []
    for record in records:
        fault = _find_expectation_fault(record)
        # If the targets' counts could not be matched to requests, every check that a
        # request did not run would pass; this finds that case.
        if record.outcome is CallOutcome.RAN and not runs_by_id[record.request_id]:
            fault = "no target counted its run"
        if fault:
            findings.append(Finding(record.name, fault))
    return findings


def check_arrivals(records: Sequence[CallRecord], evidence: Evidence) -> list[Finding]:
    """Check that each idempotent request that should run did run, despite faults."""
    findings = []
    for record in records:
        fault = _find_expectation_fault(record)
        is_expected_to_run = record.request.expected is Expected.RAN
        if fault and is_expected_to_run and record.request.idempotent:
            findings.append(Finding(record.name, fault))
    return findings


def _find_expectation_fault(record: CallRecord) -> str:
    expected = record.request.expected
    is_unexpected = (
        expected is not Expected.ANY and record.outcome.value != expected.value
    )
    is_answer_lost = record.outcome is CallOutcome.RAN and not record.answered
    if not (record.fault or is_answer_lost or is_unexpected):
        return ""
    actual = record.fault or f"{record.outcome} ({record.reason})"
    return f"expected {expected}, got {actual}"


def _find_billing_fault(record: CallRecord, bills: list[tuple[BudgetKey, int]]) -> str:
    if any(key.organisation != record.request.organisation for key, _ in bills):
        return "billed to another organisation"
    if len(bills) > 1:
        return f"billed {len(bills)} times"
    if record.outcome is CallOutcome.NOT_RUN and bills:
        return "billed, but refused as not run"
    if record.outcome is not CallOutcome.RAN:
        return ""
    return "" if bills else "ran, but not billed"


def _find_amount_fault(record: CallRecord, billed: int, runs: list[RunEvidence]) -> str:
    if record.stated_tokens not in (None, billed):
        return f"billed {billed} tokens, answer states {record.stated_tokens}"
    # Only one of several runs is billed, and it is not known which.
    if len(runs) == 1 and billed < (runs[0].tokens or 0):
        return f"billed {billed} tokens, the target produced {runs[0].tokens}"
    return ""


def _find_settled_fault(before: BudgetEvidence | None, after: BudgetEvidence) -> str:
    earlier_tokens_by_request_id = before.tokens_by_request_id if before else {}
    new_tokens = sum(
        tokens
        for request_id, tokens in after.tokens_by_request_id.items()
        if request_id not in earlier_tokens_by_request_id
    )
    settled = after.settled - (before.settled if before else 0)
    if settled != new_tokens:
        return f"settled grew by {settled}, the new usage entries sum to {new_tokens}"
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

    If faults are injected, the outcome of a request that is not idempotent may stay
    unknown, but all other requests must still run as the trace expects.
    """
    if faults_injected:
        return {**OUTCOME_CHECK_BY_NAME, "arrived": check_arrivals}
    return {**OUTCOME_CHECK_BY_NAME, "as expected": check_expectations}
