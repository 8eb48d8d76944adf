"""The caller's end of an answer: server-sent events put together again."""

import hashlib

import msgspec

DONE_EVENT = "done"
HEAD_BYTES = 4096


class AnswerFaultError(Exception):
    """The stream breaks its own rules: a gap, or data that can't be read."""


class ServerSentEvent(msgspec.Struct, frozen=True):
    """One event; ``id`` is empty if the event has none."""

    id: str
    event: str
    data: str


class DoneEvent(msgspec.Struct, frozen=True):
    """What the router states about the whole answer.

    Only a streamed answer states its length, only a model's its tokens.
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
        self._rest = b""

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Return the events that ``data`` completes."""
        blocks = (self._rest + data).replace(b"\r\n", b"\n").split(b"\n\n")
        self._rest = blocks.pop()
        return [_parse_event(block) for block in blocks if block.strip()]


class Answer:
    """The received part of one answer.

    Text that a resumed stream repeats is dropped; a gap is a fault.
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

    def add(self, event: ServerSentEvent) -> bool:
        """Take an event; return whether it brought new text.

        An event's id is the offset in bytes after its text. Raises
        AnswerFaultError.
        """
        try:
            if event.event == DONE_EVENT:
                self.done = msgspec.json.decode(event.data, type=DoneEvent)
                return False
            data = msgspec.json.decode(event.data, type=_TextEvent).text.encode()
            return self._add_text(event.id, int(event.id) - len(data), data)
        except (msgspec.DecodeError, ValueError) as error:
            raise AnswerFaultError(f"event {event.id!r}: {error}") from error

    def add_whole(self, data: bytes, done: DoneEvent) -> None:
        """Take an answer that came in one piece."""
        self._append(data)
        self.done = done

    def _add_text(self, event_id: str, offset: int, data: bytes) -> bool:
        if offset > self.length:
            raise AnswerFaultError(f"offset {offset} after {self.length} bytes")
        new = data[self.length - offset :]
        self.last_event_id = event_id
        self._append(new)
        return bool(new)

    def _append(self, data: bytes) -> None:
        self.length += len(data)
        self.head += data[: max(0, HEAD_BYTES - len(self.head))]
        self._digest.update(data)


def _parse_event(block: bytes) -> ServerSentEvent:
    values = {"id": "", "event": "message", "data": ""}
    for line in block.decode("utf-8").split("\n"):
        name, _, value = line.partition(":")
        if name in values:
            values[name] = value.removeprefix(" ")
    return ServerSentEvent(**values)
