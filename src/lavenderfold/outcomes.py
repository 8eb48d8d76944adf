"""Outcomes of requests: run, certainly not run, or unknown.

The three outcomes stay separate types on the whole way from the target to the
caller. A non-idempotent request may be sent again only after ``NotRun``.
"""

import enum

import msgspec


class Reason(enum.StrEnum):
    """The reason for which a request was refused or its outcome is unknown."""

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
    PATIENCE_OVER = "patience_over"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_TOO_OLD = "request_too_old"
    TARGET_FAILED = "target_failed"
    TARGETS_PAUSED = "targets_paused"


class NotRun(msgspec.Struct, frozen=True, tag="not_run"):
    """The request certainly hasn't run and won't run."""

    reason: Reason
    detail: str = ""


class MayHaveRun(msgspec.Struct, frozen=True, tag="may_have_run"):
    """It's unknown whether the request ran or still runs."""

    reason: Reason
    detail: str = ""


class Ran(msgspec.Struct, frozen=True, tag="ran"):
    """The request ran and its answer is complete.

    ``tokens`` is the amount to bill. ``length`` and ``digest`` are the size and the
    SHA-256 digest of the answer.
    """

    tokens: int
    length: int
    digest: str


Outcome = NotRun | MayHaveRun | Ran
