"""Messages of the links between routers and agents and between routers.

All are msgspec structs with a tag; a link carries batches of them. Times are
seconds, sizes bytes, and tokens whole numbers, unless a field says otherwise.
"""

import msgspec

from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.operations import Operation, OperationResult
from lavenderfold.outcomes import Outcome


class RouterHello(msgspec.Struct, frozen=True, tag=True):
    """First message of a router on a link to an agent; sent again on a change.

    ``grant_sequence`` is the highest number that the router has given to a grant
    so far; grants that it opens later have higher ones. The router asks for a
    load report each ``report_period_s`` and at once when the agent's readiness
    or drain state changes.
    """

    router: str
    incarnation: int
    region: str
    failure_domain: str
    revision: int
    grant_sequence: int
    report_period_s: float = 0.25


class Run(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Order to run a request.

    ``payer`` is the incarnation whose grant ``grant_id`` pays, which isn't the
    sender's own when it spends a loan. ``deadline_s`` counts from receipt.
    For a model, ``prompt`` and ``max_tokens`` are set; for an application,
    ``method``, ``path``, ``content_type``, ``body`` and ``cost_tokens``.
    """

    run_id: str
    key: RequestKey
    attempt: int
    payer: int
    grant_id: str
    reserved: int
    idempotent: bool
    priority: int
    deadline_s: float
    model: str = ""
    prompt: str = ""
    max_tokens: int = 0
    method: str = ""
    path: str = ""
    content_type: str = ""
    body: bytes = b""
    cost_tokens: int = 0


class CancelRun(msgspec.Struct, frozen=True, tag=True):
    """The caller has gone for good and nobody will resume this run."""

    run_id: str


class ResumeRun(msgspec.Struct, frozen=True, tag=True):
    """Asks for the answer of a request from ``offset`` bytes on.

    ``subscription`` takes the place of the run id in the answer's frames.
    """

    subscription: str
    key: RequestKey
    offset: int


class UsageStored(msgspec.Struct, frozen=True, tag=True):
    """The usage of these runs is durable; the agent may forget it."""

    run_ids: list[str]


class Fence(msgspec.Struct, frozen=True, tag=True):
    """Asks an agent to accept no more runs paid by an incarnation."""

    incarnation: int


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Sent by a router on each of its links; names its configuration revision.

    The next one follows after ``period_s`` at the latest.
    """

    revision: int
    period_s: float = 5.0


class PlacementOrder(msgspec.Struct, frozen=True, tag=True):
    """Orders the target to load or unload a model."""

    fencing_token: int
    action: str
    model: str


class AgentHello(msgspec.Struct, frozen=True, tag=True):
    """First message of an agent on a link. ``boot_id`` is new at each start."""

    target: str
    boot_id: str
    region: str
    failure_domain: str
    models: list[str]


class RunAccepted(msgspec.Struct, frozen=True, tag=True):
    """The run is queued or running at the agent."""

    run_id: str


class Frame(msgspec.Struct, frozen=True, tag=True):
    """A part of an answer. ``offset`` is in bytes, ``tokens`` are those in it."""

    run_id: str
    offset: int
    data: bytes
    tokens: int


class RunEnded(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The end of a run, or its refusal. ``status`` is the target's HTTP status."""

    run_id: str
    outcome: Outcome
    status: int = 0
    content_type: str = ""


class RunUnknown(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``ResumeRun``: this agent doesn't have the request."""

    subscription: str


class LoadReport(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The agent's own current load.

    ``tokens_per_s`` is the target's recent output rate; ``prefixes`` are the
    hashes of cached prompt prefixes, empty when ``prefixes_known`` is false.
    """

    running: int
    queued: int
    queued_tokens: int
    slots: int
    tokens_per_s: float
    ready: bool
    draining: bool
    revision: int
    models: list[str] = msgspec.field(default_factory=list)
    prefixes: list[int] = msgspec.field(default_factory=list)
    prefixes_known: bool = False


class UsageRecord(msgspec.Struct, frozen=True):
    """The usage of one finished run, to be billed under ``grant_id``."""

    run_id: str
    key: RequestKey
    payer: int
    grant_id: str
    tokens: int


class UsageReport(msgspec.Struct, frozen=True, tag=True):
    """Usage that no router has confirmed as durable."""

    records: list[UsageRecord]


class FenceReport(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``Fence``: tokens by grant id that open or unbilled runs hold.

    The agent's process knows all runs paid by grants of the incarnation with a
    number above ``complete_after``: 0 stands for all grants, None for none. An
    earlier process may have lost usage of runs paid by the others.
    """

    target: str
    incarnation: int
    held_by_grant_id: dict[str, int]
    complete_after: int | None = None


class PeerHello(msgspec.Struct, frozen=True, tag=True):
    """First message on a link between routers, sent by both sides."""

    router: str
    incarnation: int
    region: str
    failure_domain: str
    revision: int


class LoanRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks a router for tokens of a budget. ``loan_id`` makes it idempotent."""

    loan_id: str
    key: BudgetKey
    tokens: int


class Loan(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``LoanRequest``; zero tokens mean that there are none to lend."""

    loan_id: str
    key: BudgetKey
    grant_id: str
    payer: int
    tokens: int


class LoanReturn(msgspec.Struct, frozen=True, tag=True):
    """Returns the unused part of a loan to the lender."""

    loan_id: str
    tokens: int


class HandBackRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks a router to hand unused tokens of a budget back to the ledger."""

    key: BudgetKey


class HandBackDone(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``HandBackRequest``: what was handed back."""

    key: BudgetKey
    tokens: int


class LedgerRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks the writer of a ledger shard to make an operation durable.

    ``number`` is unique among the requests of the sending process.
    """

    number: int
    operation: Operation


class LedgerAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``LedgerRequest``; without result the operation may yet apply."""

    number: int
    result: OperationResult | None


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks a router for its configuration if newer than ``revision``."""

    revision: int


class Snapshot(msgspec.Struct, frozen=True, tag=True):
    """A whole configuration: the text of each file by name."""

    revision: int
    text_by_name: dict[str, str]


MessageToAgent = (
    RouterHello
    | Run
    | CancelRun
    | ResumeRun
    | UsageStored
    | Fence
    | Heartbeat
    | PlacementOrder
)
MessageToRouter = (
    AgentHello
    | RunAccepted
    | Frame
    | RunEnded
    | RunUnknown
    | LoadReport
    | UsageReport
    | FenceReport
)
MessageToPeer = (
    PeerHello
    | Heartbeat
    | LoanRequest
    | Loan
    | LoanReturn
    | HandBackRequest
    | HandBackDone
    | LedgerRequest
    | LedgerAnswer
    | SnapshotRequest
    | Snapshot
)
