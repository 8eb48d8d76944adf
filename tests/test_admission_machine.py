"""State machine of the limit and the queue before a service."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lavenderfold.admission import Entry, EntryState, ServiceAdmission


class AdmissionMachine(RuleBasedStateMachine):
    """Load: any order of arrivals, ends, lack of room and recovery.

    Guards against requests that are lost in the queue, admitted twice, or counted
    after their end.
    """

    @initialize()
    def start(self):
        self.now = 0.0
        self.entries: list[Entry] = []
        self.queued: set[Entry] = set()
        self.admitted: set[Entry] = set()
        self.admission = ServiceAdmission(on_admitted=self.record_admitted)
        # Without a lowered limit nothing is ever queued.
        self.report_congestion(["t0", "t1", "t0"])
        for _ in range(4):
            self.arrive(5, "", None, 1.0, False)

    def record_admitted(self, entry: Entry) -> None:
        self.queued.remove(entry)
        self.admitted.add(entry)

    @rule(
        priority=st.integers(0, 9),
        organisation=st.sampled_from(("", "a", "b")),
        tokens=st.sampled_from((None, 0, 10, 1000, 90_000)),
        wait_s=st.sampled_from((0.0, 0.5, 2.0, 30.0)),
        has_begun=st.sampled_from((False, False, False, True)),
    )
    def arrive(self, priority, organisation, tokens, wait_s, has_begun):
        entry = Entry(
            priority=priority,
            organisation=organisation,
            tokens=tokens,
            deadline=self.now + 3,
            has_begun=has_begun,
        )
        until = self.now + wait_s
        arrival = self.admission.arrive(entry, wait_until=until, now=self.now)
        self.entries.append(entry)
        if arrival.state is EntryState.QUEUED:
            self.queued.add(entry)
        elif arrival.state is EntryState.ADMITTED:
            self.admitted.add(entry)
        if has_begun:
            assert arrival.state is EntryState.ADMITTED
        if arrival.state is EntryState.REFUSED:
            assert self.now + arrival.expected_s > until

    @precondition(lambda self: self.admitted)
    @rule(number=st.integers(0, 9), is_served=st.booleans())
    def end_admitted(self, number, is_served):
        admitted = [each for each in self.entries if each in self.admitted]
        self.end(admitted[number % len(admitted)], is_served)

    @precondition(lambda self: self.entries)
    @rule(number=st.integers(0, 99), times=st.integers(1, 2))
    def end_any(self, number, times):
        self.end(self.entries[number % len(self.entries)], False, times=times)

    def end(self, entry, is_served, *, times=1):
        self.queued.discard(entry)
        self.admitted.discard(entry)
        for _ in range(times):
            self.admission.end(entry, is_served=is_served, now=self.now)

    @rule(target_ids=st.lists(st.sampled_from(("t0", "t1")), min_size=1, max_size=8))
    def report_congestion(self, target_ids):
        for target_id in target_ids:
            self.admission.record_congestion(target_id, now=self.now)

    @rule()
    def report_served(self):
        self.admission.record_served("t0", now=self.now)

    @rule(seconds=st.sampled_from((0.01, 0.4, 1.1)))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def counts_balance(self):
        admission = self.admission
        assert admission.queued == len(self.queued)
        assert admission.admitted == len(self.admitted)
        assert abs(admission.used - sum(each.size for each in self.admitted)) < 1e-6
        for entry in self.entries:
            is_queued = entry.state is EntryState.QUEUED
            is_admitted = entry.state is EntryState.ADMITTED
            assert is_queued == (entry in self.queued)
            assert is_admitted == (entry in self.admitted)

    @invariant()
    def nobody_waits_for_room_that_is_free(self):
        if self.queued:
            assert self.admission.used >= self.admission.limit.value


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
