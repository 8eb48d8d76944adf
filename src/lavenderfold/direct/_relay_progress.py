"""How much of an answer was relayed to its caller."""

import msgspec

from lavenderfold.fleet import Route


class RelayProgress(msgspec.Struct):
    """How much of an answer was relayed to the caller, over all attempts.

    ``uncertain_attempts`` counts those that were sent, less those whose targets
    certainly didn't run the request.
    """

    events: int = 0
    last_event_id: str | None = None
    first_byte_at: float | None = None
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    uncertain_attempts: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return self.uncertain_attempts > 0

    def record_events(self, count: int, last_id: str | None, *, now: float) -> None:
        """Record events that were relayed together."""
        if self.last_event_at is None:
            self.first_byte_at = now
        else:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now
        self.events += count
        if last_id is not None:
            self.last_event_id = last_id


def can_be_continued(route: Route, progress: RelayProgress) -> bool:
    """Return whether another target can continue an answer that was relayed in part.

    Without event ids a target would begin the answer again.
    """
    return route.is_resumable and progress.last_event_id is not None
