"""Answers of ended runs, kept for a resume while memory lasts."""

from collections import OrderedDict

from lavenderfold.agent._runs import RunRecord
from lavenderfold.agent._settings import Limits


class EndedAnswers:
    """Evicts the oldest ended answers first, those that were read before others.

    Open runs are counted but never evicted: the settings make sure that the
    answers of all slots fit.
    """

    def __init__(self, *, limits: Limits):
        self._limits = limits
        self._read: OrderedDict[str, RunRecord] = OrderedDict()
        self._unread: OrderedDict[str, RunRecord] = OrderedDict()
        self.total_bytes = 0

    @property
    def unread_count(self) -> int:
        return len(self._unread)

    def grow(self, size: int) -> None:
        """Count new bytes of an open run and evict ended answers for them."""
        self.total_bytes += size
        while self.total_bytes > self._limits.buffer_bytes:
            ended = self._read or self._unread
            if not ended:
                return
            self.drop(next(iter(ended.values())))

    def add(self, record: RunRecord) -> None:
        """Keep the answer of a run that has just ended."""
        self._unread[record.run_id] = record

    def mark_read(self, record: RunRecord) -> None:
        """Note that a router was sent the whole answer."""
        if self._unread.pop(record.run_id, None) is not None:
            self._read[record.run_id] = record

    def drop(self, record: RunRecord) -> None:
        """Free the answer of an ended run."""
        self._read.pop(record.run_id, None)
        self._unread.pop(record.run_id, None)
        if record.answer is not None:
            self.total_bytes -= len(record.answer)
            record.answer = None
