"""An in-memory store with the faults of the platform's key-value service."""

import trio
from result import Err, Ok

from lavenderfold.store import (
    AnswerLostError,
    ConflictError,
    StoreUnavailableError,
    VersionedValue,
)


class MemoryStore:
    """An in-memory store that can lose messages or be down.

    While ``down`` is set, all calls fail. Each item of ``losses`` applies to one write:
    "after" (the write takes effect and its answer is lost), "before" (the request is
    lost) or "" (no fault).
    """

    def __init__(self):
        self.value_by_key: dict[str, VersionedValue] = {}
        self.down = False
        self.losses: list[str] = []
        self.calls = 0
        self.writes_in_flight = 0
        self.most_writes_in_flight = 0

    async def get(self, key):
        await self._count_call(key)
        if self.down:
            return Err(StoreUnavailableError(key, "down"))
        return Ok(self.value_by_key.get(key))

    async def put(self, key, value, *, version, lease=None):
        self.writes_in_flight += 1
        self.most_writes_in_flight = max(
            self.most_writes_in_flight, self.writes_in_flight
        )
        await self._count_call(key)
        self.writes_in_flight -= 1
        return self.write(key, value, version=version)

    def write(self, key, value, *, version):
        if self.down:
            return Err(StoreUnavailableError(key, "down"))
        loss = self.losses.pop(0) if self.losses else ""
        if loss == "before":
            return Err(AnswerLostError(key, "request lost"))
        known = self.value_by_key.get(key)
        actual = known.version if known else 0
        if actual != version:
            return Err(ConflictError(key, expected=version, actual=actual))
        self.value_by_key[key] = VersionedValue(value=value, version=version + 1)
        if loss == "after":
            return Err(AnswerLostError(key, "response lost"))
        return Ok(version + 1)

    async def _count_call(self, key):
        self.calls += 1
        await trio.sleep(0.001)
