"""Has another target take over a request from a silent one."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

from lavenderfold.direct._attempt_starter import StartedAttempt
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.fleet import Target

# A target that hasn't refused a request for this long after it was sent is taken to
# run it. The silent target must stop soon after another one has begun.
REFUSAL_WAIT_S = 0.1

Result = TypeVar("Result")


class _Successor:
    """An attempt that is opened while a silent target is still waited for.

    ``outcome`` is None unless the attempt ended with its opening.
    """

    __slots__ = (
        "started",
        "outcome",
        "is_adopted",
        "is_forgotten",
        "_scope",
        "_opened",
        "_adopted",
    )

    def __init__(self, *, started: StartedAttempt):
        self.started = started
        self.outcome: AttemptOutcome | None = None
        self.is_adopted = False
        self.is_forgotten = False
        self._scope = trio.CancelScope()
        self._opened = trio.Event()
        self._adopted = trio.Event()

    @property
    def is_accepted(self) -> bool:
        """Whether its target runs the request, as far as can be known."""
        attempt = self.started.attempt
        if self._opened.is_set():
            return self.outcome is None
        if attempt.sent_at is None:
            return False
        return trio.current_time() - attempt.sent_at >= REFUSAL_WAIT_S

    async def run(self, on_accepted: Callable[[], None]) -> None:
        """Open the attempt, and keep it until it is adopted or cancelled."""
        try:
            with self._scope:
                await self._open()
                if self.is_accepted and not self.is_adopted:
                    on_accepted()
                    await self._adopted.wait()
        finally:
            if not self.is_adopted:
                await self.started.attempt.close()

    async def _open(self) -> None:
        self.outcome = await self.started.opening()
        if self.outcome is None and not (
            self.is_adopted or self.started.attempt.is_successful
        ):
            # The silent target may still answer better.
            self.outcome = AttemptOutcome.FAILED
        self._opened.set()

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
    that is possible; ``on_end`` is called with an attempt that didn't take over and
    its outcome, which is None if the silent target went on or the request ended.
    ``on_outcome`` records what such an outcome shows of the target.
    """

    __slots__ = ("_start", "_on_end", "_on_outcome", "_nursery", "_successor")

    def __init__(
        self,
        *,
        start: Callable[[Target], StartedAttempt | None],
        on_end: Callable[[StartedAttempt, AttemptOutcome | None], None],
        on_outcome: Callable[[StartedAttempt, AttemptOutcome], Awaitable[None]],
    ):
        self._start = start
        self._on_end = on_end
        self._on_outcome = on_outcome
        self._nursery: trio.Nursery | None = None
        self._successor: _Successor | None = None

    @property
    def is_pending(self) -> bool:
        """Whether an attempt at another target was begun and not adopted."""
        return self._successor is not None

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
            raise error
        return result

    def ask(self, silent: Target, on_accepted: Callable[[], None]) -> bool:
        """Return whether another target than ``silent`` has accepted the request.

        If none was asked yet, one is; ``on_accepted`` is called when it accepts.
        """
        if self._successor is None:
            started = self._start(silent)
            if started is None:
                return False
            self._successor = _Successor(started=started)
            self._nursery.start_soon(self._run_successor, self._successor, on_accepted)
        return self._successor.is_accepted

    def adopt(self) -> StartedAttempt | None:
        """Return the attempt at another target to go on with, if there is one."""
        successor, self._successor = self._successor, None
        return None if successor is None else successor.adopt()

    def drop(self) -> None:
        """Give up the other target, as the silent one has gone on."""
        if self._successor is not None:
            self._successor.cancel()
            self._forget(self._successor)

    async def _run_successor(
        self, successor: _Successor, on_accepted: Callable[[], None]
    ) -> None:
        try:
            await successor.run(on_accepted)
        finally:
            if not successor.is_adopted and not successor.is_forgotten:
                self._forget(successor)
        if not successor.is_adopted and successor.outcome is not None:
            await self._on_outcome(successor.started, successor.outcome)

    def _forget(self, successor: _Successor) -> None:
        successor.is_forgotten = True
        if self._successor is successor:
            self._successor = None
        self._on_end(successor.started, successor.outcome)
