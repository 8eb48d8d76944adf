"""Answers of ended runs, kept within a memory limit so that routers can resume them."""

from collections import OrderedDict

from lavenderfold.agent._runs import RunRecord
from lavenderfold.agent._settings import Limits


class AnswerCache:
    """Counts the bytes of all answers and evicts those of ended runs.

    Answers that a router was sent completely are evicted before others, and the
    oldest first. Answers of open runs are never evicted: the settings ensure that
    the answers of all slots fit.
    """

    def __init__(self, *, limits: Limits):
        self._limits = limits
        self._delivered: OrderedDict[str, RunRecord] = OrderedDict()
        self._undelivered: OrderedDict[str, RunRecord] = OrderedDict()
        self.total_bytes = 0

    @property
    def undelivered_count(self) -> int:
        return len(self._undelivered)

    def add_bytes(self, byte_count: int) -> None:
        """Count new bytes of an open run; evict ended answers if over the limit."""
        self.total_bytes += byte_count
        while self.total_bytes > self._limits.buffer_bytes:
            ended = self._delivered or self._undelivered
            if not ended:
                return
            self.evict(next(iter(ended.values())))

    def add_ended(self, record: RunRecord) -> None:
        """Keep the answer of a run that has just ended."""
        self._undelivered[record.run_id] = record

    def mark_delivered(self, record: RunRecord) -> None:
        """Record that a router was sent the complete answer."""
        if self._undelivered.pop(record.run_id, None) is not None:
            self._delivered[record.run_id] = record

    def evict(self, record: RunRecord) -> None:
        """Free the answer of an ended run."""
        self._delivered.pop(record.run_id, None)
        self._undelivered.pop(record.run_id, None)
        if record.answer is not None:
            self.total_bytes -= len(record.answer)
            record.answer = None
