"""Operations on a ledger shard and their results.

Each operation carries an id that identifies its effect. Repeating an operation is
therefore safe: the effect is applied once.
"""

import msgspec

from lavenderfold.identifiers import BudgetKey, request_id_time
from lavenderfold.outcomes import MayHaveRun, Ran


class InvalidAmountError(ValueError):
    """An operation has a negative number of tokens."""

    def __init__(self, name: str, tokens: int):
        super().__init__(f"{name} must not be negative, got {tokens}")
        self.tokens = tokens


def _check_amount(name: str, tokens: int) -> None:
    if tokens < 0:
        raise InvalidAmountError(name, tokens)


def _check_request_id(request_id: str) -> None:
    checked = request_id_time(request_id)
    if checked.is_err():
        raise checked.unwrap_err()


class SetLimit(msgspec.Struct, frozen=True, tag=True):
    """Sets a budget's prepaid tokens, as of a configuration revision."""

    budget: BudgetKey
    limit: int
    revision: int

    def __post_init__(self):
        _check_amount("limit", self.limit)


class OpenGrant(msgspec.Struct, frozen=True, tag=True):
    """Grants ``holder`` at least ``minimum`` and at most ``amount`` tokens.

    A grant larger than ``minimum`` takes at most the fraction ``share`` of the
    available tokens. Grant ids must never be reused.
    """

    budget: BudgetKey
    grant_id: str
    holder: int
    amount: int
    minimum: int
    share: float = 1.0

    def __post_init__(self):
        _check_amount("amount", self.amount)
        _check_amount("minimum", self.minimum)


class Settle(msgspec.Struct, frozen=True, tag=True):
    """Bills a request: moves tokens from a grant to settled, once per request."""

    budget: BudgetKey
    grant_id: str
    request_id: str
    tokens: int

    def __post_init__(self):
        _check_amount("tokens", self.tokens)
        _check_request_id(self.request_id)


class HandBack(msgspec.Struct, frozen=True, tag=True):
    """Returns tokens of a grant to the budget. Only the holder may send it."""

    budget: BudgetKey
    grant_id: str
    hand_back_id: str
    tokens: int

    def __post_init__(self):
        _check_amount("tokens", self.tokens)


class Reclaim(msgspec.Struct, frozen=True, tag=True):
    """Reduces a fenced holder's grant to ``keep`` tokens and bars its hand-backs."""

    budget: BudgetKey
    grant_id: str
    keep: int

    def __post_init__(self):
        _check_amount("keep", self.keep)


class WriteOff(msgspec.Struct, frozen=True, tag=True):
    """Closes a grant and moves its remaining tokens to unexplained."""

    budget: BudgetKey
    grant_id: str


class Claim(msgspec.Struct, frozen=True, tag=True):
    """Claims the right to run a request that must not run twice.

    ``claimant`` is the run id of one attempt, not the name of a router. The same
    claimant may repeat the claim.
    """

    budget: BudgetKey
    request_id: str
    claimant: str

    def __post_init__(self):
        _check_request_id(self.request_id)


class ReleaseClaim(msgspec.Struct, frozen=True, tag=True):
    """Removes an open claim because the request certainly wasn't run."""

    budget: BudgetKey
    request_id: str
    claimant: str

    def __post_init__(self):
        _check_request_id(self.request_id)


class FinishClaim(msgspec.Struct, frozen=True, tag=True):
    """Records the outcome of a claimed request."""

    budget: BudgetKey
    request_id: str
    claimant: str
    outcome: Ran | MayHaveRun

    def __post_init__(self):
        _check_request_id(self.request_id)


class Done(msgspec.Struct, frozen=True, tag=True):
    """The operation's effect is recorded in the ledger."""


class GrantOpened(msgspec.Struct, frozen=True, tag=True):
    """The grant holds ``amount`` tokens; the budget has ``available`` tokens left."""

    amount: int
    available: int = 0


class BudgetSpent(msgspec.Struct, frozen=True, tag=True):
    """Fewer tokens than the minimum are available; ``holders`` have open grants."""

    available: int
    holders: list[int] = msgspec.field(default_factory=list)


class AlreadySettled(msgspec.Struct, frozen=True, tag=True):
    """The request was already billed ``tokens``, with another grant or amount.

    The tokens of this settlement remain in its grant.
    """

    tokens: int


class GrantMissing(msgspec.Struct, frozen=True, tag=True):
    """The grant isn't open, or its holder was fenced.

    A settlement was billed nevertheless, from the budget's available tokens.
    ``short`` is the number of tokens that these didn't cover.
    """

    short: int = 0


class Claimed(msgspec.Struct, frozen=True, tag=True):
    """The claimant may run the request."""


class ClaimExists(msgspec.Struct, frozen=True, tag=True):
    """Another attempt claimed the request. ``outcome`` is None if not yet known."""

    outcome: Ran | MayHaveRun | None


Operation = (
    SetLimit
    | OpenGrant
    | Settle
    | HandBack
    | Reclaim
    | WriteOff
    | Claim
    | ReleaseClaim
    | FinishClaim
)
OperationResult = (
    Done
    | GrantOpened
    | BudgetSpent
    | AlreadySettled
    | GrantMissing
    | Claimed
    | ClaimExists
)
