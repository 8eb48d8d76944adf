"""Carries out one request of a trace, including its retries."""

from collections.abc import Mapping

import trio

from lavenderfold.http import HttpClient
from lavenderfold.replay._answer import ReceivedAnswer
from lavenderfold.replay._exchange import Exchange, build_request
from lavenderfold.replay._records import Attempt, CallOutcome, CallRecord, Step
from lavenderfold.replay._routers import CallerGroup, RouterSelector
from lavenderfold.replay._steps import final_outcome, next_step
from lavenderfold.settings import Address
from lavenderfold.timers import TimerService


class Call:
    """Sends one request and retries or resumes it where that is safe.

    ``record`` is updated after each exchange.
    """

    def __init__(
        self,
        *,
        record: CallRecord,
        api_key: str,
        router_selector: RouterSelector,
        client_by_address: Mapping[Address, HttpClient],
        idle_timeout_s: float,
        timers: TimerService,
    ):
        self._record = record
        self._api_key = api_key
        self._router_selector = router_selector
        self._client_by_address = client_by_address
        self._idle_timeout_s = idle_timeout_s
        self._timers = timers
        self._answer = ReceivedAnswer()
        self._last_part_s: float | None = None
        request = record.request
        self._caller_group = CallerGroup(request.organisation, request.region)

    async def run(self) -> None:
        """Send the request until it ends and fill the record.

        The record is up to date even if this is cancelled.
        """
        step = Step.POST
        while step is not Step.STOP:
            router = self._router_selector.choose(self._caller_group)
            if step is Step.POST:
                # A second run may produce a different text, so drop what was received.
                self._answer = ReceivedAnswer()
            attempt = await self._exchange(
                step, self._client_by_address[router.address]
            )
            self._record.attempts.append(attempt)
            self._update_record(attempt)
            decision = next_step(self._record.request, self._record.attempts)
            step = decision.step
            if decision.change_router:
                self._router_selector.switch_router(self._caller_group, router)
            if step is not Step.STOP:
                await trio.sleep(decision.wait_s)

    async def _exchange(self, step: Step, client: HttpClient) -> Attempt:
        # This outcome remains if the request times out during this exchange.
        self._record.outcome = CallOutcome.MAY_HAVE_RUN
        request = build_request(
            self._record.request,
            step=step,
            api_key=self._api_key,
            request_id=self._record.request_id,
            answer=self._answer,
        )
        exchange = Exchange(
            client=client,
            request_id=self._record.request_id,
            is_model=self._record.request.kind.is_model,
            answer=self._answer,
            idle_timeout_s=self._idle_timeout_s,
            on_part=self._record_part_time,
        )
        return await exchange.run(request, step=step)

    def _record_part_time(self) -> None:
        now = self._timers.now()
        if self._record.first_part_s is None:
            self._record.first_part_s = now
        else:
            self._record.gaps_s.append(now - self._last_part_s)
        self._last_part_s = now

    def _update_record(self, attempt: Attempt) -> None:
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
