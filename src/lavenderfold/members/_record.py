"""The record of all live routers, stored under the key ``members/routers``."""

from collections.abc import Iterable

import msgspec

FIRST_INCARNATION = 1


class MemberDecodeError(ValueError):
    """The stored member record can't be decoded by this version."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A registered router; each registration has a new ``boot_id``."""

    router: str
    boot_id: str
    region: str = ""
    failure_domain: str = ""


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """The live incarnations, and the number that the next one gets.

    A router is retired in this record before any agent is asked to fence it, so that
    an agent that starts later refuses its runs. ``retired`` are the retired
    incarnations that may still hold grants; it is missing in records that earlier
    versions stored.
    """

    next_incarnation: int = FIRST_INCARNATION
    live_by_incarnation: dict[int, Member] = msgspec.field(default_factory=dict)
    retired: list[int] = msgspec.field(default_factory=list)

    def register(
        self,
        *,
        router: str,
        boot_id: str,
        region: str = "",
        failure_domain: str = "",
        previous: int = 0,
    ) -> tuple["MemberRecord", int]:
        """Return the record with a new incarnation, and the number of that.

        A ``boot_id`` that is already registered keeps its number, so that a
        registration whose response was lost can be repeated. ``previous`` is the
        fenced incarnation that the process had before. It is retired again, because
        it may have opened a grant after its grants were reclaimed.
        """
        for incarnation, member in self.live_by_incarnation.items():
            if member.boot_id == boot_id:
                return self, incarnation
        record = self.retire(previous) if previous else self
        number = record.next_incarnation
        member = Member(router, boot_id, region, failure_domain)
        live = {**record.live_by_incarnation, number: member}
        return MemberRecord(number + 1, live, record.retired), number

    def retire(self, incarnation: int) -> "MemberRecord":
        """Return the record with an incarnation moved to the retired ones."""
        live = {
            number: member
            for number, member in self.live_by_incarnation.items()
            if number != incarnation
        }
        retired = sorted({*self.retired, incarnation})
        return MemberRecord(self.next_incarnation, live, retired)

    def drop_retired(self, incarnations: Iterable[int]) -> "MemberRecord":
        """Return the record without retired incarnations that hold no more grants."""
        dropped = set(incarnations)
        retired = [number for number in self.retired if number not in dropped]
        return MemberRecord(self.next_incarnation, self.live_by_incarnation, retired)

    def encode(self) -> bytes:
        """Return the record as the bytes to store."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "MemberRecord":
        """Return the record from its stored bytes, or raise MemberDecodeError."""
        try:
            return msgspec.msgpack.decode(data, type=cls)
        except msgspec.DecodeError as error:
            raise MemberDecodeError(f"member record: {error}") from error
