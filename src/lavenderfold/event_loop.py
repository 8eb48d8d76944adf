"""Turns of the event loop: how long they take, and since when input may have waited.

In one turn the event loop looks for input once and then runs each task that can go on.
What arrives during a turn is seen by the next one.
"""

import logging

import trio

# A wait for input that took less found input that had arrived before.
SHORTEST_WAIT_S = 0.005
# A process runs this soon after the input that it waited for has arrived.
WAKE_UP_S = 0.02
# A turn that takes as long as this is logged.
LOGGED_TURN_S = 0.5
MS_PER_S = 1000

logger = logging.getLogger(__name__)

_turns_of_run: trio.lowlevel.RunVar["EventLoopTurns"] = trio.lowlevel.RunVar("turns")


class EventLoopTurns(trio.abc.Instrument):
    """Measures the turns of one trio event loop. Times are those of the trio clock.

    ``count`` is how many turns have begun, ``input_since`` the time before which
    nothing arrived of the input that this turn found, and ``longest_s`` the duration
    of the longest turn.
    """

    def __init__(self, *, now: float):
        self.count = 0
        self.input_since = now
        self.longest_s = 0.0
        self._began_at = now
        self._ended_at = now
        self._has_waited = False

    def before_io_wait(self, timeout: float) -> None:
        """End a turn."""
        self._ended_at = trio.current_time()
        duration_s = self._ended_at - self._began_at
        self.longest_s = max(self.longest_s, duration_s)
        if duration_s >= LOGGED_TURN_S:
            fields = {"duration_ms": round(duration_s * MS_PER_S)}
            logger.warning("event_loop_stalled", extra=fields)

    def after_io_wait(self, timeout: float) -> None:
        """Begin a turn."""
        now = trio.current_time()
        self._has_waited = now - self._ended_at >= SHORTEST_WAIT_S
        if self._has_waited:
            self.input_since = max(self._ended_at, now - WAKE_UP_S)
        else:
            self.input_since = self._began_at
        self._began_at = now
        self.count += 1

    def was_missing(self, asked_in: int) -> bool:
        """Return whether input that is there now was missing when it was asked for.

        ``asked_in`` is the turn in which that was. If the answer is no, the input may
        have been there before.
        """
        return self.count > asked_in + 1 or self._has_waited


def event_loop_turns() -> EventLoopTurns:
    """Return the turns of the running event loop, measured since the first call."""
    turns = _turns_of_run.get(None)
    if turns is None:
        turns = EventLoopTurns(now=trio.current_time())
        _turns_of_run.set(turns)
        trio.lowlevel.add_instrument(turns)
    return turns
