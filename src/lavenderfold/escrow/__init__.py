"""Prepaid balances that many routers spend from.

A ledger page in the shared store holds balances. A router moves tokens from a
balance into a grant of its own before it spends them, and back if it doesn't
need them. A grant is never taken from its holder, so that a balance can't be
overspent by a router that is cut off, paused or dead.
"""

from lavenderfold.escrow._bank import Bank, Funding
from lavenderfold.escrow._ledger import (
    Balance,
    Grant,
    LedgerDecodeError,
    LedgerPage,
    Transfer,
    page_key,
    transfer,
)
from lavenderfold.escrow._wallet import Purse, Wallet

__all__ = [
    "Balance",
    "Bank",
    "Funding",
    "Grant",
    "LedgerDecodeError",
    "LedgerPage",
    "Purse",
    "Transfer",
    "Wallet",
    "page_key",
    "transfer",
]
