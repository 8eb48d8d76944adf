"""Records of what callers learnt about their requests."""

import enum

import msgspec

from lavenderfold.replay._trace import TraceRequest


class CallOutcome(enum.StrEnum):
    """Whether a request ran, as the caller was told.

    The values are those of the ``outcome`` field of error answers.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Step(enum.StrEnum):
    """What a caller does next with its request.

    POST sends the request, RESUME fetches the rest of its answer, GET_STATE fetches
    its state and STOP ends it.
    """

    POST = "post"
    RESUME = "resume"
    GET_STATE = "ask"
    STOP = "stop"


class Attempt(msgspec.Struct, kw_only=True):
    """One exchange with a router.

    ``status`` is 0 if no complete response was received. ``sent`` is false if the
    connection failed before any byte was sent. ``active`` is true if the router
    said that the request is still waiting or running. ``answered`` is true if the
    complete answer was received.
    """

    step: Step
    router: str
    status: int = 0
    outcome: CallOutcome = CallOutcome.MAY_HAVE_RUN
    reason: str = ""
    sent: bool = True
    active: bool = False
    answered: bool = False
    retry_after_s: float = 0.0


class CallRecord(msgspec.Struct, kw_only=True):
    """One request of the trace as its caller saw it.

    ``length`` and ``digest`` describe the received bytes, and ``head`` is the
    beginning of them. The ``stated_`` fields are what the router said about the
    complete answer. ``answered`` is false if the answer was lost, even if the
    request is known to have run. Times are seconds of the monotonic clock;
    ``gaps_s`` are the intervals between the parts of a streamed answer.
    """

    request: TraceRequest
    request_id: str
    due_s: float
    outcome: CallOutcome = CallOutcome.MAY_HAVE_RUN
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    length: int = 0
    digest: str = ""
    head: bytes = b""
    answered: bool = False
    stated_length: int | None = None
    stated_digest: str = ""
    stated_request_id: str = ""
    stated_tokens: int | None = None
    fault: str = ""
    first_part_s: float | None = None
    finished_s: float | None = None
    gaps_s: list[float] = msgspec.field(default_factory=list)

    @property
    def reason(self) -> str:
        """Return the reason that ended the last attempt, or an empty string."""
        return self.attempts[-1].reason if self.attempts else ""

    @property
    def name(self) -> str:
        """Return a short description of the request for messages."""
        request = self.request
        return f"{self.request_id} ({request.organisation} {request.route})"
