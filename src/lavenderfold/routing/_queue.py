"""A queue of requests by priority, with fair sharing between organisations."""

import heapq
import itertools

import msgspec

from lavenderfold.outcomes import NotRun, Reason

QUANTUM_TOKENS = 512


class QueueEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A waiting request.

    ``deadline`` is in seconds on the clock that the queue's user passes to
    ``expire``. ``tokens`` is what the request counts for in fair sharing.
    """

    request_id: str
    organisation: str
    priority: int
    tokens: int
    deadline: float
    weight: float = 1.0


class _OrganisationQueue:
    """The waiting requests of one organisation, ordered by deadline."""

    __slots__ = ("heap", "deficit", "weight")

    def __init__(self):
        self.heap: list[tuple[float, int, QueueEntry]] = []
        self.deficit = 0.0
        self.weight = 1.0


class _PriorityLevel:
    """The waiting requests of one priority.

    Organisations share a level by deficit round robin: each visit adds the
    quantum times the organisation's weight to its deficit, and its requests are
    sent as long as the deficit covers their tokens.
    """

    __slots__ = ("queue_by_organisation", "rotation", "length")

    def __init__(self):
        self.queue_by_organisation: dict[str, _OrganisationQueue] = {}
        self.rotation: list[str] = []
        self.length = 0

    def push(self, entry: QueueEntry, sequence: int) -> None:
        queue = self.queue_by_organisation.get(entry.organisation)
        if queue is None:
            queue = self.queue_by_organisation[entry.organisation] = (
                _OrganisationQueue()
            )
            self.rotation.append(entry.organisation)
        queue.weight = entry.weight
        heapq.heappush(queue.heap, (entry.deadline, sequence, entry))
        self.length += 1

    def pop(self) -> QueueEntry:
        self._skip_idle_rounds()
        while True:
            organisation = self.rotation[0]
            queue = self.queue_by_organisation[organisation]
            entry = queue.heap[0][2]
            if queue.deficit >= entry.tokens:
                queue.deficit -= entry.tokens
                heapq.heappop(queue.heap)
                self._remove_if_empty(organisation)
                self.length -= 1
                return entry
            queue.deficit += QUANTUM_TOKENS * queue.weight
            self.rotation.append(self.rotation.pop(0))

    def _skip_idle_rounds(self) -> None:
        """Add the quanta of rounds in which no deficit would cover a request.

        Adding them in one step avoids iterating over these rounds.
        """
        queues = self.queue_by_organisation.values()
        rounds = min(
            (queue.heap[0][2].tokens - queue.deficit) / (QUANTUM_TOKENS * queue.weight)
            for queue in queues
        )
        if rounds < 1:
            return
        for queue in queues:
            queue.deficit += int(rounds) * QUANTUM_TOKENS * queue.weight

    def remove(self, predicate) -> list[QueueEntry]:
        """Remove and return the entries for which ``predicate(entry)`` is true."""
        removed = []
        for organisation, queue in list(self.queue_by_organisation.items()):
            matching = [item[2] for item in queue.heap if predicate(item[2])]
            if not matching:
                continue
            queue.heap = [item for item in queue.heap if not predicate(item[2])]
            heapq.heapify(queue.heap)
            self.length -= len(matching)
            removed += matching
            self._remove_if_empty(organisation)
        return removed

    def _remove_if_empty(self, organisation: str) -> None:
        # Also forgets the deficit: an organisation can't save it up while none of
        # its requests are waiting.
        if not self.queue_by_organisation[organisation].heap:
            del self.queue_by_organisation[organisation]
            self.rotation.remove(organisation)


class RequestQueue:
    """The requests that wait for one pool of targets.

    ``length_limit`` bounds the number of requests of each priority.
    """

    def __init__(self, *, length_limit: int):
        self._length_limit = length_limit
        self._level_by_priority: dict[int, _PriorityLevel] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return sum(level.length for level in self._level_by_priority.values())

    @property
    def next_priority(self) -> int | None:
        """The priority of the request that ``pop`` returns; None if nothing waits."""
        return min(self._level_by_priority, default=None)

    def tokens_ahead(self, priority: int) -> int:
        """Return the tokens of all waiting requests up to and with ``priority``.

        Lower numbers are served first.
        """
        return sum(
            item[2].tokens
            for level_priority, level in self._level_by_priority.items()
            if level_priority <= priority
            for queue in level.queue_by_organisation.values()
            for item in queue.heap
        )

    def push(self, entry: QueueEntry) -> NotRun | None:
        """Queue a request, or return a refusal if its priority's queue is full."""
        level = self._level_by_priority.get(entry.priority)
        if level is None:
            level = self._level_by_priority[entry.priority] = _PriorityLevel()
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
        self._remove_empty_levels()
        return entry

    def expire(self, now: float) -> list[QueueEntry]:
        """Remove and return the requests whose deadline has passed."""
        return self._remove(lambda entry: entry.deadline <= now)

    def discard(self, request_id: str) -> bool:
        """Remove a request and return whether it was waiting."""
        return bool(self._remove(lambda entry: entry.request_id == request_id))

    def _remove(self, predicate) -> list[QueueEntry]:
        removed = []
        for level in self._level_by_priority.values():
            removed += level.remove(predicate)
        self._remove_empty_levels()
        return removed

    def _remove_empty_levels(self) -> None:
        for priority, level in list(self._level_by_priority.items()):
            if level.length == 0:
                del self._level_by_priority[priority]
