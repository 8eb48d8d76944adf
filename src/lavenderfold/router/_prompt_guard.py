"""Keeps prompts that crash engines away from the engines that are left."""

from collections.abc import Sequence

import msgspec

from lavenderfold.outcomes import Reason
from lavenderfold.quarantine import CrashKey, LostPrompt, PromptQuarantine, Verdict
from lavenderfold.router._refusals import TemporaryRefusal
from lavenderfold.routing import PREFIX_BLOCKS_LIMIT
from lavenderfold.timers import TimerService

# Steps between the lengths of the prefixes that are parts, as a share of the length.
# With all lengths up to the limit, each crash costs more than a second of processor
# time if many long prompts are lost.
STEPS_PER_DOUBLING = 4


def _part_lengths() -> tuple[int, ...]:
    lengths, length = [], 1
    while length <= PREFIX_BLOCKS_LIMIT:
        lengths.append(length)
        length += max(1, 2 ** (length.bit_length() - 1) // STEPS_PER_DOUBLING)
    return tuple(lengths)


PART_LENGTHS = _part_lengths()


def prompt_part_ids(model: str, prefixes: Sequence[int]) -> tuple[str, ...]:
    """Return the ids of those beginnings of a prompt that other prompts may share.

    ``prefixes`` are the hashes that ``prefix_hashes`` returns. A prompt that crashes
    the engine of one model may be sound for another, so the ids differ by model.
    """
    count = len(prefixes)
    return tuple(
        f"{model}:{prefixes[length - 1]:016x}"
        for length in PART_LENGTHS
        if length <= count
    )


class _SeenCrash(msgspec.Struct, frozen=True):
    """The latest crash of a target's engine, first seen at ``seen_at``."""

    number: int
    seen_at: float


class PromptGuard:
    """Judges prompts by the crashes and answers that this router has seen.

    ``part_ids`` are those that ``prompt_part_ids`` returns. The evidence isn't shared
    with other routers, and a restarted router begins without any.
    """

    def __init__(self, *, timers: TimerService):
        self._timers = timers
        self._quarantine = PromptQuarantine(timers=timers)
        self._quarantine.on_pending = self._keep_pending
        self._latest_crash_by_target: dict[str, _SeenCrash] = {}

    def refusal(self, part_ids: tuple[str, ...]) -> TemporaryRefusal | None:
        """Return the refusal of a request whose prompt is quarantined, else None."""
        if self._quarantine.verdict(part_ids) is not Verdict.QUARANTINED:
            return None
        return TemporaryRefusal(
            Reason.PROMPT_QUARANTINED,
            "prompts with this beginning crashed engines",
            retry_after_s=self._quarantine.remaining_s(part_ids),
        )

    def decision_wait_s(self, part_ids: tuple[str, ...]) -> float:
        """Return how long to hold a request until it is known how to treat it."""
        return self._quarantine.decision_wait_s(part_ids)

    def may_send(self, part_ids: tuple[str, ...]) -> bool:
        """Return whether a request is neither held nor refused."""
        is_held = self._quarantine.decision_wait_s(part_ids) > 0
        return not is_held and self.refusal(part_ids) is None

    def may_repeat(self, part_ids: tuple[str, ...]) -> bool:
        """Return whether a request that was lost may be sent to another target."""
        return self._quarantine.verdict(part_ids) is Verdict.SOUND

    def record_answer(self, part_ids: tuple[str, ...]) -> None:
        """Record that an engine has gone on beyond the beginning of an answer."""
        self._quarantine.record_answer(part_ids)

    def record_loss(
        self, part_ids: tuple[str, ...], *, target: str, sent_at: float
    ) -> None:
        """Record a run that was lost with its engine at the beginning of its answer.

        ``sent_at`` is when the run was sent, by the timer service.
        """
        if not part_ids:
            return
        age_s = self._timers.now() - sent_at
        lost = LostPrompt(
            crash=self._crash_key(target, sent_at),
            at=self._timers.unix_time(),
            part_ids=part_ids,
            earlier_crashes=self._quarantine.earlier_crashes(age_s=age_s),
        )
        self._quarantine.record_loss(lost)

    def _crash_key(self, target: str, sent_at: float) -> CrashKey:
        """Return the crash with which a run was lost.

        Agents don't report the incarnation of their engine. Runs that were sent before
        a crash was seen and are lost later have been lost with the same one.
        """
        latest = self._latest_crash_by_target.get(target)
        if latest is None or sent_at > latest.seen_at:
            number = 1 if latest is None else latest.number + 1
            latest = _SeenCrash(number, self._timers.now())
            self._latest_crash_by_target[target] = latest
        return CrashKey(target, latest.number)

    def _keep_pending(self) -> None:
        """Take own observations for the evidence of all routers.

        Pending ones would never expire, so that an answer protects its prompt for ever.
        """
        quarantine = self._quarantine
        observations = quarantine.pending
        if not observations:
            return
        merged = quarantine.merge_pending(quarantine.shared)
        quarantine.drop_pending(observations)
        quarantine.install(merged)
