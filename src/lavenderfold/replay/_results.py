"""Runs the checks and formats the results of a replay as tables."""

from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from lavenderfold.replay._checks import (
    Check,
    Evidence,
    Finding,
    count_served_after_budget_refusal,
)
from lavenderfold.replay._records import CallOutcome, CallRecord
from lavenderfold.replay._trace import RequestKind

HISTOGRAM_LOWEST_US = 1
HISTOGRAM_HIGHEST_US = 600_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1_000
PERCENTILES = (50.0, 95.0, 99.0)
FINDINGS_SHOWN_LIMIT = 5


class KindResult:
    """Counts and latency histograms of one kind of request, in microseconds.

    The latencies of the first token and of the whole answer count from the time at
    which the request was due, so that they include the delay of a late start.
    """

    def __init__(self) -> None:
        self.count = 0
        self.outcomes: Counter[CallOutcome] = Counter()
        self.retried = 0
        self.histogram_by_name = {
            name: HdrHistogram(
                HISTOGRAM_LOWEST_US, HISTOGRAM_HIGHEST_US, HISTOGRAM_SIGNIFICANT_DIGITS
            )
            for name in ("first token", "between tokens", "whole answer")
        }

    def add(self, record: CallRecord) -> None:
        """Add one request to the counts and histograms."""
        self.count += 1
        self.outcomes[record.outcome] += 1
        self.retried += len(record.attempts) > 1
        if record.outcome is not CallOutcome.RAN:
            return
        if record.first_part_s is not None:
            self._record("first token", record.first_part_s - record.due_s)
        for gap_s in record.gaps_s:
            self._record("between tokens", gap_s)
        self._record("whole answer", record.finished_s - record.due_s)

    def _record(self, name: str, seconds: float) -> None:
        microseconds = round(seconds * MICROSECONDS_PER_SECOND)
        bounded = min(max(microseconds, HISTOGRAM_LOWEST_US), HISTOGRAM_HIGHEST_US)
        self.histogram_by_name[name].record_value(bounded)


class CheckResults(msgspec.Struct, frozen=True):
    """The findings of each check by the name of the check."""

    findings_by_check: dict[str, list[Finding]]

    @property
    def all_passed(self) -> bool:
        """Return whether no check has findings."""
        return not any(self.findings_by_check.values())


def run_checks(
    records: Sequence[CallRecord],
    evidence: Evidence,
    *,
    check_by_name: Mapping[str, Check],
) -> CheckResults:
    """Run all checks and return their findings."""
    return CheckResults(
        {name: check(records, evidence) for name, check in check_by_name.items()}
    )


def collect_results_by_kind(
    records: Sequence[CallRecord],
) -> dict[RequestKind, KindResult]:
    """Return the results of each kind of request that occurs in ``records``."""
    result_by_kind: dict[RequestKind, KindResult] = {}
    for record in records:
        kind = record.request.kind
        result_by_kind.setdefault(kind, KindResult()).add(record)
    return result_by_kind


def format_results(records: Sequence[CallRecord], results: CheckResults) -> str:
    """Return the table of latencies and the result of each check as text."""
    lines = [
        f"{'kind':<9}{'requests':>9}{'ran':>6}{'refused':>9}{'unknown':>9}"
        f"{'retried':>9}  {'time (ms)':<15}" + _percentile_header()
    ]
    for kind, result in sorted(collect_results_by_kind(records).items()):
        lines += _format_kind(kind, result)
    lines.append("")
    for name, findings in results.findings_by_check.items():
        lines += _format_check(name, findings)
    served_late = count_served_after_budget_refusal(records)
    if served_late:
        lines.append(f"refused for lack of money at first, then served: {served_late}")
    return "\n".join(lines)


def _percentile_header() -> str:
    return "".join(f"{f'p{percentile:g}':>9}" for percentile in PERCENTILES)


def _format_kind(kind: RequestKind, result: KindResult) -> list[str]:
    outcomes = result.outcomes
    prefix = (
        f"{kind:<9}{result.count:>9}{outcomes[CallOutcome.RAN]:>6}"
        f"{outcomes[CallOutcome.NOT_RUN]:>9}{outcomes[CallOutcome.MAY_HAVE_RUN]:>9}"
        f"{result.retried:>9}  "
    )
    lines = []
    for name, histogram in result.histogram_by_name.items():
        if not histogram.get_total_count():
            continue
        values = [
            histogram.get_value_at_percentile(percentile) for percentile in PERCENTILES
        ]
        columns = "".join(
            f"{value / MICROSECONDS_PER_MILLISECOND:>9.1f}" for value in values
        )
        lines.append(f"{prefix}{name:<15}{columns}")
        prefix = " " * len(prefix)
    return lines or [prefix]


def _format_check(name: str, findings: list[Finding]) -> list[str]:
    status = "holds" if not findings else f"FAILS ({len(findings)})"
    lines = [f"{name:<24}{status}"]
    lines += [
        f"    {finding.subject}: {finding.fault}"
        for finding in findings[:FINDINGS_SHOWN_LIMIT]
    ]
    return lines
