"""Client for the platform's key-value service."""

from lavenderfold.store._client import Store
from lavenderfold.store._errors import (
    AnswerLostError,
    ConflictError,
    StoreError,
    StoreUnavailableError,
)
from lavenderfold.store._values import VersionedValue

__all__ = [
    "AnswerLostError",
    "ConflictError",
    "Store",
    "StoreError",
    "StoreUnavailableError",
    "VersionedValue",
]
