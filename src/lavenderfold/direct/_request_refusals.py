"""Refusals of one request, depending on the outcomes of its attempts."""

from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._patience import CallerPatience
from lavenderfold.direct._pauses import refuse_not_run
from lavenderfold.direct._refusals import (
    DEFAULT_EXPECTED_S,
    Refusal,
    may_have_run,
    not_run,
    unanswered,
)
from lavenderfold.direct._relay_progress import RelayProgress
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.direct._target_selection import TargetSelection
from lavenderfold.outcomes import Reason
from lavenderfold.quarantine import PromptQuarantine, Verdict


class RequestRefusals:
    """Returns the refusals of one request.

    A refusal says that the request hasn't run only if that is certain. ``deadline`` is
    that of the request, on the trio clock.
    """

    __slots__ = (
        "_quarantine",
        "_request",
        "_progress",
        "_patience",
        "_selection",
        "_deadline",
    )

    def __init__(
        self,
        *,
        quarantine: PromptQuarantine,
        request: CallerRequest,
        progress: RelayProgress,
        patience: CallerPatience,
        selection: TargetSelection,
        deadline: float,
    ):
        self._quarantine = quarantine
        self._request = request
        self._progress = progress
        self._patience = patience
        self._selection = selection
        self._deadline = deadline

    def because(self, reason: Reason) -> Refusal:
        """Return a refusal for this reason."""
        if self._progress.may_have_run:
            return may_have_run(reason)
        return not_run(reason, expected_s=DEFAULT_EXPECTED_S)

    def late(self, sent_attempts: int) -> Refusal:
        """Return the refusal after the time for an answer."""
        is_uncertain = self._progress.may_have_run
        if self._patience.ends_before(self._deadline):
            return unanswered(Reason.PATIENCE_OVER, is_uncertain=is_uncertain)
        is_uncertain = is_uncertain or sent_attempts > 0
        return unanswered(Reason.DEADLINE_PASSED, is_uncertain=is_uncertain)

    def quarantined(self) -> Refusal | None:
        """Return the refusal of a request whose prompt is quarantined."""
        part_ids = self._request.shared_part_ids
        if self._quarantine.verdict(part_ids) is not Verdict.QUARANTINED:
            return None
        if self._progress.may_have_run:
            return may_have_run(Reason.PROMPT_QUARANTINED)
        return not_run(
            Reason.PROMPT_QUARANTINED,
            retry_after_s=self._quarantine.remaining_s(part_ids),
        )

    def give_up(self, outcome: AttemptOutcome) -> Refusal:
        """Return the refusal after a last attempt with this outcome."""
        if self._progress.may_have_run:
            return may_have_run(Reason.TARGET_FAILED)
        reason = Reason.OVERLOADED
        if outcome is AttemptOutcome.NOT_CONNECTED:
            reason = Reason.CONNECTION_FAILED
        return self._not_run(reason)

    def without_target(self) -> Refusal:
        """Return the refusal of a request for which no target is left."""
        if self._progress.may_have_run:
            return may_have_run(Reason.TARGET_FAILED)
        return self._not_run(Reason.NO_TARGET)

    def _not_run(self, reason: Reason) -> Refusal:
        return refuse_not_run(reason, pause_left_s=self._selection.pause_left_s())
