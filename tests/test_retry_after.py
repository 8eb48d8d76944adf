"""The times after which callers of refused requests may come back."""

import random

from hypothesis import given, strategies as st

from lavenderfold.admission import retry_after_s

DRAWS = st.floats(0, 1, exclude_max=True)


@given(expected_s=st.floats(0, 100), caller_left_s=st.floats(0, 100), draw=DRAWS)
def test_is_after_the_cause_and_within_a_third_of_the_time_left(
    expected_s, caller_left_s, draw
):
    """Guards against callers that come too early, or that leave before they may."""
    after_s = retry_after_s(
        expected_s=expected_s, caller_left_s=caller_left_s, draw=draw
    )
    assert 0 <= after_s <= caller_left_s / 3 + 1e-9
    assert after_s <= 2 * expected_s + 0.001
    limit_s = caller_left_s / 3 - 0.001
    assert after_s >= min(expected_s, limit_s / 2) - 1e-9
    if expected_s <= limit_s:
        assert after_s >= expected_s - 1e-9


def test_spreads_callers_of_all_routers():
    """Load: 400 callers are refused in the same moment, by 31 routers.

    Guards against all of them coming back in the same 100 ms.
    """
    draws = random.Random(1)
    for expected_s in (1.0, 9.0):
        times = [
            retry_after_s(expected_s=expected_s, caller_left_s=12, draw=draws.random())
            for _ in range(400)
        ]
        count_by_slot = [0] * 41
        for each in times:
            count_by_slot[int(each * 10)] += 1
        assert max(count_by_slot) < 80
