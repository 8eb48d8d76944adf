"""Lists a prefix from the hubs of the region while a router starts.

After a restart of all processes the hub lists too, and its answers to all routers share
its link. A router therefore stays with a hub that says so or sends data, although in
steady state it would leave one that is as slow.
"""

import logging
import math
import random

import trio

from lavenderfold.fleet._hub import HUB_SOURCE, FollowCall
from lavenderfold.fleet._hub_client import (
    HubCallLimits,
    HubClient,
    HubError,
    HubListingError,
    HubRefusedError,
    HubUnreachableError,
)
from lavenderfold.shared import (
    Listing,
    ListingWait,
    Relay,
    RelaySelector,
    SharedStoreError,
)

# A hub answers within 0.4 s unless its link is full. After this time without data
# another hub is asked.
DATA_TIMEOUT_S = 1.5
LIMITS = HubCallLimits(first_s=DATA_TIMEOUT_S, next_s=DATA_TIMEOUT_S, total_s=math.inf)
# A hub that is still listing counts as sending data for this time. Its own path to the
# store may be broken, so routers don't rely on it for longer.
HUB_LISTING_LIMIT_S = 3.0
# Hubs that are asked before the store if they refuse. If the store is away all of them
# do, and each further one would fetch a copy of the prefix after the outage.
REFUSING_HUBS_ASKED = 2
# Pause before the next call, lengthened by a random part up to its double: relays that
# start at the same time as the routers refuse the first calls.
PAUSE_S = 0.2

logger = logging.getLogger(__name__)


class HubListing:
    """Asks the hubs that ``hubs`` selects until one has listed a prefix."""

    def __init__(self, *, hubs: RelaySelector, client: HubClient):
        self._hubs = hubs
        self._client = client

    async def list_items(self, prefix: str, wait: ListingWait) -> Listing:
        """Return the listing of a hub.

        Raises SharedStoreError if all hubs have failed lately or refuse, one doesn't
        respond at all, or none had a listing within ``wait.timeout_s``.
        """
        started_at = trio.current_time()
        refused: list[Relay] = []
        while trio.current_time() - started_at < wait.timeout_s:
            hubs = self._hubs.ranked()[:REFUSING_HUBS_ASKED]
            hub = next((each for each in hubs if each not in refused), None)
            if hub is None:
                cause = "all hubs refuse" if hubs else "no usable hub is known"
                raise SharedStoreError(cause)
            call = FollowCall(prefix, 0, 0.0)
            try:
                answer = await self._client.call(hub.address, call, LIMITS, wait)
            except HubListingError:
                self._hubs.record_success(hub)
                if trio.current_time() - started_at < HUB_LISTING_LIMIT_S:
                    wait.record_data()
            except HubRefusedError:
                # Not a failure of the hub: the store may be away.
                refused.append(hub)
            except HubError as error:
                self._hubs.record_failure(hub)
                fields = {"address": str(hub.address), "cause": str(error)}
                logger.info("hub_failed", extra={"prefix": prefix, **fields})
                if isinstance(error, HubUnreachableError):
                    # Its VM is gone, as when routers are restarted one by one. Hubs
                    # that start together with this router refuse connections instead.
                    raise SharedStoreError(f"hub {hub.address} is gone") from error
            else:
                self._hubs.record_success(hub)
                return Listing(
                    items=answer.items, revision=answer.revision, source=HUB_SOURCE
                )
            await trio.sleep(random.uniform(PAUSE_S, 2 * PAUSE_S))
        raise SharedStoreError(f"no hub has listed {prefix}")
