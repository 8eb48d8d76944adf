"""Identifiers of budgets and requests.

Request ids are UUIDs of version 7 (RFC 9562). Their first 48 bits hold the time
of creation, so the id alone tells whether a request is within a retention window.
"""

import hashlib
import uuid

import msgspec
import xxhash
from result import Err, Ok, Result

UUID_VERSION = 7
UUID_VERSION_SHIFT = 76
UUID_VARIANT_SHIFT = 62
UUID_TIME_SHIFT = 80
MILLISECONDS_PER_SECOND = 1000
DIGEST_BYTES = 16


class InvalidRequestIdError(ValueError):
    """A request id isn't a UUID of version 7 in canonical form."""

    def __init__(self, text: str):
        super().__init__(f"request id {text!r} is not a UUID of version 7")
        self.text = text


class BudgetKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies a budget by its organisation and its name in that organisation."""

    organisation: str
    budget: str

    def __str__(self) -> str:
        return f"{self.organisation}/{self.budget}"

    def shard(self, shard_count: int) -> int:
        """Return the number of the ledger shard that holds this budget."""
        return xxhash.xxh64_intdigest(str(self).encode()) % shard_count


class RequestKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies a request by its budget and an id that is unique in that budget."""

    budget: BudgetKey
    request_id: str

    def __str__(self) -> str:
        return f"{self.budget}/{self.request_id}"


def make_request_id(*, unix_time: float, random_bits: int) -> str:
    """Return a UUID of version 7 made from a Unix time and 74 random bits."""
    milliseconds = int(unix_time * MILLISECONDS_PER_SECOND)
    value = milliseconds << UUID_TIME_SHIFT
    value |= UUID_VERSION << UUID_VERSION_SHIFT
    value |= ((random_bits >> 62) & 0xFFF) << 64
    value |= 0b10 << UUID_VARIANT_SHIFT
    value |= random_bits & ((1 << UUID_VARIANT_SHIFT) - 1)
    return str(uuid.UUID(int=value))


def request_id_time(request_id: str) -> Result[float, InvalidRequestIdError]:
    """Return the time at which a request id was created, as a Unix time."""
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return Err(InvalidRequestIdError(request_id))
    if parsed.version != UUID_VERSION or str(parsed) != request_id:
        return Err(InvalidRequestIdError(request_id))
    return Ok((parsed.int >> UUID_TIME_SHIFT) / MILLISECONDS_PER_SECOND)


def id_digest(text: str) -> bytes:
    """Return DIGEST_BYTES that stand for an id of any length.

    Callers choose ids, so the hash is one for which they can't find collisions.
    """
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
