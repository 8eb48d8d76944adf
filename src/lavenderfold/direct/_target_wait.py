"""Limits the wait for a silent target to what another target can make up for."""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from lavenderfold.direct._patience import CallerPatience
from lavenderfold.timers import Subscription, TimerService

# After this time it is asked again whether another target can take over.
RECHECK_S = 0.2
# A check that comes this much too late shows that the event loop was late rather than
# the target, so what has arrived meanwhile is read first, for the time of the grace.
LATE_CHECK_S = 0.02
LATE_GRACE_S = 0.1


class TargetWait:
    """The waits of one attempt for its target, up to ``deadline`` on the trio clock.

    A silent target may go on, so its attempt is given up only for another one:
    ``try_take_over`` is called when the target has been silent for the limit of a wait,
    and the wait ends if it returns True. Without ``try_take_over`` only the deadline
    ends a wait. Until a caller with ``patience`` has got an event, a wait ends shortly
    before the caller leaves.
    """

    __slots__ = (
        "is_taken_over",
        "_timers",
        "_deadline",
        "_patience",
        "_ends_at",
        "_try_take_over",
        "_scope",
        "_due_at",
        "_check_at",
        "_has_grace",
        "_subscription",
    )

    def __init__(
        self,
        *,
        timers: TimerService,
        deadline: float,
        try_take_over: Callable[[], bool] | None,
        patience: CallerPatience | None = None,
    ):
        self.is_taken_over = False
        self._timers = timers
        self._deadline = deadline
        self._patience = patience
        self._ends_at = deadline
        self._try_take_over = try_take_over
        self._scope: trio.CancelScope | None = None
        self._due_at = deadline
        self._check_at = math.inf
        self._has_grace = False
        self._subscription: Subscription | None = None

    def silent_at(self, limit_s: float) -> float:
        """Return when the target counts as silent if no event arrives from now on."""
        now = trio.current_time()
        if self._patience is None:
            return now + limit_s
        return self._patience.silent_at(now, limit_s=limit_s)

    @contextmanager
    def until_silent(self, silent_at: float) -> Iterator[trio.CancelScope]:
        """Enclose a wait for the target, which is silent from ``silent_at`` on.

        If the wait was cancelled, ``is_taken_over`` says whether another target takes
        over; otherwise the time for an answer is over.
        """
        self.is_taken_over = False
        self._ends_at = self._deadline
        if self._patience is not None:
            self._ends_at = self._patience.answer_by(self._deadline)
        self._due_at = self._ends_at
        if self._try_take_over is not None:
            self._due_at = min(silent_at, self._ends_at)
        self._schedule_check()
        self._scope = trio.CancelScope()
        try:
            with self._scope as scope:
                yield scope
        finally:
            self._scope = None

    def close(self) -> None:
        """Stop checking."""
        if self._subscription is not None:
            self._subscription.cancel()
            self._subscription = None
        self._check_at = math.inf

    def end_taken_over(self) -> None:
        """End the wait that is in progress, as another target takes over."""
        if self._scope is not None:
            self.is_taken_over = True
            self._scope.cancel()

    def _schedule_check(self) -> None:
        # Each event moves ``_due_at``. A check that is scheduled for an earlier time
        # looks at it then, which is cheaper than a new one for each event.
        if self._check_at > self._due_at:
            self._check_in(self._due_at - trio.current_time())

    def _check_in(self, delay_s: float) -> None:
        self.close()
        delay_s = max(0.0, delay_s)
        self._check_at = trio.current_time() + delay_s
        self._subscription = self._timers.once(delay_s, self._check)

    def _check(self, _: float) -> None:
        now = trio.current_time()
        late_s = now - self._check_at
        self._subscription = None
        self._check_at = math.inf
        if self._scope is None:
            return
        if late_s > LATE_CHECK_S and not self._has_grace:
            # Only once in a row, or a slow event loop would put each check off.
            self._has_grace = True
            self._check_in(LATE_GRACE_S)
            return
        self._has_grace = False
        if now >= self._due_at and self._is_over(now):
            self._scope.cancel()
            return
        self._schedule_check()

    def _is_over(self, now: float) -> bool:
        if now >= self._ends_at:
            return True
        self.is_taken_over = self._try_take_over()
        self._due_at = min(now + RECHECK_S, self._ends_at)
        return self.is_taken_over
