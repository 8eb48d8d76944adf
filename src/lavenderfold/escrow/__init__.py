"""Prepaid balances that many routers spend from.

Balances are kept in ledger pages in the shared store. A router moves tokens from a
balance into its own grant before it spends them, and returns those that it doesn't
need. A witness knows the most that the router can have spent. After the router dies,
only the tokens of its grant above that amount are reclaimed.
"""

from lavenderfold.escrow._balance_manager import BalanceManager, Funding
from lavenderfold.escrow._combiner import ORDER_PATH, OrderCombiner
from lavenderfold.escrow._ledger import (
    Balance,
    Grant,
    LedgerPage,
    Transfer,
    WitnessedSpending,
    page_key,
    reclaim,
    transfer,
    with_witnessed,
)
from lavenderfold.escrow._local_balances import (
    LocalBalance,
    LocalBalances,
    LocalBalanceState,
)
from lavenderfold.escrow._order_sender import OrderSender
from lavenderfold.escrow._orders import (
    BalanceView,
    LedgerOrder,
    LedgerUnavailableError,
    Limit,
    Reclaim,
)
from lavenderfold.escrow._page_codec import (
    LedgerDecodeError,
    decode_page,
    encode_page,
)
from lavenderfold.escrow._pages import LedgerPages
from lavenderfold.escrow._witness import (
    WITNESS_PREFIX,
    Seal,
    Statement,
    WitnessRecords,
    answer_call,
)
from lavenderfold.escrow._writer import LedgerWriter

__all__ = [
    "Balance",
    "BalanceManager",
    "OrderCombiner",
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
    "OrderSender",
    "BalanceView",
    "LocalBalance",
    "LocalBalanceState",
    "Reclaim",
    "Seal",
    "Statement",
    "Transfer",
    "WITNESS_PREFIX",
    "LocalBalances",
    "WitnessRecords",
    "WitnessedSpending",
    "answer_call",
    "decode_page",
    "encode_page",
    "page_key",
    "reclaim",
    "transfer",
    "with_witnessed",
]
