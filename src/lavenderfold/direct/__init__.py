"""Routers that send straight to the targets, without agents beside them."""

from lavenderfold.direct._requests import (
    AnswerHead,
    CallerRequest,
    PlatformCodec,
    PromptPart,
    TargetCall,
    TokenDemand,
)
from lavenderfold.direct._router import DirectRouter, RouterOptions
from lavenderfold.direct._sinks import RecordReader, UnreadableItemError

__all__ = [
    "AnswerHead",
    "CallerRequest",
    "PlatformCodec",
    "DirectRouter",
    "PromptPart",
    "RecordReader",
    "RouterOptions",
    "TargetCall",
    "TokenDemand",
    "UnreadableItemError",
]
