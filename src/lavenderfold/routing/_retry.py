"""How often and when a request is tried again."""

RETRY_SHARE = 0.1
RETRY_RESERVE = 10.0
BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 2.0


class RetryBudget:
    """Permits retries as a share of recent requests.

    Each request adds ``share`` of a retry, up to ``reserve``; a retry takes
    one. Retries therefore can't multiply the load of targets that fail.
    """

    def __init__(self, *, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE):
        self._share = share
        self._reserve = reserve
        self._available = reserve

    def set_limits(self, *, share: float, reserve: float) -> None:
        """Install other limits; retries that were taken stay taken."""
        self._available = min(reserve, self._available)
        self._share = share
        self._reserve = reserve

    def record_request(self) -> None:
        """Count a first attempt."""
        self._available = min(self._reserve, self._available + self._share)

    def try_acquire(self) -> bool:
        """Take one retry from the budget; returns False if it is used up."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


def backoff_s(
    attempt: int,
    random_number: float,
    *,
    base_s: float = BACKOFF_BASE_S,
    limit_s: float = BACKOFF_LIMIT_S,
) -> float:
    """Return the delay before a retry in seconds.

    ``attempt`` is the number of failed attempts, from 1. ``random_number`` in
    [0, 1) spreads the delay over the upper half of its range.
    """
    longest_s = min(limit_s, base_s * 2.0 ** min(attempt - 1, 16))
    return longest_s * (0.5 + random_number / 2)
