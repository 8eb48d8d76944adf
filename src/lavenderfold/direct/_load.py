"""Load and failures of the targets, as seen in the router's own requests."""

import msgspec

from lavenderfold.fleet import Target

# A target that failed is ejected for this time, doubled with each consecutive failure
# up to the limit.
EJECTION_BASE_S = 0.5
EJECTION_LIMIT_S = 4.0


class TargetState:
    """One target's outstanding requests and consecutive failures."""

    __slots__ = ("outstanding", "failures", "ejected_until")

    def __init__(self):
        self.outstanding = 0
        self.failures = 0
        self.ejected_until = 0.0


class TargetKey(msgspec.Struct, frozen=True):
    """Identifies one incarnation of a target.

    A target that restarts may keep its id; ``born`` tells the two apart.
    """

    id: str
    born: int


def target_key(target: Target) -> TargetKey:
    return TargetKey(target.id, target.born)


class LoadTracker:
    """Tracks outstanding requests and failures by target."""

    def __init__(self):
        self._state_by_key: dict[TargetKey, TargetState] = {}

    def state(self, target: Target) -> TargetState:
        key = target_key(target)
        state = self._state_by_key.get(key)
        if state is None:
            state = self._state_by_key[key] = TargetState()
        return state

    def record_start(self, target: Target) -> None:
        """Count a request that is being sent to a target."""
        self.state(target).outstanding += 1

    def record_end(self, target: Target) -> None:
        """Stop counting a request that has ended."""
        self.state(target).outstanding -= 1

    def record_success(self, target: Target) -> None:
        state = self.state(target)
        state.failures = 0
        state.ejected_until = 0.0

    def record_failure(self, target: Target, *, now: float) -> None:
        """Eject a target after a failure that it caused itself."""
        state = self.state(target)
        ejection_s = min(EJECTION_LIMIT_S, EJECTION_BASE_S * 2**state.failures)
        state.failures = min(state.failures + 1, 8)
        state.ejected_until = now + ejection_s

    def is_ejected(self, target: Target, *, now: float) -> bool:
        return self.state(target).ejected_until > now

    def keep_only(self, targets: list[Target]) -> None:
        """Drop the state of other targets unless they have outstanding requests."""
        keys = {target_key(target) for target in targets}
        for key, state in list(self._state_by_key.items()):
            if key not in keys and state.outstanding == 0:
                del self._state_by_key[key]
