"""Finds the prompt parts that explain a series of crashes.

A crash also ends sound requests that were about to be answered, and these share parts
with the one that caused it. So a single crash says little; but only the culprit is
there at each of several crashes without ever being answered in between.
"""

from collections import defaultdict
from collections.abc import Collection

import msgspec

from lavenderfold.quarantine._evidence import CrashEvidence

# Crashes after which parts are suspected: a request with them isn't sent again to
# another target when it is lost.
SUSPECT_CRASHES = 2
# Crashes after which no request with the parts is sent to a target.
QUARANTINE_CRASHES = 3
# A quarantine lasts this long after the last crash that its parts explain, doubled
# with each crash beyond QUARANTINE_CRASHES, up to the limit.
QUARANTINE_BASE_S = 120.0
QUARANTINE_LIMIT_S = 600.0
# Crashes are kept on record for this time if they say nothing, and longer if a
# culprit explains them, so that one crash after a quarantine starts the next one.
RECORD_S = 60.0
EXPLAINED_RECORD_S = 2 * QUARANTINE_LIMIT_S
MAX_RECORDS = 32


class Culprit(msgspec.Struct, frozen=True, kw_only=True):
    """Parts that explain ``crashes``, the last one at ``last_at`` (Unix time).

    Requests that have all of ``part_ids`` are affected, ``prompts`` of them are on
    record. As long as nothing tells the parts apart, the culprit may be any one of
    them, and a request that lacks one of them may be sound.
    """

    part_ids: frozenset[str]
    crashes: int
    prompts: int
    last_at: float

    @property
    def quarantine_ends_at(self) -> float:
        """When requests with these parts are let through again (Unix time)."""
        doublings = max(0, self.crashes - QUARANTINE_CRASHES)
        duration_s = min(QUARANTINE_LIMIT_S, QUARANTINE_BASE_S * 2**doublings)
        return self.last_at + duration_s

    def covers(self, part_ids: frozenset[str]) -> bool:
        """Return whether a request with these parts is affected."""
        return self.part_ids <= part_ids


class _Crash(msgspec.Struct):
    """A crash that no culprit explains yet."""

    at: float
    prompts: list[frozenset[str]]


def find_culprits(
    evidence: CrashEvidence,
    *,
    crashes: int,
    known: Collection[frozenset[str]] = (),
) -> list[Culprit]:
    """Return the sets of parts that explain at least ``crashes`` crashes.

    Sets that explain more crashes come first, those that are ``known`` before others.
    A crash that is explained by one set says nothing about other parts.
    """
    rest = [
        _Crash(record.at, [frozenset(prompt) for prompt in record.prompts])
        for record in evidence.records
    ]
    culprits = []
    while candidates := _candidates(rest, crashes=crashes):
        culprit = _choose(candidates, known)
        culprits.append(culprit)
        rest = [crash for crash in rest if not any(map(culprit.covers, crash.prompts))]
    return culprits


def remove_stale_records(evidence: CrashEvidence, *, now: float) -> CrashEvidence:
    """Return the evidence without the crashes that can't matter any more.

    ``now`` is in seconds since the epoch.
    """
    explaining = {
        part_id
        for culprit in find_culprits(evidence, crashes=QUARANTINE_CRASHES)
        for part_id in culprit.part_ids
    }
    explained, others = [], []
    for record in evidence.records:
        is_explained = any(map(record.names, explaining))
        keep_s = EXPLAINED_RECORD_S if is_explained else RECORD_S
        # A clock that is far ahead must not prolong a quarantine.
        if now - keep_s < record.at < now + RECORD_S:
            (explained if is_explained else others).append(record)
    explained = explained[-MAX_RECORDS:]
    room = MAX_RECORDS - len(explained)
    kept = {each.key for each in explained + others[max(0, len(others) - room) :]}
    return CrashEvidence(tuple(each for each in evidence.records if each.key in kept))


def _candidates(rest: list[_Crash], *, crashes: int) -> list[Culprit]:
    places_by_part: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
    for crash_number, crash in enumerate(rest):
        for prompt_number, prompt in enumerate(crash.prompts):
            for part_id in prompt:
                places_by_part[part_id].append((crash_number, prompt_number))
    # Parts that only occur together, such as the beginnings of one prompt, explain the
    # same crashes, so one of them is enough.
    part_by_places = {
        tuple(places): part_id for part_id, places in places_by_part.items()
    }
    return [
        _culprit(rest, part_id)
        for places, part_id in part_by_places.items()
        if len({crash_number for crash_number, _ in places}) >= crashes
    ]


def _culprit(rest: list[_Crash], part_id: str) -> Culprit:
    explained = [
        crash for crash in rest if any(part_id in prompt for prompt in crash.prompts)
    ]
    prompts = [
        prompt for crash in explained for prompt in crash.prompts if part_id in prompt
    ]
    return Culprit(
        part_ids=frozenset.intersection(*prompts),
        crashes=len(explained),
        prompts=len(prompts),
        last_at=max(crash.at for crash in explained),
    )


def _choose(candidates: list[Culprit], known: Collection[frozenset[str]]) -> Culprit:
    """Return the best candidate.

    A set that contains it is better, although it explains fewer crashes, because it
    affects fewer sound requests: the part that many prompts begin with is lost at
    each crash, too.
    """

    def rank(culprit: Culprit) -> tuple[bool, int, int, int, list[str]]:
        parts = culprit.part_ids
        is_known = any(parts <= each or each <= parts for each in known)
        # Of equal sets the rarer one, then any, but the same at all routers.
        return (
            is_known,
            culprit.crashes,
            len(parts),
            -culprit.prompts,
            sorted(parts),
        )

    best = max(candidates, key=rank)
    while supersets := [each for each in candidates if each.part_ids > best.part_ids]:
        best = max(supersets, key=rank)
    return best
