"""What a caller knows about its request in the end."""

import enum

import msgspec

from lavenderfold.replay._trace import TraceRequest


class CallOutcome(enum.StrEnum):
    """What the caller was told; the values are those of error answers."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Step(enum.StrEnum):
    """What a caller does with its request.

    POST sends it, RESUME asks for its answer and GET_STATE for its state.
    """

    POST = "post"
    RESUME = "resume"
    GET_STATE = "ask"
    STOP = "stop"


class Attempt(msgspec.Struct, kw_only=True):
    """One exchange with a router. Status 0 means that no whole answer came.

    ``sent`` is false if the connection failed before a byte left, ``active``
    is true if the router said that the request still waits or runs, and
    ``answered`` is true if the whole answer came.
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

    ``length`` and ``digest`` are those of the received bytes, ``head`` the
    first of them; the stated ones are from the end of the answer. ``answered``
    is false if the request is known to have run but its answer was lost. Times
    are seconds of the monotonic clock; ``gaps_s`` are the times between the
    parts of a streamed answer.
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
        """Return the reason of the last refusal, or an empty text."""
        return self.attempts[-1].reason if self.attempts else ""

    @property
    def name(self) -> str:
        """Return a short name for messages."""
        request = self.request
        return f"{self.request_id} ({request.organisation} {request.route})"
