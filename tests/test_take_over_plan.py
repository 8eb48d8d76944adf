"""Planning of the take-over of a silent stream by its caller's patience."""

import pytest

from lavenderfold.direct._first_event_times import ROUTES_LIMIT, FirstEventTimes
from tests.test_caller_patience import make_patience, make_stream_route


def test_take_over_leaves_time_for_the_first_event_of_another_target():
    """Guards against a take-over that begins when it can't be in time any more."""
    patience = make_patience(first_event_s=0.5)
    ask_at = patience.silent_at(10.0, limit_s=1.25)
    assert 10.6 <= ask_at < patience.answer_by(99.0) - 0.5
    assert patience.allows_attempt(ask_at)


@pytest.mark.parametrize("first_event_s", [0.0, 0.1, 0.8, 5.0])
@pytest.mark.parametrize("limit_s", [0.6, 1.25])
def test_earlier_limit_of_silence_is_kept(first_event_s, limit_s):
    """Guards against targets that are replaced later than without a patience."""
    patience = make_patience(first_event_s=first_event_s)
    assert patience.silent_at(10.0, limit_s=limit_s) <= 10.0 + limit_s


@pytest.mark.parametrize("patience_s", [0.1, 2.0, 60.0])
@pytest.mark.parametrize("first_event_s", [0.0, 0.4, 1.0])
@pytest.mark.parametrize("begun_at", [10.0, 11.2, 11.9, 50.0])
def test_target_gets_more_than_the_usual_time(patience_s, first_event_s, begun_at):
    """Guards against take-overs from targets that are on time."""
    patience = make_patience(patience_s=patience_s, first_event_s=first_event_s)
    silent_s = patience.silent_at(begun_at, limit_s=9.0) - begun_at
    assert silent_s > max(0.6, first_event_s) - 1e-6


def test_attempt_is_allowed_while_its_first_event_can_be_in_time():
    """Guards against second attempts that run for a caller that will have left."""
    patience = make_patience(first_event_s=0.5)
    answer_by = patience.answer_by(99.0)
    assert patience.allows_attempt(answer_by - 0.5)
    assert not patience.allows_attempt(answer_by - 0.1)
    assert not patience.allows_attempt(answer_by + 0.1)


def test_route_without_patience_allows_attempts_at_any_time():
    """Guards against requests without a stream that aren't repeated."""
    patience = make_patience(patience_s=None, first_event_s=0.5)
    assert patience.allows_attempt(1e9)
    assert patience.silent_at(10.0, limit_s=1.25) == 11.25


def test_usual_time_follows_what_was_seen():
    """Guards against a plan by a time that doesn't hold any more."""
    times = FirstEventTimes()
    route = make_stream_route()
    assert times.usual_s(route) == 0.5
    times.record(route, 0.1)
    assert times.usual_s(route) == pytest.approx(0.1)
    for _ in range(100):
        times.record(route, 0.8)
    assert times.usual_s(route) == pytest.approx(0.8, abs=0.01)
    assert times.usual_s(make_stream_route("other")) == 0.5


def test_times_of_routes_that_come_and_go_are_bounded():
    """Guards against memory that grows with each change of the configuration."""
    times = FirstEventTimes()
    routes = [make_stream_route(f"r{number}") for number in range(2 * ROUTES_LIMIT)]
    for route in routes:
        times.record(route, 0.1)
    known = [route for route in routes if times.usual_s(route) == 0.1]
    assert known == routes[ROUTES_LIMIT:]
