"""Values of the key-value service."""

import msgspec


class VersionedValue(msgspec.Struct, frozen=True):
    """A value and its version, which grows with each write of the key."""

    value: bytes
    version: int
