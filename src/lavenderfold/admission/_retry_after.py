"""The Retry-After time of refused requests."""

import math

# Callers follow a Retry-After only up to this part of the time that they have left.
CALLER_WAIT_SHARE = 1 / 3
# Retries are spread up to this multiple of the expected time, so that the callers of
# all routers don't retry at the same moment.
SPREAD_FACTOR = 2.0
# If the cause lasts longer than callers wait, their retries are spread over this part
# of the longest wait. A caller retries only once, and later the cause is likelier over.
LATE_SPREAD_SHARE = 1 / 3
# The Retry-After header holds milliseconds.
STEPS_PER_S = 1000


def retry_after_s(*, expected_s: float, caller_left_s: float, draw: float) -> float:
    """Return the seconds after which a refused caller may retry.

    The cause of the refusal is expected to last ``expected_s``. The result lies between
    that and twice as much, by the uniform random number ``draw`` in [0, 1). Callers
    with ``caller_left_s`` left wait a third of that at most. If ``expected_s`` is
    longer, the result lies in the last third below that limit.
    """
    limit_s = max(0.0, CALLER_WAIT_SHARE * caller_left_s)
    earliest_s = max(0.0, expected_s)
    latest_s = min(SPREAD_FACTOR * earliest_s, limit_s)
    if earliest_s > limit_s:
        earliest_s, latest_s = (1 - LATE_SPREAD_SHARE) * limit_s, limit_s
    chosen_s = earliest_s + draw * (latest_s - earliest_s)
    # Rounded up, so that callers don't retry too early.
    rounded_s = math.ceil(chosen_s * STEPS_PER_S) / STEPS_PER_S
    if rounded_s <= limit_s:
        return rounded_s
    return math.floor(limit_s * STEPS_PER_S) / STEPS_PER_S
