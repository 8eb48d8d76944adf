"""The store that all routers share, as the product sees it.

A platform's adapter implements ``SharedStore``. Values carry a revision that
grows with every change in the store; revision 0 stands for a key that doesn't
exist.
"""

from lavenderfold.shared._counted import CountedStore
from lavenderfold.shared._failover import FailoverStore
from lavenderfold.shared._relay_selector import RelaySelector
from lavenderfold.shared._relays import Relay, RelayDirectory, RelayRecord
from lavenderfold.shared._store import (
    Change,
    Changes,
    ConditionalWrite,
    HistoryLostError,
    Item,
    Listing,
    SharedStore,
    SharedStoreError,
    WriteConflictError,
    WriteRefusedError,
    WriteUncertainError,
)

__all__ = [
    "Change",
    "Changes",
    "ConditionalWrite",
    "CountedStore",
    "FailoverStore",
    "HistoryLostError",
    "Item",
    "Listing",
    "Relay",
    "RelaySelector",
    "RelayDirectory",
    "RelayRecord",
    "SharedStore",
    "SharedStoreError",
    "WriteConflictError",
    "WriteRefusedError",
    "WriteUncertainError",
]
