"""A router's grants, and the tokens that its requests have reserved from them."""

import itertools
import math

import msgspec

from lavenderfold.escrow._ledger import Transfer
from lavenderfold.escrow._orders import BalanceView

# A router holds enough tokens for this many seconds at its own spend rate, so that
# it can keep serving while the store is unreachable.
GRANT_HORIZON_S = 8.0
# Requests of typical size for which tokens are held beyond the horizon, because
# requests can arrive in bursts.
SPARE_REQUESTS = 1
# Weight of the newest request in the moving average of request sizes.
SIZE_SMOOTHING = 0.2
# A router asks for more tokens when its free tokens fall below this fraction of the
# desired amount.
REFILL_THRESHOLD = 0.85
# A router returns its excess when its free tokens exceed the desired amount by this
# factor.
SURPLUS_FACTOR = 1.6
# Time constant of the moving average of the spend rate.
SPEND_RATE_TIME_CONSTANT_S = 3.0
# All routers together hold at most the first fraction of the remaining tokens, or the
# second fraction of the limit less what was written off, whichever is more. Held tokens
# are lost if the routers die together with their witnesses.
HELD_SHARE_OF_REMAINING = 0.02
HELD_SHARE_OF_LIMIT = 0.02
# The share of the limit shrinks to this fraction of the remaining tokens: near the end
# of a balance idle routers would keep the last tokens from those that need them.
MAX_HELD_SHARE_OF_REMAINING = 0.1
# Number of routers assumed to share a balance, at least, until its second state is
# known: routers that start together don't yet see each other's grants in the first.
FIRST_ROUTER_COUNT = 4
# Delay before a balance that couldn't cover a request is queried again.
INSUFFICIENT_RETRY_S = 0.4
# A router with free tokens asks for the state of the balance after this part of the
# time in which the routers together would use up its rest, within the bounds. Near
# the end of a balance each router must hand back what others need.
REFRESH_PART_OF_REMAINING_TIME = 0.1
MIN_REFRESH_S = 0.5
MAX_REFRESH_S = 2.0


class LocalBalanceState(msgspec.Struct, frozen=True, kw_only=True):
    """What a router knows of one balance, in tokens, as it is logged and reported.

    ``rest`` is what the ledger can still grant, ``rest_of_others`` what other
    routers hold unspent and ``written_off`` what stays charged although no router is
    known to have spent it, all as of ``age_ms`` milliseconds ago.
    """

    organisation: str
    limit: int | None
    granted: int
    spent: int
    reserved: int
    rest: int | None
    rest_of_others: int
    written_off: int
    age_ms: int | None


class LocalBalance:
    """One organisation's grant at this router. All amounts are in tokens.

    ``number`` is that of the last transfer. ``rest`` is what the ledger can still
    grant, ``rest_of_others`` what other routers hold unspent, ``routers`` the number
    of routers with a grant, ``part`` this router's part of what all routers may hold
    and ``written_off`` what was lost with dead routers, as of ``updated_at``. While it
    ``is_short``, no tokens are held for later requests. ``refresh_interval_s`` is the
    age at which these figures are too old to decide how many tokens to keep.

    ``limit_allowance`` is the part of the limit that all routers may hold: 2% of it,
    less what was written off or still may be. Tokens that are lost when all processes
    are killed are written off, so all such losses together stay within these 2%. If 2%
    of the remaining tokens are more than the allowance, they are the bound of one loss
    instead (times SURPLUS_FACTOR, since only a larger excess is handed back). The
    reservations of running requests aren't held tokens; they are lost in addition.

    ``era`` is the store's era. In a new one the grant isn't stated until a transfer is
    confirmed: the ledger may lack what was granted lately. While it ``is_settling``
    the ledger grants nothing, and what is held is kept.
    """

    __slots__ = (
        "granted",
        "spent",
        "reserved",
        "number",
        "pending",
        "rest",
        "rest_of_others",
        "routers",
        "part",
        "is_short",
        "written_off",
        "limit_allowance",
        "is_limit_raised",
        "updated_at",
        "refresh_interval_s",
        "waiting_tokens_by_id",
        "witness",
        "era",
        "is_stated",
        "is_settling",
        "_reported_spent",
        "_typical_size",
        "_consumed",
        "_spend_rate",
        "_rate_updated_at",
    )

    def __init__(self, *, now: float, era: int = 0):
        self.era = era
        self.is_stated = True
        self.is_settling = False
        self.granted = 0
        self.spent = 0
        self.reserved = 0
        self.number = 0
        self.pending: Transfer | None = None
        self.rest: int | None = None
        self.rest_of_others = 0
        self.routers = 0
        self.part = 1 / FIRST_ROUTER_COUNT
        self.is_short = False
        self.written_off = 0
        self.limit_allowance = 0
        self.is_limit_raised = False
        self.updated_at = -math.inf
        self.refresh_interval_s = MAX_REFRESH_S
        self.waiting_tokens_by_id: dict[int, int] = {}
        self.witness = ""
        self._reported_spent = 0
        self._typical_size = 0.0
        self._consumed = 0
        self._spend_rate = 0.0
        self._rate_updated_at = now

    @property
    def free(self) -> int:
        """Return the tokens that new requests may reserve."""
        returning = self.pending.returned if self.pending else 0
        return self.granted - self.spent - self.reserved - returning

    @property
    def shortfall(self) -> int:
        """Return the tokens that waiting requests need beyond the free ones."""
        return max(0, sum(self.waiting_tokens_by_id.values()) - self.free)

    def reserve(self, tokens: int) -> bool:
        """Reserve tokens for a request; return False if too few are free."""
        if tokens > self.free:
            return False
        self.reserved += tokens
        self._consumed += tokens
        self._typical_size += (tokens - self._typical_size) * SIZE_SMOOTHING
        return True

    def settle(self, *, reserved: int, used: int) -> None:
        """End a reservation; its unused tokens become free again."""
        self.reserved -= reserved
        self.spent += used
        # The spend rate counts the tokens that requests use, but at the time of
        # their reservation: unused tokens are subtracted here.
        self._consumed -= reserved - used

    def spend_rate(self, now: float) -> float:
        """Return the moving average of the tokens used per second."""
        elapsed = now - self._rate_updated_at
        if elapsed > 0:
            weight = math.exp(-elapsed / SPEND_RATE_TIME_CONSTANT_S)
            recent = max(0, self._consumed) / elapsed
            self._spend_rate = self._spend_rate * weight + recent * (1 - weight)
            self._consumed = 0
            self._rate_updated_at = now
        return self._spend_rate

    def desired_tokens(self, spend_rate: float) -> int:
        """Return how many free tokens to hold at a spend rate per second."""
        if self.is_short:
            return sum(self.waiting_tokens_by_id.values())
        wanted = spend_rate * GRANT_HORIZON_S + SPARE_REQUESTS * self._typical_size
        wanted = min(wanted, max(self._held_by_remaining, self._held_by_limit))
        return int(wanted) + sum(self.waiting_tokens_by_id.values())

    @property
    def _left(self) -> float:
        """Return the tokens that this router can reach, infinite if unknown."""
        return math.inf if self.rest is None else self.rest + max(0, self.free)

    @property
    def _held_by_remaining(self) -> float:
        return self._left * HELD_SHARE_OF_REMAINING * self.part

    @property
    def _held_by_limit(self) -> float:
        most = self._left * MAX_HELD_SHARE_OF_REMAINING
        return min(self.limit_allowance, most) * self.part

    def _is_surplus(self, desired: int) -> bool:
        """Return whether so many free tokens are held that the excess is handed back.

        What is held by the limit is a strict bound, unlike what is held by the rest.
        """
        most = max(SURPLUS_FACTOR * self._held_by_remaining, self._held_by_limit)
        most += sum(self.waiting_tokens_by_id.values())
        return self.free > min(SURPLUS_FACTOR * desired, most)

    def _is_release_unreported(self, now: float) -> bool:
        """Return whether tokens that the ledger takes for spent are free again.

        They wouldn't be written off with the rest of the grant, so the next kill would
        lose more than 2% of the limit. They are reported when a refresh is due.
        """
        if self._held_by_limit <= self._held_by_remaining:
            return False
        is_released = self._reported_spent > self.spent + self.reserved
        return is_released and now - self.updated_at >= self.refresh_interval_s

    @property
    def partial_needs(self) -> list[int]:
        """Return the tokens lacking for the smallest waiting requests; see Transfer."""
        needed = itertools.accumulate(sorted(self.waiting_tokens_by_id.values()))
        return [each - self.free for each in needed if each > self.free]

    @property
    def _is_spending_reported(self) -> bool:
        return self._reported_spent == self.spent + self.reserved

    def is_witnessed_only_by(self, witness: str) -> bool:
        """Return whether the ledger names this witness and no other can replace it.

        A pending transfer that names another witness may already be in the ledger.
        """
        if self.pending is not None and self.pending.witness != witness:
            return False
        return self.witness == witness

    def plan_transfer(
        self, now: float, *, witness: str = "", witness_address: str = ""
    ) -> Transfer | None:
        """Return the transfer to make now, or None if none is needed.

        A pending transfer is returned again, unchanged. A new one records
        ``witness`` as the grant's witness.
        """
        if self.pending is not None:
            return self.pending
        spend_rate = self.spend_rate(now)
        desired = self.desired_tokens(spend_rate)
        shortfall = self.shortfall
        wanted = 0
        returned = 0
        if shortfall or self.free < desired * REFILL_THRESHOLD:
            wanted = max(0, desired - self.free)
        elif self._is_surplus(desired) and not self.is_settling:
            returned = self.free - desired
        if self._is_known_insufficient(now):
            wanted = 0
        is_recorded = self.witness == witness or not self.granted
        is_reported = not (self._is_report_due(now) or self._is_release_unreported(now))
        is_reported = is_reported and self.is_stated
        if not wanted and not returned and is_recorded and is_reported:
            return None
        self.number += 1
        self.pending = Transfer(
            number=self.number,
            needed=shortfall if wanted else 0,
            partial_needs=self.partial_needs if wanted else [],
            wanted=wanted,
            returned=returned,
            spent=self.spent + self.reserved,
            witness=witness,
            witness_address=witness_address,
            era=self.era,
            total=self.granted,
            is_restatement=not self.is_stated,
        )
        return self.pending

    def plan_refresh(self, now: float) -> Transfer | None:
        """Return a read-only transfer if the known state of the balance is too old.

        It isn't needed while no other router can count on tokens of this one, unless
        the store has eras: a new one must be noticed.
        """
        if self.is_limit_raised:
            return Transfer(number=self.number, is_read_only=True, era=self.era)
        is_counted_as_held = self.free > 0 or not self._is_spending_reported
        is_watched = is_counted_as_held or (self.era > 0 and self.granted > 0)
        if not is_watched or now - self.updated_at < self.refresh_interval_s:
            return None
        return Transfer(number=self.number, is_read_only=True, era=self.era)

    def limit_raised(self) -> None:
        """Record that a configuration has raised the limit."""
        if self.rest is not None:
            self.is_limit_raised = True
            self.is_short = False

    def plan_return(self) -> Transfer | None:
        """Return the pending transfer, or one that hands back all free tokens.

        Returns None if there is neither, and the grant is stated.
        """
        if self.pending is not None or (self.free <= 0 and self.is_stated):
            return self.pending
        self.number += 1
        self.pending = Transfer(
            number=self.number,
            returned=max(0, self.free),
            spent=self.spent + self.reserved,
            era=self.era,
            total=self.granted,
            is_restatement=not self.is_stated,
        )
        return self.pending

    def begin_era(self, era: int) -> None:
        """Note a new era of the store; the grant must be stated again."""
        if era <= self.era:
            return
        self.era = era
        if self.number:
            self._restate()

    def _restate(self) -> None:
        self.is_stated = False
        if self.pending is not None:
            self.pending = msgspec.structs.replace(
                self.pending, era=self.era, total=self.granted, is_restatement=True
            )

    def update(self, view: BalanceView, *, now: float) -> None:
        """Store the ledger's state of the balance; end a confirmed transfer."""
        if view.era < self.era:
            # Its sender doesn't know yet that the store has lost what it tells.
            return
        self.begin_era(view.era)
        self.refresh_interval_s = self._refresh_interval(view.available, now)
        is_first = self.rest is None
        self.part = (
            1 / max(FIRST_ROUTER_COUNT, view.routers)
            if is_first
            else _part_of_held(view)
        )
        # Routers that start together don't know their parts yet.
        self.limit_allowance = 0 if is_first else _limit_allowance(view)
        self.is_settling = view.is_settling
        # Nothing can be had until the balance is settled, but it isn't used up.
        self.rest = 0 if view.is_settling else view.available
        self.rest_of_others = view.limit if view.is_settling else view.unspent_by_others
        self.routers = view.routers
        self.is_short = view.is_short
        self.written_off = view.written_off
        self.updated_at = now
        grant = view.grant
        is_stated = grant is not None and grant.era >= self.era
        if self.era and self.granted and not is_stated:
            # A late write of an earlier era can undo what was stated in this one.
            self._restate()
        if not is_stated or self.pending is None or grant.number < self.number:
            return
        self.is_stated = True
        self.granted = grant.total
        self._reported_spent = grant.spent
        self.witness = grant.witness
        self.pending = None

    def _refresh_interval(self, available: int, now: float) -> float:
        """Return how long a state of the balance is used, by its rate of change."""
        if self.rest is None:
            return MIN_REFRESH_S
        used = self.rest - available
        elapsed = now - self.updated_at
        if used <= 0 or elapsed <= 0:
            return min(MAX_REFRESH_S, max(MIN_REFRESH_S, 2 * self.refresh_interval_s))
        remaining_s = available * elapsed / used
        interval_s = remaining_s * REFRESH_PART_OF_REMAINING_TIME
        return min(MAX_REFRESH_S, max(MIN_REFRESH_S, interval_s))

    def _is_report_due(self, now: float) -> bool:
        """Return whether others may count on tokens that this router has used.

        That matters at the end of a balance, when they refuse requests by it.
        """
        if self.rest is None or self.rest >= self._typical_size:
            return False
        is_recent = now - self.updated_at < MIN_REFRESH_S
        return not is_recent and not self._is_spending_reported

    def is_recent(self, now: float) -> bool:
        """Return whether requests may be refused by the known state of the balance."""
        if self.rest is None or self.is_limit_raised:
            return False
        return now - self.updated_at <= INSUFFICIENT_RETRY_S

    def _is_known_insufficient(self, now: float) -> bool:
        """Return whether the ledger lately had too little for any waiting request."""
        if not self.is_recent(now):
            return False
        smallest_need = min(self.partial_needs, default=0)
        return self.rest == 0 or self.rest < smallest_need


def _limit_allowance(view: BalanceView) -> int:
    """Return what all routers may hold by the limit, after the losses so far."""
    lost = view.written_off + view.unresolved
    return max(0, int(view.limit * HELD_SHARE_OF_LIMIT) - lost)


def _part_of_held(view: BalanceView) -> float:
    """Return a holder's part of what all routers may hold.

    One half of it is divided equally and the other half by use, because one router may
    get most requests of an organisation. The parts of all holders add up to 1.
    """
    equal = 1 / max(1, view.routers)
    if view.grant is None or not view.granted_to_all:
        return equal
    return (equal + view.grant.total / view.granted_to_all) / 2


class LocalBalances:
    """The local balances of one router, by organisation."""

    def __init__(self):
        self.by_organisation: dict[str, LocalBalance] = {}
        self._era = 0

    def begin_era(self, era: int) -> None:
        """Note the era of the store; see ``LocalBalance.begin_era``."""
        self._era = max(era, self._era)
        for balance in self.by_organisation.values():
            balance.begin_era(era)

    def get_or_create(self, organisation: str, *, now: float) -> LocalBalance:
        balance = self.by_organisation.get(organisation)
        if balance is None:
            balance = LocalBalance(now=now, era=self._era)
            self.by_organisation[organisation] = balance
        return balance
