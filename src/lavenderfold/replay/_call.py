"""Follows one request from its first exchange to its end."""

from collections.abc import Mapping

import trio

from lavenderfold.http import HttpClient
from lavenderfold.replay._answer import Answer
from lavenderfold.replay._exchange import Exchange, build_request
from lavenderfold.replay._records import Attempt, CallOutcome, CallRecord, Step
from lavenderfold.replay._routers import Caller, RouterChoice
from lavenderfold.replay._steps import final_outcome, next_step
from lavenderfold.settings import Address
from lavenderfold.timers import TimerService


class Call:
    """Sends a request, resumes or repeats it as far as that is safe."""

    def __init__(
        self,
        *,
        record: CallRecord,
        key: str,
        choice: RouterChoice,
        client_by_address: Mapping[Address, HttpClient],
        idle_timeout_s: float,
        timers: TimerService,
    ):
        self._record = record
        self._key = key
        self._choice = choice
        self._client_by_address = client_by_address
        self._idle_timeout_s = idle_timeout_s
        self._timers = timers
        self._answer = Answer()
        self._last_part_s: float | None = None
        request = record.request
        self._caller = Caller(request.organisation, request.region)

    async def run(self) -> None:
        """Fill the record; it holds what is known even after a cancellation."""
        step = Step.POST
        while step is not Step.STOP:
            router = self._choice.choose(self._caller)
            if step is Step.POST:
                # A repeated run may word its answer differently.
                self._answer = Answer()
            attempt = await self._exchange(
                step, self._client_by_address[router.address]
            )
            self._record.attempts.append(attempt)
            self._note(attempt)
            decision = next_step(self._record.request, self._record.attempts)
            step = decision.step
            if decision.change_router:
                self._choice.move(self._caller, router)
            if step is not Step.STOP:
                await trio.sleep(decision.wait_s)

    async def _exchange(self, step: Step, client: HttpClient) -> Attempt:
        # Holds if the caller's time runs out before this exchange ends.
        self._record.outcome = CallOutcome.MAY_HAVE_RUN
        request = build_request(
            self._record.request,
            step=step,
            key=self._key,
            request_id=self._record.request_id,
            answer=self._answer,
        )
        exchange = Exchange(
            client=client,
            request_id=self._record.request_id,
            is_model=self._record.request.kind.is_model,
            answer=self._answer,
            idle_timeout_s=self._idle_timeout_s,
            on_part=self._note_part,
        )
        return await exchange.run(request, step=step)

    def _note_part(self) -> None:
        now = self._timers.now()
        if self._record.first_part_s is None:
            self._record.first_part_s = now
        else:
            self._record.gaps_s.append(now - self._last_part_s)
        self._last_part_s = now

    def _note(self, attempt: Attempt) -> None:
        record = self._record
        record.outcome = final_outcome(record.request, record.attempts)
        record.answered = attempt.answered
        record.finished_s = self._timers.now()
        record.head = self._answer.head
        record.length = self._answer.length
        record.digest = self._answer.digest
        done = self._answer.done
        if done is not None:
            record.stated_length = done.length
            record.stated_digest = done.digest
            record.stated_request_id = done.request_id
            record.stated_tokens = done.tokens
