"""One attempt of a request at one target, or the resumption of one."""

import math
import uuid

import trio

from lavenderfold.identifiers import RequestKey
from lavenderfold.messages import Frame, ResumeRun, RunEnded
from lavenderfold.outcomes import MayHaveRun, Outcome, Ran, Reason
from lavenderfold.router._agents import AgentLink, AgentUnreachableError
from lavenderfold.router._answers import AnswerAssembler, AnswerPipe

# A gap is asked for again only after this time, so that a burst of late frames
# doesn't cause a burst of resumptions.
RESUME_PERIOD_S = 0.25
RESUME_REPEAT_S = 1.0


class Attempt:
    """Receives the messages about one run and writes its answer to a pipe."""

    def __init__(
        self,
        *,
        run_id: str,
        key: RequestKey,
        link: AgentLink,
        assembler: AnswerAssembler,
        pipe: AnswerPipe,
        relink_wait_s: float,
    ):
        self.run_id = run_id
        self.ended: RunEnded | None = None
        self.assembler = assembler
        self.is_found = trio.Event()
        self.is_unknown = False
        self._key = key
        self._link = link
        self._pipe = pipe
        self._relink_wait_s = relink_wait_s
        self._relink_until: float | None = None
        self._names = [run_id]
        self._changed = trio.Event()
        self._is_lost = False
        self._was_lost = False
        self._is_stalled = False
        self._resumed_at = -RESUME_PERIOD_S
        link.attach(run_id, self)

    def on_accepted(self) -> None:
        pass

    def on_frame(self, frame: Frame) -> None:
        self._note_found()
        if not self._pipe.has_room(len(frame.data)):
            self._is_stalled = True
            self._wake()
            return
        self._pipe.write(self.assembler.accept(frame))
        is_troubled = self.assembler.has_gap or self.assembler.diverged
        if is_troubled or self.ended is not None:
            self._wake()

    def on_ended(self, ended: RunEnded) -> None:
        self._note_found()
        self.ended = ended
        self._wake()

    def on_unknown(self) -> None:
        self.is_unknown = True
        self.is_found.set()
        self._wake()

    def on_link_lost(self) -> None:
        self._is_lost = True
        self._was_lost = True
        self._wake()

    @property
    def is_accounted(self) -> bool:
        """Whether the agent ended the run on a link that never broke."""
        return self.ended is not None and not self._was_lost

    def close(self) -> None:
        """Stop receiving messages."""
        for name in self._names:
            self._link.detach(name)

    async def follow(self) -> Outcome:
        """Return the run's outcome once the whole answer is in the pipe."""
        while True:
            self._changed = trio.Event()
            outcome = self._outcome()
            if outcome is not None:
                return outcome
            if self._is_lost:
                if not await self._relink():
                    return MayHaveRun(Reason.CONNECTION_LOST, "the link was lost")
                continue
            if self._is_stalled:
                await self._pipe.wait_drained()
                self._is_stalled = False
                await self._resume()
            elif self.assembler.has_gap or self.ended is not None:
                await self._resume()
            # After the end nothing else would wake this task if the agent's
            # reply to a resumption got lost.
            repeat_s = RESUME_REPEAT_S if self.ended is not None else math.inf
            with trio.move_on_after(repeat_s):
                await self._changed.wait()

    def _outcome(self) -> Outcome | None:
        if self.assembler.diverged:
            return MayHaveRun(
                Reason.TARGET_FAILED, "the retry's answer differs from the first"
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

    async def _relink(self) -> bool:
        """Wait for the link to come back and resume; returns whether it did.

        Losses without a message about the run in between share one wait, so that
        a link that breaks again and again doesn't hold the run up without end.
        """
        if self._relink_until is None:
            self._relink_until = trio.current_time() + self._relink_wait_s
        with trio.move_on_at(self._relink_until):
            while True:
                await self._link.connected.wait()
                self._is_lost = False
                if self._ask():
                    return True
                await trio.sleep(RESUME_PERIOD_S)
        return False

    async def _resume(self) -> None:
        wait_s = self._resumed_at + RESUME_PERIOD_S - trio.current_time()
        if wait_s > 0:
            await trio.sleep(wait_s)
            if not self._needs_bytes():
                return
        if not self._ask():
            self._is_lost = True
            self._wake()

    def _needs_bytes(self) -> bool:
        if self.ended is None:
            return self.assembler.has_gap
        outcome = self.ended.outcome
        if not isinstance(outcome, Ran) or self.assembler.is_complete(outcome):
            self._wake()
            return False
        return True

    def _ask(self) -> bool:
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
        self._names.append(subscription)
        self._link.attach(subscription, self)
        return True

    def _note_found(self) -> None:
        self.is_found.set()
        self._relink_until = None

    def _wake(self) -> None:
        self._changed.set()
