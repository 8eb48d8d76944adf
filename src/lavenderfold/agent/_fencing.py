"""The agent's check of which incarnations may pay, made from the member record."""

from collections.abc import Callable
from typing import Protocol

from lavenderfold.members import FenceGate, MemberRecord

MEMBER_RECORD_KEY = "members/routers"


class Gate(Protocol):
    """Decides which incarnations may pay for runs."""

    def admits(self, payer: int) -> bool:
        """Return whether runs paid by an incarnation are accepted."""
        ...

    def fence(self, incarnation: int) -> None:
        """Refuse all further runs paid by an incarnation."""
        ...

    def greet(self, incarnation: int, grant_sequence: int) -> None:
        """Record a hello of the router with an incarnation."""
        ...

    def complete_after(self, incarnation: int) -> int | None:
        """Return the grant number above which all runs are known, or None."""
        ...


GateFactory = Callable[[bytes | None], Gate]


class DeferredGate:
    """Stores fences and hellos until the member record has been read.

    Until then it admits no incarnation. ``set_gate`` applies what was stored.
    """

    def __init__(self) -> None:
        self._gate: Gate | None = None
        self._fenced: set[int] = set()
        self._first_sequence: dict[int, int] = {}

    @property
    def is_ready(self) -> bool:
        """Whether the member record has been read."""
        return self._gate is not None

    def set_gate(self, gate: Gate) -> None:
        """Use the member record's gate, after applying what was stored to it."""
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


def make_gate(data: bytes | None) -> Gate:
    """Return the gate for a stored member record, or for None if the key is missing."""
    record = MemberRecord() if data is None else MemberRecord.decode(data)
    return FenceGate(record)
