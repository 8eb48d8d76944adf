"""Tests that ledger writes stay cheap as routers and organisations are added.

A batch holds an order of each router, and each balance a grant of each router: work
for every pair of them grows with the square of the fleet, and a combiner that is busy
answers its orders too late.
"""

import msgspec
import pytest
import trio

from lavenderfold.escrow import (
    Balance,
    Grant,
    LedgerDecodeError,
    LedgerOrder,
    LedgerPage,
    LedgerPages,
    LedgerWriter,
    Limit,
    Transfer,
    decode_page,
    encode_page,
)
from standins.memory_store import MemoryStore

PREFIX = "ledger/"
LIMIT = 1_000_000
# Grants of all routers from one balance; the holders and witnesses are stored once a
# page, so each further balance costs only the numbers of its grants.
BYTES_PER_GRANT = 16


class VisitedGrants(dict):
    """Grants that count how many of them were visited by iteration."""

    visits = 0

    def values(self):
        VisitedGrants.visits += len(self)
        return super().values()

    def __iter__(self):
        VisitedGrants.visits += len(self)
        return super().__iter__()


def new_grant(number: int) -> Grant:
    return Grant(
        total=900_000 + number,
        spent=800_000 + number,
        number=200,
        witness=f"{number:016x}",
        witness_address="10.10.10.10:7200",
    )


def new_balance(routers: int) -> Balance:
    grants = {f"edge-sask-regina-{n}/{n:016x}": new_grant(n) for n in range(routers)}
    return Balance(limit=10**9, limit_version=9, charged=7, grant_by_holder=grants)


def visits_of_batch(routers: int) -> int:
    """Return how many grants are visited for the views of one batch."""

    async def main():
        pages = LedgerPages(store=MemoryStore(), prefix=PREFIX)
        writer = LedgerWriter(pages=pages)
        orders = [
            LedgerOrder(
                holder=f"router-{n}/1",
                limit_by_organisation={"org": Limit(LIMIT, 1)},
                transfer_by_organisation={"org": Transfer(number=1, wanted=10)},
            )
            for n in range(routers)
        ]
        await writer.apply(orders)
        for page in pages.content_by_key().values():
            for organisation, balance in page.balance_by_organisation.items():
                visited = VisitedGrants(balance.grant_by_holder)
                page.balance_by_organisation[organisation] = msgspec.structs.replace(
                    balance, grant_by_holder=visited
                )
        VisitedGrants.visits = 0
        views = await writer.apply(orders)
        assert all(each["org"].routers == routers for each in views)

    trio.run(main)
    return VisitedGrants.visits


def test_views_of_a_batch_cost_work_in_proportion_to_its_orders():
    """The combiner of 68 routers spent most of its time on totals for each view."""
    assert visits_of_batch(80) <= 2.5 * visits_of_batch(40)


def test_further_balance_of_a_page_costs_few_bytes_a_grant():
    """Names repeated in each grant made the pages of 68 routers 400 KB per write."""
    routers = 390
    one = LedgerPage({"a": new_balance(routers)})
    two = LedgerPage({"a": new_balance(routers), "b": new_balance(routers)})
    added = len(encode_page(two)) - len(encode_page(one))
    assert added <= BYTES_PER_GRANT * routers


def test_encoded_page_decodes_to_the_same_balances():
    """A grant that names another witness must keep it, or its seal goes elsewhere."""
    moved = Grant(total=5, spent=1, number=2, witness="w", witness_address="1.2.3.4:5")
    balance = new_balance(3)
    other = msgspec.structs.replace(
        balance, grant_by_holder={**balance.grant_by_holder, "r/1": moved}
    )
    page = LedgerPage({"a": balance, "b": other, "empty": Balance(1, 1)})
    assert decode_page(encode_page(page)) == page


def test_page_of_the_first_format_is_read():
    """A fleet that is upgraded must keep its balances."""
    page = LedgerPage({"a": new_balance(2)})
    assert decode_page(msgspec.msgpack.encode(page)) == page


def test_page_without_the_tokens_written_off_is_read():
    """A fleet that is upgraded must keep its balances, also from the second format."""
    page = LedgerPage({"a": new_balance(2)})
    version, holders, balances = msgspec.msgpack.decode(encode_page(page))
    earlier = [version, holders, {"a": balances["a"][:4]}]
    assert decode_page(msgspec.msgpack.encode(earlier)) == page


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode([3, [], {}]),
        msgspec.msgpack.encode([2, [], {"a": [1, 1, 0, [[0, 1, 1, 1]]]}]),
        msgspec.msgpack.encode([2, [["r", "", ""]], {"a": [1, 1, 0, [[-1, 1, 1, 1]]]}]),
    ],
)
def test_unreadable_page_is_an_error(value):
    """A page that is misread could grant tokens again that were spent."""
    with pytest.raises(LedgerDecodeError):
        decode_page(value)
