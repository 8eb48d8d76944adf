"""The tokens that a request reserves in its organisation's balance, and their end."""

import random

import trio

from lavenderfold.admission import retry_after_s
from lavenderfold.direct._refusals import Refusal, not_run
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.escrow import BalanceManager, Funding, LocalBalanceState
from lavenderfold.fleet import Organisation, Service
from lavenderfold.outcomes import Reason
from lavenderfold.timers import TimerService

# How long a request waits for its reservation. A grant takes about 30 ms from the
# other region; a broken path to the store is detected and replaced within 0.6 s.
FUNDING_WAIT_S = 0.7
BUDGET_EXPECTED_S = 0.3
BALANCE_REASONS = (Reason.BUDGET_SPENT.value, Reason.BUDGET_UNAVAILABLE.value)
SIZE_MISSING = Refusal(status=400, reason="size_missing", outcome="not_run")


class Reservation:
    """The worst case of one request, reserved until the request is settled.

    ``tokens`` is 0 and ``funded_at``, on the trio clock, is None until then.
    ``service`` is None if the configuration doesn't name it. The caller leaves at
    ``caller_deadline``, on the trio clock.
    """

    __slots__ = (
        "tokens",
        "funded_at",
        "_balance_manager",
        "_timers",
        "_request",
        "_organisation",
        "_service",
        "_caller_deadline",
    )

    def __init__(
        self,
        *,
        balance_manager: BalanceManager,
        timers: TimerService,
        request: CallerRequest,
        organisation: Organisation | None,
        service: Service | None,
        caller_deadline: float,
    ):
        self.tokens = 0
        self.funded_at: float | None = None
        self._balance_manager = balance_manager
        self._timers = timers
        self._request = request
        self._organisation = organisation
        self._service = service
        self._caller_deadline = caller_deadline

    async def reserve(self) -> Refusal | None:
        """Reserve the tokens that the request needs at most, or return a refusal."""
        tokens, organisation = self._request.tokens, self._organisation
        if organisation is None or organisation.limit_tokens is None:
            return None
        if tokens is None:
            # The tokens of a generation can't be reserved if its size isn't stated.
            is_model = self._service is not None and self._service.is_model
            return SIZE_MISSING if is_model else None
        funding = await self._balance_manager.reserve(
            organisation.name,
            tokens.worst_case,
            until=self._timers.now() + FUNDING_WAIT_S,
        )
        if funding is Funding.SPENT:
            return not_run(Reason.BUDGET_SPENT)
        if funding is Funding.UNAVAILABLE:
            return self._refuse_unfunded()
        self.tokens = tokens.worst_case
        self.funded_at = trio.current_time()
        return None

    def _refuse_unfunded(self) -> Refusal:
        """Return a refusal whose Retry-After reaches past the end of an outage."""
        after_s = retry_after_s(
            expected_s=self._balance_manager.expected_outage_s or BUDGET_EXPECTED_S,
            caller_left_s=self._caller_deadline - trio.current_time(),
            draw=random.random(),
        )
        return not_run(Reason.BUDGET_UNAVAILABLE, retry_after_s=after_s)

    def balance_at(self, refusal: Refusal | None) -> LocalBalanceState | None:
        """Return the balance as the router knows it, if it was the refusal's cause."""
        if refusal is None or refusal.reason not in BALANCE_REASONS:
            return None
        return self._balance_manager.local_balance_state(self._organisation.name)

    def settle(self, *, may_have_run: bool, events: int) -> None:
        """Charge what was used, and free the rest.

        That is the prompt if the request may have run, and the tokens of ``events``.
        """
        if not self.tokens:
            return
        used = 0
        if may_have_run:
            tokens = self._request.tokens
            tokens_per_event = self._service.tokens_per_event if self._service else 0
            used = tokens.prompt + min(tokens.output_limit, events * tokens_per_event)
        self._balance_manager.settle(
            self._organisation.name, reserved=self.tokens, used=used
        )
