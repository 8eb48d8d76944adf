"""Parses server-sent events and reassembles the answer that they carry."""

import hashlib

import msgspec

DONE_EVENT = "done"
HEAD_LIMIT_BYTES = 4096


class AnswerError(Exception):
    """The answer is malformed: bytes are missing, or its data can't be decoded."""


class ServerSentEvent(msgspec.Struct, frozen=True):
    """One server-sent event; ``id`` is empty if the event has none."""

    id: str
    event: str
    data: str


class DoneEvent(msgspec.Struct, frozen=True):
    """The router's description of a complete answer.

    ``length`` is None unless the answer is streamed, and ``tokens`` is None unless
    it comes from a model.
    """

    digest: str
    request_id: str
    length: int | None = None
    tokens: int | None = None


class _TextEvent(msgspec.Struct, frozen=True):
    text: str


class EventParser:
    """Splits a byte stream into server-sent events."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Return the events that ``data`` completes."""
        blocks = (self._incomplete + data).replace(b"\r\n", b"\n").split(b"\n\n")
        self._incomplete = blocks.pop()
        return [_parse_event(block) for block in blocks if block.strip()]


class ReceivedAnswer:
    """The part of one answer that was received so far.

    Text that a resumed stream sends again is dropped; missing bytes raise
    AnswerError.
    """

    def __init__(self) -> None:
        self.done: DoneEvent | None = None
        self.last_event_id = ""
        self.length = 0
        self.head = b""
        self._digest = hashlib.sha256()

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the received text, in hexadecimal."""
        return self._digest.hexdigest()

    def add_event(self, event: ServerSentEvent) -> bool:
        """Add an event's text; return whether any of it was new.

        The id of a text event is the offset in bytes of the end of its text in
        the answer. Raises AnswerError.
        """
        try:
            if event.event == DONE_EVENT:
                self.done = msgspec.json.decode(event.data, type=DoneEvent)
                return False
            data = msgspec.json.decode(event.data, type=_TextEvent).text.encode()
            return self._add_text(event.id, int(event.id) - len(data), data)
        except (msgspec.DecodeError, ValueError) as error:
            raise AnswerError(f"event {event.id!r}: {error}") from error

    def add_unstreamed(self, data: bytes, done: DoneEvent) -> None:
        """Add the whole body of an answer that was not streamed."""
        self._append(data)
        self.done = done

    def _add_text(self, event_id: str, offset: int, data: bytes) -> bool:
        if offset > self.length:
            raise AnswerError(f"offset {offset} after {self.length} bytes")
        new = data[self.length - offset :]
        self.last_event_id = event_id
        self._append(new)
        return bool(new)

    def _append(self, data: bytes) -> None:
        self.length += len(data)
        self.head += data[: max(0, HEAD_LIMIT_BYTES - len(self.head))]
        self._digest.update(data)


def _parse_event(block: bytes) -> ServerSentEvent:
    values = {"id": "", "event": "message", "data": ""}
    for line in block.decode("utf-8").split("\n"):
        name, _, value = line.partition(":")
        if name in values:
            values[name] = value.removeprefix(" ")
    return ServerSentEvent(**values)
