"""Tells bytes that never become an answer from a target that is only slow."""

# A sound target writes a head or an event at once, so its parts arrive within the
# shortest time for which a repeatable request waits for either.
PARTS_LIMIT_S = 0.6


class PartProgress:
    """The parts of a head or an event that isn't complete yet.

    A target fails if it goes on sending parts of one for ``PARTS_LIMIT_S``. One that
    sends nothing, pauses within a head or sends a long body may only be slow, and its
    request may have been given less time than the target usually takes.

    Times are in seconds of any one clock.
    """

    __slots__ = ("is_stalled", "_begun_at")

    def __init__(self):
        self.is_stalled = False
        self._begun_at: float | None = None

    def record_part(self, *, now: float) -> None:
        """Record that bytes arrived that end in an incomplete head or event."""
        if self._begun_at is None:
            self._begun_at = now
        self.is_stalled = now - self._begun_at >= PARTS_LIMIT_S

    def record_whole(self) -> None:
        """Record that all heads and events that began to arrive are complete."""
        self.is_stalled = False
        self._begun_at = None
