"""The key under a lease in the store that shows that this router is alive."""

import logging

import trio

from lavenderfold.logs import log_event
from lavenderfold.store import Store

LIVENESS_PREFIX = "members/alive/"
# With three renewals per lease, two may fail before the lease expires.
RENEWALS_PER_LEASE = 3

logger = logging.getLogger("lavenderfold.router.members")


class LivenessKey:
    """Keeps an incarnation's liveness key in the store while this process runs.

    ``lease`` is the id of the lease that the key is under, or None without one.
    """

    def __init__(self, *, store: Store, lease_s: float):
        self.lease: str | None = None
        self._store = store
        self._lease_s = lease_s

    async def keep(self, incarnation: int) -> None:
        """Keep the key until cancelled; take a new lease when the last one expired."""
        period_s = self._lease_s / RENEWALS_PER_LEASE
        self.lease = None
        while True:
            if self.lease is None:
                self.lease = await self._create_key(key_of_incarnation(incarnation))
            await trio.sleep(period_s)
            if self.lease is None:
                continue
            renewed = await self._store.renew_lease(self.lease)
            if renewed.is_ok() and not renewed.unwrap():
                log_event(logger, "lease_lapsed", incarnation=incarnation)
                self.lease = None

    async def _create_key(self, key: str) -> str | None:
        granted = await self._store.grant_lease(ttl_s=self._lease_s)
        if granted.is_err():
            return None
        lease = granted.unwrap()
        current = await self._store.get(key)
        if current.is_err():
            return None
        version = current.unwrap().version if current.unwrap() is not None else 0
        written = await self._store.put(key, b"", version=version, lease=lease)
        return lease if written.is_ok() else None


def key_of_incarnation(incarnation: int) -> str:
    """Return the liveness key of an incarnation."""
    return f"{LIVENESS_PREFIX}{incarnation}"


def incarnation_of_key(key: str) -> int | None:
    """Return the incarnation of a liveness key, or None if the key has none."""
    text = key.removeprefix(LIVENESS_PREFIX)
    return int(text) if text.isdecimal() else None
