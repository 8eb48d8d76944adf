"""A simulated service behind the admission of one router, without a network."""

import heapq
import itertools

import msgspec

from lavenderfold.admission import Entry, EntryState, ServiceAdmission

SLOW_S = 1.0


class Call(msgspec.Struct, kw_only=True):
    """A request at ``at``; it is served in ``hold_s`` while the service has room."""

    at: float
    priority: int = 5
    organisation: str = ""
    tokens: int = 1000
    hold_s: float = 1.0
    wait_s: float = 1.0
    result: str = ""
    waited_s: float = 0.0


class SimulatedService:
    """Serves ``capacity`` requests at once and rejects the others.

    Until ``slow_until`` all answers begin late.
    """

    def __init__(self, *, capacity: int, slow_until: float = 0.0):
        self.capacity = capacity
        self.slow_until = slow_until
        self.admission = ServiceAdmission(on_admitted=self._start)
        self._running = 0
        self._now = 0.0
        self._targets = itertools.cycle(("t0", "t1", "t2"))
        self._call_by_entry: dict[Entry, Call] = {}
        self._events: list = []
        self._numbers = itertools.count()

    def run(self, calls: list[Call]) -> list[Call]:
        """Serve the calls and return them with their results."""
        for call in calls:
            self._at(call.at, self._arrive, call)
        while self._events:
            self._now, _, action, argument = heapq.heappop(self._events)
            action(argument)
        assert self.admission.used == self.admission.admitted == 0
        assert self.admission.queued == 0
        return calls

    def _at(self, time: float, action, argument) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action, argument))

    def _arrive(self, call: Call) -> None:
        entry = Entry(
            priority=call.priority,
            organisation=call.organisation,
            tokens=call.tokens,
            deadline=self._now + 10,
        )
        self._call_by_entry[entry] = call
        until = self._now + call.wait_s
        self.admission.arrive(entry, wait_until=until, now=self._now)
        if entry.state is EntryState.ADMITTED:
            self._start(entry)
        elif entry.state is EntryState.REFUSED:
            self._end(entry, "refused")
        else:
            self._at(until, self._expire, entry)

    def _expire(self, entry: Entry) -> None:
        if entry.state is EntryState.QUEUED:
            self._end(entry, "refused")

    def _start(self, entry: Entry) -> None:
        call, target = self._call_by_entry[entry], next(self._targets)
        call.waited_s = self._now - call.at
        if self._running >= self.capacity:
            self.admission.record_congestion(target, now=self._now)
            self._at(self._now, self._reject, entry)
            return
        self._running += 1
        if self._now < self.slow_until:
            self._at(self._now + SLOW_S, self._record_slow, target)
        else:
            self.admission.record_served(target, now=self._now)
        self._at(self._now + call.hold_s, self._finish, entry)

    def _record_slow(self, target: str) -> None:
        self.admission.record_congestion(target, now=self._now)

    def _reject(self, entry: Entry) -> None:
        self._end(entry, "rejected")

    def _finish(self, entry: Entry) -> None:
        self._running -= 1
        self._end(entry, "served")

    def _end(self, entry: Entry, result: str) -> None:
        self._call_by_entry[entry].result = result
        self.admission.end(entry, is_served=result == "served", now=self._now)


def calls_per_s(rate: float, *, start: float, end: float, **values) -> list[Call]:
    """Return calls at an even rate."""
    count = round((end - start) * rate)
    return [Call(at=start + (n + 0.5) / rate, **values) for n in range(count)]


def share(calls: list[Call], result: str = "served") -> float:
    """Return the part of the calls with this result."""
    return sum(call.result == result for call in calls) / len(calls)
