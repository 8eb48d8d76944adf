"""Lists a prefix from the hubs of the region while a router starts.

After a restart of all processes the hub lists too, and its answers to all routers share
its link. A router therefore stays with a hub that says so or sends data, although in
steady state it would leave one that is as slow.
"""

import logging
import random

import msgspec
import trio

from lavenderfold.fleet._hub import (
    HUB_PATH,
    HUB_SOURCE,
    LISTING_STATUS,
    FollowAnswer,
    FollowCall,
)
from lavenderfold.http import HttpClient, HttpClientError, HttpRequest
from lavenderfold.settings import Address
from lavenderfold.shared import Listing, ListingWait, RelaySelector, SharedStoreError

CONNECT_TIMEOUT_S = 0.3
# A hub answers within 0.4 s unless its link is full. After this time without data
# another hub is asked.
DATA_TIMEOUT_S = 1.5
# A hub that is still listing counts as sending data for this time. Its own path to the
# store may be broken, so routers don't rely on it for longer.
HUB_LISTING_LIMIT_S = 3.0
# Pause before the next call, lengthened by a random part up to its double: relays that
# start at the same time as the routers refuse the first calls.
PAUSE_S = 0.2

logger = logging.getLogger(__name__)


class _HubFailedError(Exception):
    """A hub gave no usable answer."""


class HubListing:
    """Asks the hubs that ``hubs`` selects until one has listed a prefix."""

    def __init__(self, *, hubs: RelaySelector):
        self._hubs = hubs
        self._client_by_address: dict[Address, HttpClient] = {}

    async def list_items(self, prefix: str, wait: ListingWait) -> Listing:
        """Return the listing of a hub.

        Raises SharedStoreError if all hubs have failed lately, one doesn't respond at
        all, or none had a listing within ``wait.timeout_s``.
        """
        started_at = trio.current_time()
        while trio.current_time() - started_at < wait.timeout_s:
            hub = self._hubs.best()
            if hub is None:
                raise SharedStoreError("no usable hub is known")
            try:
                answer = await self._call(hub.address, prefix, wait)
            except (_HubFailedError, HttpClientError, msgspec.DecodeError) as error:
                self._hubs.record_failure(hub)
                fields = {"address": str(hub.address), "cause": str(error)}
                logger.info("hub_failed", extra={"prefix": prefix, **fields})
                if isinstance(error.__cause__, trio.TooSlowError):
                    # Its VM is gone, as when routers are restarted one by one. Hubs
                    # that start together with this router refuse connections instead.
                    raise SharedStoreError(f"hub {hub.address} is gone") from error
            else:
                self._hubs.record_success(hub)
                if answer is not None:
                    return Listing(
                        items=answer.items, revision=answer.revision, source=HUB_SOURCE
                    )
                if trio.current_time() - started_at < HUB_LISTING_LIMIT_S:
                    wait.record_data()
            await trio.sleep(random.uniform(PAUSE_S, 2 * PAUSE_S))
        raise SharedStoreError(f"no hub has listed {prefix}")

    async def _call(
        self, address: Address, prefix: str, wait: ListingWait
    ) -> FollowAnswer | None:
        """Return a hub's answer, or None if it is still listing.

        Each part received extends the time for the next one.
        """
        body = msgspec.msgpack.encode(FollowCall(prefix, 0, 0.0))
        request = HttpRequest(method="POST", target=HUB_PATH, body=body)
        parts = []
        with trio.move_on_after(DATA_TIMEOUT_S) as scope:
            async with self._client(address).stream(request) as response:
                async for part in response.chunks():
                    parts.append(part)
                    wait.record_data()
                    scope.deadline = trio.current_time() + DATA_TIMEOUT_S
            if response.status == LISTING_STATUS:
                return None
            if response.status != 200:
                raise _HubFailedError(f"status {response.status}")
            return msgspec.msgpack.decode(b"".join(parts), type=FollowAnswer)
        raise _HubFailedError(f"no data within {DATA_TIMEOUT_S:g} s")

    def _client(self, address: Address) -> HttpClient:
        client = self._client_by_address.get(address)
        if client is None:
            client = HttpClient(address=address, connect_timeout_s=CONNECT_TIMEOUT_S)
            self._client_by_address[address] = client
        return client
