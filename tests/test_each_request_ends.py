"""Seeded plays of requests beside changes, reloads and planned stops.

``python -m scripts.play_request_ends`` plays more.
"""

import pytest
import trio

from lavenderfold.direct import _request_refusals
from lavenderfold.direct._refusals import STATUS_BY_REASON, not_run
from lavenderfold.http import ResponseWriter, _server
from lavenderfold.outcomes import Reason
from tests.request_ends import CALLERS, ROUTES, RequestEnds

# In nearly all runs each planted fault was found in the first play.
PLANTED_PLAYS = 6


@pytest.mark.parametrize("seed", [1, 2])
def test_each_request_gets_an_answer_or_a_refusal(seed):
    """Guards against requests without an end beside changes, reloads and stops."""
    play = RequestEnds(seed)
    assert trio.run(play.run) == []
    # A play without requests before and during the planned stop would show nothing.
    assert {each.route for each in play.sent} == set(ROUTES)
    assert {each.is_stopping for each in play.sent} == {False, True}
    assert len(play.sent) >= 2 * CALLERS


def freeze_idle_timeout(**options) -> ResponseWriter:
    """Return a writer with the idle timeout from before its request was read."""
    timeout_s = options["idle_timeout_s"]()
    return ResponseWriter(**{**options, "idle_timeout_s": lambda: timeout_s})


def keep_body(writer: ResponseWriter, status: int) -> None:
    """Write a body also where the protocol has none."""
    writer._has_body = True


async def skip_internal_error(writer: ResponseWriter) -> None:
    """Leave a request whose answer failed without any."""


def plant_old_idle_timeout(monkeypatch):
    monkeypatch.setattr(_server, "ResponseWriter", freeze_idle_timeout)


def plant_body_without_frame(monkeypatch):
    monkeypatch.setattr(ResponseWriter, "_decide_on_body", keep_body)
    monkeypatch.setattr(ResponseWriter, "send_internal_error", skip_internal_error)


def plant_false_promise(monkeypatch):
    monkeypatch.setitem(STATUS_BY_REASON, Reason.TARGET_FAILED, 503)
    monkeypatch.setattr(_request_refusals, "may_have_run", not_run)


@pytest.mark.parametrize(
    ("plant", "fault"),
    [
        (plant_old_idle_timeout, "neither an answer nor a refusal"),
        (plant_body_without_frame, "neither an answer nor a refusal"),
        (plant_false_promise, "refused as not run"),
    ],
)
def test_play_finds_planted_faults(monkeypatch, plant, fault):
    """A play whose changes miss its requests would find nothing."""
    plant(monkeypatch)
    for seed in range(1, PLANTED_PLAYS + 1):
        if any(fault in text for text in trio.run(RequestEnds(seed).run)):
            return
    raise AssertionError("not found")
