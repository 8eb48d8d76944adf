"""Replays recorded requests against a fleet and checks their outcomes."""

from lavenderfold.replay._checks import (
    BudgetEvidence,
    Evidence,
    Finding,
    RunEvidence,
    select_checks,
)
from lavenderfold.replay._evidence import EvidenceError, EvidenceReader
from lavenderfold.replay._player import Player, PlayOptions
from lavenderfold.replay._records import Attempt, CallOutcome, CallRecord, Step
from lavenderfold.replay._results import CheckResults, format_results, run_checks
from lavenderfold.replay._routers import Router
from lavenderfold.replay._trace import (
    Expected,
    PromptParameters,
    RequestKind,
    TraceError,
    TraceRequest,
    decode_trace,
    encode_trace,
    load_trace,
    make_words,
)

__all__ = [
    "Attempt",
    "BudgetEvidence",
    "CallOutcome",
    "CallRecord",
    "CheckResults",
    "Evidence",
    "EvidenceError",
    "EvidenceReader",
    "Expected",
    "Finding",
    "PlayOptions",
    "Player",
    "PromptParameters",
    "RequestKind",
    "Router",
    "RunEvidence",
    "Step",
    "TraceError",
    "TraceRequest",
    "decode_trace",
    "encode_trace",
    "format_results",
    "load_trace",
    "make_words",
    "run_checks",
    "select_checks",
]
