"""Whether a request may be sent to another target after an attempt."""

import trio

from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._patience import CallerPatience
from lavenderfold.direct._relay_progress import RelayProgress, can_be_continued
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.fleet import Route
from lavenderfold.http import ResponseWriter
from lavenderfold.quarantine import PromptQuarantine, Verdict
from lavenderfold.routing import RetryBudget


class RepeatRules:
    """Decides on further attempts of one request.

    ``not_repeated`` is why there was none, as logged.
    """

    __slots__ = (
        "not_repeated",
        "_request",
        "_route",
        "_quarantine",
        "_retry_budget",
        "_patience",
        "_progress",
        "_writer",
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        route: Route,
        quarantine: PromptQuarantine,
        retry_budget: RetryBudget,
        patience: CallerPatience,
        progress: RelayProgress,
        writer: ResponseWriter,
    ):
        self.not_repeated: str | None = None
        self._request = request
        self._route = route
        self._quarantine = quarantine
        self._retry_budget = retry_budget
        self._patience = patience
        self._progress = progress
        self._writer = writer

    def may_repeat(self, outcome: AttemptOutcome, sent_attempts: int) -> bool:
        """Return whether another target may be tried after this outcome."""
        if not outcome.is_certainly_not_run and not self._route.is_repeatable:
            self.not_repeated = "not_repeatable"
            return False
        if not self._can_go_on_elsewhere:
            self.not_repeated = "not_resumable"
            return False
        if not self._patience.allows_attempt(trio.current_time()):
            self.not_repeated = "patience"
            return False
        if outcome is AttemptOutcome.NOT_CONNECTED:
            return True
        if sent_attempts >= self._route.attempt_limit:
            self.not_repeated = "attempt_limit"
            return False
        if not outcome.is_certainly_not_run and not self._is_prompt_sound:
            # It may crash the next target as well.
            self.not_repeated = "prompt_suspected"
            return False
        if not self._retry_budget.try_acquire():
            self.not_repeated = "retry_budget"
            return False
        return True

    def may_add(self, earlier: int) -> bool:
        """Return whether an attempt may begin beside the last of ``earlier`` ones.

        The retry budget isn't asked.
        """
        if not (self._is_prompt_sound and self._can_go_on_elsewhere):
            return False
        if not self._patience.allows_attempt(trio.current_time()):
            return False
        return earlier < self._route.attempt_limit

    @property
    def _can_go_on_elsewhere(self) -> bool:
        """Whether another target may answer after what the caller has received."""
        return not self._writer.started or can_be_continued(self._route, self._progress)

    @property
    def _is_prompt_sound(self) -> bool:
        part_ids = self._request.shared_part_ids
        return self._quarantine.verdict(part_ids) is Verdict.SOUND
