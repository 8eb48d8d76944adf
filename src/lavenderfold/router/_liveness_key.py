"""This router's sign of life in the store: a key under a lease."""

import logging

import trio

from lavenderfold.logs import log_event
from lavenderfold.store import Store

LIVENESS_PREFIX = "members/alive/"
# Two renewals may fail before the lease lapses.
RENEWALS_PER_LEASE = 3

logger = logging.getLogger("lavenderfold.router.members")


class LivenessKey:
    """Keeps a key for an incarnation as long as this process runs."""

    def __init__(self, *, store: Store, lease_s: float):
        self.lease: str | None = None
        self._store = store
        self._lease_s = lease_s

    async def keep(self, incarnation: int) -> None:
        """Keep the key until cancelled; takes a new lease when one lapsed."""
        period_s = self._lease_s / RENEWALS_PER_LEASE
        self.lease = None
        while True:
            if self.lease is None:
                self.lease = await self._open(key_of_incarnation(incarnation))
            await trio.sleep(period_s)
            if self.lease is None:
                continue
            renewed = await self._store.renew_lease(self.lease)
            if renewed.is_ok() and not renewed.unwrap():
                log_event(logger, "lease_lapsed", incarnation=incarnation)
                self.lease = None

    async def _open(self, key: str) -> str | None:
        granted = await self._store.grant_lease(ttl_s=self._lease_s)
        if granted.is_err():
            return None
        lease = granted.unwrap()
        found = await self._store.get(key)
        if found.is_err():
            return None
        version = found.unwrap().version if found.unwrap() is not None else 0
        written = await self._store.put(key, b"", version=version, lease=lease)
        return lease if written.is_ok() else None


def key_of_incarnation(incarnation: int) -> str:
    """Return the store's key of an incarnation's sign of life."""
    return f"{LIVENESS_PREFIX}{incarnation}"


def incarnation_of_key(key: str) -> int | None:
    """Return the incarnation that a key stands for."""
    text = key.removeprefix(LIVENESS_PREFIX)
    return int(text) if text.isdecimal() else None
