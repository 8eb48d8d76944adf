"""How many tokens a router should hold: plain functions of measured demand."""

import math

# Long enough to smooth the gaps between requests, short enough that a router
# gives its tokens back within minutes after a burst.
DRAW_WINDOW_S = 300.0
# Between the two marks nothing is ordered and nothing handed back, so that
# tokens don't move to and fro.
LOW_WATER_SHARE = 0.5
HIGH_WATER_SHARE = 2.0


class DrawRate:
    """The tokens drawn per second, as an exponentially decaying average."""

    __slots__ = ("_rate", "_updated")

    def __init__(self):
        self._rate = 0.0
        self._updated = 0.0

    def add(self, tokens: int, *, now: float) -> None:
        """Count tokens that were drawn."""
        self._rate = self.per_second(now=now) + tokens / DRAW_WINDOW_S
        self._updated = now

    def take_back(self, tokens: int) -> None:
        """Uncount drawn tokens that weren't used, as of the last update."""
        self._rate = max(0.0, self._rate - tokens / DRAW_WINDOW_S)

    def per_second(self, *, now: float) -> float:
        """Return the rate at a time in seconds."""
        elapsed = max(0.0, now - self._updated)
        return self._rate * math.exp(-elapsed / DRAW_WINDOW_S)


def order_tokens(
    *, rate: float, ride_out_s: float, free: int, waiting_tokens: int
) -> int:
    """Return how many tokens to order; zero above the low-water mark.

    ``rate`` is in tokens per second; ``free`` are those held and not reserved.
    """
    wanted = math.ceil(rate * ride_out_s)
    if waiting_tokens > 0:
        return max(waiting_tokens, wanted - free)
    if free >= wanted * LOW_WATER_SHARE:
        return 0
    return wanted - free


def excess_tokens(
    *, rate: float, ride_out_s: float, idle_s: float, free: int, typical: int
) -> int:
    """Return how many free tokens to hand back; zero below the high-water mark.

    A holder that has drawn nothing for ``ride_out_s`` keeps nothing. ``typical``
    is the reservation of one request; less isn't worth a write.
    """
    if idle_s >= ride_out_s:
        return free
    kept = max(typical, math.ceil(rate * ride_out_s * HIGH_WATER_SHARE))
    excess = free - kept
    return excess if excess >= max(1, typical) else 0
