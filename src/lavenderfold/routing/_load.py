"""What a router knows about the load and the prefix cache of each target."""

import enum
from collections.abc import Iterable

from lavenderfold.messages import LoadReport

REPORT_TIMEOUT_S = 2.0
# A run that was sent this shortly before a report arrived may have crossed it
# on the link, so that the report doesn't count it yet.
REPORT_TRAVEL_S = 0.05
# Reports name only the prefixes stored last, and late. The router's own history
# stands for the others until an engine has probably evicted them.
PREFIX_HISTORY_S = 300.0
PREFIX_HISTORY_LIMIT = 1024
LEAST_TOKENS_PER_S = 50.0
# Reports come at a period that depends on the router's number of links, so the
# best rate decays with time and not with reports.
RATE_HALF_LIFE_S = 60.0


class TargetState(enum.Enum):
    """Whether a target may be given work."""

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
    """The last report of one target and this router's work sent since."""

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
        """Runs at the target: reported, less ended, plus sent since."""
        reported = (
            self.latest_report.running + self.latest_report.queued
            if self.latest_report
            else 0
        )
        return max(0, reported - self.ended_since_report) + len(
            self.unreported_run_by_id
        )

    @property
    def free_slots(self) -> int:
        """Slots of the engine that no run takes; negative when runs wait."""
        return (
            self.latest_report.slots if self.latest_report else 0
        ) - self.outstanding

    @property
    def is_rate_measured(self) -> bool:
        """Whether the target's rate is known; one that just started has none."""
        return self.peak_tokens_per_s >= LEAST_TOKENS_PER_S

    def expected_wait_s(self) -> float:
        """Return the expected time until the target starts one more run."""
        if self.latest_report is None or self.free_slots > 0:
            return 0.0
        unreported = sum(run.tokens for run in self.unreported_run_by_id.values())
        # The reported rate is that of the last second, which an engine that was
        # idle until then hasn't filled yet.
        rate = max(self.peak_tokens_per_s, LEAST_TOKENS_PER_S)
        # Without queued work the target is only full: one run has to end first.
        backlog = self.latest_report.queued_tokens + unreported
        return max(backlog, 1) / rate

    def count_cached_blocks(self, prefixes: list[int]) -> int:
        """Return how many leading blocks the target is expected to hold."""
        for count in range(len(prefixes), 0, -1):
            prefix = prefixes[count - 1]
            if prefix in self.reported_prefixes or prefix in self.sent_at_by_prefix:
                return count
        return 0

    def record_prefixes(self, prefixes: Iterable[int], *, now: float) -> None:
        for prefix in prefixes:
            self.sent_at_by_prefix.pop(prefix, None)
            self.sent_at_by_prefix[prefix] = now
        while len(self.sent_at_by_prefix) > PREFIX_HISTORY_LIMIT:
            del self.sent_at_by_prefix[next(iter(self.sent_at_by_prefix))]

    def apply_report(self, report: LoadReport, *, now: float) -> None:
        decay = 0.5 ** ((now - self.reported_at) / RATE_HALF_LIFE_S)
        self.latest_report = report
        self.reported_at = now
        self.peak_tokens_per_s = max(
            report.tokens_per_s, self.peak_tokens_per_s * decay
        )
        self.ended_since_report = 0
        for run_id, run in list(self.unreported_run_by_id.items()):
            if run.sent_at <= now - REPORT_TRAVEL_S:
                del self.unreported_run_by_id[run_id]
                self.reported_run_ids.add(run_id)
        if not report.prefixes_known:
            return
        self.reported_prefixes = frozenset(report.prefixes)
        oldest = now - PREFIX_HISTORY_S
        self.sent_at_by_prefix = {
            prefix: sent_at
            for prefix, sent_at in self.sent_at_by_prefix.items()
            if sent_at > oldest
        }


class LoadView:
    """The loads of all targets, by target name."""

    def __init__(self, *, report_timeout_s: float = REPORT_TIMEOUT_S):
        self.by_target: dict[str, TargetLoad] = {}
        self.report_timeout_s = report_timeout_s

    def load(self, target: str) -> TargetLoad:
        """Return the load of a target; an empty one if it never reported."""
        return self.by_target.get(target) or TargetLoad()

    def record_report(self, target: str, report: LoadReport, *, now: float) -> None:
        """Take in the target's own report."""
        self._entry(target).apply_report(report, now=now)

    def record_sent(
        self,
        target: str,
        run_id: str,
        *,
        tokens: int,
        prefixes: Iterable[int] = (),
        now: float,
    ) -> None:
        """Count a run of ``tokens`` that was sent to the target."""
        entry = self._entry(target)
        entry.unreported_run_by_id[run_id] = _SentRun(tokens=tokens, sent_at=now)
        entry.record_prefixes(prefixes, now=now)

    def record_ended(self, target: str, run_id: str) -> None:
        """Stop counting a run that ended or was refused."""
        entry = self._entry(target)
        if entry.unreported_run_by_id.pop(run_id, None) is not None:
            return
        if run_id in entry.reported_run_ids:
            entry.reported_run_ids.discard(run_id)
            entry.ended_since_report += 1

    def remove_target(self, target: str) -> None:
        """Forget the target's report; its cache may be gone as well."""
        self.by_target.pop(target, None)

    def state(self, target: str, *, now: float) -> TargetState:
        """Return whether the target may be given work at time ``now``."""
        entry = self.by_target.get(target)
        if entry is None or entry.latest_report is None:
            return TargetState.UNREACHABLE
        if now - entry.reported_at > self.report_timeout_s:
            return TargetState.UNREACHABLE
        if entry.latest_report.draining:
            return TargetState.DRAINING
        if not entry.latest_report.ready:
            return TargetState.NOT_READY
        return TargetState.READY

    def _entry(self, target: str) -> TargetLoad:
        return self.by_target.setdefault(target, TargetLoad())
