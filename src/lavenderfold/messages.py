"""Messages between routers and agents and between routers.

All are msgspec structs with the class name as their tag, and a link carries batches
of them. Times are in seconds, sizes in bytes and tokens are whole numbers, unless a
field's description says otherwise.
"""

import msgspec

from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.operations import Operation, OperationResult
from lavenderfold.outcomes import Outcome


class RouterHello(msgspec.Struct, frozen=True, tag=True):
    """The first message of a router on a link to an agent; sent again on a change.

    ``grant_sequence`` is the highest number that the router has given to a grant
    so far; grants that it opens later have higher numbers. The router requests a
    load report each ``report_period_s``, and immediately when the agent's readiness
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
    """Orders an agent to run a request.

    ``payer`` is the incarnation that holds the grant ``grant_id``. It isn't the
    sender's own incarnation when the sender spends a loan. ``deadline_s`` counts
    from receipt. For a model ``model``, ``prompt`` and ``max_tokens`` are set, for a
    plain service ``method``, ``path``, ``content_type``, ``body`` and
    ``cost_tokens``.
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
    """Cancels a run whose caller has disconnected and which nobody will resume."""

    run_id: str


class ResumeRun(msgspec.Struct, frozen=True, tag=True):
    """Requests the answer to a request from ``offset`` bytes on.

    ``subscription`` takes the place of the run id in the frames that follow.
    """

    subscription: str
    key: RequestKey
    offset: int


class UsageStored(msgspec.Struct, frozen=True, tag=True):
    """Confirms that the usage of these runs is durable, so the agent may drop it."""

    run_ids: list[str]


class Fence(msgspec.Struct, frozen=True, tag=True):
    """Orders an agent to refuse all further runs paid by an incarnation."""

    incarnation: int


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Shows that a router is alive, and its configuration revision.

    A router sends it on each of its links. The next heartbeat follows within
    ``period_s``.
    """

    revision: int
    period_s: float = 5.0


class PlacementOrder(msgspec.Struct, frozen=True, tag=True):
    """Orders the target to load or unload a model; the agent forwards it."""

    fencing_token: int
    action: str
    model: str


class AgentHello(msgspec.Struct, frozen=True, tag=True):
    """The first message of an agent on a link. ``boot_id`` is new at each start."""

    target: str
    boot_id: str
    region: str
    failure_domain: str
    models: list[str]


class RunAccepted(msgspec.Struct, frozen=True, tag=True):
    """Confirms that a run is queued or running at the agent."""

    run_id: str


class Frame(msgspec.Struct, frozen=True, tag=True):
    """A part of an answer: its byte offset, its bytes and its number of tokens."""

    run_id: str
    offset: int
    data: bytes
    tokens: int


class RunEnded(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Reports a run's end or refusal. ``status`` is the target's HTTP status."""

    run_id: str
    outcome: Outcome
    status: int = 0
    content_type: str = ""


class RunUnknown(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``ResumeRun``: the agent doesn't have that part of the answer."""

    subscription: str


class LoadReport(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Reports the current load of an agent and its target.

    ``tokens_per_s`` is the target's recent output rate. ``prefixes`` are hashes of
    cached prompt prefixes; if ``prefixes_known`` is false, the report leaves them out.
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
    """The tokens of one ended run, to be billed to the grant ``grant_id``."""

    run_id: str
    key: RequestKey
    payer: int
    grant_id: str
    tokens: int


class UsageReport(msgspec.Struct, frozen=True, tag=True):
    """Reports usage that no router has confirmed as durable."""

    records: list[UsageRecord]


class FenceReport(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``Fence``: tokens by grant id that open or unsettled runs may use.

    The agent's process knows every run that was paid by a grant of the incarnation
    with a number above ``complete_after``: 0 stands for all grants, None for none.
    For the other grants, an earlier process may have lost the usage of runs.
    """

    target: str
    incarnation: int
    held_by_grant_id: dict[str, int]
    complete_after: int | None = None


class PeerHello(msgspec.Struct, frozen=True, tag=True):
    """The first message on a link between routers, sent by both sides."""

    router: str
    incarnation: int
    region: str
    failure_domain: str
    revision: int


class LoanRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks a router to lend tokens of a budget. ``loan_id`` makes it idempotent."""

    loan_id: str
    key: BudgetKey
    tokens: int


class Loan(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``LoanRequest``; zero ``tokens`` mean that nothing was lent."""

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
    """Answer to ``HandBackRequest``: the number of tokens that were handed back."""

    key: BudgetKey
    tokens: int


class LedgerRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks the router that writes a ledger shard to make an operation durable.

    ``number`` is unique among the requests of the sending process.
    """

    number: int
    operation: Operation


class LedgerAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``LedgerRequest``.

    If ``result`` is None, it's unknown whether the operation is or will be applied.
    """

    number: int
    result: OperationResult | None


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks a router for its configuration if that is newer than ``revision``."""

    revision: int


class Snapshot(msgspec.Struct, frozen=True, tag=True):
    """A complete configuration: the text of each file by file name."""

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
