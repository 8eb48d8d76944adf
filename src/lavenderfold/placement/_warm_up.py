"""Limits the requests that this router sends to cold targets.

All routers together must stay below a bound, and none knows what the others send. So
each leaves more than a second between two requests to a cold target.
"""

import random
from collections.abc import Callable, Iterable

from lavenderfold.fleet import Service, Target

# Two requests that are sent this far apart reach the target more than a second apart.
MIN_INTERVAL_S = 1.1
# Used if the routers are so many that a request of each within the same second could
# exceed the bound. At random phases each of them then sends in half of the seconds, so
# all of 31 routers send within the same second with a probability of 2**-31.
CROWDED_INTERVAL_S = 2.0
# The largest fleet of routers, assumed while their number is unknown.
DEFAULT_ROUTERS = 31
# Routers that may have joined since the number was learnt.
JOINING_ROUTERS = 4
# Factor by which there may be more routers than are known: the number is read from the
# ledger, where some routers may not have appeared yet.
COUNT_RESERVE = 2
# A rate near 0 would give an infinite interval, which no Retry-After can hold. No
# target is cold for longer than this.
MAX_INTERVAL_S = 600.0
# A target is checked again after this time while another attempt holds its permit and
# hasn't been sent.
PENDING_RECHECK_S = 0.05
# How long an incarnation without an entry is remembered, because an outage of the
# store may have lost the entry.
RETENTION_S = 600.0

Key = tuple[str, int]


def send_interval_s(
    *, rate: float, overshoot: float, tolerance: float, router_count: int
) -> float:
    """Return the time that a router leaves between two requests to a cold target.

    With rate 0 all routers together send what ``tolerance`` allows. ``router_count`` is
    0 if the number of routers isn't known.
    """
    routers = (router_count or DEFAULT_ROUTERS) + JOINING_ROUTERS
    if COUNT_RESERVE * routers <= rate * overshoot + tolerance:
        shortest_s = MIN_INTERVAL_S
    else:
        shortest_s = CROWDED_INTERVAL_S
    shared_rate = rate or tolerance
    if shared_rate <= 0:
        return MAX_INTERVAL_S
    return min(MAX_INTERVAL_S, max(shortest_s, routers / shared_rate))


class _TargetState:
    """What is known of one incarnation of a target.

    ``started_at`` is when it began to be cold for its service's time, and
    ``stated_until`` until when its last entry says that it is cold. The next request
    may be sent at ``next_at``, unless one ``is_pending``: it has a permit, and its
    first byte hasn't been sent. If ``phase_from`` is set, ``next_at`` gets a random
    delay from then on before its next use. ``unlisted_since`` is when the target was
    first missing from the listed ones.
    """

    __slots__ = (
        "revision",
        "started_at",
        "stated_until",
        "next_at",
        "is_pending",
        "phase_from",
        "unlisted_since",
    )

    def __init__(self):
        self.revision = -1
        self.started_at: float | None = None
        self.stated_until: float | None = None
        self.next_at = 0.0
        self.is_pending = False
        self.phase_from: float | None = None
        self.unlisted_since: float | None = None


class Permit:
    """The right to send one request to a target.

    ``record_sending`` is called before its first byte is sent, and ``release`` at its
    end; a permit that wasn't used has no effect on later ones.
    """

    __slots__ = ("_state", "_interval_s", "_is_held")

    def __init__(self, state: _TargetState, *, interval_s: float):
        self._state = state
        self._interval_s = interval_s
        self._is_held = True
        state.is_pending = True

    def record_sending(self, now: float) -> None:
        """Start the interval until the next request, and release the permit."""
        self._state.next_at = now + self._interval_s
        self.release()

    def release(self) -> None:
        """Let others take a permit; a second call does nothing."""
        if self._is_held:
            self._is_held = False
            self._state.is_pending = False


class ColdTargets:
    """Tells which targets are cold, and limits the requests to them.

    Times are seconds of the router's monotonic clock. ``router_count`` returns the
    number of routers, 0 if it isn't known.
    """

    __slots__ = (
        "overshoot",
        "tolerance",
        "_router_count",
        "_state_by_key",
        "_maybe_cold",
        "_service_by_name",
    )

    def __init__(
        self,
        *,
        overshoot: float = 1.0,
        tolerance: float = 0.0,
        router_count: Callable[[], int] = int,
    ):
        self.overshoot = overshoot
        self.tolerance = tolerance
        self._router_count = router_count
        self._state_by_key: dict[Key, _TargetState] = {}
        self._maybe_cold: dict[Key, _TargetState] = {}
        self._service_by_name: dict[str, Service] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether targets of any service can be cold."""
        return bool(self._service_by_name)

    def set_services(self, services: Iterable[Service]) -> None:
        """Use the warm-up rates and times of these services."""
        self._service_by_name = {
            each.name: each
            for each in services
            if each.warm_up_rate > 0 or each.warm_up_s > 0
        }

    def record_entry(
        self, target: Target, *, revision: int, is_first_listing: bool, now: float
    ) -> None:
        """Record a target's entry, read now; the same revision counts once.

        A new incarnation is cold unless its entry says otherwise, except for those of
        the first listing.
        """
        key = (target.id, target.born)
        state = self._state_by_key.get(key)
        is_new = state is None
        if is_new:
            state = self._state_by_key[key] = _TargetState()
        if state.revision == revision:
            return
        was_cold = self._cold_state(target, now) is not None
        state.revision = revision
        if target.warm_up_s is not None:
            state.started_at = None
            state.stated_until = now + target.warm_up_s
        elif is_new and not is_first_listing:
            state.started_at = now
        # A router that was restarted must leave a second after its predecessor's last
        # request as well.
        phase_from = now + MIN_INTERVAL_S if is_first_listing else now
        if state.started_at is not None or (state.stated_until or now) > now:
            self._record_cold(key, state, None if was_cold else phase_from)
        else:
            self._maybe_cold.pop(key, None)

    def record_return(self, targets: Iterable[Target], *, now: float) -> None:
        """Treat targets that had no requests as cold, until an entry says otherwise."""
        for target in targets:
            key = (target.id, target.born)
            state = self._state_by_key.get(key)
            if state is not None and target.service in self._service_by_name:
                state.started_at = now
                self._record_cold(key, state, now)

    def is_cold(self, target: Target, *, now: float) -> bool:
        """Return whether requests to a target are limited now."""
        return self._cold_state(target, now) is not None

    def permitted(
        self, targets: list[Target], *, now: float, rng: random.Random
    ) -> list[Target]:
        """Return the targets that are warm or may get a request now."""
        if not self._maybe_cold or not self._service_by_name:
            return targets
        return [each for each in targets if self.wait_s(each, now=now, rng=rng) is None]

    def wait_s(self, target: Target, *, now: float, rng: random.Random) -> float | None:
        """Return how long a cold target gets nothing, None if it may get a request."""
        state = self._cold_state(target, now)
        if state is None:
            return None
        return self._limit_left_s(target, state, now, rng)

    def unused(
        self, targets: list[Target], *, now: float, rng: random.Random
    ) -> list[Target]:
        """Return the targets that would have a permit if they all were cold."""
        free = []
        for target in targets:
            state = self._limited_state(target)
            if state is None or self._limit_left_s(target, state, now, rng) is None:
                free.append(target)
        return free

    def take(
        self, target: Target, *, now: float, counts_warm: bool = False
    ) -> Permit | None:
        """Return the permit of a request that is about to be sent.

        A warm target needs none, unless ``counts_warm``.
        """
        state = self._cold_state(target, now)
        if state is None and counts_warm:
            state = self._limited_state(target)
        if state is None or state.is_pending:
            return None
        return Permit(state, interval_s=self._interval_s(target))

    def count_cold(self, targets: list[Target], *, now: float) -> int:
        """Return how many of the targets are cold."""
        return sum(self.is_cold(each, now=now) for each in targets)

    def keep_only(self, targets: list[Target], *, now: float) -> None:
        """Forget targets that aren't listed any more.

        An incarnation whose ``born`` is known is remembered for RETENTION_S.
        """
        keys = {(each.id, each.born) for each in targets}
        for key, state in list(self._state_by_key.items()):
            if key in keys:
                state.unlisted_since = None
                continue
            if state.unlisted_since is None:
                state.unlisted_since = now
            if not key[1] or now - state.unlisted_since >= RETENTION_S:
                del self._state_by_key[key]
                self._maybe_cold.pop(key, None)

    def _record_cold(
        self, key: Key, state: _TargetState, phase_from: float | None
    ) -> None:
        """Note a target that may be cold, from now on unless that was known before."""
        self._maybe_cold[key] = state
        if phase_from is not None:
            state.phase_from = phase_from

    def _cold_state(self, target: Target, now: float) -> _TargetState | None:
        """Return the state of a target that is cold now."""
        key = (target.id, target.born)
        state = self._maybe_cold.get(key)
        service = self._service_by_name.get(target.service)
        if state is None or service is None:
            return None
        if not self._is_cold_at(state, now, warm_up_s=service.warm_up_s):
            del self._maybe_cold[key]
            return None
        return state

    def _limited_state(self, target: Target) -> _TargetState | None:
        if target.service not in self._service_by_name:
            return None
        return self._state_by_key.get((target.id, target.born))

    @staticmethod
    def _is_cold_at(state: _TargetState, now: float, *, warm_up_s: float) -> bool:
        if state.started_at is not None:
            return now < state.started_at + warm_up_s
        return state.stated_until is not None and now < state.stated_until

    def _interval_s(self, target: Target) -> float:
        return send_interval_s(
            rate=self._service_by_name[target.service].warm_up_rate,
            overshoot=self.overshoot,
            tolerance=self.tolerance,
            router_count=self._router_count(),
        )

    def _limit_left_s(
        self, target: Target, state: _TargetState, now: float, rng: random.Random
    ) -> float | None:
        """Return how long no request may be sent, None if one may be sent now."""
        if state.phase_from is not None:
            # All routers learn at the same time that a target is cold.
            phase_s = rng.random() * self._interval_s(target)
            state.next_at = max(state.next_at, state.phase_from + phase_s)
            state.phase_from = None
        if state.is_pending:
            return PENDING_RECHECK_S
        return state.next_at - now if state.next_at > now else None
