"""The bounded queue of runs that wait for a slot, by priority and then age."""

from collections.abc import Iterator

from sortedcontainers import SortedDict

from lavenderfold.agent._runs import RunRecord, input_bytes
from lavenderfold.agent._settings import Limits
from lavenderfold.messages import Run


class RunQueue:
    """Waiting runs; the lowest priority number is removed first."""

    def __init__(self, *, limits: Limits):
        self._limits = limits
        self._record_by_sort_key: SortedDict = SortedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._record_by_sort_key)

    def __iter__(self) -> Iterator[RunRecord]:
        return iter(list(self._record_by_sort_key.values()))

    def has_room(self, order: Run) -> bool:
        """Return whether an order fits within the queue's bounds."""
        if len(self) >= self._limits.queue_length:
            return False
        return self._bytes + input_bytes(order) <= self._limits.queue_bytes

    def push(self, record: RunRecord) -> None:
        self._record_by_sort_key[_sort_key(record)] = record
        self._bytes += input_bytes(record.order)

    def pop(self) -> RunRecord:
        """Remove and return the run to start next."""
        record = self._record_by_sort_key.peekitem(0)[1]
        self.remove(record)
        return record

    def remove(self, record: RunRecord) -> None:
        del self._record_by_sort_key[_sort_key(record)]
        self._bytes -= input_bytes(record.order)


def _sort_key(record: RunRecord) -> tuple[int, int]:
    return record.order.priority, record.sequence
