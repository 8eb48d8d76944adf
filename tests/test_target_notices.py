"""Unit tests of the state that a router keeps of leaving and pausing targets."""

import msgspec
import pytest

from lavenderfold.direct._load import (
    LEAVING_RETENTION_S,
    PAUSE_LIMIT_S,
    LoadTracker,
)
from lavenderfold.direct._router import CLEANUP_PERIOD_S
from tests.test_direct_decisions import choose, make_request, make_target


def make_incarnation(born: int):
    return msgspec.structs.replace(make_target("t0"), born=born)


def state_count(load_tracker: LoadTracker) -> int:
    return len(load_tracker._state_by_key)


def leave(load_tracker: LoadTracker, target) -> None:
    load_tracker.record_leaving(target)


def pause(load_tracker: LoadTracker, target) -> None:
    load_tracker.record_pause(target, 1e9, now=0.0)


@pytest.mark.parametrize("notice", [leave, pause])
def test_ejected_target_is_used_rather_than_one_with_a_notice(notice):
    """Guards against the fallback to all targets if every healthy one is out."""
    targets = [make_target("t0"), make_target("t1")]
    load_tracker = LoadTracker()
    notice(load_tracker, targets[0])
    load_tracker.record_failure(targets[1], now=0.0)
    choice = choose(targets, load_tracker, make_request())
    assert (choice.target.id, choice.reason) == ("t1", "all_set_aside")
    assert choose(targets[:1], load_tracker, make_request()) is None


@pytest.mark.parametrize(
    ("notice", "retention_s"), [(leave, LEAVING_RETENTION_S), (pause, PAUSE_LIMIT_S)]
)
def test_notice_is_kept_while_an_entry_may_return_and_then_dropped(notice, retention_s):
    """Guards against state that grows with each incarnation of a target."""
    load_tracker = LoadTracker()
    for born in range(100):
        notice(load_tracker, make_incarnation(born))
    load_tracker.keep_only([], now=0.0)
    load_tracker.keep_only([], now=retention_s - CLEANUP_PERIOD_S)
    assert state_count(load_tracker) == 100
    load_tracker.keep_only([], now=retention_s)
    assert state_count(load_tracker) == 0


def test_notice_of_a_listed_target_is_kept():
    """Guards against a leaving target that is chosen again after a long time."""
    load_tracker = LoadTracker()
    target = make_incarnation(1)
    leave(load_tracker, target)
    load_tracker.keep_only([], now=0.0)
    load_tracker.keep_only([target], now=LEAVING_RETENTION_S - 1)
    load_tracker.keep_only([], now=LEAVING_RETENTION_S + 1)
    load_tracker.keep_only([target], now=3 * LEAVING_RETENTION_S)
    assert not load_tracker.available([target], now=3 * LEAVING_RETENTION_S)


def test_state_without_a_notice_is_dropped_with_its_entry():
    """Guards against state that is kept for targets that were just replaced."""
    load_tracker = LoadTracker()
    target = make_incarnation(1)
    load_tracker.record_start(target, now=0.0)
    load_tracker.keep_only([], now=0.0)
    assert state_count(load_tracker) == 1
    load_tracker.record_end(target, now=0.0)
    load_tracker.record_failure(target, now=0.0)
    load_tracker.keep_only([], now=0.0)
    assert state_count(load_tracker) == 0


def test_time_left_is_that_of_the_first_pause_of_targets_that_stay():
    """Guards against callers that are told of targets which never come back."""
    targets = [make_target(f"t{number}") for number in range(3)]
    load_tracker = LoadTracker()
    for target, pause_s in zip(targets, (1.0, 5.0, 3.0), strict=True):
        load_tracker.record_pause(target, pause_s, now=10.0)
    leave(load_tracker, targets[0])
    assert load_tracker.pause_left_s(targets, now=11.0) == 2.0
    assert load_tracker.pause_left_s(targets, now=13.0) is None
    assert load_tracker.pause_left_s(targets[:1], now=11.0) is None
    assert load_tracker.count_by_notice(targets, now=11.0) == {
        "leaving": 1,
        "pausing": 2,
    }
