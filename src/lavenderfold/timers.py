"""The timer service: the one source of time that parts subscribe to.

Decision code takes the time as an argument. The shells read it here, so that
a test can drive them with its own clock.
"""

import heapq
import itertools
import time
from collections.abc import Callable

import trio


class Subscription:
    """A callback that the timer service calls; ``cancel`` ends it."""

    __slots__ = ("callback", "period", "cancelled")

    def __init__(self, *, callback: Callable[[float], None], period: float | None):
        self.callback = callback
        self.period = period
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class TimerService:
    """Calls subscribers on the trio loop, in the order of their due times.

    Times are seconds of the monotonic clock. A callback must not block; one
    that has work to do wakes its own task.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._changed = trio.Event()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock()

    def unix_time(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    def every(
        self, period: float, callback: Callable[[float], None], *, delay: float = 0.0
    ) -> Subscription:
        """Call ``callback(now)`` each ``period`` seconds, first after ``delay``."""
        subscription = Subscription(callback=callback, period=period)
        self._push(self.now() + delay, subscription)
        return subscription

    def once(self, delay: float, callback: Callable[[float], None]) -> Subscription:
        """Call ``callback(now)`` once, after ``delay`` seconds."""
        subscription = Subscription(callback=callback, period=None)
        self._push(self.now() + delay, subscription)
        return subscription

    async def run(self) -> None:
        """Serve the subscriptions until cancelled."""
        while True:
            self.fire_due()
            await self._wait_for_next()

    def fire_due(self) -> None:
        """Call each subscriber whose time has come."""
        now = self.now()
        while self._heap and self._heap[0][0] <= now:
            _, _, subscription = heapq.heappop(self._heap)
            if subscription.cancelled:
                continue
            subscription.callback(now)
            if subscription.period is not None:
                self._push(now + subscription.period, subscription)

    def _push(self, due: float, subscription: Subscription) -> None:
        heapq.heappush(self._heap, (due, next(self._sequence), subscription))
        self._changed.set()

    async def _wait_for_next(self) -> None:
        self._changed = trio.Event()
        if not self._heap:
            await self._changed.wait()
            return
        with trio.move_on_after(max(0.0, self._heap[0][0] - self.now())):
            await self._changed.wait()
