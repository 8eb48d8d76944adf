"""Admission to one service: an adaptive limit and an ordered queue before it.

This is plain decision code: times are arguments, and nothing waits here.
"""

import enum
from collections.abc import Callable

import msgspec

from lavenderfold.admission._limit import AdaptiveLimit
from lavenderfold.admission._shares import OrganisationShares

# Weights of the newest request in the moving averages.
TOKENS_WEIGHT = 0.05
HOLD_WEIGHT = 0.1
# A request counts as this many mean requests at least and at most, so that short ones
# aren't free and a long one doesn't use up the whole limit.
MIN_SIZE = 0.25
MAX_SIZE = 4.0


class EntryState(enum.Enum):
    """The state of a request. A refused one becomes ENDED as well."""

    NEW = "new"
    QUEUED = "queued"
    ADMITTED = "admitted"
    REFUSED = "refused"
    ENDED = "ended"


class Entry:
    """A request that asks for admission.

    ``priority`` 0 is the most urgent, ``organisation`` is empty if there is none and
    ``tokens`` None if it isn't stated. ``deadline`` orders requests that are equal
    otherwise. A request that ``has_begun`` elsewhere isn't queued. ``size`` is the
    number of tokens as a multiple of the mean, within bounds, and ``admitted_at`` the
    time of the admission.
    """

    __slots__ = (
        "priority",
        "organisation",
        "tokens",
        "deadline",
        "has_begun",
        "size",
        "state",
        "admitted_at",
    )

    def __init__(
        self,
        *,
        priority: int,
        organisation: str,
        tokens: int | None,
        deadline: float,
        has_begun: bool = False,
    ):
        self.priority = priority
        self.organisation = organisation
        self.tokens = tokens
        self.deadline = deadline
        self.has_begun = has_begun
        self.size = 1.0
        self.state = EntryState.NEW
        self.admitted_at = 0.0


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """What was decided on an arriving request.

    ``expected_s`` is the expected wait. ``ahead`` counts the queued requests that are
    admitted before, of which ``first`` is the next one. ``limit`` and ``used`` are in
    mean requests.
    """

    state: EntryState
    expected_s: float
    ahead: int
    first: Entry | None
    limit: float
    used: float


class ServiceAdmission:
    """Decides which requests are in progress in one service.

    ``on_admitted`` is called with each entry that is admitted from the queue.
    """

    __slots__ = (
        "limit",
        "used",
        "_on_admitted",
        "_queue",
        "_shares",
        "_admitted",
        "_mean_tokens",
        "_mean_hold_s",
    )

    def __init__(self, *, on_admitted: Callable[[Entry], None]):
        self.limit = AdaptiveLimit()
        self.used = 0.0
        self._on_admitted = on_admitted
        self._queue: list[Entry] = []
        self._shares = OrganisationShares()
        self._admitted = 0
        self._mean_tokens: float | None = None
        self._mean_hold_s: float | None = None

    @property
    def queued(self) -> int:
        """How many requests are queued."""
        return len(self._queue)

    @property
    def admitted(self) -> int:
        """How many requests are in progress."""
        return self._admitted

    def arrive(self, entry: Entry, *, wait_until: float, now: float) -> Arrival:
        """Admit, queue or refuse a request that can wait until ``wait_until``."""
        self._measure(entry)
        self._update(now)
        ahead: list[Entry] = []
        expected_s = 0.0
        if entry.has_begun or (not self._queue and self._has_room):
            self._admit(entry, now=now)
        else:
            ahead = self._ahead_of(entry, now=now)
            expected_s = self._expected_wait_s(entry, ahead)
            if now + expected_s > wait_until:
                entry.state = EntryState.REFUSED
            else:
                entry.state = EntryState.QUEUED
                self._queue.append(entry)
        return Arrival(
            state=entry.state,
            expected_s=expected_s,
            ahead=len(ahead),
            first=self._first_of(ahead, now=now),
            limit=self.limit.value,
            used=self.used,
        )

    def end(self, entry: Entry, *, is_served: bool, now: float) -> None:
        """Release what a request holds, wherever it is; a second call does nothing."""
        if entry.state is EntryState.QUEUED:
            self._queue.remove(entry)
        elif entry.state is EntryState.ADMITTED:
            self._release(entry)
            if is_served:
                self._record_hold(now - entry.admitted_at)
        entry.state = EntryState.ENDED
        self._update(now)

    def record_served(self, target_id: str, *, now: float) -> None:
        """Record that a target began to answer in time."""
        self.limit.record_served(target_id, now=now)
        self._update(now)

    def record_congestion(self, target_id: str, *, now: float) -> bool:
        """Record that a target had no room or was slow.

        Returns whether the limit was lowered.
        """
        return self.limit.record_congestion(target_id, used=self.used, now=now)

    @property
    def _has_room(self) -> bool:
        # The last one may exceed the limit, so that a long request doesn't wait while
        # short ones pass.
        return self.used < self.limit.value

    def _measure(self, entry: Entry) -> None:
        tokens = entry.tokens
        if not tokens:
            return
        mean = tokens if self._mean_tokens is None else self._mean_tokens
        # Callers may state any number; an outlier must not make all others small.
        counted = min(tokens, MAX_SIZE * mean)
        self._mean_tokens = mean + TOKENS_WEIGHT * (counted - mean)
        entry.size = min(MAX_SIZE, max(MIN_SIZE, tokens / self._mean_tokens))

    def _rank(self, entry: Entry, now: float) -> tuple[int, float, float]:
        share = self._shares.tokens(entry.organisation, now=now)
        return (entry.priority, share, entry.deadline)

    def _ahead_of(self, entry: Entry, *, now: float) -> list[Entry]:
        rank = self._rank(entry, now)
        return [each for each in self._queue if self._rank(each, now) <= rank]

    def _first_of(self, entries: list[Entry], *, now: float) -> Entry | None:
        return min(entries, key=lambda each: self._rank(each, now), default=None)

    def _expected_wait_s(self, entry: Entry, ahead: list[Entry]) -> float:
        excess = max(0.0, self.used - self.limit.value)
        backlog = excess + entry.size + sum(each.size for each in ahead)
        return backlog * (self._mean_hold_s or 0.0) / self.limit.value

    def _record_hold(self, hold_s: float) -> None:
        mean_s = hold_s if self._mean_hold_s is None else self._mean_hold_s
        self._mean_hold_s = mean_s + HOLD_WEIGHT * (hold_s - mean_s)

    def _admit(self, entry: Entry, *, now: float) -> None:
        entry.state = EntryState.ADMITTED
        entry.admitted_at = now
        self.used += entry.size
        self._admitted += 1
        charged = entry.tokens or self._mean_tokens or 1.0
        self._shares.charge(entry.organisation, charged, now=now)

    def _release(self, entry: Entry) -> None:
        self._admitted -= 1
        # Reset when no request is left, so that rounding errors don't accumulate.
        self.used = self.used - entry.size if self._admitted else 0.0

    def _update(self, now: float) -> None:
        """Lift a limit that isn't needed, and admit queued requests up to it."""
        if not self._queue:
            self.limit.lift_if_unused(used=self.used, now=now)
        while self._queue and self._has_room:
            entry = self._first_of(self._queue, now=now)
            self._queue.remove(entry)
            self._admit(entry, now=now)
            self._on_admitted(entry)
