"""A router's view of which prompts are suspected or quarantined."""

import enum
import logging
import math
from collections import OrderedDict
from collections.abc import Callable, Set as AbstractSet

import msgspec

from lavenderfold.identifiers import id_digest
from lavenderfold.quarantine._culprits import (
    EXPLAINED_RECORD_S,
    QUARANTINE_CRASHES,
    RECORD_S,
    SUSPECT_CRASHES,
    Culprit,
    find_culprits,
    remove_stale_records,
)
from lavenderfold.quarantine._evidence import (
    CrashEvidence,
    CrashKey,
    LostPrompt,
    add_lost_prompt,
    evidence_ids,
    evidence_parts,
    remove_parts,
)
from lavenderfold.timers import TimerService

# An answer that has lasted this long since its first event shows that its prompt is
# sound; one that is lost sooner may have been lost because of its prompt.
BEGINNING_S = 0.4
# Targets that lose power together are seen to crash within this time.
SAME_MOMENT_S = 0.3
# How long other routers have to report that a part was answered, before requests
# are refused because of it.
OBJECTION_S = 0.3
# A request that was held until a decision may wake up this much too early.
EARLY_WAKE_S = 0.005
# Parts of which this router remembers when an answer to them began.
MAX_ANSWERED_PARTS = 8192
# Lost prompts that are kept while the store can't be written.
MAX_PENDING_LOSSES = 64

logger = logging.getLogger("lavenderfold.quarantine")


class Verdict(enum.Enum):
    """How a request with certain prompt parts is treated.

    SUSPECTED: it is sent to one target, and not to another one if it is lost.
    QUARANTINED: it isn't sent to any target.
    """

    SOUND = "sound"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


class QuarantineSnapshot(msgspec.Struct, frozen=True):
    """Crashes on record, and sets of parts that are suspected or quarantined now."""

    crashes: int
    suspected: int
    quarantined: int


class Observations(msgspec.Struct, frozen=True):
    """What a router has seen and not yet added to the shared evidence."""

    losses: tuple[LostPrompt, ...] = ()
    answered_parts: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self.losses or self.answered_parts)


class PromptQuarantine:
    """Judges prompts by the evidence of all routers and by own observations.

    Own observations count at once. They are ``pending`` until they are in the shared
    evidence; ``on_pending`` is called when there are some.
    """

    def __init__(self, *, timers: TimerService):
        self.shared = CrashEvidence()
        self.pending = Observations()
        self.on_pending: Callable[[], None] = lambda: None
        self._timers = timers
        self._view = CrashEvidence()
        self._answered_at_by_digest: OrderedDict[bytes, float] = OrderedDict()
        self._learned_at_by_crash: dict[CrashKey, float] = {}
        self._suspects: list[Culprit] = []
        self._culprits: list[Culprit] = []
        # From when on requests are refused because of a set of parts.
        self._refused_from_by_parts: dict[frozenset[str], float] = {}

    def verdict(self, part_ids: tuple[str, ...]) -> Verdict:
        """Return how to treat a request whose prompt has these shared parts."""
        if not self._suspects or not part_ids:
            return Verdict.SOUND
        parts = frozenset(evidence_ids(part_ids))
        if self._quarantined_for(parts) is not None:
            return Verdict.QUARANTINED
        if any(each.covers(parts) for each in self._current_suspects()):
            return Verdict.SUSPECTED
        return Verdict.SOUND

    def decision_wait_s(self, part_ids: tuple[str, ...]) -> float:
        """Return how long to hold a request until it is known how to treat it."""
        if not self._refused_from_by_parts:
            return 0.0
        now = self._timers.now()
        parts = frozenset(evidence_ids(part_ids))
        waits_s = [
            refused_from - now
            for culprit_parts, refused_from in self._refused_from_by_parts.items()
            if culprit_parts <= parts
        ]
        return max(0.0, min(waits_s, default=0.0))

    def remaining_s(self, part_ids: tuple[str, ...]) -> float:
        """Return for how long requests with these parts will still be refused."""
        culprit = self._quarantined_for(frozenset(evidence_ids(part_ids)))
        if culprit is None:
            return 0.0
        return max(0.0, culprit.quarantine_ends_at - self._timers.unix_time())

    def earlier_crashes(self, *, age_s: float) -> frozenset[CrashKey]:
        """Return the crashes that are no part of what happens at this moment.

        ``age_s`` is how long ago the request was sent that has just been lost. A crash
        that was known then can't have the same cause unless it is in the request.
        """
        until = self._timers.now() - min(age_s, SAME_MOMENT_S)
        return frozenset(
            key for key, at in self._learned_at_by_crash.items() if at <= until
        )

    def record_loss(self, lost: LostPrompt) -> None:
        """Record a prompt that was lost with a target that crashed."""
        fields = {"target": lost.crash.target, "born": lost.crash.born}
        lost = msgspec.structs.replace(lost, part_ids=evidence_parts(lost.part_ids))
        logger.warning("crash_observed", extra={**fields, "parts": lost.part_ids})
        if add_lost_prompt(self._view, lost) == self._view:
            # Of a crash that takes many requests, only some are kept as evidence.
            return
        losses = (*self.pending.losses, lost)[-MAX_PENDING_LOSSES:]
        self.pending = msgspec.structs.replace(self.pending, losses=losses)
        self._rebuild()
        self.on_pending()

    def record_answer(self, part_ids: tuple[str, ...]) -> None:
        """Record that a target has gone on beyond the beginning of an answer."""
        for part_id in evidence_parts(part_ids):
            digest = id_digest(part_id)
            self._answered_at_by_digest[digest] = self._timers.now()
            self._answered_at_by_digest.move_to_end(digest)
        while len(self._answered_at_by_digest) > MAX_ANSWERED_PARTS:
            self._answered_at_by_digest.popitem(last=False)
        if self._suspects:
            self._clear_answered_parts()

    def install(self, evidence: CrashEvidence, *, is_first: bool = False) -> None:
        """Replace the shared evidence by a newer state of it.

        After a start (``is_first``) all routers had time to object to it.
        """
        self.shared = evidence
        self._rebuild(is_settled=is_first)

    def merge_pending(self, evidence: CrashEvidence) -> CrashEvidence:
        """Return shared evidence with the pending observations applied."""
        merged = remove_stale_records(evidence, now=self._timers.unix_time())
        for lost in self.pending.losses:
            merged = add_lost_prompt(merged, lost)
        return remove_parts(merged, self.pending.answered_parts)

    def drop_pending(self, written: Observations) -> None:
        """Forget observations that are in the shared evidence now."""
        self.pending = Observations(
            losses=tuple(
                each for each in self.pending.losses if each not in written.losses
            ),
            answered_parts=self.pending.answered_parts - written.answered_parts,
        )

    def snapshot(self) -> QuarantineSnapshot:
        """Return the numbers that the metrics show."""
        suspects = {each.part_ids for each in self._current_suspects()}
        quarantined = {
            each.part_ids for each in filter(self._is_refused, self._culprits)
        }
        return QuarantineSnapshot(
            crashes=len(self._view.records),
            suspected=len(suspects - quarantined),
            quarantined=len(quarantined),
        )

    def _quarantined_for(self, part_ids: frozenset[str]) -> Culprit | None:
        for culprit in self._culprits:
            if culprit.covers(part_ids) and self._is_refused(culprit):
                return culprit
        return None

    def _is_refused(self, culprit: Culprit) -> bool:
        refused_from = self._refused_from_by_parts[culprit.part_ids]
        return (
            refused_from <= self._timers.now() + EARLY_WAKE_S
            and culprit.quarantine_ends_at > self._timers.unix_time()
        )

    def _current_suspects(self) -> list[Culprit]:
        now = self._timers.unix_time()
        suspects = [each for each in self._suspects if each.last_at + RECORD_S > now]
        # After a quarantine a request shows whether its parts still crash targets.
        suspects += [
            each for each in self._culprits if each.last_at + EXPLAINED_RECORD_S > now
        ]
        return suspects

    def _rebuild(self, *, is_settled: bool = False) -> None:
        self._view = self.merge_pending(self.shared)
        now = self._timers.now()
        self._learned_at_by_crash = {
            record.key: self._learned_at_by_crash.get(record.key, now)
            for record in self._view.records
        }
        self._judge(is_settled=is_settled)
        self._clear_answered_parts()

    def _judge(self, *, is_settled: bool = False) -> None:
        self._suspects = find_culprits(self._view, crashes=SUSPECT_CRASHES)
        now = self._timers.now()
        known = self._refused_from_by_parts
        # Sets that are refused already go first. Others may change with the evidence
        # of routers that saw more of the same crashes.
        settled = [part_ids for part_ids, at in known.items() if at <= now]
        self._culprits = find_culprits(
            self._view, crashes=QUARANTINE_CRASHES, known=settled
        )
        delay_s = 0.0 if is_settled else OBJECTION_S
        self._refused_from_by_parts = {
            each.part_ids: min(_refused_from(known, each.part_ids), now + delay_s)
            for each in self._culprits
        }
        self._log_changes(known.keys(), self._refused_from_by_parts.keys())

    def _clear_answered_parts(self) -> None:
        """Remove suspected parts that this router saw answered after a crash."""
        answered = frozenset(
            part_id
            for culprit in (*self._suspects, *self._culprits)
            for part_id in culprit.part_ids
            if self._was_answered_since_first_crash(part_id)
        )
        if not answered:
            return
        logger.info("suspected_parts_answered", extra={"parts": sorted(answered)})
        self.pending = msgspec.structs.replace(
            self.pending, answered_parts=self.pending.answered_parts | answered
        )
        self._view = self.merge_pending(self.shared)
        self._judge()
        self.on_pending()

    def _was_answered_since_first_crash(self, part_id: str) -> bool:
        answered_at = self._answered_at_by_digest.get(id_digest(part_id), -math.inf)
        first_crash_at = min(
            self._learned_at_by_crash[record.key]
            for record in self._view.records
            if record.names(part_id)
        )
        return answered_at > first_crash_at

    def _log_changes(
        self, before: AbstractSet[frozenset[str]], after: AbstractSet[frozenset[str]]
    ) -> None:
        for part_ids in after - before:
            self._log_parts("prompt_quarantined", part_ids)
        for part_ids in before - after:
            # A set that has only shrunk goes on under its new parts.
            if not any(each < part_ids for each in after):
                self._log_parts("prompt_released", part_ids)

    def _log_parts(self, event: str, part_ids: frozenset[str]) -> None:
        fields = {"parts": sorted(part_ids), "crashes": len(self._view.records)}
        logger.warning(event, extra=fields)


def _refused_from(
    known: dict[frozenset[str], float], part_ids: frozenset[str]
) -> float:
    """Return the earliest time known for the same parts, or for more or fewer.

    A set of parts shrinks when some of them are answered.
    """
    times = [at for each, at in known.items() if each <= part_ids or part_ids <= each]
    return min(times, default=math.inf)
