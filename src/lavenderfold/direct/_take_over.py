"""Has another target take over a request from a silent one."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

from lavenderfold.direct._attempt_starter import StartedAttempt
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.fleet import Target
from lavenderfold.timers import TimerService

# A target that hasn't refused a generation for this long after it was sent is taken to
# run it. The silent target, which may run it as well, must end within 0.4 s of that.
REFUSAL_WAIT_S = 0.25

Result = TypeVar("Result")


class _Successor:
    """An attempt that is opened while a silent target is still waited for.

    ``is_accepted`` once its target is taken to run the request, or has sent what can be
    relayed. ``outcome`` is None unless the attempt ended with its opening.
    """

    __slots__ = (
        "started",
        "outcome",
        "is_accepted",
        "is_adopted",
        "is_ended",
        "_on_accepted",
        "_scope",
        "_opened",
        "_adopted",
    )

    def __init__(self, *, started: StartedAttempt, on_accepted: Callable[[], None]):
        self.started = started
        self.outcome: AttemptOutcome | None = None
        self.is_accepted = False
        self.is_adopted = False
        self.is_ended = False
        self._on_accepted = on_accepted
        self._scope = trio.CancelScope()
        self._opened = trio.Event()
        self._adopted = trio.Event()

    async def run(self, on_sending: Callable[[], None]) -> None:
        """Open the attempt, and keep it until it is adopted or cancelled."""
        try:
            with self._scope:
                self.outcome = await self.started.opening(on_sending=on_sending)
                self._opened.set()
                if self.outcome is None:
                    self.accept()
                    await self._adopted.wait()
        finally:
            if not self.is_adopted:
                await self.started.attempt.close()

    def accept(self) -> None:
        """Have it take over, unless that was decided before."""
        is_refused = self._opened.is_set() and self.outcome is not None
        if self.is_accepted or self.is_adopted or self.is_ended or is_refused:
            return
        self.is_accepted = True
        self._on_accepted()

    def adopt(self) -> StartedAttempt:
        """Return the attempt for the caller to go on with."""
        self.is_adopted = True
        self._adopted.set()
        return msgspec.structs.replace(self.started, opening=self._wait_opened)

    def cancel(self) -> None:
        self._scope.cancel()

    async def _wait_opened(self) -> AttemptOutcome | None:
        try:
            await self._opened.wait()
        finally:
            self._scope.cancel()
        return self.outcome


class TakeOver:
    """Has another target take over a request from a silent one.

    The silent target may go on, so it is waited for until the other one has accepted
    the request. ``start`` begins an attempt at another target than the given one, if
    that is possible. ``on_accepted`` is called when its target has accepted. ``on_end``
    is called with an attempt that didn't take over and its outcome, and ``on_outcome``
    records what such an outcome shows of the target. Only with ``accepts_unanswered``
    a target that hasn't refused the request for a while has accepted it.
    """

    __slots__ = (
        "_timers",
        "_start",
        "_on_accepted",
        "_on_end",
        "_on_outcome",
        "_accepts_unanswered",
        "_nursery",
        "_successor",
    )

    def __init__(
        self,
        *,
        timers: TimerService,
        start: Callable[[Target], StartedAttempt | None],
        on_accepted: Callable[[], None],
        on_end: Callable[[StartedAttempt, AttemptOutcome], None],
        on_outcome: Callable[[StartedAttempt, AttemptOutcome], Awaitable[None]],
        accepts_unanswered: bool,
    ):
        self._timers = timers
        self._start = start
        self._on_accepted = on_accepted
        self._on_end = on_end
        self._on_outcome = on_outcome
        self._accepts_unanswered = accepts_unanswered
        self._nursery: trio.Nursery | None = None
        self._successor: _Successor | None = None

    async def run(self, work: Callable[[], Awaitable[Result]]) -> Result:
        """Run ``work``, and return its result. Attempts that are left end with it."""
        error: Exception | None = None
        result = None
        async with trio.open_nursery() as self._nursery:
            try:
                result = await work()
            except Exception as caught:
                # Raised again below, not as a part of the nursery's group.
                error = caught
            self._nursery.cancel_scope.cancel()
        if error is not None:
            try:
                raise error
            finally:
                # The error refers to this frame, which refers to the request.
                del error
        return result

    def try_take_over(self, silent: Target) -> bool:
        """Return whether another target than ``silent`` has accepted the request.

        An attempt at one is begun if there is none.
        """
        if self._successor is None:
            started = self._start(silent)
            if started is None:
                return False
            self._successor = _Successor(started=started, on_accepted=self._on_accepted)
            self._nursery.start_soon(self._run_successor, self._successor)
        return self._successor.is_accepted

    def adopt(self) -> StartedAttempt | None:
        """Return the attempt at another target to go on with, if there is one."""
        successor, self._successor = self._successor, None
        return None if successor is None else successor.adopt()

    def drop(self) -> None:
        """Give up the other target, as the silent one has gone on."""
        if self._successor is not None:
            self._successor.cancel()
            self._end(self._successor)

    def close(self) -> None:
        """Drop the callbacks; nothing can be taken over any more.

        They are methods of the request, which refers to this object. Its body and
        answer would be kept until the garbage collector runs.
        """
        del self._start, self._on_accepted, self._on_end, self._on_outcome

    async def _run_successor(self, successor: _Successor) -> None:
        def schedule_acceptance() -> None:
            if self._accepts_unanswered:
                self._timers.once(REFUSAL_WAIT_S, lambda _: successor.accept())

        try:
            await successor.run(schedule_acceptance)
        finally:
            if not successor.is_adopted and not successor.is_ended:
                self._end(successor)
        if not successor.is_adopted and successor.outcome is not None:
            await self._on_outcome(successor.started, successor.outcome)

    def _end(self, successor: _Successor) -> None:
        successor.is_ended = True
        if self._successor is successor:
            self._successor = None
        outcome = successor.outcome or AttemptOutcome.SUPERSEDED
        self._on_end(successor.started, outcome)
