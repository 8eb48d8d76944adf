"""Messages that deliver a run's answer to its subscriptions."""

import re

import msgspec

from lavenderfold.agent._runs import RunRecord, Subscription
from lavenderfold.messages import Frame, RunAccepted, RunEnded, RunUnknown

FRAME_BYTES_LIMIT = 256 * 1024


class Delivery(msgspec.Struct, frozen=True):
    """A message for the link with number ``link``."""

    link: int
    message: RunAccepted | Frame | RunEnded | RunUnknown


def take_new_frames(record: RunRecord, subscription: Subscription) -> list[Delivery]:
    """Return frames for the unsent part of an answer and advance ``position``."""
    frames = []
    while subscription.position < len(record.answer):
        data, tokens = record.answer.read(subscription.position, FRAME_BYTES_LIMIT)
        frame = Frame(
            run_id=subscription.name,
            offset=subscription.position,
            data=data,
            tokens=tokens,
        )
        frames.append(Delivery(subscription.link, frame))
        subscription.position += len(data)
    return frames


def make_end_messages(record: RunRecord) -> list[Delivery]:
    """Return a ``RunEnded`` message for each subscription of an ended run."""
    return [
        Delivery(
            subscription.link,
            RunEnded(
                run_id=subscription.name,
                outcome=record.outcome,
                status=record.status,
                content_type=record.content_type,
            ),
        )
        for subscription in record.subscriptions
    ]


def truncate_to_words(data: bytes, max_words: int) -> bytes:
    """Return the first ``max_words`` words with the white space that follows them."""
    pattern = rb"(?:\s*\S+\s*){0,%d}" % max_words
    return re.match(pattern, data).group()
