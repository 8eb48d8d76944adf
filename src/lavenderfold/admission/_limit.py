"""Adaptive limit of the requests that a router has in progress in one service."""

import math
from collections import deque

import msgspec

# More than a router ever has in progress, so that nothing is limited until targets show
# that they have no room.
START_LIMIT = 1000.0
# With less in progress a router gets too few answers to know the state of the targets.
MIN_LIMIT = 4.0
# The limit is lowered to this part of what is in progress, at most once per period,
# because a lower limit takes some time to relieve the targets.
LOWER_FACTOR = 0.85
LOWER_PERIOD_S = 0.5
# The limit rises by this with each request that is served in time, so that it grows by
# half within the duration of a request, but not shortly after it was lowered.
RISE_PER_REQUEST = 0.5
HOLD_S = 1.0
# After this time without congestion, a limit of which less than half is used is lifted.
RECOVERY_S = 3.0
# A service is congested if at least this many signals within the window, and at least
# this part of all of them, say so. One slow target of several gives fewer.
WINDOW_S = 2.0
MIN_SIGNALS = 3
MIN_SHARE = 0.25
# A single congested target is avoided by the choice of targets, and doesn't show that
# the service lacks capacity.
MIN_TARGETS = 2


class _Signal(msgspec.Struct, frozen=True):
    at: float
    target_id: str
    is_congested: bool


class AdaptiveLimit:
    """The limit, in units of a mean request. Times are in seconds of one clock."""

    __slots__ = ("value", "_lowered_at", "_signals")

    def __init__(self):
        self.value = START_LIMIT
        self._lowered_at = -math.inf
        self._signals: deque[_Signal] = deque()

    @property
    def is_lowered(self) -> bool:
        """Whether the limit is below its initial value."""
        return self.value < START_LIMIT

    def record_served(self, target_id: str, *, now: float) -> None:
        """Record that a target began to answer in time."""
        self._add(_Signal(now, target_id, False))
        if now - self._lowered_at >= HOLD_S:
            self.value = min(START_LIMIT, self.value + RISE_PER_REQUEST)

    def record_congestion(self, target_id: str, *, used: float, now: float) -> bool:
        """Record that a target rejected a request for lack of room, or was slow.

        ``used`` is what is in progress. Returns whether the limit was lowered.
        """
        self._add(_Signal(now, target_id, True))
        if now - self._lowered_at < LOWER_PERIOD_S or not self._is_congested():
            return False
        self.value = max(MIN_LIMIT, LOWER_FACTOR * min(self.value, used))
        self._lowered_at = now
        self._signals.clear()
        return True

    def lift_if_unused(self, *, used: float, now: float) -> bool:
        """Lift a limit that isn't needed any more; return whether it was lifted."""
        if not self.is_lowered or now - self._lowered_at < RECOVERY_S:
            return False
        if used > self.value / 2:
            return False
        self.value = START_LIMIT
        return True

    def _add(self, signal: _Signal) -> None:
        self._signals.append(signal)
        while self._signals[0].at < signal.at - WINDOW_S:
            self._signals.popleft()

    def _is_congested(self) -> bool:
        congested = [each for each in self._signals if each.is_congested]
        target_ids = {each.target_id for each in congested}
        return (
            len(congested) >= max(MIN_SIGNALS, MIN_SHARE * len(self._signals))
            and len(target_ids) >= MIN_TARGETS
        )
