"""One attempt to run a request at a target, or the resumption of its answer."""

import math
import uuid
from collections.abc import Callable

import trio

from lavenderfold.identifiers import RequestKey
from lavenderfold.messages import Frame, ResumeRun, RunEnded
from lavenderfold.outcomes import MayHaveRun, Outcome, Ran, Reason
from lavenderfold.quarantine import BEGINNING_S
from lavenderfold.router._agents import AgentLink, AgentUnreachableError
from lavenderfold.router._answers import AnswerAssembler, AnswerPipe

# The shortest time between two resume requests, so that a burst of out-of-order
# frames doesn't cause a burst of them.
RESUME_PERIOD_S = 0.25
RESUME_REPEAT_S = 1.0
# The end of a limit that is waited for separately; several reads take less.
LAST_WAIT_S = 0.25


def _split_wait(limit_s: float) -> tuple[float, float]:
    """Return two waits, one after the other, that take ``limit_s`` together.

    The limit may pass while the router is suspended. The second wait begins after
    that, and lets the router read what the agent sent meanwhile.
    """
    last_s = min(LAST_WAIT_S, limit_s / 2)
    return limit_s - last_s, last_s


class Attempt:
    """Receives the messages about one run and writes its answer to a pipe.

    The link to the agent calls the ``on_...`` methods. ``has_replied`` is set once
    the agent has sent anything about the run, also that it doesn't know it.
    ``on_answering`` is called once the answer has gone on beyond its beginning.
    """

    def __init__(
        self,
        *,
        run_id: str,
        key: RequestKey,
        link: AgentLink,
        assembler: AnswerAssembler,
        pipe: AnswerPipe,
        relink_wait_s: float,
        on_answering: Callable[[], None] = lambda: None,
    ):
        self.run_id = run_id
        self.ended: RunEnded | None = None
        self.assembler = assembler
        self.has_replied = trio.Event()
        self.is_unknown = False
        self._key = key
        self._link = link
        self._pipe = pipe
        self._relink_wait_s = relink_wait_s
        self._relink_left_s = relink_wait_s
        self._subscriptions = [run_id]
        self._changed = trio.Event()
        self._is_link_lost = False
        self._was_link_lost = False
        self._is_stalled = False
        self._on_answering = on_answering
        self._first_frame_at: float | None = None
        self._is_answering = False
        self._resumed_at = -RESUME_PERIOD_S
        link.attach(run_id, self)

    def on_accepted(self) -> None:
        pass

    def on_frame(self, frame: Frame) -> None:
        self._mark_replied()
        self._record_frame()
        if not self._pipe.can_buffer(len(frame.data)):
            self._is_stalled = True
            self._notify_changed()
            return
        self._pipe.write(self.assembler.accept(frame))
        has_fault = self.assembler.has_gap or self.assembler.has_diverged
        if has_fault or self.ended is not None:
            self._notify_changed()

    def on_ended(self, ended: RunEnded) -> None:
        self._mark_replied()
        self.ended = ended
        if isinstance(ended.outcome, Ran):
            self._record_answering()
        self._notify_changed()

    def on_unknown(self) -> None:
        self.is_unknown = True
        self.has_replied.set()
        self._notify_changed()

    def on_link_lost(self) -> None:
        self._is_link_lost = True
        self._was_link_lost = True
        self._notify_changed()

    @property
    def is_usage_known(self) -> bool:
        """Whether the agent's usage report, if there is one, must have arrived.

        This is so if the run's end arrived on a link that was never lost.
        """
        return self.ended is not None and not self._was_link_lost

    @property
    def is_lost_at_beginning(self) -> bool:
        """Whether the engine broke off before or at the beginning of its answer.

        An agent also reports runs as lost that it ended because no router was linked.
        """
        if self.ended is None or self._was_link_lost or self._is_answering:
            return False
        outcome = self.ended.outcome
        return (
            isinstance(outcome, MayHaveRun) and outcome.reason is Reason.CONNECTION_LOST
        )

    def close(self) -> None:
        """Stop receiving messages about the run."""
        for subscription in self._subscriptions:
            self._link.detach(subscription)

    async def follow_for(self, limit_s: float) -> Outcome | None:
        """Follow the run for ``limit_s``; return None if it has no outcome by then."""
        for wait_s in _split_wait(limit_s):
            with trio.move_on_after(wait_s):
                return await self.follow()
        return self._check_outcome()

    async def follow(self) -> Outcome:
        """Return the run's outcome once the whole answer is in the pipe."""
        while True:
            self._changed = trio.Event()
            outcome = self._check_outcome()
            if outcome is not None:
                return outcome
            if self._is_link_lost:
                if not await self._wait_for_link():
                    return MayHaveRun(Reason.CONNECTION_LOST, "the link was lost")
                continue
            if self._is_stalled:
                await self._pipe.wait_drained()
                self._is_stalled = False
                await self._resume()
            elif self.assembler.has_gap or self.ended is not None:
                await self._resume()
            # Once the run has ended, the agent sends nothing unasked. If its reply
            # to a resume request is lost, only this timeout wakes the task.
            timeout_s = RESUME_REPEAT_S if self.ended is not None else math.inf
            with trio.move_on_after(timeout_s):
                await self._changed.wait()

    def _check_outcome(self) -> Outcome | None:
        if self.assembler.has_diverged:
            return MayHaveRun(
                Reason.TARGET_FAILED,
                "the retry's answer differs from the first",
            )
        if self.ended is not None:
            outcome = self.ended.outcome
            if not isinstance(outcome, Ran):
                return outcome
            if self.assembler.is_complete(outcome):
                if self.assembler.is_exact(outcome):
                    return outcome
                return MayHaveRun(Reason.TARGET_FAILED, "the answer's digest is wrong")
        if self.is_unknown:
            return MayHaveRun(Reason.CONNECTION_LOST, "the agent lost the run")
        return None

    async def _wait_for_link(self) -> bool:
        """Wait for the link to reconnect, resume, and return whether that worked.

        All losses of the link share one time limit until a message about the run
        arrives, so that a link that fails repeatedly can't block the run forever.
        The time on an open link doesn't count, and once it has been open for as
        long as the limit, the limit starts anew.
        """
        lost_at = trio.current_time()
        if lost_at - self._resumed_at >= self._relink_wait_s:
            self._relink_left_s = self._relink_wait_s
        for wait_s in _split_wait(self._relink_left_s):
            with trio.move_on_after(wait_s):
                await self._resume_when_connected()
                waited_s = trio.current_time() - lost_at
                self._relink_left_s = max(0.0, self._relink_left_s - waited_s)
                return True
        return False

    async def _resume_when_connected(self) -> None:
        while True:
            await self._link.connected.wait()
            self._is_link_lost = False
            if self._request_resume():
                return
            await trio.sleep(RESUME_PERIOD_S)

    async def _resume(self) -> None:
        wait_s = self._resumed_at + RESUME_PERIOD_S - trio.current_time()
        if wait_s > 0:
            await trio.sleep(wait_s)
            if not self._is_missing_bytes():
                return
        if not self._request_resume():
            self._is_link_lost = True
            self._notify_changed()

    def _is_missing_bytes(self) -> bool:
        if self.ended is None:
            return self.assembler.has_gap
        outcome = self.ended.outcome
        if not isinstance(outcome, Ran) or self.assembler.is_complete(outcome):
            self._notify_changed()
            return False
        return True

    def _request_resume(self) -> bool:
        subscription = uuid.uuid4().hex
        message = ResumeRun(
            subscription=subscription, key=self._key, offset=self.assembler.offset
        )
        try:
            self._link.post(message)
        except AgentUnreachableError:
            return False
        self.assembler.has_gap = False
        self._resumed_at = trio.current_time()
        self._subscriptions.append(subscription)
        self._link.attach(subscription, self)
        return True

    def _record_frame(self) -> None:
        now = trio.current_time()
        if self._first_frame_at is None:
            self._first_frame_at = now
        if now - self._first_frame_at >= BEGINNING_S:
            self._record_answering()

    def _record_answering(self) -> None:
        if not self._is_answering:
            self._is_answering = True
            self._on_answering()

    def _mark_replied(self) -> None:
        self.has_replied.set()
        self._relink_left_s = self._relink_wait_s

    def _notify_changed(self) -> None:
        self._changed.set()
