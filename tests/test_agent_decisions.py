"""Tests of the agent's answer buffer, usage reports and target observation."""

import pytest

from lavenderfold.agent import Limits
from lavenderfold.agent._answer_buffer import AnswerBuffer
from lavenderfold.agent._deliveries import truncate_to_words
from lavenderfold.agent._observed_target import CacheEvent, ObservedTarget
from lavenderfold.agent._usage import ConnectedRouter, UnsettledUsage
from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.messages import UsageRecord

KEY = RequestKey(BudgetKey("a", "main"), "a")


@pytest.mark.parametrize(
    ("limit", "wanted"),
    [(0, b""), (1, b"one "), (2, b"one two "), (9, b"one two 3")],
)
def test_answer_beyond_its_token_limit_is_cut_after_a_word(limit, wanted):
    assert truncate_to_words(b"one two 3", limit) == wanted


def test_part_of_an_answer_counts_the_tokens_that_end_in_it():
    answer = AnswerBuffer()
    answer.append(b"one two ", 2)
    answer.append(b"three ", 1)
    assert answer.read(0, 8) == (b"one two ", 2)
    assert answer.read(8, 100) == (b"three ", 1)
    assert answer.read(3, 9) == (b" two thre", 2)


def make_unsettled_usage(sender_incarnation=1, now=0.0):
    usage = UnsettledUsage(limits=Limits(usage_resend_s=2.0))
    record = UsageRecord("a", KEY, 1, "g", 5)
    usage.add(
        record, sender_incarnation=sender_incarnation, report_immediately=False, now=now
    )
    return usage


def same_region_router(link, incarnation):
    return ConnectedRouter(link=link, incarnation=incarnation, same_region=True)


def test_usage_is_reported_to_the_sender_until_its_link_is_lost():
    usage = make_unsettled_usage()
    routers = [same_region_router(1, 1), same_region_router(2, 2)]
    assert usage.due_reports(routers, now=1.0) == []
    assert [link for link, _ in usage.due_reports(routers, now=2.0)] == [1]
    usage.handle_router_loss(link_number=1, incarnation=1, now=3.0)
    assert [link for link, _ in usage.due_reports(routers[1:], now=3.0)] == [2]
    assert usage.held_tokens_by_grant(1) == {"g": 5}
    usage.mark_stored(["a"])
    assert usage.due_reports(routers, now=99.0) == []
    assert len(usage) == 0


def test_unconfirmed_usage_is_reported_to_other_routers_in_turn():
    usage = make_unsettled_usage(sender_incarnation=9)
    routers = [same_region_router(1, 1), same_region_router(2, 2)]
    times = (2.0, 4.0, 100.0, 200.0)
    links = [link for now in times for link, _ in usage.due_reports(routers, now=now)]
    assert set(links) == {1, 2}


def test_usage_is_kept_until_a_router_connects():
    usage = make_unsettled_usage()
    assert usage.due_reports([], now=5.0) == []
    assert len(usage.due_reports([same_region_router(3, 3)], now=6.0)) == 1


def test_one_lost_probe_does_not_make_a_target_unhealthy():
    target = ObservedTarget(models=["m"])
    target.probe_succeeded(None)
    target.probe_failed()
    assert target.is_healthy
    target.probe_failed()
    assert not target.is_healthy


def test_cache_events_are_read_from_the_start_after_an_engine_failure():
    target = ObservedTarget(models=["m"])
    target.apply_cache_events([CacheEvent(7, "stored", 1), CacheEvent(9, "stored", 2)])
    target.apply_cache_events([CacheEvent(10, "evicted", 1)])
    assert target.prefixes_to_report(now=0.0) == [2]
    assert target.prefixes_to_report(now=99.0) is None
    target.probe_failed()
    target.probe_failed()
    assert target.last_sequence == 0
    assert target.prefixes_to_report(now=99.0) == []
