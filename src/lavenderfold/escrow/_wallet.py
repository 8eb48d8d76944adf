"""The grants that one router holds, and what its requests reserved of them."""

import math

from lavenderfold.escrow._ledger import Transfer
from lavenderfold.escrow._orders import Position

# Seconds of its own draw that a router holds, to go on while the store is away.
HORIZON_S = 8.0
# Requests of the usual size held beyond the horizon, for traffic that comes in
# clumps.
SPARE_REQUESTS = 1
# The usual size follows the requests with this weight of the newest.
SIZE_WEIGHT = 0.2
# A router asks for more when it holds less than this part of its horizon.
REFILL_SHARE = 0.85
# What exceeds the horizon by this factor goes back.
SURPLUS_FACTOR = 1.6
# The mean draw follows the traffic with this time constant.
DRAW_TIME_CONSTANT_S = 3.0
# Near the end of a balance all routers together keep at most this part of what is
# left, because it is lost if they die together with their witnesses.
KEPT_SHARE_OF_REST = 0.16
# Routers that share a balance before its ledger entry tells.
LEAST_ROUTERS = 4
# A balance that couldn't cover a request is asked again after this time.
EMPTY_RETRY_S = 0.4


class Purse:
    """One organisation's grant at this router. All amounts are in tokens."""

    __slots__ = (
        "granted",
        "spent",
        "reserved",
        "number",
        "pending",
        "rest",
        "rest_of_others",
        "routers",
        "seen_at",
        "waiting_by_id",
        "witness",
        "_size",
        "_drawn",
        "_draw_rate",
        "_rated_at",
    )

    def __init__(self, *, now: float):
        self.granted = 0
        self.spent = 0
        self.reserved = 0
        self.number = 0
        self.pending: Transfer | None = None
        self.rest: int | None = None
        self.rest_of_others = 0
        self.routers = LEAST_ROUTERS
        self.seen_at = -math.inf
        self.waiting_by_id: dict[int, int] = {}
        self.witness = ""
        self._size = 0.0
        self._drawn = 0
        self._draw_rate = 0.0
        self._rated_at = now

    @property
    def free(self) -> int:
        """Return the tokens that new requests may reserve."""
        returning = self.pending.returned if self.pending else 0
        return self.granted - self.spent - self.reserved - returning

    @property
    def needed(self) -> int:
        """Return the tokens that waiting requests lack."""
        return max(0, sum(self.waiting_by_id.values()) - self.free)

    def reserve(self, tokens: int) -> bool:
        """Reserve tokens for a request; returns False if too few are free."""
        if tokens > self.free:
            return False
        self.reserved += tokens
        self._drawn += tokens
        self._size += (tokens - self._size) * SIZE_WEIGHT
        return True

    def settle(self, *, reserved: int, used: int) -> None:
        """End a reservation; what wasn't used is free again."""
        self.reserved -= reserved
        self.spent += used
        # The draw is what requests use; reservations only time it.
        self._drawn -= reserved - used

    def draw_rate(self, now: float) -> float:
        """Return the mean tokens a second that requests took lately."""
        elapsed = now - self._rated_at
        if elapsed > 0:
            weight = math.exp(-elapsed / DRAW_TIME_CONSTANT_S)
            recent = max(0, self._drawn) / elapsed
            self._draw_rate = self._draw_rate * weight + recent * (1 - weight)
            self._drawn = 0
            self._rated_at = now
        return self._draw_rate

    def desired(self, rate: float) -> int:
        """Return the tokens to hold free, at a draw of ``rate``."""
        wanted = rate * HORIZON_S + SPARE_REQUESTS * self._size
        if self.rest is not None:
            left = self.rest + max(0, self.free)
            wanted = min(wanted, left * KEPT_SHARE_OF_REST / self.routers)
        return int(wanted) + sum(self.waiting_by_id.values())

    def names_only(self, witness: str) -> bool:
        """Return whether the ledger names this witness and can't name another."""
        if self.pending is not None and self.pending.witness != witness:
            return False
        return self.witness == witness

    def plan(
        self, now: float, *, witness: str = "", witness_address: str = ""
    ) -> Transfer | None:
        """Return the transfer to make now, or None if nothing is to be moved.

        ``witness`` is the one that the grant shall name from now on.
        """
        if self.pending is not None:
            return self.pending
        rate = self.draw_rate(now)
        desired = self.desired(rate)
        needed = self.needed
        wanted = 0
        returned = 0
        if needed or self.free < desired * REFILL_SHARE:
            wanted = max(0, desired - self.free)
        elif self.free > desired * SURPLUS_FACTOR:
            returned = self.free - desired
        if self._is_known_empty(needed, now):
            wanted = 0
        is_named = self.witness == witness or not self.granted
        if not wanted and not returned and is_named:
            return None
        self.number += 1
        self.pending = Transfer(
            number=self.number,
            needed=needed if wanted else 0,
            wanted=wanted,
            returned=returned,
            spent=self.spent + self.reserved,
            witness=witness,
            witness_address=witness_address,
        )
        return self.pending

    def plan_return(self) -> Transfer | None:
        """Return the transfer that hands all free tokens back."""
        if self.pending is not None or self.free <= 0:
            return self.pending
        self.number += 1
        self.pending = Transfer(
            number=self.number, returned=self.free, spent=self.spent + self.reserved
        )
        return self.pending

    def note(self, position: Position, *, now: float) -> None:
        """Take in the state of the balance, as the ledger confirmed it."""
        self.rest = position.available
        self.rest_of_others = position.unspent_by_others
        self.routers = max(LEAST_ROUTERS, position.routers)
        self.seen_at = now
        grant = position.grant
        if grant is None or self.pending is None or grant.number < self.number:
            return
        self.granted = grant.total
        self.witness = grant.witness
        self.pending = None

    def _is_known_empty(self, needed: int, now: float) -> bool:
        if self.rest is None or now - self.seen_at > EMPTY_RETRY_S:
            return False
        return self.rest == 0 or self.rest < min(
            self.waiting_by_id.values(), default=needed
        )


class Wallet:
    """The purses of one router, by organisation."""

    def __init__(self):
        self.purse_by_organisation: dict[str, Purse] = {}

    def purse(self, organisation: str, *, now: float) -> Purse:
        purse = self.purse_by_organisation.get(organisation)
        if purse is None:
            purse = self.purse_by_organisation[organisation] = Purse(now=now)
        return purse
