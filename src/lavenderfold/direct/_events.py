"""Splits a stream of server-sent events into complete events."""

import msgspec

from lavenderfold.direct._answer_memory import (
    AnswerBuffer,
    AnswerMemory,
    AnswerTooLongError,
)

EVENT_SEPARATOR = b"\n\n"
EVENT_BYTES_LIMIT = 1024 * 1024
# Each part costs processor time, however short it is.
EVENT_PARTS_LIMIT = 16 * 1024
# No line of an event begins like the status line of an HTTP response.
STATUS_LINE_PREFIX = b"HTTP/1."


class InvalidEventError(Exception):
    """A target sent bytes that can't be an event, or too much without its end."""


class CompleteEvents(msgspec.Struct, frozen=True):
    """One or more complete events in their encoded form.

    ``first_id`` and ``last_id`` are the first and the last event id among them, or
    None if no event has an id.
    """

    data: bytes
    count: int
    first_id: str | None
    last_id: str | None


class EventSplitter:
    """Returns events once they are complete.

    An incomplete event is held back in ``buffer``, so that the caller never receives
    part of an event if the target's connection breaks.
    """

    __slots__ = ("_buffer", "_parts")

    def __init__(self, *, buffer: AnswerBuffer | None = None):
        self._buffer = AnswerMemory().open_buffer() if buffer is None else buffer
        self._parts = 0

    @property
    def has_partial_event(self) -> bool:
        """Return whether the bytes received so far end in an incomplete event."""
        return len(self._buffer) > 0

    def feed(self, data: bytes) -> CompleteEvents | None:
        """Add received bytes; return the events that they complete, if any.

        Raises InvalidEventError.
        """
        buffer = self._buffer
        # Only the new bytes are searched, or a long event in short parts would take
        # time by the square of its length. The separator may have begun before them.
        start = max(0, len(buffer) - len(EVENT_SEPARATOR) + 1)
        try:
            buffer.append(data)
        except AnswerTooLongError as error:
            raise InvalidEventError(str(error)) from error
        end = buffer.data.rfind(EVENT_SEPARATOR, start)
        if end < 0:
            self._parts += 1
            if len(buffer) > EVENT_BYTES_LIMIT or self._parts > EVENT_PARTS_LIMIT:
                raise InvalidEventError(
                    f"{len(buffer)} bytes in {self._parts} parts without the end of "
                    "the event"
                )
            return None
        self._parts = 0
        end += len(EVENT_SEPARATOR)
        complete = buffer.take(end)
        if _has_status_line(complete):
            raise InvalidEventError("a response head stands between the events")
        return CompleteEvents(
            data=complete,
            count=complete.count(EVENT_SEPARATOR),
            first_id=_first_event_id(complete),
            last_id=_last_event_id(complete),
        )


def _has_status_line(events: bytes) -> bool:
    return events.startswith(STATUS_LINE_PREFIX) or b"\n" + STATUS_LINE_PREFIX in events


def _first_event_id(events: bytes) -> str | None:
    start = 0 if events.startswith(b"id:") else events.find(b"\nid:") + 1
    return _read_id(events, start)


def _last_event_id(events: bytes) -> str | None:
    return _read_id(events, events.rfind(b"\nid:") + 1)


def _read_id(events: bytes, start: int) -> str | None:
    """Return the id in the line that begins at ``start``, or None if it has none."""
    if not events.startswith(b"id:", start):
        return None
    end = events.find(b"\n", start)
    return events[start + len(b"id:") : end].strip().decode("latin-1")


def is_later_id(event_id: str, earlier_id: str) -> bool:
    """Return whether an event comes after another one of its stream.

    Ids that aren't numbers have no order; they only have to differ.
    """
    if not (event_id.isdecimal() and earlier_id.isdecimal()):
        return event_id != earlier_id
    number, earlier_number = event_id.lstrip("0"), earlier_id.lstrip("0")
    return (len(number), number) > (len(earlier_number), earlier_number)
