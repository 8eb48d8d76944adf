"""A shared store that reads large prefixes from a hub in the same region."""

import logging

import msgspec

from lavenderfold.fleet._hub import HUB_PATH, FollowAnswer, FollowCall
from lavenderfold.http import CallFailedError, PeerClient
from lavenderfold.shared import (
    Change,
    Changes,
    ConditionalWrite,
    Listing,
    RelaySelector,
    SharedStore,
)

CONNECT_TIMEOUT_S = 0.3
# A hub must answer within this time after the wait that it was asked for.
ANSWER_MARGIN_S = 0.6

logger = logging.getLogger(__name__)


class RegionalStore:
    """A ``SharedStore`` that reads ``prefixes`` from a hub.

    All other calls go to ``store``, as do reads of ``prefixes`` if the hub fails.
    """

    def __init__(
        self, *, store: SharedStore, hubs: RelaySelector, prefixes: frozenset[str]
    ):
        self._store = store
        self._hubs = hubs
        self._prefixes = prefixes
        self._calls = PeerClient(connect_timeout_s=CONNECT_TIMEOUT_S)

    async def list_items(self, prefix: str) -> Listing:
        answer = await self._call_hub(FollowCall(prefix, 0, 0.0))
        if answer is None:
            return await self._store.list_items(prefix)
        return Listing(items=answer.items, revision=answer.revision)

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        answer = await self._call_hub(FollowCall(prefix, after, wait_s))
        if answer is None:
            return await self._store.wait_changes(prefix, after=after, wait_s=wait_s)
        changes = [Change(item.key, item.revision, item) for item in answer.items]
        return Changes(changes=changes, revision=answer.revision)

    async def write(self, writes: list[ConditionalWrite]) -> int:
        return await self._store.write(writes)

    async def _call_hub(self, call: FollowCall) -> FollowAnswer | None:
        """Return the hub's answer, or None if the store must be used instead."""
        hub = self._hubs.best() if call.prefix in self._prefixes else None
        if hub is None:
            return None
        try:
            body = await self._calls.post(
                hub.address,
                HUB_PATH,
                msgspec.msgpack.encode(call),
                timeout_s=call.wait_s + ANSWER_MARGIN_S,
            )
            answer = msgspec.msgpack.decode(body, type=FollowAnswer)
        except (CallFailedError, msgspec.DecodeError) as error:
            self._hubs.record_failure(hub)
            fields = {"address": str(hub.address), "cause": str(error)}
            logger.info("hub_failed", extra={"prefix": call.prefix, **fields})
            return None
        self._hubs.record_success(hub)
        return answer
