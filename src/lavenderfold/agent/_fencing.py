"""The fence gate as the agent uses it, and how it's made from the store's value."""

from collections.abc import Callable
from typing import Protocol

MEMBER_KEY = "members/routers"


class Gate(Protocol):
    """Knows which incarnations may pay for runs."""

    def admits(self, payer: int) -> bool:
        """Return whether runs paid by an incarnation are accepted."""
        ...

    def fence(self, incarnation: int) -> None:
        """Accept no more runs paid by an incarnation."""
        ...

    def vouches_for(self, incarnation: int) -> bool:
        """Return whether this process knows every run of an incarnation here."""
        ...


GateOpener = Callable[[bytes | None], Gate]


class Fences:
    """Fences that hold from the start, even before the member record is read."""

    def __init__(self) -> None:
        self._gate: Gate | None = None
        self._fenced: set[int] = set()

    @property
    def ready(self) -> bool:
        """Whether the member record has been read."""
        return self._gate is not None

    def open(self, gate: Gate) -> None:
        """Use the gate of the member record; earlier fences are applied to it."""
        for incarnation in self._fenced:
            gate.fence(incarnation)
        self._gate = gate

    def admits(self, payer: int) -> bool:
        return self._gate is not None and self._gate.admits(payer)

    def vouches_for(self, incarnation: int) -> bool:
        return self._gate is not None and self._gate.vouches_for(incarnation)

    def fence(self, incarnation: int) -> None:
        self._fenced.add(incarnation)
        if self._gate is not None:
            self._gate.fence(incarnation)


def open_gate(data: bytes | None) -> Gate:
    """Return the gate for the stored member record; None stands for a missing key."""
    # Imported here so that the agent's other code doesn't depend on the package.
    from lavenderfold.members import FenceGate, MemberRecord

    record = MemberRecord() if data is None else MemberRecord.decode(data)
    return FenceGate(record)
