"""Decides whether the ledger is unavailable, from the orders of one router."""

# An order takes about 25 ms, and up to 0.8 s right after all processes restarted. Once
# none has been confirmed for this time, the ledger counts as unavailable.
LEDGER_UNAVAILABLE_S = 1.0
# One failure may be a short disturbance that the next order, 0.25 s later, survives.
FAILED_ORDERS = 2
# An outage is expected to last for at least this time more.
MIN_EXPECTED_S = 1.0
# An outage is expected to last for this time in all. A refused caller retries only
# once, so a late retry is better than one within the outage.
USUAL_OUTAGE_S = 6.0


class LedgerOutage:
    """The time without a confirmed order, and what was refused because of it.

    It begins with the first order that isn't confirmed, also while that order is in
    progress: an order tries several relays and the store in turn, which takes seconds
    if none of them responds. Times are those of the caller's clock.
    """

    __slots__ = ("refused", "is_reported", "_since", "_failures")

    def __init__(self):
        self.refused = 0
        self.is_reported = False
        self._since: float | None = None
        self._failures = 0

    def record_start(self, now: float) -> None:
        """Record that an order is sent."""
        if self._since is None:
            self._since = now

    def record_failure(self) -> None:
        """Record that an order wasn't confirmed on any path."""
        self._failures += 1

    def end(self) -> None:
        """Forget the outage: an order was confirmed, or none is left to confirm."""
        self.refused = 0
        self.is_reported = False
        self._since = None
        self._failures = 0

    def is_known(self, now: float) -> bool:
        """Return whether requests no longer wait for a grant."""
        if self._since is None:
            return False
        return self._failures >= FAILED_ORDERS or self.remaining_s(now) <= 0

    def remaining_s(self, now: float) -> float:
        """Return the time until the ledger counts as unavailable, at the latest."""
        if self._since is None:
            return LEDGER_UNAVAILABLE_S
        return self._since + LEDGER_UNAVAILABLE_S - now

    def elapsed_s(self, now: float) -> float:
        """Return how long no order has been confirmed; 0 if none is unconfirmed."""
        return 0.0 if self._since is None else now - self._since

    def expected_rest_s(self, now: float) -> float | None:
        """Return how much longer a known outage is expected to last, or None."""
        if not self.is_known(now):
            return None
        elapsed_s = self.elapsed_s(now)
        return max(MIN_EXPECTED_S, elapsed_s, USUAL_OUTAGE_S - elapsed_s)
