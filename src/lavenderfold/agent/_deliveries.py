"""The messages that carry a run's answer to its readers."""

import re

import msgspec

from lavenderfold.agent._runs import RunRecord, Subscription
from lavenderfold.messages import Frame, RunAccepted, RunEnded, RunUnknown

FRAME_BYTES_LIMIT = 256 * 1024


class Delivery(msgspec.Struct, frozen=True):
    """A message for one link."""

    link: int
    message: RunAccepted | Frame | RunEnded | RunUnknown


def new_frames(record: RunRecord, reader: Subscription) -> list[Delivery]:
    """Return the parts that a reader lacks and note that it has them."""
    frames = []
    while reader.position < len(record.answer):
        data, tokens = record.answer.part(reader.position, FRAME_BYTES_LIMIT)
        frame = Frame(
            run_id=reader.name, offset=reader.position, data=data, tokens=tokens
        )
        frames.append(Delivery(reader.link, frame))
        reader.position += len(data)
    return frames


def end_messages(record: RunRecord) -> list[Delivery]:
    """Return the end of a run for each of its readers."""
    return [
        Delivery(
            reader.link,
            RunEnded(
                run_id=reader.name,
                outcome=record.outcome,
                status=record.status,
                content_type=record.content_type,
            ),
        )
        for reader in record.subscriptions
    ]


def first_words(data: bytes, limit: int) -> bytes:
    """Return the first ``limit`` words with the white space that follows them."""
    pattern = rb"(?:\s*\S+\s*){0,%d}" % limit
    return re.match(pattern, data).group()
