"""The reclaim of a fenced incarnation's grants."""

from collections.abc import Iterable

from lavenderfold.budgets import LedgerShard, Reclaim, WriteOff, grant_number
from lavenderfold.identifiers import BudgetKey
from lavenderfold.messages import FenceReport


class ReclaimPlan:
    """Collects what agents report and decides what to do with the grants.

    ``targets`` are all those that could have run a request on the grants. The
    incarnation must have been retired in the member record before the agents
    were asked. A grant of which open runs hold a part stays open; another plan
    releases the rest later.
    """

    def __init__(self, *, incarnation: int, targets: Iterable[str]):
        self.incarnation = incarnation
        self._targets = set(targets)
        self._report_by_target: dict[str, FenceReport] = {}
        self._gone: set[str] = set()
        self._grants: dict[str, BudgetKey] = {}

    @property
    def missing(self) -> set[str]:
        """Return the targets whose report is missing and whose VM isn't gone."""
        return self._targets - self._report_by_target.keys() - self._gone

    def add_shard(self, shard: LedgerShard) -> None:
        """Add the incarnation's grants in a ledger shard."""
        for key, record in shard.records_by_key.items():
            for grant_id, grant in record.grants_by_id.items():
                if grant.holder == self.incarnation:
                    self._grants[grant_id] = key

    def report(self, report: FenceReport) -> None:
        """Add an agent's answer; its latest counts."""
        if report.incarnation == self.incarnation:
            self._report_by_target[report.target] = report

    def target_gone(self, target: str) -> None:
        """Note that the platform says that a target's VM is gone for good."""
        self._gone.add(target)

    def decisions(self) -> list[Reclaim | WriteOff]:
        """Return the operations; none while a target's answer is missing."""
        if self.missing:
            return []
        operations: list[Reclaim | WriteOff] = []
        for grant_id, key in self._grants.items():
            if not self._is_accounted(grant_id):
                operations.append(WriteOff(key, grant_id))
                continue
            held = self._held(grant_id, self._report_by_target)
            operations.append(Reclaim(key, grant_id, held))
            if self._held(grant_id, self._gone):
                # What a run held at a VM that is gone can't be reported any more.
                operations.append(WriteOff(key, grant_id))
        return operations

    def _is_accounted(self, grant_id: str) -> bool:
        """Return whether the reports cover everything that ran on a grant."""
        if self._targets - self._report_by_target.keys():
            return False
        number = grant_number(grant_id)
        return all(
            report.complete_after is not None and number > report.complete_after
            for report in self._report_by_target.values()
        )

    def _held(self, grant_id: str, targets: Iterable[str]) -> int:
        return sum(
            self._report_by_target[target].held_by_grant_id.get(grant_id, 0)
            for target in targets
            if target in self._report_by_target
        )
