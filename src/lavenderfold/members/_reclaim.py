"""Plans the reclaim of the grants of a fenced incarnation."""

from collections.abc import Iterable

from lavenderfold.budgets import LedgerShard, Reclaim, WriteOff, grant_number
from lavenderfold.identifiers import BudgetKey
from lavenderfold.messages import FenceReport


class ReclaimPlan:
    """Collects the reports of agents and decides what happens to the grants.

    ``targets`` are all targets that could have run a request paid by the grants. The
    incarnation must be retired in the member record before the agents are asked. A
    grant from which open runs still hold tokens stays open, with these tokens only;
    a later plan releases them.
    """

    def __init__(self, *, incarnation: int, targets: Iterable[str]):
        self.incarnation = incarnation
        self._targets = set(targets)
        self._report_by_target: dict[str, FenceReport] = {}
        self._gone_targets: set[str] = set()
        self._key_by_grant_id: dict[str, BudgetKey] = {}

    @property
    def missing(self) -> set[str]:
        """Return the targets without a report whose VM still exists."""
        return self._targets - self._report_by_target.keys() - self._gone_targets

    def add_shard(self, shard: LedgerShard) -> None:
        """Add the incarnation's grants in a ledger shard."""
        for key, record in shard.records_by_key.items():
            for grant_id, grant in record.grants_by_id.items():
                if grant.holder == self.incarnation:
                    self._key_by_grant_id[grant_id] = key

    def report(self, report: FenceReport) -> None:
        """Add the report of an agent; it replaces an earlier one of that agent."""
        if report.incarnation == self.incarnation:
            self._report_by_target[report.target] = report

    def target_gone(self, target: str) -> None:
        """Record that the platform reports the VM of a target as gone for good."""
        self._gone_targets.add(target)

    def decisions(self) -> list[Reclaim | WriteOff]:
        """Return the operations to submit, or none while a report is missing."""
        if self.missing:
            return []
        operations: list[Reclaim | WriteOff] = []
        for grant_id, key in self._key_by_grant_id.items():
            if not self._is_fully_reported(grant_id):
                operations.append(WriteOff(key, grant_id))
                continue
            held = self._held_tokens(grant_id, self._report_by_target)
            operations.append(Reclaim(key, grant_id, held))
            if self._held_tokens(grant_id, self._gone_targets):
                # The usage of runs on a VM that no longer exists can't be reported any
                # more, so the tokens that they held are written off.
                operations.append(WriteOff(key, grant_id))
        return operations

    def _is_fully_reported(self, grant_id: str) -> bool:
        """Return whether the reports cover all runs paid by a grant."""
        if self._targets - self._report_by_target.keys():
            return False
        number = grant_number(grant_id)
        return all(
            report.complete_after is not None and number > report.complete_after
            for report in self._report_by_target.values()
        )

    def _held_tokens(self, grant_id: str, targets: Iterable[str]) -> int:
        return sum(
            self._report_by_target[target].held_by_grant_id.get(grant_id, 0)
            for target in targets
            if target in self._report_by_target
        )
