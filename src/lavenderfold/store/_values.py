"""Value types of the key-value service."""

import msgspec


class VersionedValue(msgspec.Struct, frozen=True):
    """The value of a key and its version, which increases with each write."""

    value: bytes
    version: int
