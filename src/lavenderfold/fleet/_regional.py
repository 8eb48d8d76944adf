"""A shared store that reads what all routers follow from a hub in the same region."""

import logging
import math
import random

import trio

from lavenderfold.fleet._hub import HUB_SOURCE, FollowAnswer, FollowCall
from lavenderfold.fleet._hub_client import (
    HubCallLimits,
    HubClient,
    HubError,
    HubListingError,
)
from lavenderfold.fleet._hub_listing import HubListing
from lavenderfold.shared import (
    Change,
    Changes,
    ConditionalWrite,
    FirstListing,
    Listing,
    ListingWait,
    Relay,
    RelaySelector,
    SharedStore,
)

# A hub must begin its answer within this time after the wait that it was asked for,
# and send each further part within it.
ANSWER_MARGIN_S = 0.6
# A hub must have sent a whole answer within this time after that wait.
TRANSFER_LIMIT_S = 2.0
# A hub that is paused is found by the end of this wait and the margin.
MAX_HUB_WAIT_S = 0.7
# Hubs that a call is sent to, one after the other, before the store is asked.
HUBS_ASKED = 2
# The second hub is called this often, so that it follows the prefix as well and can
# answer at once when the first one fails.
STANDBY_PERIOD_S = 4.0
# A router that starts waits for the listing of the relays, so that it finds a hub and
# large listings don't fill the link before the small one of the relays.
RELAYS_TIMEOUT_S = 1.0
# A router that starts lists from the store itself after this time without data from a
# hub, lengthened by a random part up to its double.
STORE_DELAY_S = 2.0

logger = logging.getLogger(__name__)


class RegionalStore:
    """A ``SharedStore`` that reads ``prefixes`` from a hub.

    All other calls go to ``store``, as do reads of ``prefixes`` if the hub fails. A
    listing with a wait of its own is that of a process that starts.
    """

    def __init__(
        self, *, store: SharedStore, hubs: RelaySelector, prefixes: frozenset[str]
    ):
        self._store = store
        self._hubs = hubs
        self._client = HubClient()
        self._hub_listing = HubListing(hubs=hubs, client=self._client)
        self._prefixes = prefixes
        self._standby_called_at_by_prefix: dict[str, float] = {}

    async def list_items(
        self, prefix: str, *, wait: ListingWait | None = None
    ) -> Listing:
        if wait is not None:
            return await self._list_at_start(prefix, wait)
        call = FollowCall(prefix, 0, 0.0)
        answer = await self._call_hubs(self._ranked_hubs(prefix), call)
        if answer is None:
            return await self._store.list_items(prefix)
        return Listing(items=answer.items, revision=answer.revision, source=HUB_SOURCE)

    async def _list_at_start(self, prefix: str, wait: ListingWait) -> Listing:
        with trio.move_on_after(RELAYS_TIMEOUT_S):
            await self._hubs.wait_listed()
        if prefix not in self._prefixes or self._hubs.best() is None:
            return await self._store.list_items(prefix, wait=wait)

        async def list_from_store(store_wait: ListingWait) -> Listing:
            return await self._store.list_items(prefix, wait=store_wait)

        async def list_from_hub(hub_wait: ListingWait) -> Listing:
            return await self._hub_listing.list_items(prefix, hub_wait)

        calls = [list_from_hub, list_from_store]
        delays_s = [random.uniform(STORE_DELAY_S, 2 * STORE_DELAY_S)]
        return await FirstListing(calls=calls, delays_s=delays_s).run(wait.timeout_s)

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        call = FollowCall(prefix, after, min(wait_s, MAX_HUB_WAIT_S))
        hubs = self._ranked_hubs(prefix)
        answer = await self._call_hubs(hubs, call)
        if answer is None:
            # While a hub is listing, the store is asked for a short time: otherwise
            # it would send the next change to each router of the region.
            wait_s = call.wait_s if hubs else wait_s
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
            source=HUB_SOURCE,
        )

    async def write(self, writes: list[ConditionalWrite]) -> int:
        return await self._store.write(writes)

    def _ranked_hubs(self, prefix: str) -> list[Relay]:
        """Return the hubs to ask, or none if the prefix isn't read from hubs."""
        return self._hubs.ranked()[:HUBS_ASKED] if prefix in self._prefixes else []

    async def _call_hubs(
        self, hubs: list[Relay], call: FollowCall
    ) -> FollowAnswer | None:
        """Return the answer of the first hub that has one.

        Only the first hub waits for changes. Meanwhile the last one is called as the
        standby if that is due. Returns None if the store must be used instead.
        """
        answer = None
        async with trio.open_nursery() as nursery:
            if len(hubs) > 1 and self._is_standby_due(call.prefix):
                nursery.start_soon(self._call_standby, hubs[-1], call)
            for hub in hubs:
                answer = await self._call_hub(hub, call)
                if answer is not None:
                    break
                call = FollowCall(call.prefix, call.after, 0.0)
            nursery.cancel_scope.cancel()
        return answer

    def _is_standby_due(self, prefix: str) -> bool:
        called_at = self._standby_called_at_by_prefix.get(prefix, -math.inf)
        return trio.current_time() - called_at >= STANDBY_PERIOD_S

    async def _call_standby(self, hub: Relay, call: FollowCall) -> None:
        await self._call_hub(hub, FollowCall(call.prefix, call.after, 0.0))
        self._standby_called_at_by_prefix[call.prefix] = trio.current_time()

    async def _call_hub(self, hub: Relay, call: FollowCall) -> FollowAnswer | None:
        """Return the hub's answer, or None if it has none."""
        limits = HubCallLimits(
            first_s=call.wait_s + ANSWER_MARGIN_S,
            next_s=ANSWER_MARGIN_S,
            total_s=call.wait_s + TRANSFER_LIMIT_S,
        )
        try:
            answer = await self._client.call(hub.address, call, limits)
            if answer.revision < call.after:
                # The hub was paused, or its store call was, and knows less.
                raise HubError(f"{hub.address}: behind at {answer.revision}")
        except HubListingError:
            # It hasn't failed, and the routers that leave it would only make other
            # hubs list the prefix as well.
            logger.info(
                "hub_listing",
                extra={"prefix": call.prefix, "address": str(hub.address)},
            )
            return None
        except HubError as error:
            self._hubs.record_failure(hub)
            fields = {"address": str(hub.address), "cause": str(error)}
            logger.info("hub_failed", extra={"prefix": call.prefix, **fields})
            return None
        self._hubs.record_success(hub)
        return answer
