"""One run at the agent, and who reads its answer."""

import enum

import msgspec

from lavenderfold.agent._answer import Answer
from lavenderfold.messages import Run, UsageRecord
from lavenderfold.outcomes import MayHaveRun, NotRun, Outcome, Ran


class RunState(enum.Enum):
    """How far a run has come. A run that is stated as not run is no longer kept."""

    QUEUED = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


class Submission(enum.Enum):
    """What became of an order that was not refused."""

    ACCEPTED = enum.auto()
    DUPLICATE = enum.auto()


class Appended(enum.Enum):
    """Whether a part of an answer was taken."""

    TAKEN = enum.auto()
    LIMIT_REACHED = enum.auto()
    TOO_LONG = enum.auto()


class Subscription:
    """A link that reads an answer under a name, up to ``position`` so far."""

    __slots__ = ("link", "name", "position")

    def __init__(self, *, link: int, name: str, position: int):
        self.link = link
        self.name = name
        self.position = position


class RunRecord:
    """The state of one run. ``answer`` is None once its bytes were evicted.

    ``owner`` is the incarnation of the router that sent the order, and
    ``idle_since`` the time at which the last reader went, if there is none.
    """

    __slots__ = (
        "order",
        "sequence",
        "owner",
        "state",
        "prompt_tokens",
        "queue_deadline",
        "started_at",
        "ended_at",
        "idle_since",
        "answer",
        "outcome",
        "status",
        "content_type",
        "subscriptions",
    )

    def __init__(self, *, order: Run, sequence: int, owner: int | None, now: float):
        self.order = order
        self.sequence = sequence
        self.owner = owner
        self.state = RunState.QUEUED
        self.prompt_tokens = count_prompt_tokens(order)
        self.queue_deadline = now + order.deadline_s
        self.started_at = now
        self.ended_at = now
        self.idle_since: float | None = None
        self.answer: Answer | None = Answer()
        self.outcome: Outcome | None = None
        self.status = 0
        self.content_type = ""
        self.subscriptions: list[Subscription] = []

    @property
    def run_id(self) -> str:
        return self.order.run_id

    @property
    def is_model(self) -> bool:
        return is_model_order(self.order)

    def ran(self) -> Ran:
        """Return the outcome of a whole answer."""
        tokens = self.order.cost_tokens
        if self.is_model:
            tokens = self.prompt_tokens + self.answer.tokens
        return Ran(tokens=tokens, length=len(self.answer), digest=self.answer.digest())

    def usage(self) -> UsageRecord | None:
        """Return what an ended run is billed, or None for nothing."""
        tokens = _billed_tokens(self)
        if tokens == 0:
            return None
        order = self.order
        return UsageRecord(order.run_id, order.key, order.payer, order.grant_id, tokens)

    def drop_input(self) -> None:
        """Forget prompt and body, which only a run that hasn't ended needs."""
        self.order = msgspec.structs.replace(self.order, prompt="", body=b"")


def is_model_order(order: Run) -> bool:
    """Return whether an order is for a model and not for an application."""
    return bool(order.model)


def count_prompt_tokens(order: Run) -> int:
    """Return the tokens of an order's prompt: its whitespace-separated words."""
    return len(order.prompt.split())


def worst_case_tokens(order: Run) -> int:
    """Return the most that an order can be billed."""
    if is_model_order(order):
        return count_prompt_tokens(order) + order.max_tokens
    return order.cost_tokens


def input_bytes(order: Run) -> int:
    """Return about how much memory an order takes while it waits."""
    return len(order.prompt) + len(order.body)


def _billed_tokens(record: RunRecord) -> int:
    match record.outcome:
        case Ran(tokens=tokens):
            return tokens
        case MayHaveRun() if not record.is_model:
            return record.order.cost_tokens
        case MayHaveRun() if record.answer.tokens:
            return record.prompt_tokens + record.answer.tokens
        case MayHaveRun() | NotRun() | None:
            return 0
