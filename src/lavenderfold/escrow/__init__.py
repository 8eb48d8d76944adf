"""Prepaid balances that many routers spend from.

A ledger page in the shared store holds balances. A router moves tokens from a
balance into a grant of its own before it spends them, and back if it doesn't
need them. A witness knows the most that the router can have spent; only what lies
above that is taken back after the router's death.
"""

from lavenderfold.escrow._bank import Bank, Funding, PurseState
from lavenderfold.escrow._combiner import ORDER_PATH, Combiner
from lavenderfold.escrow._ledger import (
    Balance,
    Grant,
    LedgerDecodeError,
    LedgerPage,
    Transfer,
    page_key,
    reclaim,
    transfer,
)
from lavenderfold.escrow._order_path import OrderPath
from lavenderfold.escrow._orders import (
    LedgerOrder,
    LedgerUnavailableError,
    Limit,
    Position,
    Reclaim,
)
from lavenderfold.escrow._pages import LedgerPages
from lavenderfold.escrow._wallet import Purse, Wallet
from lavenderfold.escrow._witness import (
    WITNESS_PREFIX,
    Seal,
    Statement,
    WitnessBook,
    answer_call,
)
from lavenderfold.escrow._writer import LedgerWriter

__all__ = [
    "Balance",
    "Bank",
    "Combiner",
    "Funding",
    "Grant",
    "LedgerDecodeError",
    "LedgerOrder",
    "LedgerPage",
    "LedgerPages",
    "LedgerUnavailableError",
    "LedgerWriter",
    "Limit",
    "ORDER_PATH",
    "OrderPath",
    "Position",
    "Purse",
    "PurseState",
    "Reclaim",
    "Seal",
    "Statement",
    "Transfer",
    "WITNESS_PREFIX",
    "Wallet",
    "WitnessBook",
    "answer_call",
    "page_key",
    "reclaim",
    "transfer",
]
