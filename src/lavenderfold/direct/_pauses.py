"""How requests and callers wait for the end of a pause that all targets make."""

from lavenderfold.direct._refusals import DEFAULT_EXPECTED_S, Refusal, not_run
from lavenderfold.direct._relay_progress import RelayProgress
from lavenderfold.fleet import Route
from lavenderfold.outcomes import Reason

# The part of the latency objective, or of the limit on pauses between events, that a
# request may wait. The rest is for the answer.
REQUEST_WAIT_SHARE = 0.5


def pause_wait_limit(
    route: Route, progress: RelayProgress, *, started_at: float, deadline: float
) -> float:
    """Return until when a request may wait for a target. Times are those of trio."""
    if progress.last_event_at is not None:
        since, limit_s = progress.last_event_at, route.pause_limit_s
    else:
        since, limit_s = started_at, route.latency_objective_s
    return since + REQUEST_WAIT_SHARE * min(limit_s, deadline - since)


def refuse_not_run(reason: Reason, *, pause_left_s: float | None) -> Refusal:
    """Return the refusal of a request that no target has run.

    Its reason is another one if all targets that are left pause for ``pause_left_s``.
    """
    if pause_left_s is None:
        return not_run(reason, expected_s=DEFAULT_EXPECTED_S)
    return not_run(Reason.TARGETS_PAUSED, expected_s=pause_left_s)
