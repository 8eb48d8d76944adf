"""Requests that wait for a target, by priority and fair between organisations."""

import heapq
import itertools

import msgspec

from lavenderfold.outcomes import NotRun, Reason

QUANTUM_TOKENS = 512


class QueueEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A waiting request. ``deadline`` is a time of the caller's clock in seconds."""

    request_id: str
    organisation: str
    priority: int
    tokens: int
    deadline: float
    weight: float = 1.0


class _Line:
    """The waiting requests of one organisation, the earliest deadline first."""

    __slots__ = ("heap", "deficit", "weight")

    def __init__(self):
        self.heap: list[tuple[float, int, QueueEntry]] = []
        self.deficit = 0.0
        self.weight = 1.0


class _Level:
    """One priority: deficit round robin between organisations.

    At each visit an organisation's deficit grows by the quantum times its
    weight; it sends requests while the deficit covers their tokens.
    """

    __slots__ = ("line_by_organisation", "round", "length")

    def __init__(self):
        self.line_by_organisation: dict[str, _Line] = {}
        self.round: list[str] = []
        self.length = 0

    def push(self, entry: QueueEntry, sequence: int) -> None:
        line = self.line_by_organisation.get(entry.organisation)
        if line is None:
            line = self.line_by_organisation[entry.organisation] = _Line()
            self.round.append(entry.organisation)
        line.weight = entry.weight
        heapq.heappush(line.heap, (entry.deadline, sequence, entry))
        self.length += 1

    def pop(self) -> QueueEntry:
        self._skip_idle_rounds()
        while True:
            organisation = self.round[0]
            line = self.line_by_organisation[organisation]
            entry = line.heap[0][2]
            if line.deficit >= entry.tokens:
                line.deficit -= entry.tokens
                heapq.heappop(line.heap)
                self._drop_if_empty(organisation)
                self.length -= 1
                return entry
            line.deficit += QUANTUM_TOKENS * line.weight
            self.round.append(self.round.pop(0))

    def _skip_idle_rounds(self) -> None:
        """Grant at once the whole rounds in which no organisation could send."""
        lines = self.line_by_organisation.values()
        rounds = min(
            (line.heap[0][2].tokens - line.deficit) / (QUANTUM_TOKENS * line.weight)
            for line in lines
        )
        if rounds < 1:
            return
        for line in lines:
            line.deficit += int(rounds) * QUANTUM_TOKENS * line.weight

    def remove(self, wanted) -> list[QueueEntry]:
        """Take out and return the entries for which ``wanted(entry)`` is true."""
        removed = []
        for organisation, line in list(self.line_by_organisation.items()):
            taken = [item[2] for item in line.heap if wanted(item[2])]
            if not taken:
                continue
            line.heap = [item for item in line.heap if not wanted(item[2])]
            heapq.heapify(line.heap)
            self.length -= len(taken)
            removed += taken
            self._drop_if_empty(organisation)
        return removed

    def _drop_if_empty(self, organisation: str) -> None:
        # An organisation that has nothing waiting doesn't save up its deficit.
        if not self.line_by_organisation[organisation].heap:
            del self.line_by_organisation[organisation]
            self.round.remove(organisation)


class RequestQueue:
    """The waiting requests of one pool of targets."""

    def __init__(self, *, length_limit: int):
        self._length_limit = length_limit
        self._level_by_priority: dict[int, _Level] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return sum(level.length for level in self._level_by_priority.values())

    @property
    def next_priority(self) -> int | None:
        """The priority that ``pop`` takes from, or None if nothing waits."""
        return min(self._level_by_priority, default=None)

    def tokens_ahead(self, priority: int) -> int:
        """Return the tokens of requests that are served no later than ``priority``."""
        return sum(
            item[2].tokens
            for number, level in self._level_by_priority.items()
            if number <= priority
            for line in level.line_by_organisation.values()
            for item in line.heap
        )

    def push(self, entry: QueueEntry) -> NotRun | None:
        """Queue a request; returns the refusal if its priority's queue is full."""
        level = self._level_by_priority.get(entry.priority)
        if level is None:
            level = self._level_by_priority[entry.priority] = _Level()
        if level.length >= self._length_limit:
            return NotRun(Reason.OVERLOADED, f"{level.length} requests are waiting")
        level.push(entry, next(self._sequence))
        return None

    def pop(self) -> QueueEntry | None:
        """Return the next request to send, or None if nothing waits."""
        priority = self.next_priority
        if priority is None:
            return None
        entry = self._level_by_priority[priority].pop()
        self._drop_empty_levels()
        return entry

    def expire(self, now: float) -> list[QueueEntry]:
        """Take out and return the requests whose deadline has passed."""
        return self._remove(lambda entry: entry.deadline <= now)

    def discard(self, request_id: str) -> bool:
        """Take out one request; returns whether it was waiting."""
        return bool(self._remove(lambda entry: entry.request_id == request_id))

    def _remove(self, wanted) -> list[QueueEntry]:
        removed = []
        for level in self._level_by_priority.values():
            removed += level.remove(wanted)
        self._drop_empty_levels()
        return removed

    def _drop_empty_levels(self) -> None:
        for priority, level in list(self._level_by_priority.items()):
            if level.length == 0:
                del self._level_by_priority[priority]
