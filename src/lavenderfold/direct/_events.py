"""Server-sent events, cut into whole events as their bytes arrive."""

import msgspec

EVENT_END = b"\n\n"
EVENT_BYTES_LIMIT = 1024 * 1024


class EventTooLongError(Exception):
    """A target's event exceeds EVENT_BYTES_LIMIT."""


class WholeEvents(msgspec.Struct, frozen=True):
    """Complete events as bytes; ``last_id`` is the id of the last one with an id."""

    data: bytes
    count: int
    last_id: str | None


class EventSplitter:
    """Holds back an incomplete event, so that a cut never reaches the caller."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether bytes of an incomplete event are held back."""
        return bool(self._rest)

    def feed(self, data: bytes) -> WholeEvents | None:
        """Take in bytes; return the events that they complete."""
        buffer = self._rest + data
        end = buffer.rfind(EVENT_END)
        if end < 0:
            if len(buffer) > EVENT_BYTES_LIMIT:
                raise EventTooLongError(f"{len(buffer)} bytes without an end")
            self._rest = buffer
            return None
        end += len(EVENT_END)
        whole, self._rest = buffer[:end], buffer[end:]
        return WholeEvents(
            data=whole, count=whole.count(EVENT_END), last_id=_last_id(whole)
        )


def _last_id(events: bytes) -> str | None:
    start = events.rfind(b"\nid:")
    if start >= 0:
        start += 4
    elif events.startswith(b"id:"):
        start = 3
    else:
        return None
    end = events.find(b"\n", start)
    return events[start:end].strip().decode("latin-1")
