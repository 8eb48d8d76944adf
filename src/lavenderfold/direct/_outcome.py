"""The results of attempts at targets."""

import enum


class AttemptOutcome(enum.Enum):
    """The result of one attempt at a target.

    MISDIRECTED: the request reached another target than the chosen one.
    LOST: the connection broke, or the stream ended within an event.
    SILENT: the target didn't answer in time, and another one takes over.
    SUPERSEDED: it was to take over from a silent target, but that one went on, or the
    request ended first.
    TIMED_OUT: the deadline of the request passed before the answer was complete.
    INVALID: the answer isn't a valid answer to this attempt.
    FAILED: the target's answer is an error response, or can't continue a stream.
    """

    DELIVERED = "delivered"
    NOT_CONNECTED = "not_connected"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    SILENT = "silent"
    SUPERSEDED = "superseded"
    TIMED_OUT = "timed_out"
    INVALID = "invalid"
    FAILED = "failed"

    @property
    def is_certainly_not_run(self) -> bool:
        return self in (
            AttemptOutcome.NOT_CONNECTED,
            AttemptOutcome.REJECTED,
            AttemptOutcome.MISDIRECTED,
        )
