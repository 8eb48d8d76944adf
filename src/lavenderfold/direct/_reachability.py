"""Detection of a router that is cut off from both targets and store."""

import logging

from lavenderfold.timers import TimerService

# A router is isolated after this many consecutive failed attempts, if nothing has
# answered for this time.
ISOLATION_FAILURES = 3
SILENCE_S = 1.3
# An isolated router refuses requests, so it wouldn't notice that targets are
# reachable again. This long after the last failure it accepts requests again.
RETRY_S = 3.0

logger = logging.getLogger("lavenderfold.router")


class Reachability:
    """Counts attempts that couldn't reach a target since the last answer.

    An isolated router refuses its callers at once, because other routers can
    serve them.
    """

    def __init__(self, *, timers: TimerService):
        self._timers = timers
        self._answered_at = timers.now()
        self._failed_at = timers.now()
        self._failures = 0
        self._was_isolated = False

    def record_answer(self) -> None:
        """Record that a target or the store answered."""
        self._answered_at = self._timers.now()
        self._failures = 0
        self._log_change()

    def record_failure(self) -> None:
        """Record that a target couldn't be reached."""
        self._failures += 1
        self._failed_at = self._timers.now()
        self._log_change()

    @property
    def is_isolated(self) -> bool:
        """Whether neither the targets nor the store have answered lately."""
        if self._failures < ISOLATION_FAILURES:
            return False
        now = self._timers.now()
        return now - self._answered_at >= SILENCE_S and now - self._failed_at < RETRY_S

    def _log_change(self) -> None:
        is_isolated = self.is_isolated
        if is_isolated == self._was_isolated:
            return
        self._was_isolated = is_isolated
        event = "router_isolated" if is_isolated else "router_reconnected"
        logger.warning(event, extra={"failures": self._failures})
