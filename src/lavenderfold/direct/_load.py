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
# A target with requests in progress that sent nothing for this time stands still. Only
# the choice of targets reacts to that, so a target that is merely slow loses nothing.
SILENCE_S = 0.6
# For second attempts, targets that sent something within this time are preferred.
SIGN_MAX_AGE_S = 0.5
# Without requests in progress a target that stood still can't show that it goes on.
# After this time it gets requests again.
SILENCE_PROBE_S = 0.5
# A longer pause counts as this long, so that no value takes a target out for good.
PAUSE_LIMIT_S = 60.0
# A listing after an outage may bring the entry of a leaving target back, so its state
# is kept for this time after its entry was last seen.
LEAVING_RETENTION_S = 600.0
# Pauses of a target that begin within this time of the last report aren't reported.
PAUSE_REPORT_PERIOD_S = 1.0


class TargetState:
    """One target's outstanding requests, consecutive failures and notices.

    ``sign_at`` is when the target last sent something. ``waiting_since`` is the same,
    or when it got the first request after it had answered all; None if nothing is
    expected of it. ``idle_since`` is when its last request ended, ``unlisted_since``
    when its entry was first missing in the directory.
    """

    __slots__ = (
        "outstanding",
        "failures",
        "ejected_until",
        "is_leaving",
        "paused_until",
        "pause_reported_at",
        "sign_at",
        "waiting_since",
        "idle_since",
        "unlisted_since",
    )

    def __init__(self):
        self.outstanding = 0
        self.failures = 0
        self.ejected_until = -math.inf
        self.is_leaving = False
        self.paused_until = -math.inf
        self.pause_reported_at = -math.inf
        self.sign_at = -math.inf
        self.waiting_since: float | None = None
        self.idle_since = -math.inf
        self.unlisted_since: float | None = None

    def is_available(self, now: float) -> bool:
        return not self.is_leaving and not self.is_pausing(now)

    def is_pausing(self, now: float) -> bool:
        return self.paused_until > now

    def is_silent(self, now: float) -> bool:
        if self.waiting_since is None or now - self.waiting_since < SILENCE_S:
            return False
        return self.outstanding > 0 or now - self.idle_since < SILENCE_PROBE_S

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

    def record_start(self, target: Target, *, now: float) -> None:
        """Count a request that is being sent to a target."""
        state = self.state(target)
        if state.outstanding == 0 and not state.is_silent(now):
            state.waiting_since = now
        state.outstanding += 1

    def record_end(self, target: Target, *, now: float) -> None:
        """Stop counting a request that has ended."""
        state = self.state(target)
        was_silent = state.is_silent(now)
        state.outstanding -= 1
        if state.outstanding == 0:
            state.idle_since = now
            if not was_silent:
                state.waiting_since = None

    def record_sign(self, target: Target, *, now: float) -> None:
        """Record that something arrived from a target with requests in progress."""
        state = self.state(target)
        state.sign_at = state.waiting_since = now

    def is_silent(self, target: Target, *, now: float) -> bool:
        """Whether a target stands still; it is used only if all others do as well."""
        return self.state(target).is_silent(now)

    def has_recent_sign(self, target: Target, *, now: float) -> bool:
        """Whether a target sent something lately, so that it doesn't stand still."""
        return now - self.state(target).sign_at < SIGN_MAX_AGE_S

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
