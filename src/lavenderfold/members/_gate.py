"""The agent's check of who may still pay for runs."""

from lavenderfold.members._record import MemberRecord


class FenceGate:
    """Admits runs by the incarnation that pays for them.

    ``record`` is the member record that the agent read at its start. An
    incarnation missing from it was retired, unless it's newer than the record.
    """

    __slots__ = ("_live", "_next_incarnation", "_fenced", "_first_sequence")

    def __init__(self, record: MemberRecord):
        self._live = frozenset(record.live_by_incarnation)
        self._next_incarnation = record.next_incarnation
        self._fenced: set[int] = set()
        self._first_sequence: dict[int, int] = {}

    def admits(self, payer: int) -> bool:
        """Return whether a run paid by ``payer`` may start."""
        if payer in self._fenced:
            return False
        return payer in self._live or payer >= self._next_incarnation

    def fence(self, incarnation: int) -> None:
        """Admit no more runs paid by ``incarnation``; permanent."""
        self._fenced.add(incarnation)

    def greet(self, incarnation: int, grant_sequence: int) -> None:
        """Note a router's hello; the first one of each incarnation counts."""
        self._first_sequence.setdefault(incarnation, grant_sequence)

    def complete_after(self, incarnation: int) -> int | None:
        """Return the grant number above which this process knows every run.

        None if it knows of no grant for certain: an earlier process of the agent
        may have run requests whose usage was lost. Only the hello of the payer
        itself counts, because other routers send runs on its loans too.
        """
        # An earlier process can't take a run on a grant that was numbered after
        # the hello, neither from the payer nor from a borrower with an old link:
        # this process received the hello at the target's address, where it could
        # listen only once the earlier process, even a paused one, had ended. The
        # member record is read after that for the same reason.
        if incarnation >= self._next_incarnation:
            return 0
        return self._first_sequence.get(incarnation)
