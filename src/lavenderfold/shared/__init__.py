"""Interface to the store that all routers share.

A platform's adapter implements ``SharedStore``. Each value has a revision, which
increases with every change in the store. Revision 0 means that the key doesn't exist.
"""

from lavenderfold.shared._counted import CountedStore, StoreCall, StoreCallCounter
from lavenderfold.shared._era import StoreEra
from lavenderfold.shared._failover import FailoverStore
from lavenderfold.shared._listing import (
    FIRST_LISTING_WAIT_S,
    FirstListing,
    ListingWaits,
)
from lavenderfold.shared._relay_refusals import RelayRefusals
from lavenderfold.shared._relay_selector import RelaySelector, in_region, near_store
from lavenderfold.shared._relays import Relay, RelayDirectory, RelayRecord
from lavenderfold.shared._revisions import REVISION_BITS, era_of
from lavenderfold.shared._store import (
    Change,
    Changes,
    ConditionalWrite,
    HistoryLostError,
    Item,
    Listing,
    ListingWait,
    SharedStore,
    SharedStoreError,
    WriteConflictError,
    WriteRefusedError,
    WriteUncertainError,
)

__all__ = [
    "FIRST_LISTING_WAIT_S",
    "Change",
    "Changes",
    "ConditionalWrite",
    "CountedStore",
    "FailoverStore",
    "FirstListing",
    "HistoryLostError",
    "Item",
    "Listing",
    "ListingWait",
    "ListingWaits",
    "Relay",
    "RelayDirectory",
    "RelayRecord",
    "RelayRefusals",
    "RelaySelector",
    "SharedStore",
    "SharedStoreError",
    "StoreCall",
    "StoreCallCounter",
    "REVISION_BITS",
    "StoreEra",
    "era_of",
    "WriteConflictError",
    "WriteRefusedError",
    "WriteUncertainError",
    "in_region",
    "near_store",
]
