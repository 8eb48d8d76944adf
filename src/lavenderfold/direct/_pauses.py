"""How requests and callers wait for the end of a pause that all targets make."""

import math

from lavenderfold.direct._refusals import DEFAULT_RETRY_AFTER_S, Refusal, not_run
from lavenderfold.direct._relay_progress import RelayProgress
from lavenderfold.fleet import Route
from lavenderfold.outcomes import Reason

# The part of the latency objective, or of the limit on pauses between events, that a
# request may wait. The rest is for the answer.
REQUEST_WAIT_SHARE = 0.5
# Callers come back as told if that is within this part of the time they have left.
CALLER_WAIT_SHARE = 1 / 3


def pause_wait_limit(
    route: Route, progress: RelayProgress, *, started_at: float, deadline: float
) -> float:
    """Return until when a request may wait for a target. Times are those of trio."""
    if progress.last_event_at is not None:
        since, limit_s = progress.last_event_at, route.pause_limit_s
    else:
        since, limit_s = started_at, route.latency_objective_s
    return since + REQUEST_WAIT_SHARE * min(limit_s, deadline - since)


def pause_retry_after_s(pause_left_s: float, caller_left_s: float) -> float:
    """Return when a refused caller may come back.

    That is the end of the pause, unless the caller can't wait so long: then another
    router may have a target for it earlier.
    """
    if pause_left_s > CALLER_WAIT_SHARE * caller_left_s:
        return DEFAULT_RETRY_AFTER_S
    # Rounded up to what the header holds, so that callers don't come too early.
    return math.ceil(pause_left_s * 1000) / 1000


def refuse_not_run(
    reason: Reason, *, pause_left_s: float | None, caller_left_s: float
) -> Refusal:
    """Return the refusal of a request that no target has run.

    Its reason is another one if all targets that are left pause for ``pause_left_s``.
    """
    if pause_left_s is None:
        return not_run(reason, retry_after_s=DEFAULT_RETRY_AFTER_S)
    return not_run(
        Reason.TARGETS_PAUSED,
        retry_after_s=pause_retry_after_s(pause_left_s, caller_left_s),
    )
