"""The records of a ledger shard, as stored.

Structs are encoded as msgpack arrays and request ids as 16 bytes, to keep shards
small: each commit writes a whole shard. All amounts are in tokens.
"""

import uuid

import msgspec

from lavenderfold.identifiers import BudgetKey
from lavenderfold.outcomes import MayHaveRun, Ran


class LedgerDecodeError(ValueError):
    """The stored value of a shard can't be decoded by this version."""


class OpenedGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens set aside for ``holder``, the incarnation of a router.

    ``fenced`` is set once the grant is being reclaimed. From then on, only settlements
    and the reclaim may reduce it.
    """

    holder: int
    amount: int
    fenced: bool = False
    hand_back_ids: list[str] = msgspec.field(default_factory=list)


class ClosedGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant that is no longer open.

    The entry prevents a repeated OpenGrant from opening the grant again.
    ``written_off`` is the part of the budget's ``unexplained`` tokens that came from
    this grant.
    """

    closed_unix: int
    written_off: int = 0
    hand_back_ids: list[str] = msgspec.field(default_factory=list)


class UsageEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The bill of one request.

    ``grant_tag`` distinguishes a repeated settlement of one run, which names the same
    grant, from the settlement of another run of the request.
    """

    tokens: int
    grant_tag: int


class ClaimEntry(msgspec.Struct, frozen=True, array_like=True):
    """A claim to run a request; ``outcome`` is None while the claim is open."""

    claimant: str
    outcome: Ran | MayHaveRun | None = None


class BudgetRecord(msgspec.Struct, array_like=True):
    """The state of one budget.

    ``settled`` tokens were billed to requests; ``unexplained`` ones were charged
    without a bill, by a write-off or a late settlement.

    ``usage_by_id``, ``claims_by_id`` and ``late_by_id`` are keyed by the 16 bytes of
    the request id (``pack_request_id``). ``late_by_id`` has the time at which a
    request older than the retention window was charged.
    """

    limit: int = 0
    limit_revision: int = -1
    settled: int = 0
    unexplained: int = 0
    grants_by_id: dict[str, OpenedGrant] = msgspec.field(default_factory=dict)
    closed_by_id: dict[str, ClosedGrant] = msgspec.field(default_factory=dict)
    usage_by_id: dict[bytes, UsageEntry] = msgspec.field(default_factory=dict)
    claims_by_id: dict[bytes, ClaimEntry] = msgspec.field(default_factory=dict)
    late_by_id: dict[bytes, int] = msgspec.field(default_factory=dict)

    @property
    def granted(self) -> int:
        """Return the tokens in open grants."""
        return sum(grant.amount for grant in self.grants_by_id.values())

    @property
    def charged(self) -> int:
        """Return the tokens that can't be granted to anyone."""
        return self.settled + self.unexplained + self.granted

    @property
    def available(self) -> int:
        """Return the tokens that can be granted."""
        return max(0, self.limit - self.charged)

    @property
    def holders(self) -> list[int]:
        """Return the incarnations that hold open grants."""
        return sorted({grant.holder for grant in self.grants_by_id.values()})

    def usage(self, request_id: str) -> int | None:
        """Return the tokens billed for a request, or None if it wasn't billed."""
        entry = self.usage_by_id.get(pack_request_id(request_id))
        return None if entry is None else entry.tokens

    def copy(self) -> "BudgetRecord":
        """Return a record whose mappings can be changed independently."""
        return BudgetRecord(
            limit=self.limit,
            limit_revision=self.limit_revision,
            settled=self.settled,
            unexplained=self.unexplained,
            grants_by_id=self.grants_by_id.copy(),
            closed_by_id=self.closed_by_id.copy(),
            usage_by_id=self.usage_by_id.copy(),
            claims_by_id=self.claims_by_id.copy(),
            late_by_id=self.late_by_id.copy(),
        )


class LedgerShard(msgspec.Struct, array_like=True):
    """The budgets of one shard.

    Entries of requests older than ``forgotten_before_unix`` have been dropped. The
    time is stored in the shard because the clocks of the writers differ.
    """

    records_by_key: dict[BudgetKey, BudgetRecord] = msgspec.field(default_factory=dict)
    forgotten_before_unix: int = 0

    def encode(self) -> bytes:
        """Return the shard as the bytes to store."""
        return _encoder.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "LedgerShard":
        """Return the shard from its stored bytes, or raise LedgerDecodeError."""
        try:
            return _decoder.decode(data)
        except msgspec.DecodeError as error:
            raise LedgerDecodeError(f"ledger shard: {error}") from error


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LedgerShard)


def pack_request_id(request_id: str) -> bytes:
    """Return the 16 bytes of a request id."""
    return uuid.UUID(request_id).bytes
