"""The record of recent decisions: one log line each, and kept for operators."""

import logging
import time
from collections import OrderedDict

import msgspec

from lavenderfold.logs import log_event

EVENTS_PER_REQUEST_LIMIT = 64

logger = logging.getLogger("lavenderfold.router")


def outcome_fields(outcome: msgspec.Struct) -> dict[str, object]:
    """Return the fields of an event that tell an outcome; tokens if it ran."""
    ran = getattr(outcome, "outcome", outcome)
    return {
        "outcome": type(outcome).__name__,
        "tokens": getattr(ran, "tokens", None),
        "reason": getattr(outcome, "reason", None),
        "detail": getattr(outcome, "detail", None) or None,
    }


class DecisionLog:
    """Logs decisions and keeps those of the last ``limit`` requests."""

    def __init__(self, *, limit: int):
        self._limit = limit
        self._events_by_id: OrderedDict[str, list[dict]] = OrderedDict()

    def record(self, request_id: str, event: str, **fields: object) -> None:
        """Log an event of a request and keep it."""
        log_event(logger, event, request_id=request_id, **fields)
        events = self._events_by_id.setdefault(request_id, [])
        if len(events) >= EVENTS_PER_REQUEST_LIMIT:
            # The first event tells what was asked, the last ones how it ended.
            del events[1]
        kept = {name: value for name, value in fields.items() if value is not None}
        events.append({"time": time.time(), "event": event, **kept})
        while len(self._events_by_id) > self._limit:
            self._events_by_id.popitem(last=False)

    def events(self, request_id: str) -> list[dict] | None:
        """Return the events of a request, the oldest first, if still kept."""
        return self._events_by_id.get(request_id)
