"""Requests and answers as the router sees them, and the codec of a platform."""

import enum
from collections.abc import Callable

import msgspec

from lavenderfold.fleet import Route, Target
from lavenderfold.http import HttpRequest


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt; requests with the same parts share their prefix."""

    id: str
    tokens: int


class TokenDemand(msgspec.Struct, frozen=True):
    """The tokens of a prompt and the maximum of generated tokens."""

    prompt: int
    output_limit: int

    @property
    def worst_case(self) -> int:
        return self.prompt + self.output_limit


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a caller at a request, decoded.

    ``caller_timeout_s`` is how long the caller waits. ``forwarded_headers`` are
    passed to a target as the caller sent them.
    """

    attempt_id: str
    host: str
    method: str
    target: str
    path: str
    forwarded_headers: list[tuple[str, str]]
    body: bytes
    caller_timeout_s: float | None
    key: str | None = None
    tokens: TokenDemand | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """The ids of the parts that other requests may share: all but the last."""
        return tuple(part.id for part in self.prompt_parts[:-1])


class TargetCall(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request as it is sent to a target.

    ``priority`` 0 is the most urgent; None leaves the order to the target.
    """

    request: CallerRequest
    route: Route
    target: Target
    organisation: str | None
    remaining_s: float
    last_event_id: str | None
    priority: int | None = None


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a target's answer.

    ``is_signed`` answers come from the application of a target. ``is_not_run``
    means that the target certainly didn't run the request. ``is_leaving`` targets
    are about to exit. ``pause_s`` is how long the target wants no request from this
    router, None if it doesn't say, and NaN if that can't be read.
    """

    status: int
    attempt_id: str | None
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    headers: list[tuple[str, str]]
    is_leaving: bool = False
    pause_s: float | None = None

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300

    @property
    def asks_pause(self) -> bool:
        """Whether the target asks for a pause with a valid value."""
        return self.pause_s is not None and self.pause_s > 0


class InvalidCause(enum.Enum):
    """Why bytes of a target are no answer to the attempt.

    REPEATED_HEADER, HEADER_VALUE and CONTRADICTION: parts of two answers may stand in
    one head. MIXED_HEAD: a status line stands within the head. MALFORMED: the bytes
    aren't HTTP. EVENT: the bytes of a stream can't be an event.
    """

    REPEATED_HEADER = "repeated_header"
    HEADER_VALUE = "header_value"
    CONTRADICTION = "contradiction"
    MIXED_HEAD = "mixed_head"
    MALFORMED = "malformed"
    OTHER_ATTEMPT = "other_attempt"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    TOO_LONG = "too_long"
    EVENT = "event"


class InvalidAnswerError(Exception):
    """The bytes of a target are no answer.

    ``detail`` names the header, or what makes the bytes malformed.
    """

    def __init__(self, cause: InvalidCause, detail: str | None = None):
        super().__init__(cause.value if detail is None else f"{cause.value}: {detail}")
        self.cause = cause
        self.detail = detail


class PlatformCodec(msgspec.Struct, frozen=True, kw_only=True):
    """Functions that encode and decode a platform's requests and answers.

    ``read_request`` raises MalformedRequestError and ``read_answer``
    InvalidAnswerError. ``answer_headers`` returns the headers of an answer by the
    router itself, given the attempt id.
    """

    read_request: Callable[[HttpRequest], CallerRequest]
    write_call: Callable[[TargetCall], HttpRequest]
    read_answer: Callable[[int, list[tuple[str, str]]], AnswerHead]
    answer_headers: Callable[[str], list[tuple[str, str]]]
