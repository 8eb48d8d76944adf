"""Calculates from the measured demand how many tokens a router should hold."""

import math

# Long enough to smooth over gaps between requests, and short enough that a router
# hands its tokens back within minutes after a burst.
SPEND_RATE_WINDOW_S = 300.0
# Between the two marks no tokens are ordered or handed back, so that tokens don't move
# back and forth.
LOW_WATER_SHARE = 0.5
HIGH_WATER_SHARE = 2.0


class SpendRate:
    """An exponentially decaying average of the tokens spent per second."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self):
        self._rate = 0.0
        self._updated_at = 0.0

    def add(self, tokens: int, *, now: float) -> None:
        """Count tokens when they are reserved."""
        self._rate = self.per_second(now=now) + tokens / SPEND_RATE_WINDOW_S
        self._updated_at = now

    def subtract_unused(self, tokens: int) -> None:
        """Subtract counted tokens that weren't used, as of the last update."""
        self._rate = max(0.0, self._rate - tokens / SPEND_RATE_WINDOW_S)

    def per_second(self, *, now: float) -> float:
        """Return the rate at the time ``now``, in seconds."""
        elapsed = max(0.0, now - self._updated_at)
        return self._rate * math.exp(-elapsed / SPEND_RATE_WINDOW_S)


def order_tokens(
    *, rate: float, ride_out_s: float, free: int, waiting_tokens: int
) -> int:
    """Return how many tokens to order.

    This is zero if no request is waiting and ``free``, the tokens held and not
    reserved, is at least the low-water mark. ``rate`` is in tokens per second.
    """
    wanted = math.ceil(rate * ride_out_s)
    if waiting_tokens > 0:
        return max(waiting_tokens, wanted - free)
    if free >= wanted * LOW_WATER_SHARE:
        return 0
    return wanted - free


def excess_tokens(
    *,
    rate: float,
    ride_out_s: float,
    idle_s: float,
    free: int,
    typical_reservation: int,
) -> int:
    """Return how many free tokens to hand back; zero below the high-water mark.

    A router that has reserved no tokens for ``ride_out_s`` hands all of them back.
    Otherwise less than ``typical_reservation``, the tokens of one request, isn't worth
    a write to the store.
    """
    if idle_s >= ride_out_s:
        return free
    kept = max(typical_reservation, math.ceil(rate * ride_out_s * HIGH_WATER_SHARE))
    excess = free - kept
    return excess if excess >= max(1, typical_reservation) else 0
