"""Decides which relays have failed among those that refuse calls.

A relay refuses calls while it can't reach the store. If the store itself is away, all
relays refuse. If each were left out for a while, none would be left after the outage,
and every router would do alone what a relay does for all of them.
"""

from lavenderfold.shared._relay_selector import RelaySelector
from lavenderfold.shared._relays import Relay


class _Refusals:
    """Incarnations of the relays that refused calls of one subject.

    ``pending`` ones refused since the store was last reached. ``doubted`` ones refused
    although it was reached by another path.
    """

    __slots__ = ("pending", "doubted")

    def __init__(self):
        self.pending: set[str] = set()
        self.doubted: set[str] = set()


class RelayRefusals:
    """Reports a relay as failed that refuses again after another path has worked.

    One refusal proves nothing: the store may have become reachable a moment before, and
    the relay reaches it next. A subject is what the calls are about, such as a prefix;
    a relay may be able to serve one and not another.
    """

    def __init__(self, *, relays: RelaySelector):
        self._relays = relays
        self._refusals_by_subject: dict[str, _Refusals] = {}

    def record_refusal(self, subject: str, relay: Relay) -> bool:
        """Record that a relay can't reach the store; return whether it has failed."""
        refusals = self._get_or_create(subject)
        if relay.incarnation not in refusals.doubted:
            refusals.pending.add(relay.incarnation)
            return False
        refusals.doubted.remove(relay.incarnation)
        self._relays.record_failure(relay)
        return True

    def record_answer(self, subject: str, relay: Relay) -> None:
        """Record that a relay has served a call."""
        self._get_or_create(subject).doubted.discard(relay.incarnation)
        self._relays.record_success(relay)

    def record_other_path(self, subject: str) -> None:
        """Record that the store was reached, by another relay or directly."""
        refusals = self._get_or_create(subject)
        refusals.doubted |= refusals.pending
        refusals.pending.clear()

    def record_store_failure(self, subject: str) -> None:
        """Record that the router can't reach the store directly either."""
        refusals = self._get_or_create(subject)
        refusals.pending.clear()
        refusals.doubted.clear()

    def _get_or_create(self, subject: str) -> _Refusals:
        return self._refusals_by_subject.setdefault(subject, _Refusals())
