"""The limits on callers' requests that hold, while configurations change them."""

import msgspec

from lavenderfold.fleet import CallerLimits
from lavenderfold.http import IDLE_GRACE_S, ServerLimits


class _PastTimeout(msgspec.Struct, frozen=True):
    """An idle timeout, and when it was replaced."""

    timeout_s: float
    replaced_at: float


class CallerLimitHistory:
    """The limits in force, with the idle timeouts that were in force lately.

    Callers learn of a lowered idle timeout up to IDLE_GRACE_S later, so the longest of
    the last ones holds. Times are in seconds of the router's monotonic clock.
    """

    def __init__(self):
        self._limits = ServerLimits()
        self._is_configured = False
        self._past_timeouts: list[_PastTimeout] = []

    def set(self, limits: CallerLimits, *, now: float) -> None:
        """Put the limits of a new configuration in force."""
        self._drop_old(now)
        past = _PastTimeout(self._limits.idle_timeout_s, now)
        if self._is_configured and limits.idle_timeout_s < past.timeout_s:
            self._past_timeouts.append(past)
        self._is_configured = True
        self._limits = ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            idle_timeout_s=limits.idle_timeout_s,
            read_timeout_s=limits.header_timeout_s,
        )

    def in_force(self, now: float) -> ServerLimits:
        """Return the limits for a connection at this time."""
        if not self._past_timeouts:
            return self._limits
        self._drop_old(now)
        timeouts_s = [each.timeout_s for each in self._past_timeouts]
        longest_s = max(timeouts_s, default=0.0)
        return msgspec.structs.replace(
            self._limits, idle_timeout_s=max(longest_s, self._limits.idle_timeout_s)
        )

    def _drop_old(self, now: float) -> None:
        self._past_timeouts = [
            each
            for each in self._past_timeouts
            if now - each.replaced_at < IDLE_GRACE_S
        ]
