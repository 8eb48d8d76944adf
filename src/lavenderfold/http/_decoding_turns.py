"""Turns of the connections whose requests take long to decode.

What one receive returns can hold thousands of small chunks, or one long head. Decoded
without a pause, they would keep the tasks of all other connections waiting.
"""

import trio

_turns_of_run: trio.lowlevel.RunVar["DecodingTurns"] = trio.lowlevel.RunVar("decoding")


class DecodingTurns:
    """Lets one connection at a time decode a slice, in the order of their asking.

    There is at most one slice in a turn of the event loop, whatever the number of
    connections that wait for one.
    """

    __slots__ = ("_lock",)

    def __init__(self):
        self._lock = trio.Lock()

    async def wait(self) -> None:
        """Wait for the turn of the caller, which may decode a slice after it."""
        # The lock is handed on from one turn of the event loop to the next.
        async with self._lock:
            pass


def decoding_turns() -> DecodingTurns:
    """Return the turns that all connections of the running event loop share."""
    turns = _turns_of_run.get(None)
    if turns is None:
        turns = DecodingTurns()
        _turns_of_run.set(turns)
    return turns
