"""The era of the shared store, which changes when it returns from an older copy."""

import logging

import trio

logger = logging.getLogger(__name__)


class StoreEra:
    """The newest era that responses of the store have stated; 0 before the first one.

    A new era means that the store has lost what was written lately, and gives
    revisions out again. All clients of the store in one process share this object.
    """

    __slots__ = ("current", "_changed")

    def __init__(self):
        self.current = 0
        self._changed = trio.Event()

    def record(self, era: int) -> bool:
        """Note the era of a response; return False if the response is outdated."""
        if era < self.current:
            return False
        if era > self.current:
            is_first = self.current == 0
            if not is_first:
                fields = {"era": era, "earlier": self.current}
                logger.warning("store_era_began", extra=fields)
            self.current = era
            self._changed.set()
            self._changed = trio.Event()
        return True

    async def wait_for_later(self, era: int) -> int:
        """Wait for an era after ``era`` and return it."""
        while self.current <= era:
            await self._changed.wait()
        return self.current
