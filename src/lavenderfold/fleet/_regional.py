"""A shared store that reads what all routers follow from a hub in the same region."""

import logging
import math
import random
from collections.abc import Awaitable
from contextlib import suppress
from typing import TypeVar

import trio

from lavenderfold.fleet._hub import HUB_SOURCE, FollowAnswer, FollowCall
from lavenderfold.fleet._hub_client import (
    HubCallLimits,
    HubClient,
    HubError,
    HubListingError,
    HubRefusedError,
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
    RelayRefusals,
    RelaySelector,
    SharedStore,
    SharedStoreError,
)

Answer = TypeVar("Answer")

# A hub must begin its answer within this time after the wait that it was asked for,
# and send each further part within it.
ANSWER_MARGIN_S = 0.6
# A hub must have sent a whole answer within this time after that wait, and one of a
# large prefix within the second time: the next hub would send the same bytes again.
TRANSFER_LIMIT_S = 2.0
LARGE_TRANSFER_LIMIT_S = 8.0
# A hub that is paused is found by the end of this wait and the margin.
MAX_HUB_WAIT_S = 0.7
# In this time a hub can ask the store once, to know as much as another one did.
MIN_HUB_WAIT_S = 0.1
# Hubs that a call is sent to, one after the other, before the store is asked: so many
# that respond, and so many in all.
RESPONDING_HUBS_ASKED = 2
HUBS_ASKED = 4
# Calls to a hub that is listing a large prefix. The store would send a copy to each
# router, over the link that the hub's listing needs.
LISTING_CALLS = 3
# The second hub is called this often, so that it follows the prefix as well and can
# answer at once when the first one fails.
STANDBY_PERIOD_S = 4.0
# A router that starts waits for the listing of the relays, so that it finds a hub and
# large listings don't fill the link before the small one of the relays.
RELAYS_TIMEOUT_S = 1.0
# A router that starts lists from the store itself after this time without data from a
# hub, lengthened by a random part up to its double.
STORE_DELAY_S = 2.0
MS_PER_S = 1000

logger = logging.getLogger(__name__)


class RegionalStore:
    """A ``SharedStore`` that reads ``prefixes`` from a hub.

    All other calls go to ``store``, as do reads of ``prefixes`` if the hub fails. A
    listing with a wait of its own is that of a process that starts. A standby follows
    ``large_prefixes``; a hub that takes over lists the others in a moment.
    """

    def __init__(
        self,
        *,
        store: SharedStore,
        hubs: RelaySelector,
        prefixes: frozenset[str],
        large_prefixes: frozenset[str],
    ):
        self._store = store
        self._hubs = hubs
        self._refusals = RelayRefusals(relays=hubs)
        self._client = HubClient()
        self._hub_listing = HubListing(hubs=hubs, client=self._client)
        self._prefixes = prefixes
        self._large_prefixes = large_prefixes
        self._standby_called_at_by_prefix: dict[str, float] = {}
        self._without_hub_since_by_prefix: dict[str, float] = {}

    async def list_items(
        self, prefix: str, *, wait: ListingWait | None = None
    ) -> Listing:
        if wait is not None:
            return await self._list_at_start(prefix, wait)
        try:
            answer = await self._call_hubs(FollowCall(prefix, 0, 0.0))
        except HubError as error:
            self._report_without_hub(prefix, error)
            return await self._read_store(prefix, self._store.list_items(prefix))
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
        try:
            answer = await self._call_hubs(call)
        except HubError as error:
            self._report_without_hub(prefix, error)
            if prefix in self._prefixes and self._hubs.best() is not None:
                # The next call asks a hub again. Until then the store would send each
                # change to all routers of the region.
                wait_s = call.wait_s
            read = self._store.wait_changes(prefix, after=after, wait_s=wait_s)
            return await self._read_store(prefix, read)
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

    async def _read_store(self, prefix: str, read: Awaitable[Answer]) -> Answer:
        """Return the result of a call to the store; it tells why hubs refused."""
        try:
            answer = await read
        except SharedStoreError:
            self._refusals.record_store_failure(prefix)
            raise
        self._refusals.record_other_path(prefix)
        return answer

    async def _call_hubs(self, call: FollowCall) -> FollowAnswer:
        """Return the answer of the first hub that has one.

        The hubs together wait for changes as long as the call says. Meanwhile the
        second one is called as the standby if that is due. Raises HubError if the store
        must be asked instead: HubListingError if a hub will soon have listed the
        prefix, HubRefusedError if one is there but can't read the store.
        """
        hubs = self._hubs.ranked() if call.prefix in self._prefixes else []
        started_at = trio.current_time()
        answer = None
        failures: list[HubError] = []
        async with trio.open_nursery() as nursery:
            if len(hubs) > 1 and self._is_standby_due(call.prefix):
                nursery.start_soon(self._call_standby, hubs[1], call)
            for hub in hubs[:HUBS_ASKED]:
                try:
                    answer = await self._call_until_listed(hub, call)
                    break
                except HubError as error:
                    failures.append(error)
                    call = _shortened(call, trio.current_time() - started_at)
                if sum(map(_is_response, failures)) == RESPONDING_HUBS_ASKED:
                    break
            nursery.cancel_scope.cancel()
        if answer is None:
            failures.append(HubError("no usable hub is known"))
            raise next(filter(_is_response, failures), failures[0])
        self._refusals.record_other_path(call.prefix)
        self._report_with_hub(call.prefix)
        return answer

    def _report_without_hub(self, prefix: str, error: HubError) -> None:
        """Log that this router reads from the store what a hub reads for all."""
        known = self._hubs.known()
        is_logged = prefix in self._without_hub_since_by_prefix
        if is_logged or not known or prefix not in self._prefixes:
            return
        self._without_hub_since_by_prefix[prefix] = trio.current_time()
        fields = {
            "prefix": prefix,
            "known": len(known),
            "usable": len(self._hubs.ranked()),
            "cause": str(error),
        }
        logger.warning("hubs_lost", extra=fields)

    def _report_with_hub(self, prefix: str) -> None:
        since = self._without_hub_since_by_prefix.pop(prefix, None)
        if since is None:
            return
        elapsed_ms = round((trio.current_time() - since) * MS_PER_S)
        fields = {"prefix": prefix, "elapsed_ms": elapsed_ms}
        logger.info("hubs_regained", extra=fields)

    async def _call_until_listed(self, hub: Relay, call: FollowCall) -> FollowAnswer:
        """Return the hub's answer; wait a little longer if it lists a large prefix."""
        if call.prefix in self._large_prefixes:
            for _ in range(LISTING_CALLS - 1):
                with suppress(HubListingError):
                    return await self._call_hub(hub, call)
        return await self._call_hub(hub, call)

    def _is_standby_due(self, prefix: str) -> bool:
        if prefix not in self._large_prefixes:
            return False
        called_at = self._standby_called_at_by_prefix.get(prefix, -math.inf)
        return trio.current_time() - called_at >= STANDBY_PERIOD_S

    async def _call_standby(self, hub: Relay, call: FollowCall) -> None:
        try:
            touch = FollowCall(call.prefix, call.after, 0.0)
            await self._call_hub(hub, touch, is_standby=True)
        except HubError:
            # Logged already; the hub, or another one, is called with the next call.
            return
        self._standby_called_at_by_prefix[call.prefix] = trio.current_time()

    async def _call_hub(
        self, hub: Relay, call: FollowCall, *, is_standby: bool = False
    ) -> FollowAnswer:
        """Return the hub's answer; log and raise a HubError if it has none.

        A standby reads the store at other times than the hub, so it may know less.

        A hub that is listing hasn't failed: if it were left out for that, one hub after
        the other would list the prefix. Neither has one that can't read the store, as
        long as this router can't either.
        """
        is_large = call.prefix in self._large_prefixes
        transfer_s = LARGE_TRANSFER_LIMIT_S if is_large else TRANSFER_LIMIT_S
        limits = HubCallLimits(
            first_s=call.wait_s + ANSWER_MARGIN_S,
            next_s=ANSWER_MARGIN_S,
            total_s=call.wait_s + transfer_s,
        )
        fields = {"prefix": call.prefix, "address": str(hub.address)}
        try:
            answer = await self._client.call(hub.address, call, limits)
            if answer.revision < call.after and not is_standby:
                # The hub was paused, or its store call was, and knows less.
                raise HubError(f"{hub.address}: behind at {answer.revision}")
        except HubListingError:
            logger.info("hub_listing", extra=fields)
            raise
        except HubRefusedError as error:
            if self._refusals.record_refusal(call.prefix, hub):
                logger.info("hub_failed", extra=fields | {"cause": str(error)})
            raise
        except HubError as error:
            self._hubs.record_failure(hub)
            logger.info("hub_failed", extra=fields | {"cause": str(error)})
            raise
        self._refusals.record_answer(call.prefix, hub)
        return answer


def _is_response(error: HubError) -> bool:
    """Whether the hub responded and may be of use again soon."""
    return isinstance(error, HubListingError | HubRefusedError)


def _shortened(call: FollowCall, elapsed_s: float) -> FollowCall:
    """Return a call for the time that is left, but for long enough to be answered."""
    wait_s = max(MIN_HUB_WAIT_S, call.wait_s - elapsed_s)
    return FollowCall(call.prefix, call.after, wait_s)
