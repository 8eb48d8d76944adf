"""The record of one run at the agent and the subscriptions to its answer."""

import enum

import msgspec

from lavenderfold.agent._answer_buffer import AnswerBuffer
from lavenderfold.messages import Run, UsageRecord
from lavenderfold.outcomes import MayHaveRun, NotRun, Outcome, Ran


class RunState(enum.Enum):
    """The state of a run. Records of runs that end as ``NotRun`` are not kept."""

    QUEUED = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


class SubmitResult(enum.Enum):
    """The result of submitting an order that was not refused."""

    ACCEPTED = enum.auto()
    DUPLICATE = enum.auto()


class AppendResult(enum.Enum):
    """Whether a part was appended to an answer.

    ``TOKEN_LIMIT_REACHED``: the part was cut at max_tokens.
    ``BUFFER_FULL``: nothing was appended, because the answer exceeds its buffer.
    """

    APPENDED = enum.auto()
    TOKEN_LIMIT_REACHED = enum.auto()
    BUFFER_FULL = enum.auto()


class Subscription:
    """A link that receives an answer in frames with the run id ``name``.

    ``position`` is the offset up to which the answer was sent.
    """

    __slots__ = ("link", "name", "position")

    def __init__(self, *, link: int, name: str, position: int):
        self.link = link
        self.name = name
        self.position = position


class RunRecord:
    """The state of one run. ``answer`` is None after its bytes were evicted.

    ``sender_incarnation`` is the incarnation of the router that sent the order.
    ``idle_since`` is the time at which the last subscription ended while the run
    was open, or None if there is one.
    """

    __slots__ = (
        "order",
        "sequence",
        "sender_incarnation",
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

    def __init__(
        self, *, order: Run, sequence: int, sender_incarnation: int | None, now: float
    ):
        self.order = order
        self.sequence = sequence
        self.sender_incarnation = sender_incarnation
        self.state = RunState.QUEUED
        self.prompt_tokens = count_prompt_tokens(order)
        self.queue_deadline = now + order.deadline_s
        self.started_at = now
        self.ended_at = now
        self.idle_since: float | None = None
        self.answer: AnswerBuffer | None = AnswerBuffer()
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

    def subscribe(self, link_number: int, name: str, *, position: int) -> None:
        """Add a link's subscription ``name``, or replace it if there is one."""
        self.subscriptions = self._other_subscriptions(link_number, name)
        self.subscriptions.append(
            Subscription(link=link_number, name=name, position=position)
        )
        self.idle_since = None

    def unsubscribe(self, link_number: int, name: str | None, *, now: float) -> None:
        """Remove a link's subscription ``name``, or all of them for None."""
        kept = self._other_subscriptions(link_number, name)
        if self.subscriptions and not kept:
            self.idle_since = now
        self.subscriptions = kept

    def has_other_subscription(self, link_number: int, name: str) -> bool:
        """Return whether there is a subscription other than a link's ``name``."""
        return bool(self._other_subscriptions(link_number, name))

    def complete_outcome(self) -> Ran:
        """Return the outcome of a run whose answer is complete."""
        tokens = self.order.cost_tokens
        if self.is_model:
            tokens = self.prompt_tokens + self.answer.tokens
        return Ran(tokens=tokens, length=len(self.answer), digest=self.answer.digest())

    def usage_record(self) -> UsageRecord | None:
        """Return the usage to bill for an ended run, or None if there is none."""
        tokens = _billed_tokens(self)
        if tokens == 0:
            return None
        order = self.order
        return UsageRecord(order.run_id, order.key, order.payer, order.grant_id, tokens)

    def discard_input(self) -> None:
        """Discard prompt and body, which aren't needed after the run has ended."""
        self.order = msgspec.structs.replace(self.order, prompt="", body=b"")

    def _other_subscriptions(
        self, link_number: int, name: str | None
    ) -> list[Subscription]:
        return [
            other
            for other in self.subscriptions
            if other.link != link_number or name not in (None, other.name)
        ]


def is_model_order(order: Run) -> bool:
    """Return whether an order is for a model rather than a plain service."""
    return bool(order.model)


def count_prompt_tokens(order: Run) -> int:
    """Return the number of tokens in a prompt: its whitespace-separated words."""
    return len(order.prompt.split())


def worst_case_tokens(order: Run) -> int:
    """Return the largest number of tokens that an order can be billed for."""
    if is_model_order(order):
        return count_prompt_tokens(order) + order.max_tokens
    return order.cost_tokens


def input_bytes(order: Run) -> int:
    """Return the approximate memory that an order takes while it's queued."""
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
