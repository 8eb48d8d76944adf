"""Bounds when the bytes of a connection arrived, which is before they are received."""

import trio

from lavenderfold.event_loop import event_loop_turns


class ArrivalBound:
    """The time before which nothing arrived of what is received next.

    A busy event loop receives bytes long after they arrived, and the caller that sent
    them counts its deadline from then on. ``unread_since`` is a time before which the
    connection had no bytes to receive. Times are those of the trio clock.
    """

    __slots__ = ("_asked_at", "_asked_in", "_turns", "_unread_since")

    def __init__(self, *, unread_since: float):
        self._turns = event_loop_turns()
        self._unread_since = unread_since
        self._asked_in = self._turns.count
        self._asked_at = unread_since

    def begin_request(self) -> None:
        """Note that the caller sends nothing before now, as it has just been answered.

        The request of a caller that doesn't wait for answers counts as sent now.
        """
        self._unread_since = trio.current_time()

    def begin_wait(self) -> None:
        """Note that the connection is asked for bytes now."""
        self._asked_in = self._turns.count
        self._asked_at = trio.current_time()

    def arrived_after(self) -> float:
        """Return the bound for bytes that were received since ``begin_wait``."""
        return self._turns.input_since if self._was_empty else self._unread_since

    def waited_s(self) -> float:
        """Return how long the caller was waited for since ``begin_wait``, in seconds.

        That includes the turn that found its bytes, so that a caller which sends many
        small parts isn't charged for each of them.
        """
        return trio.current_time() - self._asked_at if self._was_empty else 0.0

    @property
    def _was_empty(self) -> bool:
        """Whether the connection had nothing to receive when it was asked."""
        return self._turns.was_missing(self._asked_in)
