"""The relays that registered in the shared store."""

import logging

import msgspec
import trio

from lavenderfold.settings import Address, parse_address
from lavenderfold.shared._store import Listing, SharedStore, SharedStoreError

LIST_PERIOD_S = 8.0
LIST_RETRY_S = 1.0

logger = logging.getLogger(__name__)


class RelayRecord(msgspec.Struct, frozen=True):
    """A relay's entry in the store. ``incarnation`` changes at every start."""

    address: str
    domain: str
    incarnation: str
    region: str = ""


class Relay(msgspec.Struct, frozen=True):
    """A relay that can be called."""

    address: Address
    domain: str
    incarnation: str
    region: str = ""


class RelayDirectory:
    """The known relays, those of the own failure domain first."""

    def __init__(self, *, store: SharedStore, prefix: str, failure_domain: str):
        self.relays: list[Relay] = []
        self._store = store
        self._prefix = prefix
        self._failure_domain = failure_domain

    async def run(self) -> None:
        """Keep the directory until cancelled."""
        while True:
            pause_s = LIST_PERIOD_S
            try:
                self.install(await self._store.list_items(self._prefix))
            except SharedStoreError as error:
                logger.info("relays_not_listed", extra={"cause": str(error)})
                pause_s = LIST_RETRY_S
            if not self.relays:
                pause_s = LIST_RETRY_S
            await trio.sleep(pause_s)

    def install(self, listing: Listing) -> None:
        """Take in a listing; known relays keep their order."""
        by_address: dict[Address, Relay] = {}
        for item in listing.items:
            try:
                record = msgspec.json.decode(item.value, type=RelayRecord)
                address = parse_address(record.address)
            except (msgspec.DecodeError, ValueError) as error:
                fault = {"key": item.key, "cause": str(error)}
                logger.warning("relay_record_unreadable", extra=fault)
                continue
            by_address[address] = Relay(
                address, record.domain, record.incarnation, record.region
            )
        known = [each.address for each in self.relays if each.address in by_address]
        added = [address for address in by_address if address not in known]
        added.sort(
            key=lambda each: (by_address[each].domain != self._failure_domain, each)
        )
        self.relays = [by_address[address] for address in known + added]

    def move_to_end(self, address: Address) -> None:
        """Use a relay that failed only after all others."""
        failed = [each for each in self.relays if each.address == address]
        others = [each for each in self.relays if each.address != address]
        self.relays = others + failed
