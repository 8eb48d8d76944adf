"""A router's view of the load and the prefix cache of each target."""

import enum
from collections.abc import Iterable

from lavenderfold.messages import LoadReport

REPORT_TIMEOUT_S = 2.0
# A report doesn't count runs that were still on the way to the target when the
# target sent it. Runs sent less than this before a report arrived are treated as
# not included in it.
REPORT_TRANSIT_S = 0.05
# Reports name only the most recently stored prefixes, and with a delay. The
# router's own record of sent prefixes covers the others until the engine has
# probably evicted them.
PREFIX_HISTORY_S = 300.0
PREFIX_HISTORY_LIMIT = 1024
MIN_TOKENS_PER_S = 50.0
# The peak rate decays with time rather than per report, because the report period
# depends on the router's number of links.
RATE_HALF_LIFE_S = 60.0


class TargetState(enum.Enum):
    """Whether a target can be given work, and if not, why."""

    READY = "ready"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"


class _SentRun:
    __slots__ = ("tokens", "sent_at")

    def __init__(self, *, tokens: int, sent_at: float):
        self.tokens = tokens
        self.sent_at = sent_at


class TargetLoad:
    """The latest report of a target and the runs that this router has sent since."""

    __slots__ = (
        "latest_report",
        "reported_at",
        "peak_tokens_per_s",
        "reported_prefixes",
        "sent_at_by_prefix",
        "unreported_run_by_id",
        "reported_run_ids",
        "ended_since_report",
    )

    def __init__(self):
        self.latest_report: LoadReport | None = None
        self.reported_at = 0.0
        self.peak_tokens_per_s = 0.0
        self.reported_prefixes: frozenset[int] = frozenset()
        self.sent_at_by_prefix: dict[int, float] = {}
        self.unreported_run_by_id: dict[str, _SentRun] = {}
        self.reported_run_ids: set[str] = set()
        self.ended_since_report = 0

    @property
    def outstanding(self) -> int:
        """The number of runs at the target.

        These are the reported runs, minus those that have ended since the report,
        plus those sent that no report includes yet.
        """
        reported_count = (
            self.latest_report.running + self.latest_report.queued
            if self.latest_report
            else 0
        )
        return max(0, reported_count - self.ended_since_report) + len(
            self.unreported_run_by_id
        )

    @property
    def free_slots(self) -> int:
        """The number of unused engine slots; negative if runs are queued."""
        return (
            self.latest_report.slots if self.latest_report else 0
        ) - self.outstanding

    @property
    def is_rate_measured(self) -> bool:
        """Whether the target's token rate is known; it isn't just after a start."""
        return self.peak_tokens_per_s >= MIN_TOKENS_PER_S

    def expected_wait_s(self) -> float:
        """Return the expected time until the target can start another run."""
        if self.latest_report is None or self.free_slots > 0:
            return 0.0
        unreported_tokens = sum(
            run.tokens for run in self.unreported_run_by_id.values()
        )
        # Use the peak rate: the reported rate covers the last second, and an engine
        # that was idle during a part of it reports too little.
        tokens_per_s = max(self.peak_tokens_per_s, MIN_TOKENS_PER_S)
        # With no queued tokens the target is merely full, and the wait is short
        # but not zero, because one run has to end first.
        backlog = self.latest_report.queued_tokens + unreported_tokens
        return max(backlog, 1) / tokens_per_s

    def count_cached_blocks(self, prefixes: list[int]) -> int:
        """Return how many leading blocks are expected in the target's cache."""
        for count in range(len(prefixes), 0, -1):
            prefix = prefixes[count - 1]
            if prefix in self.reported_prefixes or prefix in self.sent_at_by_prefix:
                return count
        return 0

    def record_prefixes(self, prefixes: Iterable[int], *, now: float) -> None:
        """Remember the prefixes of a run that was sent to the target."""
        for prefix in prefixes:
            self.sent_at_by_prefix.pop(prefix, None)
            self.sent_at_by_prefix[prefix] = now
        while len(self.sent_at_by_prefix) > PREFIX_HISTORY_LIMIT:
            del self.sent_at_by_prefix[next(iter(self.sent_at_by_prefix))]

    def apply_report(self, report: LoadReport, *, now: float) -> None:
        """Install a new report and discard the older data that it replaces."""
        decay = 0.5 ** ((now - self.reported_at) / RATE_HALF_LIFE_S)
        self.latest_report = report
        self.reported_at = now
        self.peak_tokens_per_s = max(
            report.tokens_per_s, self.peak_tokens_per_s * decay
        )
        self.ended_since_report = 0
        for run_id, run in list(self.unreported_run_by_id.items()):
            if run.sent_at <= now - REPORT_TRANSIT_S:
                del self.unreported_run_by_id[run_id]
                self.reported_run_ids.add(run_id)
        if not report.prefixes_known:
            return
        self.reported_prefixes = frozenset(report.prefixes)
        oldest_sent_at = now - PREFIX_HISTORY_S
        self.sent_at_by_prefix = {
            prefix: sent_at
            for prefix, sent_at in self.sent_at_by_prefix.items()
            if sent_at > oldest_sent_at
        }


class LoadView:
    """The loads of all targets by target name."""

    def __init__(self, *, report_timeout_s: float = REPORT_TIMEOUT_S):
        self.by_target: dict[str, TargetLoad] = {}
        self.report_timeout_s = report_timeout_s

    def load(self, target: str) -> TargetLoad:
        """Return the load of a target, or an empty one if it has never reported."""
        return self.by_target.get(target) or TargetLoad()

    def record_report(self, target: str, report: LoadReport, *, now: float) -> None:
        """Record a load report that the target has sent."""
        self._get_or_add(target).apply_report(report, now=now)

    def record_sent(
        self,
        target: str,
        run_id: str,
        *,
        tokens: int,
        prefixes: Iterable[int] = (),
        now: float,
    ) -> None:
        """Count a run of at most ``tokens`` that was sent to the target."""
        target_load = self._get_or_add(target)
        target_load.unreported_run_by_id[run_id] = _SentRun(tokens=tokens, sent_at=now)
        target_load.record_prefixes(prefixes, now=now)

    def record_ended(self, target: str, run_id: str) -> None:
        """Stop counting a run that has ended or was refused."""
        target_load = self._get_or_add(target)
        if target_load.unreported_run_by_id.pop(run_id, None) is not None:
            return
        if run_id in target_load.reported_run_ids:
            target_load.reported_run_ids.discard(run_id)
            target_load.ended_since_report += 1

    def remove_target(self, target: str) -> None:
        """Forget the load of a disconnected target.

        Its prefixes are forgotten too, because its cache may have been lost.
        """
        self.by_target.pop(target, None)

    def state(self, target: str, *, now: float) -> TargetState:
        """Return whether the target can be given work at time ``now``."""
        target_load = self.by_target.get(target)
        if target_load is None or target_load.latest_report is None:
            return TargetState.UNREACHABLE
        if now - target_load.reported_at > self.report_timeout_s:
            return TargetState.UNREACHABLE
        if target_load.latest_report.draining:
            return TargetState.DRAINING
        if not target_load.latest_report.ready:
            return TargetState.NOT_READY
        return TargetState.READY

    def _get_or_add(self, target: str) -> TargetLoad:
        return self.by_target.setdefault(target, TargetLoad())
