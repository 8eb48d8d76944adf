"""Ledger pages with their balances, and pure functions to change them."""

import functools

import msgspec
import xxhash

PAGE_COUNT = 16
FIRST_TRANSFER_NUMBER = 1
# Largest share of the available tokens that one transfer may take, unless waiting
# requests need more. A smaller share leaves more to other routers near the end of a
# balance.
MAX_SHARE_OF_AVAILABLE = 0.35


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that one router incarnation may spend.

    ``total`` is the number of tokens ever granted, less those handed back. ``number``
    is that of the last transfer applied, by which the holder recognises that a
    transfer whose answer was lost took effect. ``witness`` is the incarnation of the
    relay that knows the most the holder can have spent, and ``witness_address`` its
    address; both are empty if there is none. ``era`` is the store's era in which the
    holder last changed or restated the grant.
    """

    total: int
    spent: int
    number: int
    witness: str = ""
    witness_address: str = ""
    era: int = 0

    @property
    def unspent(self) -> int:
        """Return the tokens not spent or reserved, as of the last transfer."""
        return self.total - self.spent


class Balance(msgspec.Struct, frozen=True, array_like=True):
    """One organisation's prepaid tokens.

    ``charged`` are the tokens in all grants, and those that reclaimed grants left
    charged. ``written_off`` is the part of them that dead holders weren't known to
    have spent, and that nobody could prove unspent.
    """

    limit: int
    limit_version: int
    charged: int = 0
    grant_by_holder: dict[str, Grant] = msgspec.field(default_factory=dict)
    written_off: int = 0

    @property
    def available(self) -> int:
        """Return the tokens that can still be granted."""
        return max(0, self.limit - self.charged)


class LedgerPage(msgspec.Struct):
    """The balances that are stored under one key.

    Nothing is granted from them before ``era`` is the store's: what was lost with the
    earlier era may not be restated yet. ``first_era`` is the era in which the page was
    created, or 0 if an earlier page may have been lost.
    """

    balance_by_organisation: dict[str, Balance] = msgspec.field(default_factory=dict)
    era: int = 0
    first_era: int = 0

    def is_restated(self, era: int) -> bool:
        """Return whether all holders have stated their grants in an era."""
        return all(
            grant.era >= era
            for balance in self.balance_by_organisation.values()
            for grant in balance.grant_by_holder.values()
        )


class Transfer(msgspec.Struct, frozen=True, kw_only=True):
    """A holder's request to move tokens between a balance and its grant.

    ``needed`` is the number of tokens that waiting requests lack, ``wanted`` the
    number requested including those, ``returned`` the number handed back, and
    ``spent`` what the holder has spent or reserved so far. ``partial_needs`` are the
    tokens that the smallest waiting request lacks, the two smallest together, and so
    on, in ascending order. One that ``is_read_only`` asks for the state of the balance.

    ``era`` is the store's era as far as the holder knows, and ``total`` that of its
    grant as last confirmed. With ``is_restatement`` the holder has had nothing
    confirmed in this era, so that the ledger may lack its grant.
    """

    number: int
    needed: int = 0
    partial_needs: list[int] = msgspec.field(default_factory=list)
    wanted: int = 0
    returned: int = 0
    spent: int = 0
    witness: str = ""
    witness_address: str = ""
    is_read_only: bool = False
    era: int = 0
    total: int = 0
    is_restatement: bool = False


class WitnessedSpending(msgspec.Struct, frozen=True, array_like=True):
    """The most that a holder can have spent, as its witness knows after a rollback."""

    organisation: str
    holder: str
    tokens: int


@functools.lru_cache(maxsize=4096)
def router_name(holder: str) -> str:
    """Return the name of the router that a holder is an incarnation of."""
    return holder.rpartition("/")[0]


def page_key(prefix: str, organisation: str) -> str:
    """Return the key of the page that holds an organisation's balance."""
    number = xxhash.xxh64_intdigest(organisation.encode()) % PAGE_COUNT
    return f"{prefix}{number:02d}"


def with_limit(balance: Balance | None, *, limit: int, version: int) -> Balance:
    """Return the balance with the limit of a configuration version."""
    if balance is None:
        return Balance(limit=limit, limit_version=version)
    if version <= balance.limit_version:
        return balance
    return msgspec.structs.replace(balance, limit=limit, limit_version=version)


def _granted_tokens(balance: Balance, request: Transfer) -> int:
    """Return the number of tokens that a transfer takes from the balance."""
    available = balance.available
    if request.needed > available:
        # The available tokens can't cover all waiting requests. More than the
        # smaller ones can use would lie idle at this holder.
        covered = [each for each in request.partial_needs if each <= available]
        return max(covered, default=0) if request.wanted else 0
    share = int(available * MAX_SHARE_OF_AVAILABLE)
    return min(request.wanted, max(request.needed, share))


def transfer(
    balance: Balance,
    holder: str,
    request: Transfer,
    *,
    era: int = 0,
    can_grant: bool = True,
) -> Balance:
    """Return the balance after a holder's transfer.

    A transfer that was already applied, by its number, changes nothing, and neither
    does a transfer of a holder whose grant was reclaimed. ``era`` is the store's; see
    ``transfer_all``.
    """
    return transfer_all(balance, [(holder, request)], era=era, can_grant=can_grant)


def transfer_all(
    balance: Balance,
    transfers: list[tuple[str, Transfer]],
    *,
    era: int = 0,
    can_grant: bool = True,
) -> Balance:
    """Return the balance after transfers of several holders, in their order.

    The grants are copied once for all transfers, because a balance has a grant for
    each router and a batch may have a transfer for each. A transfer that was made in
    another era of the store changes nothing: its holder states its grant first.
    """
    changed = msgspec.structs.replace(
        balance, grant_by_holder=dict(balance.grant_by_holder)
    )
    for holder, request in transfers:
        if request.is_read_only or request.era != era:
            continue
        changed = _with_transfer(changed, holder, request, can_grant=can_grant)
    return changed


def _is_outdated(grant: Grant | None, request: Transfer) -> bool:
    """Return whether a transfer was already applied, or its holder reclaimed.

    Only the first transfer of a holder opens its grant. A later one without a grant
    comes from a dead holder; the tokens that it hands back are no longer its own. A
    grant of an earlier era may lack transfers, whatever its number is.
    """
    if grant is None:
        return request.number > FIRST_TRANSFER_NUMBER and not request.is_restatement
    return request.number <= grant.number and grant.era >= request.era


def _with_transfer(
    balance: Balance, holder: str, request: Transfer, *, can_grant: bool
) -> Balance:
    """Return the balance after a transfer; its grants are changed in place."""
    grant = balance.grant_by_holder.get(holder)
    if _is_outdated(grant, request):
        return balance
    known_total = grant.total if grant else 0
    if grant is None or grant.era < request.era:
        # Of what the ledger has lost the holder knows better.
        charged = balance.charged + request.total - known_total
        balance = msgspec.structs.replace(balance, charged=charged)
        known_total = request.total
    granted = _granted_tokens(balance, request) if can_grant else 0
    net_tokens = granted - request.returned
    balance.grant_by_holder[holder] = Grant(
        total=known_total + net_tokens,
        spent=request.spent,
        number=request.number,
        witness=request.witness,
        witness_address=request.witness_address,
        era=request.era,
    )
    return msgspec.structs.replace(balance, charged=balance.charged + net_tokens)


def with_witnessed(
    balance: Balance, witnessed: list[WitnessedSpending], *, era: int
) -> Balance:
    """Return the balance with what witnesses know of holders' spending.

    The grant of a holder that hasn't stated it in this era gets at least the tokens
    spent. A holder without a grant gets one: nobody can tell whether the grant is lost,
    or was reclaimed before the copy and is charged already.
    """
    grants = dict(balance.grant_by_holder)
    charged = balance.charged
    for each in witnessed:
        grant = grants.get(each.holder, Grant(total=0, spent=0, number=0))
        if grant.era >= era:
            continue
        total = max(grant.total, each.tokens)
        charged += total - grant.total
        grants[each.holder] = msgspec.structs.replace(
            grant, total=total, spent=max(grant.spent, each.tokens)
        )
    return msgspec.structs.replace(balance, charged=charged, grant_by_holder=grants)


def reclaim(
    balance: Balance, holder: str, *, max_spent: int | None, era: int = 0
) -> Balance:
    """Return the balance without the grant of a dead holder.

    ``max_spent`` is the most that the holder can have spent. If it is None, unknown,
    the whole grant stays charged. ``era`` is the store's; see ``reclaim_all``.
    """
    return reclaim_all(balance, [(holder, max_spent)], era=era)


def reclaim_all(
    balance: Balance, reclaims: list[tuple[str, int | None]], *, era: int = 0
) -> Balance:
    """Return the balance without the grants of dead holders.

    Each reclaim is a holder and the most that it can have spent; see ``reclaim``. Of a
    grant that its holder didn't state in this era nothing is returned: the holder may
    have got more, and stated its spending to another witness, after the grant was
    copied.
    """
    grants = dict(balance.grant_by_holder)
    returned = 0
    written_off = 0
    unrecorded = 0
    for holder, max_spent in reclaims:
        grant = grants.pop(holder, None)
        if grant is None:
            continue
        if grant.era < era:
            spent = max(grant.spent, max_spent or 0)
            unrecorded += max(0, spent - grant.total)
            written_off += max(0, grant.total - spent)
            continue
        if max_spent is None:
            written_off += grant.unspent
            continue
        returned += grant.total - min(grant.total, max(grant.spent, max_spent))
    return msgspec.structs.replace(
        balance,
        charged=balance.charged - returned + unrecorded,
        grant_by_holder=grants,
        written_off=balance.written_off + written_off,
    )
