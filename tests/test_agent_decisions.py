"""The agent's smaller decisions: answers, usage reports and the target's view."""

import pytest

from lavenderfold.agent import Limits
from lavenderfold.agent._answer import Answer
from lavenderfold.agent._deliveries import first_words
from lavenderfold.agent._observed_target import CacheEvent, ObservedTarget
from lavenderfold.agent._usage import Reader, UnsettledUsage
from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.messages import UsageRecord

KEY = RequestKey(BudgetKey("a", "main"), "a")


@pytest.mark.parametrize(
    ("limit", "wanted"), [(0, b""), (1, b"one "), (2, b"one two "), (9, b"one two 3")]
)
def test_answer_past_its_limit_is_cut_at_a_token(limit, wanted):
    assert first_words(b"one two 3", limit) == wanted


def test_part_of_an_answer_counts_the_tokens_that_end_in_it():
    answer = Answer()
    answer.append(b"one two ", 2)
    answer.append(b"three ", 1)
    assert answer.part(0, 8) == (b"one two ", 2)
    assert answer.part(8, 100) == (b"three ", 1)
    assert answer.part(3, 9) == (b" two thre", 2)


def unsettled(owner=1, now=0.0):
    usage = UnsettledUsage(limits=Limits(usage_resend_s=2.0))
    record = UsageRecord("a", KEY, 1, "g", 5)
    usage.add(record, owner=owner, at_once=False, now=now)
    return usage


def near(link, incarnation):
    return Reader(link=link, incarnation=incarnation, same_region=True)


def test_usage_goes_to_the_router_that_ran_it_until_that_is_gone():
    usage = unsettled()
    routers = [near(1, 1), near(2, 2)]
    assert usage.due_reports(routers, now=1.0) == []
    assert [link for link, _ in usage.due_reports(routers, now=2.0)] == [1]
    usage.router_gone(link=1, incarnation=1, now=3.0)
    assert [link for link, _ in usage.due_reports(routers[1:], now=3.0)] == [2]
    assert usage.held(1) == {"g": 5}
    usage.stored(["a"])
    assert usage.due_reports(routers, now=99.0) == []
    assert len(usage) == 0


def test_usage_is_reported_to_another_router_if_one_never_confirms():
    usage = unsettled(owner=9)
    routers = [near(1, 1), near(2, 2)]
    times = (2.0, 4.0, 100.0, 200.0)
    links = [link for now in times for link, _ in usage.due_reports(routers, now=now)]
    assert set(links) == {1, 2}


def test_usage_waits_for_any_router():
    usage = unsettled()
    assert usage.due_reports([], now=5.0) == []
    assert len(usage.due_reports([near(3, 3)], now=6.0)) == 1


def test_one_lost_probe_does_not_make_a_target_unhealthy():
    view = ObservedTarget(models=["m"])
    view.probe_succeeded(None)
    view.probe_failed()
    assert view.healthy
    view.probe_failed()
    assert not view.healthy


def test_restarted_engine_is_asked_for_its_events_from_the_first():
    view = ObservedTarget(models=["m"])
    view.apply_cache_events([CacheEvent(7, "stored", 1), CacheEvent(9, "stored", 2)])
    view.apply_cache_events([CacheEvent(10, "evicted", 1)])
    assert view.prefixes_to_report(now=0.0) == [2]
    assert view.prefixes_to_report(now=99.0) is None
    view.probe_failed()
    view.probe_failed()
    assert view.last_sequence == 0
    assert view.prefixes_to_report(now=99.0) == []
