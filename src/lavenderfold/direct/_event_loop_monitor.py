"""Detection of router overload by the delay of the event loop."""

import logging

import trio

PROBE_PERIOD_S = 0.1
# Turns of the event loop that a request takes from its reading to its answer.
REQUEST_TURNS = 6
# Weight of the newest probe in the moving averages.
DELAY_WEIGHT = 0.3
# Above this delay the router isn't ready and closes connections after an answer;
# its answers are already late.
OVERLOADED_DELAY_S = 0.2
# The same for the time that the turns of one request take.
OVERLOADED_REQUEST_DELAY_S = 0.6
# Above this delay of a task it refuses requests, because its own calls to other
# services time out.
REFUSING_DELAY_S = 0.5
# A state ends below this fraction of its threshold, so that it doesn't flap.
RECOVERY_RATIO = 0.5
MS_PER_S = 1000

logger = logging.getLogger("lavenderfold.router")


class EventLoopMonitor:
    """Measures how late the event loop runs scheduled tasks.

    Without this check, a router whose processor is saturated by one busy
    organisation keeps its callers waiting while other routers in its failure
    domain are idle. ``delay_s`` is how late tasks run, ``request_delay_s`` how long the
    turns of a request take, both on average and in seconds.
    """

    def __init__(self):
        self.delay_s = 0.0
        self.request_delay_s = 0.0
        self.is_overloaded = False
        self.is_refusing = False

    def record_delay(self, delay_s: float) -> None:
        """Record how late a probe ran, in seconds, and update the state."""
        self.delay_s += (delay_s - self.delay_s) * DELAY_WEIGHT
        self.is_refusing = _exceeds(self.delay_s, REFUSING_DELAY_S, self.is_refusing)
        self._update_overload()

    def record_request_delay(self, delay_s: float) -> None:
        """Record how long REQUEST_TURNS turns took, in seconds."""
        self.request_delay_s += (delay_s - self.request_delay_s) * DELAY_WEIGHT
        self._update_overload()

    async def run(self) -> None:
        """Probe the event loop until cancelled."""
        while True:
            due_at = trio.current_time() + PROBE_PERIOD_S
            await trio.sleep_until(due_at)
            began_at = trio.current_time()
            self.record_delay(max(0.0, began_at - due_at))
            for _ in range(REQUEST_TURNS):
                await trio.lowlevel.checkpoint()
            self.record_request_delay(trio.current_time() - began_at)

    def _update_overload(self) -> None:
        was_overloaded = self.is_overloaded
        self.is_overloaded = _exceeds(
            self.delay_s, OVERLOADED_DELAY_S, was_overloaded
        ) or _exceeds(self.request_delay_s, OVERLOADED_REQUEST_DELAY_S, was_overloaded)
        if self.is_overloaded != was_overloaded:
            event = "router_overloaded" if self.is_overloaded else "router_relieved"
            fields = {
                "late_ms": round(self.delay_s * MS_PER_S),
                "request_ms": round(self.request_delay_s * MS_PER_S),
            }
            logger.warning(event, extra=fields)


def _exceeds(delay_s: float, threshold_s: float, did_exceed: bool) -> bool:
    if did_exceed:
        return delay_s > threshold_s * RECOVERY_RATIO
    return delay_s > threshold_s
