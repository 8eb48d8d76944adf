"""Admission to a service under the loads that it is for, without a network."""

import random

import pytest
import trio
import trio.testing

from lavenderfold.admission import AdmissionGate, Entry, EntryState, ServiceAdmission
from tests.admission_support import SimulatedService, calls_per_s, share


def make_entry(**values) -> Entry:
    defaults = {"priority": 5, "organisation": "", "tokens": 1000, "deadline": 10.0}
    return Entry(**{**defaults, **values})


def lower_limit(admission: ServiceAdmission, *, now: float) -> None:
    """Report three rejections by two targets."""
    for target_id in ("t0", "t1", "t0"):
        admission.record_congestion(target_id, now=now)


def fill(admission: ServiceAdmission, *, now: float = 0.0) -> list[Entry]:
    """Have as much in progress as the lowered limit allows."""
    entries = []
    while not entries or entries[-1].state is EntryState.ADMITTED:
        entries.append(make_entry())
        admission.arrive(entries[-1], wait_until=now, now=now)
    admission.end(entries.pop(), is_served=False, now=now)
    return entries


def test_absurd_number_of_tokens_leaves_the_size_of_others():
    """Requests after it would count as a quarter, and 4 times the limit would pass."""
    admission = ServiceAdmission(on_admitted=lambda _: None)
    for tokens in (1000, 10**15):
        admission.arrive(make_entry(tokens=tokens), wait_until=0.0, now=0.0)
    usual = make_entry()
    admission.arrive(usual, wait_until=0.0, now=0.0)
    assert usual.size > 0.8


@pytest.mark.parametrize("seed", range(5))
def test_refuses_and_delays_nothing_in_normal_operation(seed):
    """Load: 15 requests/s of 0.1 to 3 s, a third of them long, and bursts of 2.5 times.

    One of the targets rejects now and then. Guards against delays without need.
    """
    draws = random.Random(seed)
    service = SimulatedService(capacity=1000)
    calls = calls_per_s(15, start=0, end=60) + calls_per_s(22, start=20, end=27)
    for call in calls:
        call.hold_s = draws.uniform(0.1, 3)
        call.tokens = draws.choice((500, 1000, 20_000))
        if draws.random() < 0.05:
            service._at(call.at, service._record_slow, "t0")
    assert share(service.run(calls)) == 1
    assert max(call.waited_s for call in calls) == 0


def test_burst_of_long_prompts_leaves_room_for_urgent_short_ones():
    """Load: a batch of long prompts at 3 times what fits, beside urgent short ones.

    Guards against urgent requests that find the targets full.
    """
    service = SimulatedService(capacity=12)
    urgent = calls_per_s(4, start=0, end=20, priority=0, hold_s=0.5, tokens=300)
    burst = calls_per_s(
        15, start=5, end=12, priority=5, hold_s=2, tokens=8000, wait_s=1.5
    )
    service.run(urgent + burst)
    assert share(urgent) > 0.85
    assert share(urgent) > share(burst) > 0.2


def test_long_and_short_prompts_of_one_priority_both_get_through():
    """Load: long and short prompts of one kind, together twice what fits.

    Guards against short ones that always pass the long ones, and the reverse.
    """
    service = SimulatedService(capacity=12)
    long = calls_per_s(
        4, start=0, end=20, organisation="a", hold_s=3, tokens=9000, wait_s=2
    )
    short = calls_per_s(
        24, start=0, end=20, organisation="b", hold_s=0.5, tokens=1000, wait_s=2
    )
    service.run(long + short)
    assert min(share(long), share(short)) > 0.25


def test_surge_of_one_organisation_doesn_t_take_the_share_of_others():
    """Load: one organisation at 7 times its usual for 6 s, two others as usual.

    Guards against the others paying for the surge.
    """
    service = SimulatedService(capacity=12)
    others = [
        call
        for name in ("a", "b")
        for call in calls_per_s(3, start=0, end=20, organisation=name)
    ]
    surge = calls_per_s(3, start=0, end=20, organisation="c")
    surge += calls_per_s(18, start=8, end=14, organisation="c")
    service.run(others + surge)
    assert share(others) > 0.9
    assert share(surge) < 0.9


def test_targets_that_reject_lower_the_limit_to_what_fits():
    """Load: the targets have room for a third of the requests.

    Guards against a router that goes on sending what is rejected.
    """
    service = SimulatedService(capacity=8)
    calls = service.run(calls_per_s(24, start=0, end=30))
    late = [call for call in calls if call.at > 5]
    assert share(late, "rejected") < 0.2
    assert share(late) > 0.25


def test_limit_recovers_within_seconds_after_slow_answers():
    """Load: all targets are slow for 4 s, then as before.

    Guards against refusals after the cause has passed.
    """
    service = SimulatedService(capacity=1000, slow_until=4.0)
    calls = service.run(calls_per_s(10, start=0, end=20))
    assert share([call for call in calls if call.at < 5]) < 1
    late = [call for call in calls if call.at > 9]
    assert share(late) == 1
    assert max(call.waited_s for call in late) == 0


@pytest.mark.parametrize("target_ids", [["t0"] * 9, ["t0", "t1"]])
def test_one_target_or_a_few_signals_are_no_lack_of_room(target_ids):
    """Load: one target of several fails, or two slow answers in normal operation."""
    admission = ServiceAdmission(on_admitted=lambda entry: None)
    for target_id in target_ids:
        assert not admission.record_congestion(target_id, now=0.0)
    assert not admission.limit.is_lowered


def test_request_that_can_t_be_in_time_is_refused_at_once():
    """Load: a full service. Guards against a wait that ends in a refusal."""
    admission = ServiceAdmission(on_admitted=lambda entry: None)
    first = make_entry()
    admission.arrive(first, wait_until=0, now=0.0)
    admission.end(first, is_served=True, now=2.0)
    lower_limit(admission, now=2.0)
    fill(admission, now=2.0)
    # Four in progress of 2 s each: the next one ends after about half a second.
    late = admission.arrive(make_entry(), wait_until=2.3, now=2.0)
    in_time = admission.arrive(make_entry(), wait_until=2.6, now=2.0)
    assert late.state is EntryState.REFUSED
    assert late.expected_s == pytest.approx(0.5)
    assert in_time.state is EntryState.QUEUED


def test_begun_request_passes_first():
    """Load: a stream that is resumed while the service is full.

    Guards against a stream whose beginning was in vain.
    """
    admission = ServiceAdmission(on_admitted=lambda entry: None)
    lower_limit(admission, now=0.0)
    fill(admission)
    resumed = make_entry(priority=9, has_begun=True)
    admission.arrive(resumed, wait_until=0.0, now=0.0)
    assert resumed.state is EntryState.ADMITTED


def test_order_of_the_queue():
    """Load: a full service. Guards against another order than priority, share, time."""
    admitted = []
    admission = ServiceAdmission(on_admitted=admitted.append)
    lower_limit(admission, now=0.0)
    running = fill(admission)
    used = make_entry(organisation="much", tokens=5000, has_begun=True)
    admission.arrive(used, wait_until=0, now=0.0)
    expected = [
        make_entry(priority=0, organisation="much", deadline=9.0),
        make_entry(priority=3, organisation="little", deadline=8.0),
        make_entry(priority=3, organisation="much", deadline=1.0),
        make_entry(priority=3, organisation="much", deadline=2.0),
    ]
    for entry in reversed(expected):
        admission.arrive(entry, wait_until=9.0, now=0.0)
    for entry in [used, *running]:
        admission.end(entry, is_served=True, now=0.5)
    assert admitted == expected


def test_waiting_tasks_are_woken_time_out_or_are_cancelled():
    """Load: a full service, whose callers get room, wait in vain, or leave.

    Guards against a task that waits for ever, and against a place that a caller keeps
    after it has left.
    """
    gate = AdmissionGate()
    results = {}

    async def wait(name, wait_s):
        entry = make_entry()
        try:
            await gate.enter(entry, wait_until=trio.current_time() + wait_s)
            results[name] = (entry.state, trio.current_time() - started_at)
        finally:
            gate.leave(entry, is_served=False)

    async def main():
        nonlocal started_at
        started_at = trio.current_time()
        lower_limit(gate.admission, now=started_at)
        running = fill(gate.admission, now=started_at)
        async with trio.open_nursery() as nursery:
            leaving = trio.CancelScope()
            with leaving:
                async with trio.open_nursery() as caller:
                    caller.start_soon(wait, "leaves", 3.0)
                    await trio.testing.wait_all_tasks_blocked()
                    leaving.cancel()
            nursery.start_soon(wait, "late", 0.5)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(wait, "woken", 3.0)
            await trio.sleep(1.0)
            gate.leave(running.pop(), is_served=True)

    started_at = 0.0
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert results["late"] == (EntryState.QUEUED, pytest.approx(0.5))
    assert results["woken"] == (EntryState.ADMITTED, pytest.approx(1.0))
    assert "leaves" not in results
    assert gate.admission.queued == 0
