"""Whether a router has more work than its processor can do."""

import logging

import trio

PROBE_S = 0.1
# The lateness follows the probes with this weight of the newest.
LATE_WEIGHT = 0.3
# Above this a router takes no new connections; its answers are already late.
OVERLOADED_LATE_S = 0.2
# Above this it refuses requests, because other calls of its own time out.
REFUSING_LATE_S = 0.5
# Back to normal below this part of a threshold, so that the state doesn't flap.
RELIEVED_SHARE = 0.5

logger = logging.getLogger("lavenderfold.router")


class EventLoopMonitor:
    """Measures how late the event loop runs what is due.

    A machine that is choked by one hot organisation keeps its callers waiting
    while others in its failure domain are idle.
    """

    def __init__(self):
        self.late_s = 0.0
        self.is_overloaded = False
        self.is_refusing = False

    def record_delay(self, late_s: float) -> None:
        """Take in how late a probe ran, in seconds."""
        self.late_s += (late_s - self.late_s) * LATE_WEIGHT
        was_overloaded = self.is_overloaded
        self.is_overloaded = self._exceeds(OVERLOADED_LATE_S, self.is_overloaded)
        self.is_refusing = self._exceeds(REFUSING_LATE_S, self.is_refusing)
        if self.is_overloaded != was_overloaded:
            event = "router_overloaded" if self.is_overloaded else "router_relieved"
            logger.warning(event, extra={"late_ms": round(self.late_s * 1000)})

    async def run(self) -> None:
        """Probe the event loop until cancelled."""
        while True:
            due_at = trio.current_time() + PROBE_S
            await trio.sleep_until(due_at)
            self.record_delay(max(0.0, trio.current_time() - due_at))

    def _exceeds(self, threshold_s: float, did_exceed: bool) -> bool:
        if did_exceed:
            return self.late_s > threshold_s * RELIEVED_SHARE
        return self.late_s > threshold_s
