"""Encoding of answers for callers: JSON, plain HTTP and server-sent events."""

import codecs

import msgspec

from lavenderfold.http import HttpRequest, HttpResponse, json_response
from lavenderfold.messages import RunEnded
from lavenderfold.outcomes import Ran
from lavenderfold.router._refusals import request_error

MAX_OFFSET_DIGITS = 15
DEFAULT_CONTENT_TYPE = "application/octet-stream"
EVENT_STREAM_HEADERS = [
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
]


class EventEncoder:
    """Encodes an answer as server-sent events.

    The id of an event is the byte offset in the answer after the event's text. A
    character that is split between two parts is sent with the later one.
    """

    def __init__(self, *, offset: int = 0):
        self._offset = offset
        self._decoder = codecs.getincrementaldecoder("utf-8")("replace")

    def encode(self, data: bytes) -> bytes:
        """Return the event for the next bytes; b"" if no character is complete."""
        text = self._decoder.decode(data)
        self._offset += len(data)
        if not text:
            return b""
        incomplete_bytes = len(self._decoder.getstate()[0])
        body = msgspec.json.encode({"text": text})
        return b"id: %d\ndata: %b\n\n" % (self._offset - incomplete_bytes, body)

    def encode_end(self, request_id: str, outcome: Ran) -> bytes:
        """Return the final event, which marks the answer as complete."""
        body = msgspec.json.encode(
            {
                "length": outcome.length,
                "digest": outcome.digest,
                "tokens": outcome.tokens,
                "request_id": request_id,
            }
        )
        return b"event: done\ndata: %b\n\n" % body


def completion_response(request_id: str, outcome: Ran, body: bytes) -> HttpResponse:
    """Return a model's whole answer as JSON.

    Besides ``id``, ``text`` and ``usage`` it has the fields of a stream's last event.
    """
    fields = {
        "id": request_id,
        "text": body.decode("utf-8", "replace"),
        "digest": outcome.digest,
        "length": outcome.length,
        "tokens": outcome.tokens,
        "request_id": request_id,
        "usage": {"tokens": outcome.tokens},
    }
    response = json_response(200, fields)
    response.headers.append(("x-request-id", request_id))
    return response


def application_response(
    request_id: str, outcome: Ran, ended: RunEnded, body: bytes
) -> HttpResponse:
    """Return an application's answer with the status and body that it gave."""
    headers = [
        ("content-type", ended.content_type or DEFAULT_CONTENT_TYPE),
        ("x-request-id", request_id),
        ("x-answer-digest", outcome.digest),
    ]
    return HttpResponse(status=ended.status or 200, headers=headers, body=body)


def last_event_offset(request: HttpRequest) -> int:
    """Return the number of bytes that the caller already has (Last-Event-ID)."""
    text = request.header("last-event-id")
    if text is None:
        return 0
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_OFFSET_DIGITS:
        raise request_error("Last-Event-ID must be an offset in bytes")
    return int(text)
