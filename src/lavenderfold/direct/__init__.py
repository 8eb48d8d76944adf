"""Routers that send requests directly to the targets, without agents in between."""

from lavenderfold.direct._requests import (
    AnswerHead,
    CallerRequest,
    InvalidAnswerError,
    InvalidCause,
    PlatformCodec,
    PromptPart,
    TargetCall,
    TokenDemand,
)
from lavenderfold.direct._router import DirectRouter
from lavenderfold.direct._router_options import RouterOptions
from lavenderfold.direct._sinks import RecordReader, UnreadableItemError

__all__ = [
    "AnswerHead",
    "CallerRequest",
    "PlatformCodec",
    "DirectRouter",
    "InvalidAnswerError",
    "InvalidCause",
    "PromptPart",
    "RecordReader",
    "RouterOptions",
    "TargetCall",
    "TokenDemand",
    "UnreadableItemError",
]
