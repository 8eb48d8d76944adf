"""The agent's check of who may still pay for runs."""

from lavenderfold.members._record import MemberRecord


class FenceGate:
    """Admits runs by the incarnation that pays for them.

    ``record`` is the member record that the agent read at its start. An
    incarnation missing from it was retired, unless it's newer than the record.
    """

    __slots__ = ("_live", "_next_incarnation", "_fenced")

    def __init__(self, record: MemberRecord):
        self._live = frozenset(record.live_by_incarnation)
        self._next_incarnation = record.next_incarnation
        self._fenced: set[int] = set()

    def admits(self, payer: int) -> bool:
        """Return whether a run paid by ``payer`` may start."""
        if payer in self._fenced:
            return False
        return payer in self._live or payer >= self._next_incarnation

    def fence(self, incarnation: int) -> None:
        """Admit no more runs paid by ``incarnation``; permanent."""
        self._fenced.add(incarnation)

    def vouches_for(self, incarnation: int) -> bool:
        """Return whether this process knows every run of ``incarnation`` here.

        It doesn't if the incarnation is older than the process: an earlier
        process of the agent may have run requests whose usage was lost.
        """
        return incarnation >= self._next_incarnation
