"""Directory of the relays that are registered in the shared store."""

import logging
import random
from collections import Counter

import msgspec
import trio
import xxhash

from lavenderfold.decoding import decode_json
from lavenderfold.settings import Address, parse_address
from lavenderfold.shared._listing import FIRST_LISTING_WAIT_S, FirstListing
from lavenderfold.shared._store import (
    Listing,
    ListingWait,
    SharedStore,
    SharedStoreError,
)

LIST_PERIOD_S = 30.0
LIST_RETRY_S = 1.0
# Processes that start together list before all relays have registered, so the first
# listings follow each other sooner: after LIST_RETRY_S, then after this many times the
# pause before.
LIST_BACK_OFF = 4
# Without a known relay the listing is asked a second time over another connection
# after this time, lengthened by a random part up to its double: no other path leads
# around a connection that went silent, and the listing is small.
SECOND_CALL_DELAY_S = 1.5
# Shortest time between two listings when a relay turns out to have restarted.
REFRESH_PAUSE_S = 1.0

logger = logging.getLogger(__name__)


def rank(name: str, address: Address) -> int:
    """Return the place of a relay in the order that belongs to a name."""
    return xxhash.xxh64_intdigest(f"{name} {address}".encode())


class RelayRecord(msgspec.Struct, frozen=True):
    """A relay's entry in the store.

    ``domain`` is its failure domain. ``incarnation`` changes at every start.
    ``store_ms`` is how long a call to the store took at the start, in milliseconds.
    """

    address: str
    domain: str
    incarnation: str
    region: str = ""
    store_ms: int | None = None


class Relay(msgspec.Struct, frozen=True):
    """A registered relay with its parsed address."""

    address: Address
    domain: str
    incarnation: str
    region: str = ""
    store_ms: int | None = None


class RelayDirectory:
    """The known relays in the order in which they are tried.

    Relays of ``failure_domain`` come first until they fail. Each
    ``owner``, the process that uses the directory, has another order within a failure
    domain, so that the load is spread over its relays.
    """

    def __init__(
        self, *, store: SharedStore, prefix: str, failure_domain: str, owner: str = ""
    ):
        self.relays: list[Relay] = []
        self.first_listed = trio.Event()
        self._store = store
        self._prefix = prefix
        self._failure_domain = failure_domain
        self._owner = owner
        self._refresh_requested = trio.Event()

    def request_refresh(self) -> None:
        """List the relays again soon, because a known relay has restarted."""
        self._refresh_requested.set()

    async def run(self) -> None:
        """List the relays periodically until cancelled."""
        next_pause_s = LIST_RETRY_S
        while True:
            self._refresh_requested = trio.Event()
            pause_s = LIST_RETRY_S
            try:
                self.install(await self._list())
            except SharedStoreError as error:
                logger.info("relays_not_listed", extra={"cause": str(error)})
            else:
                if self.relays:
                    pause_s = next_pause_s
                    next_pause_s = min(LIST_PERIOD_S, next_pause_s * LIST_BACK_OFF)
            await trio.sleep(min(pause_s, REFRESH_PAUSE_S))
            with trio.move_on_after(pause_s - REFRESH_PAUSE_S):
                await self._refresh_requested.wait()

    async def _list(self) -> Listing:
        if self.relays:
            return await self._store.list_items(self._prefix)

        async def list_patiently(wait: ListingWait) -> Listing:
            return await self._store.list_items(self._prefix, wait=wait)

        delay_s = random.uniform(SECOND_CALL_DELAY_S, 2 * SECOND_CALL_DELAY_S)
        first_listing = FirstListing(calls=[list_patiently] * 2, delays_s=[delay_s])
        return await first_listing.run(FIRST_LISTING_WAIT_S)

    def install(self, listing: Listing) -> None:
        """Replace the relays by those of a listing; known relays keep their order.

        New relays of the own failure domain come before the known ones, because a
        process that lists at its start may have missed them.
        """
        known = [each.address for each in self.relays]
        relay_by_address: dict[Address, Relay] = {}
        for item in listing.items:
            try:
                record = decode_json(item.value, RelayRecord)
                address = parse_address(record.address)
            except (msgspec.DecodeError, ValueError) as error:
                fields = {"key": item.key, "cause": str(error)}
                logger.warning("relay_record_unreadable", extra=fields)
                continue
            relay_by_address[address] = Relay(
                address,
                record.domain,
                record.incarnation,
                record.region,
                record.store_ms,
            )
        new = [
            each for address, each in relay_by_address.items() if address not in known
        ]
        new.sort(key=lambda each: rank(self._owner, each.address))
        self.relays = [each for each in new if self.is_near(each)]
        self.relays += [
            relay_by_address[each] for each in known if each in relay_by_address
        ]
        self.relays += [each for each in new if not self.is_near(each)]
        self.first_listed.set()
        if relay_by_address.keys() != set(known):
            count_by_region = Counter(each.region for each in self.relays)
            logger.info("relays_changed", extra={"by_region": dict(count_by_region)})

    def is_near(self, relay: Relay) -> bool:
        """Whether a relay is in the failure domain of the process."""
        return relay.domain == self._failure_domain

    def move_to_end(self, address: Address) -> None:
        """Move a relay that failed behind all others."""
        failed = [each for each in self.relays if each.address == address]
        others = [each for each in self.relays if each.address != address]
        self.relays = others + failed
