"""A record of recent routing decisions, for the log and for operators."""

import logging
import time
from collections import OrderedDict

import msgspec

from lavenderfold.logs import log_event

EVENTS_PER_REQUEST_LIMIT = 64

logger = logging.getLogger("lavenderfold.router")


def outcome_fields(outcome: msgspec.Struct) -> dict[str, object]:
    """Return the event fields that describe an outcome, with tokens if it ran."""
    ran_outcome = getattr(outcome, "outcome", outcome)
    return {
        "outcome": type(outcome).__name__,
        "tokens": getattr(ran_outcome, "tokens", None),
        "reason": getattr(outcome, "reason", None),
        "detail": getattr(outcome, "detail", None) or None,
    }


class DecisionLog:
    """Logs each event of a request and keeps those of the last ``limit`` requests."""

    def __init__(self, *, limit: int):
        self._limit = limit
        self._events_by_id: OrderedDict[str, list[dict]] = OrderedDict()

    def record(self, request_id: str, event: str, **fields: object) -> None:
        """Log an event of a request and keep it."""
        log_event(logger, event, request_id=request_id, **fields)
        events = self._events_by_id.setdefault(request_id, [])
        if len(events) >= EVENTS_PER_REQUEST_LIMIT:
            # Keep the first event, which describes the request, and the last ones,
            # which show how it ended.
            del events[1]
        given_fields = {
            name: value for name, value in fields.items() if value is not None
        }
        events.append({"time": time.time(), "event": event, **given_fields})
        while len(self._events_by_id) > self._limit:
            self._events_by_id.popitem(last=False)

    def events(self, request_id: str) -> list[dict] | None:
        """Return the events of a request, oldest first, or None if none are kept."""
        return self._events_by_id.get(request_id)
