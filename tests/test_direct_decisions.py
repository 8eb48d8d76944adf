"""Unit tests of target choice, event splitting and bounded logging."""

import logging
import os

import pytest

from lavenderfold.direct import CallerRequest, PromptPart
from lavenderfold.direct._choice import choose_target
from lavenderfold.direct._events import EventSplitter
from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._service_choice import pick_service
from lavenderfold.fleet import RepeatPolicy, ServiceShare, Target
from lavenderfold.logs import LINES_PER_S, BoundedLogHandler
from tests.direct_support import make_route


def make_target(name: str, *, domain: str = "here") -> Target:
    return Target(
        id=name,
        service="s",
        host="h",
        port=1,
        domain=domain,
        slots=8,
        is_draining=False,
    )


def make_request(*parts: str) -> CallerRequest:
    return CallerRequest(
        attempt_id="a",
        host="h",
        method="POST",
        target="/",
        path="/",
        forwarded_headers=[],
        body=b"",
        caller_timeout_s=1.0,
        prompt_parts=tuple(PromptPart(part, 10) for part in parts),
    )


def choose(candidates, load_tracker, caller, *, avoid=frozenset(), now=0.0):
    return choose_target(
        candidates, load_tracker, caller, avoid=avoid, failure_domain="here", now=now
    )


def test_requests_with_a_shared_prefix_go_to_one_target():
    """A target without the prefix in its cache computes it again at full cost."""
    targets = [make_target(f"t{n}") for n in range(9)]
    first = choose(targets, LoadTracker(), make_request("shared", "own-1"))
    second = choose(targets, LoadTracker(), make_request("shared", "own-2"))
    assert first.target == second.target
    assert first.reason == "prefix"


def test_popular_prefix_spreads_when_its_home_is_loaded():
    """Requests must not queue at one target if all of them share a prefix."""
    targets = [make_target(f"t{n}") for n in range(4)]
    load_tracker = LoadTracker()
    used = set()
    for _ in range(40):
        chosen = choose(targets, load_tracker, make_request("hot", "own")).target
        load_tracker.record_start(chosen, now=0.0)
        used.add(chosen.id)
    loads = [load_tracker.state(each).outstanding for each in targets]
    # With a bound of 1.5 times the mean, three of four targets can take all requests.
    assert len(used) >= 3
    assert max(loads) <= 1.5 * 10 + 1


def test_failed_target_is_ejected_and_used_again_later():
    targets = [make_target("t0"), make_target("t1")]
    load_tracker = LoadTracker()
    load_tracker.record_failure(targets[0], now=0.0)
    assert choose(targets, load_tracker, make_request()).target.id == "t1"
    assert not load_tracker.is_ejected(targets[0], now=1.0)


def test_ejected_targets_are_used_if_no_other_is_left():
    targets = [make_target("t0"), make_target("t1")]
    load_tracker = LoadTracker()
    for each in targets:
        load_tracker.record_failure(each, now=0.0)
    assert choose(targets, load_tracker, make_request()) is not None


def test_own_failure_domain_is_preferred_at_equal_load():
    targets = [make_target("t0", domain="there"), make_target("t1")]
    assert choose(targets, LoadTracker(), make_request()).target.id == "t1"


def test_target_that_was_tried_is_avoided():
    targets = [make_target("t0")]
    assert (
        choose(targets, LoadTracker(), make_request(), avoid=frozenset(["t0"])) is None
    )


def test_splitter_holds_an_incomplete_event_back():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\nda") is None
    events = splitter.feed(b"ta: x\n\nid: 2\n")
    assert events.data == b"id: 1\ndata: x\n\n"
    assert (events.count, events.last_id) == (1, "1")
    assert splitter.has_partial_event


def test_splitter_returns_several_events_at_once():
    events = EventSplitter().feed(b"id: 1\n\nid: 2\ndata: y\n\n")
    assert (events.count, events.last_id) == (2, "2")


def test_weights_split_a_route_between_services():
    shares = (ServiceShare("a", 90), ServiceShare("b", 10))
    split = make_route("r", RepeatPolicy.IDEMPOTENT, shares=shares)
    picked = [pick_service(split, f"attempt-{n}") for n in range(1000)]
    assert 50 < picked.count("b") < 150


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_full_pipe_never_blocks_a_log_line(pipe):
    """The log pipe of a serving process may have no reader and fill up."""
    lines = BoundedLogHandler(fd=pipe[1])
    logger = logging.Logger("test")
    logger.addHandler(lines)
    for number in range(200):
        logger.warning("x" * 1000 + str(number))
    lines.flush_pending()
    assert len(os.read(pipe[0], 1 << 20)) < 200 * 1000


def test_warnings_are_logged_beyond_the_line_limit_per_second(pipe):
    lines = BoundedLogHandler(fd=pipe[1])
    logger = logging.Logger("test")
    logger.addHandler(lines)
    for _ in range(3 * LINES_PER_S):
        logger.info("calm")
    assert lines.dropped_count >= LINES_PER_S
    logger.warning("failure")
    lines.flush_pending()
    assert os.read(pipe[0], 1 << 20).endswith(b"failure\n")
