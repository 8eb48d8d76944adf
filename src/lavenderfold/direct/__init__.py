"""Routers that send straight to the targets, without agents beside them."""

from lavenderfold.direct._requests import (
    AnswerHead,
    CallerRequest,
    Dialect,
    PromptPart,
    TargetCall,
    TokenUse,
)
from lavenderfold.direct._router import DirectRouter, RouterOptions
from lavenderfold.direct._sinks import RecordReader, UnreadableItemError

__all__ = [
    "AnswerHead",
    "CallerRequest",
    "Dialect",
    "DirectRouter",
    "PromptPart",
    "RecordReader",
    "RouterOptions",
    "TargetCall",
    "TokenUse",
    "UnreadableItemError",
]
