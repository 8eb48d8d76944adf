"""Operations on a ledger shard and their results.

Each operation carries an id for its own effect, so that it can be repeated.
"""

import msgspec

from lavenderfold.identifiers import BudgetKey, request_id_time
from lavenderfold.outcomes import MayHaveRun, Ran


class InvalidAmountError(ValueError):
    """An operation names an amount of tokens that can't be."""

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
    """Sets the prepaid tokens; ``revision`` is that of the configuration."""

    budget: BudgetKey
    limit: int
    revision: int

    def __post_init__(self):
        _check_amount("limit", self.limit)


class OpenGrant(msgspec.Struct, frozen=True, tag=True):
    """Sets tokens aside for ``holder``: at most ``amount``, at least ``minimum``.

    A grant above ``minimum`` takes at most ``share`` of what is available.
    Grant ids must never be used twice.
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
    """Bills a request: moves tokens of a grant to settled, once per request."""

    budget: BudgetKey
    grant_id: str
    request_id: str
    tokens: int

    def __post_init__(self):
        _check_amount("tokens", self.tokens)
        _check_request_id(self.request_id)


class HandBack(msgspec.Struct, frozen=True, tag=True):
    """Returns tokens of a grant to the budget; sent by its holder only."""

    budget: BudgetKey
    grant_id: str
    hand_back_id: str
    tokens: int

    def __post_init__(self):
        _check_amount("tokens", self.tokens)


class Reclaim(msgspec.Struct, frozen=True, tag=True):
    """Reduces a fenced holder's grant to ``keep`` and bars its hand-backs."""

    budget: BudgetKey
    grant_id: str
    keep: int

    def __post_init__(self):
        _check_amount("keep", self.keep)


class WriteOff(msgspec.Struct, frozen=True, tag=True):
    """Moves the remainder of a grant to unexplained."""

    budget: BudgetKey
    grant_id: str


class Claim(msgspec.Struct, frozen=True, tag=True):
    """Claims the right to run a request that must not repeat.

    ``claimant`` names one attempt (its run id), never a router: the same
    claimant may claim again.
    """

    budget: BudgetKey
    request_id: str
    claimant: str

    def __post_init__(self):
        _check_request_id(self.request_id)


class ReleaseClaim(msgspec.Struct, frozen=True, tag=True):
    """Gives up an open claim because the request certainly wasn't run."""

    budget: BudgetKey
    request_id: str
    claimant: str

    def __post_init__(self):
        _check_request_id(self.request_id)


class FinishClaim(msgspec.Struct, frozen=True, tag=True):
    """Records the outcome of a claimed run."""

    budget: BudgetKey
    request_id: str
    claimant: str
    outcome: Ran | MayHaveRun

    def __post_init__(self):
        _check_request_id(self.request_id)


class Done(msgspec.Struct, frozen=True, tag=True):
    """The operation's effect is in the ledger."""


class GrantOpened(msgspec.Struct, frozen=True, tag=True):
    """The grant holds ``amount``; ``available`` tokens are left beside it."""

    amount: int
    available: int = 0


class BudgetSpent(msgspec.Struct, frozen=True, tag=True):
    """Less than the minimum is available; ``holders`` have open grants."""

    available: int
    holders: list[int] = msgspec.field(default_factory=list)


class AlreadySettled(msgspec.Struct, frozen=True, tag=True):
    """The request was billed under another grant or amount, ``tokens``.

    The tokens of this settlement are still in its grant.
    """

    tokens: int


class GrantMissing(msgspec.Struct, frozen=True, tag=True):
    """The grant isn't open, or its holder was fenced.

    A settlement was billed all the same, from what was available; ``short``
    are the tokens that nothing could cover.
    """

    short: int = 0


class Claimed(msgspec.Struct, frozen=True, tag=True):
    """The claimant may run the request."""


class ClaimExists(msgspec.Struct, frozen=True, tag=True):
    """Another attempt claimed the request; None while its outcome is unknown."""

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
