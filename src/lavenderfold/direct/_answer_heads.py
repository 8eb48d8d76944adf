"""What the head of a target's answer says of relaying it."""

from lavenderfold.direct._requests import AnswerHead

EVENT_STREAM_TYPE = "text/event-stream"
# Headers of the connection or of the message framing, which aren't relayed.
FRAMING_HEADERS = frozenset(
    ("connection", "content-length", "keep-alive", "transfer-encoding", "date")
)


def is_event_stream(head: AnswerHead) -> bool:
    """Return whether the body is a stream of events."""
    return any(
        name == "content-type" and value.startswith(EVENT_STREAM_TYPE)
        for name, value in head.headers
    )


def relayed_headers(head: AnswerHead) -> list[tuple[str, str]]:
    """Return the headers that the caller gets as the target sent them."""
    return [item for item in head.headers if item[0] not in FRAMING_HEADERS]
