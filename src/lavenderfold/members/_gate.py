"""Checks at an agent which router incarnations may still pay for runs."""

from lavenderfold.members._record import MemberRecord


class FenceGate:
    """Admits or refuses runs by the incarnation that pays for them.

    ``record`` is the member record that the agent read when it started. An incarnation
    that is missing from it has been retired, unless it is newer than the record.
    """

    __slots__ = (
        "_live_incarnations",
        "_next_incarnation",
        "_fenced_incarnations",
        "_first_sequence_by_incarnation",
    )

    def __init__(self, record: MemberRecord):
        self._live_incarnations = frozenset(record.live_by_incarnation)
        self._next_incarnation = record.next_incarnation
        self._fenced_incarnations: set[int] = set()
        self._first_sequence_by_incarnation: dict[int, int] = {}

    def admits(self, payer: int) -> bool:
        """Return whether a run paid by the incarnation ``payer`` may start."""
        if payer in self._fenced_incarnations:
            return False
        return payer in self._live_incarnations or payer >= self._next_incarnation

    def fence(self, incarnation: int) -> None:
        """Permanently refuse new runs paid by ``incarnation``."""
        self._fenced_incarnations.add(incarnation)

    def greet(self, incarnation: int, grant_sequence: int) -> None:
        """Store the grant sequence of a router's first hello; ignore later ones."""
        self._first_sequence_by_incarnation.setdefault(incarnation, grant_sequence)

    def complete_after(self, incarnation: int) -> int | None:
        """Return the grant number above which this process knows every run.

        Returns None if that can't be said of any grant, because an earlier process of
        the agent may have run requests whose usage was lost. Only a hello of the payer
        itself counts: other routers may send runs paid by loans from it.
        """
        # An earlier process of the agent can't have accepted a run on a grant numbered
        # after the hello, neither from the payer nor from a borrower with an old link.
        # This process received the hello at the target's address, where it could listen
        # only after the earlier process, even a paused one, had ended. The member
        # record is read after that for the same reason.
        if incarnation >= self._next_incarnation:
            return 0
        return self._first_sequence_by_incarnation.get(incarnation)
