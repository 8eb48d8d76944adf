"""Runs that wait for a slot: by priority, then by age, under bounds."""

from collections.abc import Iterator

from sortedcontainers import SortedDict

from lavenderfold.agent._runs import RunRecord, input_bytes
from lavenderfold.agent._settings import Limits
from lavenderfold.messages import Run


class RunQueue:
    """Holds waiting runs; priority 0 leaves first."""

    def __init__(self, *, limits: Limits):
        self._limits = limits
        self._record_by_rank: SortedDict = SortedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._record_by_rank)

    def __iter__(self) -> Iterator[RunRecord]:
        return iter(list(self._record_by_rank.values()))

    def has_room(self, order: Run) -> bool:
        """Return whether the bounds leave room for an order."""
        if len(self) >= self._limits.queue_length:
            return False
        return self._bytes + input_bytes(order) <= self._limits.queue_bytes

    def push(self, record: RunRecord) -> None:
        self._record_by_rank[_rank(record)] = record
        self._bytes += input_bytes(record.order)

    def pop(self) -> RunRecord:
        """Remove and return the first run."""
        record = self._record_by_rank.peekitem(0)[1]
        self.remove(record)
        return record

    def remove(self, record: RunRecord) -> None:
        del self._record_by_rank[_rank(record)]
        self._bytes -= input_bytes(record.order)


def _rank(record: RunRecord) -> tuple[int, int]:
    return record.order.priority, record.sequence
