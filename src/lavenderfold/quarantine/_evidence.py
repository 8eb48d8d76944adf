"""Evidence of crashes: which prompts targets were about to answer when they crashed.

All routers share one ``CrashEvidence`` in the store. Each function returns changed
evidence, so that a router can apply its own observations again to newer evidence.
"""

import msgspec

from lavenderfold.decoding import decode_json
from lavenderfold.identifiers import id_digest

# Prompts that are kept for a crash; a large batch is lost with a target.
MAX_PROMPTS = 24
# Parts of a prompt that count as evidence, from its beginning. Prompts usually have a
# few parts; callers may send thousands.
MAX_PROMPT_PARTS = 16
# Longer ids stand in the evidence as their digests, so that it stays short.
MAX_ID_CHARACTERS = 64


class CrashKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a crash: the incarnation of the target that ended with it."""

    target: str
    born: int


class CrashRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A crash and the prompts that may have caused it.

    ``at`` is the time in seconds since the epoch. Each prompt is given by the ids of
    those parts that other requests may share. If ``is_begun``, the target had sent
    the head of their answers and no event; otherwise no such prompt is known, and
    the target may not have come to these prompts at all.
    """

    target: str
    born: int
    at: float
    prompts: tuple[tuple[str, ...], ...]
    is_begun: bool = False

    @property
    def key(self) -> CrashKey:
        return CrashKey(self.target, self.born)

    def names(self, part_id: str) -> bool:
        """Return whether one of the prompts has this part."""
        return any(part_id in prompt for prompt in self.prompts)


class CrashEvidence(msgspec.Struct, frozen=True):
    """The recent crashes of all targets, in the order in which they were recorded."""

    records: tuple[CrashRecord, ...] = ()


class LostPrompt(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt whose request was lost with a target at the beginning of its answer.

    With ``is_begun`` the head of the answer had arrived, but no event.
    ``earlier_crashes`` are those that can't have had the same cause as this one
    unless that cause is a prompt: they were known well before this one.
    """

    crash: CrashKey
    at: float
    part_ids: tuple[str, ...]
    is_begun: bool = False
    earlier_crashes: frozenset[CrashKey]


def evidence_parts(part_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Return the parts of a prompt that count as evidence, as they stand there."""
    return evidence_ids(part_ids[:MAX_PROMPT_PARTS])


def evidence_ids(part_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Return ids as they stand in the evidence."""
    return tuple(
        each if len(each) <= MAX_ID_CHARACTERS else f"digest-{id_digest(each).hex()}"
        for each in part_ids
    )


def decode_evidence(data: bytes) -> CrashEvidence:
    """Decode evidence; raises msgspec.DecodeError if it is malformed."""
    return decode_json(data, CrashEvidence)


def encode_evidence(evidence: CrashEvidence) -> bytes:
    """Encode evidence for the store."""
    return msgspec.json.encode(evidence)


def add_lost_prompt(evidence: CrashEvidence, lost: LostPrompt) -> CrashEvidence:
    """Return the evidence with a lost prompt added to the record of its crash.

    Targets that lose power together crash at the same moment. A part that is named
    by a record of such a crash doesn't become more suspect by this one.
    """
    prompt = tuple(
        part_id
        for part_id in lost.part_ids
        if not _is_named_at_the_same_time(evidence, part_id, lost)
    )
    if not prompt:
        return evidence
    records = list(evidence.records)
    for index, record in enumerate(records):
        if record.key == lost.crash:
            records[index] = _with_prompt(record, prompt, is_begun=lost.is_begun)
            break
    else:
        records.append(
            CrashRecord(
                target=lost.crash.target,
                born=lost.crash.born,
                at=lost.at,
                prompts=(prompt,),
                is_begun=lost.is_begun,
            )
        )
    return CrashEvidence(tuple(records))


def remove_parts(evidence: CrashEvidence, part_ids: frozenset[str]) -> CrashEvidence:
    """Return the evidence without parts that were answered and are thus sound."""
    records = []
    for record in evidence.records:
        prompts = tuple(
            rest
            for prompt in record.prompts
            if (rest := tuple(each for each in prompt if each not in part_ids))
        )
        if prompts:
            records.append(msgspec.structs.replace(record, prompts=prompts))
    return CrashEvidence(tuple(records))


def _is_named_at_the_same_time(
    evidence: CrashEvidence, part_id: str, lost: LostPrompt
) -> bool:
    return any(
        record.key != lost.crash
        and record.key not in lost.earlier_crashes
        and record.names(part_id)
        for record in evidence.records
    )


def _with_prompt(
    record: CrashRecord, prompt: tuple[str, ...], *, is_begun: bool
) -> CrashRecord:
    if record.is_begun and not is_begun:
        return record
    if is_begun and not record.is_begun:
        return msgspec.structs.replace(record, prompts=(prompt,), is_begun=True)
    is_known = any(set(prompt) <= set(each) for each in record.prompts)
    if is_known or len(record.prompts) >= MAX_PROMPTS:
        return record
    return msgspec.structs.replace(record, prompts=(*record.prompts, prompt))
