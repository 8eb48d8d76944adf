"""Limits on the number of retries, and the delay before each."""

RETRY_SHARE = 0.1
RETRY_RESERVE = 10.0
BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 2.0
# Routers that a reserve is divided among until more are known, so that a router that
# has just started doesn't take the reserve of a small fleet for itself.
MIN_RESERVE_ROUTERS = 32
MIN_ROUTER_RESERVE = 1.0


class RetryBudget:
    """Limits retries to a share of the requests.

    Works as a token bucket: each request adds ``share`` tokens, up to
    ``reserve``, and each retry takes one. Retries therefore can't multiply the
    load on targets that fail.
    """

    def __init__(self, *, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE):
        self._share = share
        self._reserve = reserve
        self._available = reserve

    def set_limits(self, *, share: float, reserve: float) -> None:
        """Change the limits without refilling the budget."""
        self._available = min(reserve, self._available)
        self._share = share
        self._reserve = reserve

    def record_request(self) -> None:
        """Add the share of a retry that the first attempt of a request earns."""
        self._available = min(self._reserve, self._available + self._share)

    def try_acquire(self) -> bool:
        """Take one retry from the budget, or return False if it is used up."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True

    def release(self) -> None:
        """Return a retry that was acquired and isn't needed any more."""
        self._available = min(self._reserve, self._available + 1.0)


def router_reserve(fleet_reserve: float, router_count: int) -> float:
    """Return one router's part of the retries that all routers have in reserve."""
    return max(
        MIN_ROUTER_RESERVE, fleet_reserve / max(MIN_RESERVE_ROUTERS, router_count)
    )


def backoff_s(
    attempt: int,
    random_number: float,
    *,
    base_s: float = BACKOFF_BASE_S,
    limit_s: float = BACKOFF_LIMIT_S,
) -> float:
    """Return the delay before a retry in seconds.

    The longest delay doubles with ``attempt``, the number of failed attempts
    from 1, up to ``limit_s``. ``random_number`` in [0, 1) places the delay in the
    upper half of that range.
    """
    longest_s = min(limit_s, base_s * 2.0 ** min(attempt - 1, 16))
    return longest_s * (0.5 + random_number / 2)
