"""Load, failures and notices of the targets, as seen in the router's own requests.

Answers tell that a target leaves or wants no request for a while. Such a target isn't
available, whatever the directory says.
"""

import math

import msgspec

from lavenderfold.fleet import Target

# A target that failed is ejected for this time, doubled with each consecutive failure
# up to the limit.
EJECTION_BASE_S = 0.5
EJECTION_LIMIT_S = 4.0
# A longer pause counts as this long, so that no value takes a target out for good.
PAUSE_LIMIT_S = 60.0
# A listing after an outage may bring the entry of a leaving target back, so its state
# is kept for this time after its entry was last seen.
LEAVING_RETENTION_S = 600.0
# Pauses of a target that begin within this time of the last report aren't reported.
PAUSE_REPORT_PERIOD_S = 1.0


class TargetState:
    """One target's outstanding requests, consecutive failures and notices.

    ``unlisted_since`` is when its entry was first missing in the directory.
    """

    __slots__ = (
        "outstanding",
        "failures",
        "ejected_until",
        "is_leaving",
        "paused_until",
        "pause_reported_at",
        "unlisted_since",
    )

    def __init__(self):
        self.outstanding = 0
        self.failures = 0
        self.ejected_until = -math.inf
        self.is_leaving = False
        self.paused_until = -math.inf
        self.pause_reported_at = -math.inf
        self.unlisted_since: float | None = None

    def is_available(self, now: float) -> bool:
        return not self.is_leaving and not self.is_pausing(now)

    def is_pausing(self, now: float) -> bool:
        return self.paused_until > now

    def is_needed(self, now: float) -> bool:
        """Whether the state must be kept although the target isn't listed."""
        if self.outstanding or self.is_pausing(now):
            return True
        return self.is_leaving and now - self.unlisted_since < LEAVING_RETENTION_S


class TargetKey(msgspec.Struct, frozen=True):
    """Identifies one incarnation of a target.

    A target that restarts may keep its id; ``born`` tells the two apart.
    """

    id: str
    born: int


def target_key(target: Target) -> TargetKey:
    return TargetKey(target.id, target.born)


class LoadTracker:
    """Tracks outstanding requests, failures and notices by target.

    Times are in seconds of the router's monotonic clock.
    """

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
        state.ejected_until = -math.inf

    def record_failure(self, target: Target, *, now: float) -> None:
        """Eject a target after a failure that it caused itself."""
        state = self.state(target)
        ejection_s = min(EJECTION_LIMIT_S, EJECTION_BASE_S * 2**state.failures)
        state.failures = min(state.failures + 1, 8)
        state.ejected_until = now + ejection_s

    def is_ejected(self, target: Target, *, now: float) -> bool:
        return self.state(target).ejected_until > now

    def record_leaving(self, target: Target) -> bool:
        """Take a target out for good; return False if it was out already."""
        state = self.state(target)
        was_leaving, state.is_leaving = state.is_leaving, True
        return not was_leaving

    def record_pause(self, target: Target, pause_s: float, *, now: float) -> bool:
        """Take a target out for ``pause_s``; of two pauses the later end counts.

        Returns whether to report a pause that begins now.
        """
        state = self.state(target)
        begins = not state.is_pausing(now)
        end_at = now + min(pause_s, PAUSE_LIMIT_S)
        state.paused_until = max(state.paused_until, end_at)
        if not begins or now - state.pause_reported_at < PAUSE_REPORT_PERIOD_S:
            return False
        state.pause_reported_at = now
        return True

    def available(self, targets: list[Target], *, now: float) -> list[Target]:
        """Return the targets that neither leave nor pause."""
        return [each for each in targets if self.state(each).is_available(now)]

    def pause_left_s(self, targets: list[Target], *, now: float) -> float | None:
        """Return how long it takes until the first of the targets is available again.

        Returns None if one is available already, or if all leave.
        """
        states = [self.state(each) for each in targets]
        if any(state.is_available(now) for state in states):
            return None
        times_left = (
            state.paused_until - now for state in states if not state.is_leaving
        )
        return min(times_left, default=None)

    def count_by_notice(self, targets: list[Target], *, now: float) -> dict[str, int]:
        """Return how many of the targets leave and how many others pause."""
        states = [self.state(each) for each in targets]
        leaving = sum(state.is_leaving for state in states)
        available = sum(state.is_available(now) for state in states)
        return {"leaving": leaving, "pausing": len(states) - leaving - available}

    def keep_only(self, targets: list[Target], *, now: float) -> None:
        """Drop the state of targets that the directory doesn't list any more.

        It is kept while the target has outstanding requests or pauses, and for
        LEAVING_RETENTION_S if the target leaves.
        """
        keys = {target_key(target) for target in targets}
        for key, state in list(self._state_by_key.items()):
            if key in keys:
                state.unlisted_since = None
                continue
            if state.unlisted_since is None:
                state.unlisted_since = now
            if not state.is_needed(now):
                del self._state_by_key[key]
