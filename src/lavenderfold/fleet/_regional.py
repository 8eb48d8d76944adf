"""A shared store that reads what all routers follow from a hub in the same region."""

import logging

import msgspec

from lavenderfold.fleet._hub import HUB_PATH, FollowAnswer, FollowCall
from lavenderfold.http import CallFailedError, PeerClient
from lavenderfold.shared import (
    Change,
    Changes,
    ConditionalWrite,
    Listing,
    ListingWait,
    RelaySelector,
    SharedStore,
)

CONNECT_TIMEOUT_S = 0.3
# A hub must answer within this time after the wait that it was asked for.
ANSWER_MARGIN_S = 0.6
# A hub that is paused is found by the end of this wait and the margin.
MAX_HUB_WAIT_S = 0.7

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

    async def list_items(
        self, prefix: str, *, wait: ListingWait | None = None
    ) -> Listing:
        answer = await self._call_hub(FollowCall(prefix, 0, 0.0))
        if answer is None:
            return await self._store.list_items(prefix, wait=wait)
        return Listing(items=answer.items, revision=answer.revision)

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        call = FollowCall(prefix, after, min(wait_s, MAX_HUB_WAIT_S))
        answer = await self._call_hub(call)
        if answer is None:
            return await self._store.wait_changes(prefix, after=after, wait_s=wait_s)
        changes = [Change(item.key, item.revision, item) for item in answer.items]
        changes += [
            Change(each.key, each.revision, None, each.is_certain)
            for each in answer.removals
        ]
        changes.sort(key=lambda change: change.revision)
        return Changes(
            changes=changes,
            revision=answer.revision,
            keys=None if answer.keys is None else frozenset(answer.keys),
        )

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
            if answer.revision < call.after:
                # The hub was paused, or its store call was, and knows less.
                raise CallFailedError(f"{hub.address}: behind at {answer.revision}")
        except (CallFailedError, msgspec.DecodeError) as error:
            self._hubs.record_failure(hub)
            fields = {"address": str(hub.address), "cause": str(error)}
            logger.info("hub_failed", extra={"prefix": call.prefix, **fields})
            return None
        self._hubs.record_success(hub)
        return answer
