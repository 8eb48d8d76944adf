"""Quarantine of prompt parts that crash the targets that answer them."""

from lavenderfold.quarantine._evidence import CrashKey, LostPrompt
from lavenderfold.quarantine._publisher import EvidencePublisher
from lavenderfold.quarantine._quarantine import (
    BEGINNING_S,
    PromptQuarantine,
    QuarantineSnapshot,
    Verdict,
)

__all__ = [
    "BEGINNING_S",
    "CrashKey",
    "EvidencePublisher",
    "LostPrompt",
    "PromptQuarantine",
    "QuarantineSnapshot",
    "Verdict",
]
