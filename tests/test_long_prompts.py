"""Crashes beside callers with long prompt prefixes don't have a router stand still."""

import random

from lavenderfold_platform.headers import read_request

from lavenderfold.http import HttpRequest
from lavenderfold.process_memory import MIB
from lavenderfold.quarantine import (
    CrashKey,
    LostPrompt,
    PromptQuarantine,
    Verdict,
    _culprits,
)
from lavenderfold.quarantine._evidence import encode_evidence
from lavenderfold.timers import TimerService

# As many parts, and as long ids, as fit into a head of 16 KB.
PARTS = 2400
PART_IDS = 4096
LONG_ID_CHARACTERS = 15_000
CRASHES = 2
LOST_REQUESTS = 80
# Each candidate takes some 50 us, so that this is a second for all lost requests.
CANDIDATES_LIMIT = 20_000
EVIDENCE_LIMIT_BYTES = MIB


class TooMuchWorkError(Exception):
    """More candidates were looked at than the limit allows."""


def lose(quarantine: PromptQuarantine, parts: tuple[str, ...], *, born: int) -> None:
    crash = CrashKey("t1", born)
    lost = LostPrompt(
        crash=crash,
        at=TimerService().unix_time(),
        part_ids=parts,
        earlier_crashes=quarantine.earlier_crashes(age_s=0.0) - {crash},
    )
    quarantine.record_loss(lost)


def test_two_crashes_with_long_prompts_take_little_work(monkeypatch):
    """Guards against routers that compare thousands of parts for each lost request."""
    looked_at = 0
    find = _culprits._culprit

    def counted(*args):
        nonlocal looked_at
        looked_at += 1
        if looked_at > CANDIDATES_LIMIT:
            raise TooMuchWorkError
        return find(*args)

    monkeypatch.setattr(_culprits, "_culprit", counted)
    rng = random.Random(63)
    quarantine = PromptQuarantine(timers=TimerService())
    for born in range(CRASHES):
        for _ in range(LOST_REQUESTS):
            ids = rng.sample(range(PART_IDS), PARTS)
            lose(quarantine, tuple(f"{each:x}" for each in ids), born=born)
    assert looked_at <= CANDIDATES_LIMIT


def test_evidence_of_long_ids_is_short():
    """Guards against evidence that all routers read again at each of its changes."""
    quarantine = PromptQuarantine(timers=TimerService())
    for number in range(LOST_REQUESTS):
        lose(quarantine, (f"{number}".zfill(LONG_ID_CHARACTERS),), born=0)
    evidence = quarantine.merge_pending(quarantine.shared)
    assert len(encode_evidence(evidence)) <= EVIDENCE_LIMIT_BYTES // 32


def test_long_id_that_crashes_targets_is_recognised():
    """Guards against parts that are kept shortened and then not found again."""
    quarantine = PromptQuarantine(timers=TimerService())
    culprit = "x" * LONG_ID_CHARACTERS
    for born in range(CRASHES):
        lose(quarantine, (culprit, f"other-{born}"), born=born)
    assert quarantine.verdict((culprit, "new")) is Verdict.SUSPECTED
    assert quarantine.verdict((culprit[1:], "new")) is Verdict.SOUND
    quarantine.record_answer((culprit,))
    assert quarantine.verdict((culprit, "new")) is Verdict.SOUND


def test_request_keeps_few_parts_of_a_long_prompt():
    """Guards against requests in progress that hold thousands of objects each."""
    prefix = ",".join(f"{number:x}:1" for number in range(PARTS))
    headers = [("host", "h"), ("attempt-id", "a"), ("prompt-prefix", prefix)]
    request = read_request(HttpRequest(method="POST", target="/x", headers=headers))
    ids = [int(each.id, 16) for each in request.prompt_parts]
    assert ids == [*range(16), PARTS - 2, PARTS - 1]
    assert ("prompt-prefix", prefix) in request.forwarded_headers
