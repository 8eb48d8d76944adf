"""Whether a router still reaches anything but its callers."""

import logging

from lavenderfold.timers import TimerService

# Attempts that must have failed in a row, and the time in which nothing answered.
ISOLATING_FAILURES = 3
SILENCE_S = 1.3
# A router that sends nothing learns nothing, so it tries again after this time.
RETRY_S = 3.0

logger = logging.getLogger("lavenderfold.router")


class Reachability:
    """Counts attempts at targets that reached nobody since the last answer.

    A router that is cut off refuses its callers at once, because other routers
    can serve them.
    """

    def __init__(self, *, timers: TimerService):
        self._timers = timers
        self._heard_at = timers.now()
        self._failed_at = timers.now()
        self._failures = 0
        self._was_isolated = False

    def record_answer(self) -> None:
        """Note that a target or the store answered."""
        self._heard_at = self._timers.now()
        self._failures = 0
        self._log_change()

    def record_failure(self) -> None:
        """Note that a target couldn't be reached."""
        self._failures += 1
        self._failed_at = self._timers.now()
        self._log_change()

    @property
    def is_isolated(self) -> bool:
        """Whether neither targets nor the store were reached lately."""
        if self._failures < ISOLATING_FAILURES:
            return False
        now = self._timers.now()
        return now - self._heard_at >= SILENCE_S and now - self._failed_at < RETRY_S

    def _log_change(self) -> None:
        is_isolated = self.is_isolated
        if is_isolated == self._was_isolated:
            return
        self._was_isolated = is_isolated
        event = "router_isolated" if is_isolated else "router_reconnected"
        logger.warning(event, extra={"failures": self._failures})
