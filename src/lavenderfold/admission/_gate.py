"""Suspends the tasks of requests until they are admitted to a service."""

import trio

from lavenderfold.admission._service_admission import (
    Arrival,
    Entry,
    EntryState,
    ServiceAdmission,
)
from lavenderfold.admission._usual_times import UsualTimes


class AdmissionGate:
    """The admission to one service, with the tasks of the requests that wait."""

    __slots__ = ("admission", "usual_times", "_event_by_entry")

    def __init__(self):
        self.admission = ServiceAdmission(on_admitted=self._wake)
        self.usual_times = UsualTimes()
        self._event_by_entry: dict[Entry, trio.Event] = {}

    async def enter(self, entry: Entry, *, wait_until: float) -> Arrival:
        """Wait until the request is admitted, at most until ``wait_until``.

        The state of the entry tells the result. ``leave`` must be called with it in any
        case, also if the wait is cancelled.
        """
        now = trio.current_time()
        arrival = self.admission.arrive(entry, wait_until=wait_until, now=now)
        if arrival.state is EntryState.QUEUED:
            event = self._event_by_entry[entry] = trio.Event()
            with trio.move_on_at(wait_until):
                await event.wait()
        return arrival

    def leave(self, entry: Entry, *, is_served: bool) -> None:
        """Release what the request holds."""
        self._event_by_entry.pop(entry, None)
        now = trio.current_time()
        self.admission.end(entry, is_served=is_served, now=now)

    def _wake(self, entry: Entry) -> None:
        self._event_by_entry[entry].set()
