"""The fence gate as the agent uses it, and how it's made from the store's value."""

from collections.abc import Callable
from typing import Protocol

from lavenderfold.members import FenceGate, MemberRecord

MEMBER_KEY = "members/routers"


class Gate(Protocol):
    """Knows which incarnations may pay for runs."""

    def admits(self, payer: int) -> bool:
        """Return whether runs paid by an incarnation are accepted."""
        ...

    def fence(self, incarnation: int) -> None:
        """Accept no more runs paid by an incarnation."""
        ...

    def greet(self, incarnation: int, grant_sequence: int) -> None:
        """Note a hello of the router with an incarnation."""
        ...

    def complete_after(self, incarnation: int) -> int | None:
        """Return the grant number above which all runs are known."""
        ...


GateOpener = Callable[[bytes | None], Gate]


class Fences:
    """Fences and hellos count from the start, even before the record is read."""

    def __init__(self) -> None:
        self._gate: Gate | None = None
        self._fenced: set[int] = set()
        self._first_sequence: dict[int, int] = {}

    @property
    def ready(self) -> bool:
        """Whether the member record has been read."""
        return self._gate is not None

    def open(self, gate: Gate) -> None:
        """Use the gate of the member record; it's told what came before."""
        for incarnation in self._fenced:
            gate.fence(incarnation)
        for incarnation, sequence in self._first_sequence.items():
            gate.greet(incarnation, sequence)
        self._gate = gate

    def admits(self, payer: int) -> bool:
        return self._gate is not None and self._gate.admits(payer)

    def fence(self, incarnation: int) -> None:
        self._fenced.add(incarnation)
        if self._gate is not None:
            self._gate.fence(incarnation)

    def greet(self, incarnation: int, grant_sequence: int) -> None:
        if self._gate is not None:
            self._gate.greet(incarnation, grant_sequence)
        else:
            self._first_sequence.setdefault(incarnation, grant_sequence)

    def complete_after(self, incarnation: int) -> int | None:
        if self._gate is None:
            return None
        return self._gate.complete_after(incarnation)


def open_gate(data: bytes | None) -> Gate:
    """Return the gate for the stored member record; None stands for a missing key."""
    record = MemberRecord() if data is None else MemberRecord.decode(data)
    return FenceGate(record)
