"""What is known about the run of a request.

The three outcomes are separate types from the target to the caller. Only
``NotRun`` permits a non-idempotent request to be sent again.
"""

import enum

import msgspec


class Reason(enum.StrEnum):
    """Why a request was refused or its outcome is unknown."""

    BUDGET_SPENT = "budget_spent"
    BUDGET_UNAVAILABLE = "budget_unavailable"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIMED_ELSEWHERE = "claimed_elsewhere"
    CONNECTION_FAILED = "connection_failed"
    CONNECTION_LOST = "connection_lost"
    DEADLINE_PASSED = "deadline_passed"
    DRAINING = "draining"
    FENCED = "fenced"
    INVALID = "invalid"
    ISOLATED = "isolated"
    NO_TARGET = "no_target"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    REQUEST_TOO_OLD = "request_too_old"
    TARGET_FAILED = "target_failed"


class NotRun(msgspec.Struct, frozen=True, tag="not_run"):
    """The request certainly didn't run and won't run."""

    reason: Reason
    detail: str = ""


class MayHaveRun(msgspec.Struct, frozen=True, tag="may_have_run"):
    """Nobody can tell whether the request ran."""

    reason: Reason
    detail: str = ""


class Ran(msgspec.Struct, frozen=True, tag="ran"):
    """The request ran to its end. ``tokens`` is the amount to bill."""

    tokens: int
    length: int
    digest: str


Outcome = NotRun | MayHaveRun | Ran
