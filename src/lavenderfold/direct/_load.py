"""What the router knows of its targets from its own requests."""

import msgspec

from lavenderfold.fleet import Target

# A target that failed is left out for this time, doubled at each failure in a row.
SET_ASIDE_S = 0.5
SET_ASIDE_LIMIT_S = 4.0


class TargetState:
    """One target's outstanding requests and recent failures."""

    __slots__ = ("outstanding", "failures", "ejected_until")

    def __init__(self):
        self.outstanding = 0
        self.failures = 0
        self.ejected_until = 0.0


class TargetKey(msgspec.Struct, frozen=True):
    """One start of a target: an id may live again."""

    id: str
    born: int


def target_key(target: Target) -> TargetKey:
    return TargetKey(target.id, target.born)


class LoadTracker:
    """Outstanding requests and failures by target."""

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
        """Stop counting a request."""
        self.state(target).outstanding -= 1

    def record_success(self, target: Target) -> None:
        state = self.state(target)
        state.failures = 0
        state.ejected_until = 0.0

    def record_failure(self, target: Target, *, now: float) -> None:
        """Set a target aside after a failure that was its own."""
        state = self.state(target)
        pause = min(SET_ASIDE_LIMIT_S, SET_ASIDE_S * 2**state.failures)
        state.failures = min(state.failures + 1, 8)
        state.ejected_until = now + pause

    def is_ejected(self, target: Target, *, now: float) -> bool:
        return self.state(target).ejected_until > now

    def keep_only(self, targets: list[Target]) -> None:
        """Forget targets that left and have nothing outstanding."""
        keys = {target_key(target) for target in targets}
        for key, state in list(self._state_by_key.items()):
            if key not in keys and state.outstanding == 0:
                del self._state_by_key[key]
