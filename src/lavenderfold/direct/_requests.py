"""Requests and answers in the router's own terms, and the dialect of a platform."""

from collections.abc import Callable

import msgspec

from lavenderfold.fleet import Route, Target
from lavenderfold.http import HttpRequest


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


class TokenDemand(msgspec.Struct, frozen=True):
    """The tokens of a prompt and the most that may be generated."""

    prompt: int
    output_limit: int

    @property
    def worst_case(self) -> int:
        return self.prompt + self.output_limit


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a caller, decoded. ``caller_timeout_s`` is how long it will wait.

    ``forwarded`` holds the headers that a target gets as the caller sent them.
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


class TargetCall(msgspec.Struct, frozen=True, kw_only=True):
    """What a target is asked to do for a caller's attempt."""

    request: CallerRequest
    route: Route
    target: Target
    organisation: str | None
    remaining_s: float
    last_event_id: str | None


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of a target's answer.

    ``is_signed`` answers come from a target's application; ``is_not_run`` says
    that the target certainly didn't run the request.
    """

    status: int
    attempt_id: str | None
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    headers: list[tuple[str, str]]

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300


class PlatformCodec(msgspec.Struct, frozen=True, kw_only=True):
    """How a platform writes requests and answers.

    ``read_request`` raises MalformedRequestError. ``answer_headers`` are those
    of an answer that the router gives itself.
    """

    read_request: Callable[[HttpRequest], CallerRequest]
    write_call: Callable[[TargetCall], HttpRequest]
    read_answer: Callable[[int, list[tuple[str, str]]], AnswerHead]
    answer_headers: Callable[[str], list[tuple[str, str]]]
