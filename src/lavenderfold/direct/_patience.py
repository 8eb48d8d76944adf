"""When callers abandon silent streams, and until when they are answered before."""

import math

from lavenderfold.direct._relay_progress import RelayProgress

# The answer to a caller begins this long before the caller leaves. That covers an event
# loop as late as that of a router that still takes new callers (0.2 s), the grace of a
# late check (0.1 s), and the way to the caller.
ANSWER_MARGIN_S = 0.35
# The margin is at most this part of a short patience.
ANSWER_MARGIN_SHARE = 0.5
# A target that has been silent for less than this time, or than this multiple of the
# usual time to the first event, isn't late.
MIN_SILENCE_S = 0.6
SILENCE_FACTOR = 1.5
# Another target is asked this long before the latest time at which its first event can
# be in time, because the first one that is asked may refuse.
TAKE_OVER_RESERVE_S = 0.2
# The first event can come in this part of its usual time.
FASTEST_SHARE = 0.5


class CallerPatience:
    """The patience of one request's caller, beside its deadline.

    The caller leaves after ``patience_s`` without an event, also before the first one;
    None means that it waits until its deadline. ``first_event_s`` is the usual time to
    the first event of a target; the caller waits since ``waits_since``. Patience
    begins anew with each event in ``progress``, not with other bytes. A request without
    an answer is ended ``answer_reserve_s`` before its deadline. Times are those of the
    trio clock.
    """

    __slots__ = (
        "_patience_s",
        "_first_event_s",
        "_margin_s",
        "_waits_since",
        "_answer_reserve_s",
        "_progress",
    )

    def __init__(
        self,
        *,
        patience_s: float | None,
        first_event_s: float,
        waits_since: float,
        answer_reserve_s: float = 0.0,
        progress: RelayProgress,
    ):
        self._patience_s = math.inf if patience_s is None else patience_s
        self._first_event_s = first_event_s
        self._margin_s = min(ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * self._patience_s)
        self._waits_since = waits_since
        self._answer_reserve_s = answer_reserve_s
        self._progress = progress

    @property
    def leaves_at(self) -> float:
        """When the caller leaves, unless an event is written before."""
        last_event_at = self._progress.last_event_at
        since = self._waits_since if last_event_at is None else last_event_at
        return since + self._patience_s

    def answer_by(self, deadline: float) -> float:
        """Return until when the request may wait for an event.

        After the first event that is ``deadline``, because the silence of a target is
        no reason to end its stream.
        """
        if self._progress.last_event_at is not None:
            return deadline
        return min(deadline - self._answer_reserve_s, self._first_event_by)

    def ends_before(self, deadline: float) -> bool:
        """Return whether the caller's patience, not ``deadline``, ends the request."""
        if self._progress.last_event_at is not None:
            return False
        return self._first_event_by < deadline - self._answer_reserve_s

    def allows_attempt(self, now: float) -> bool:
        """Whether the first event of an attempt that begins now can be in time."""
        return now + FASTEST_SHARE * self._first_event_s <= self._first_event_by

    def silent_at(self, now: float, *, limit_s: float) -> float:
        """Return when a target counts as silent from which an event is expected now.

        That is after ``limit_s``, or earlier if the first event of another target
        wouldn't be in time then.
        """
        silence_s = max(MIN_SILENCE_S, SILENCE_FACTOR * self._first_event_s)
        usual_start = self._first_event_by - self._first_event_s
        planned_at = max(now + silence_s, usual_start - TAKE_OVER_RESERVE_S)
        return min(now + limit_s, planned_at)

    @property
    def _first_event_by(self) -> float:
        return self.leaves_at - self._margin_s
