"""Timer service: clocks, and callbacks that run at a given time.

Code that makes decisions takes the current time as an argument. The code around it,
which does I/O, gets the time from here, so that a test can supply its own clock.
"""

import heapq
import itertools
import time
from collections.abc import Callable

import trio


class Subscription:
    """A callback registered with the timer service, until ``cancel`` is called."""

    __slots__ = ("callback", "period", "cancelled")

    def __init__(self, *, callback: Callable[[float], None], period: float | None):
        self.callback = callback
        self.period = period
        self.cancelled = False

    def cancel(self) -> None:
        """Have the callback not called again, and drop it.

        The subscription itself stays in the schedule until it is due.
        """
        self.cancelled = True
        self.callback = _ignore_time


def _ignore_time(_: float) -> None:
    """Do nothing: the subscription was cancelled."""


class TimerService:
    """Calls callbacks in the trio event loop, in the order of their due times.

    Times are monotonic and in seconds. A callback must not block; if it has longer
    work to do, it should wake a task that does the work.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._sequence_numbers = itertools.count()
        self._pending_heap: list[tuple[float, int, Subscription]] = []
        self._schedule_changed = trio.Event()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock()

    def unix_time(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    def every(
        self, period: float, callback: Callable[[float], None], *, delay: float = 0.0
    ) -> Subscription:
        """Call ``callback(now)`` every ``period`` seconds, first after ``delay``."""
        subscription = Subscription(callback=callback, period=period)
        self._schedule(self.now() + delay, subscription)
        return subscription

    def once(self, delay: float, callback: Callable[[float], None]) -> Subscription:
        """Call ``callback(now)`` once, after ``delay`` seconds."""
        subscription = Subscription(callback=callback, period=None)
        self._schedule(self.now() + delay, subscription)
        return subscription

    async def run(self) -> None:
        """Call the callbacks as they become due, until cancelled."""
        while True:
            self.fire_due()
            await self._wait_for_next()

    def fire_due(self) -> None:
        """Call each callback that is due."""
        now = self.now()
        while self._pending_heap and self._pending_heap[0][0] <= now:
            _, _, subscription = heapq.heappop(self._pending_heap)
            if subscription.cancelled:
                continue
            subscription.callback(now)
            if subscription.period is not None:
                self._schedule(now + subscription.period, subscription)

    def _schedule(self, due_at: float, subscription: Subscription) -> None:
        heapq.heappush(
            self._pending_heap, (due_at, next(self._sequence_numbers), subscription)
        )
        self._schedule_changed.set()

    async def _wait_for_next(self) -> None:
        self._schedule_changed = trio.Event()
        if not self._pending_heap:
            await self._schedule_changed.wait()
            return
        with trio.move_on_after(max(0.0, self._pending_heap[0][0] - self.now())):
            await self._schedule_changed.wait()
