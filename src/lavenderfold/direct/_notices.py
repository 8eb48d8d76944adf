"""What the heads of answers say about the availability of their targets."""

import logging

from lavenderfold.direct import _load
from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._metrics import RouterMetrics
from lavenderfold.direct._requests import AnswerHead
from lavenderfold.fleet import Target
from lavenderfold.timers import TimerService

logger = logging.getLogger("lavenderfold.router")


class TargetNotices:
    """Passes the notices of targets to the load tracker, counts and logs them."""

    def __init__(
        self,
        *,
        load_tracker: LoadTracker,
        metrics: RouterMetrics,
        timers: TimerService,
    ):
        self._load_tracker = load_tracker
        self._metrics = metrics
        self._timers = timers

    def record(self, target: Target, head: AnswerHead, *, request_id: str) -> None:
        """Record the head of an answer on a connection to ``target``.

        Connections are kept by incarnation, so an answer to an earlier request on
        one speaks for the same incarnation. A misdirected request has reached
        another one, at an address that is used again.
        """
        if head.is_misdirected:
            return
        fields = {"target": target.id, "born": target.born, "request_id": request_id}
        if head.is_leaving and self._load_tracker.record_leaving(target):
            logger.info("target_leaving", extra=fields)
        if head.pause_s is None:
            return
        self._metrics.record_pause(_pause_value(head))
        if head.asks_pause and self._load_tracker.record_pause(
            target, head.pause_s, now=self._timers.now()
        ):
            pause_s = min(head.pause_s, _load.PAUSE_LIMIT_S)
            extra = {**fields, "pause_ms": round(pause_s * 1000)}
            logger.info("target_pausing", extra=extra)


def _pause_value(head: AnswerHead) -> str:
    """Return how the metrics name the value of a pause."""
    if not head.pause_s >= 0:
        return "invalid"
    return "valid" if head.pause_s <= _load.PAUSE_LIMIT_S else "too_long"
