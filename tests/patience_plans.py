"""What simulated targets send: at once, late, after a silence or not at all."""

import math
import random

import msgspec

from tests.direct_support import event

EVENTS = 6
CALLER_TIMEOUT_S = 12.0
# A target that is silent for no longer is sound.
SOUND_SILENCE_S = 1.5
# Bytes of a stream without an event.
TRICKLE = b": wait\n"
TRICKLE_PERIOD_S = 0.1


class Plan(msgspec.Struct, kw_only=True):
    """What a target sends to one attempt, in seconds after the request was sent.

    ``end`` is ``whole``, ``rejected`` or ``lost``, at ``end_s``. A rejection may ask
    for a pause of ``pause_s``.
    """

    kind: str
    head_s: float = math.inf
    chunks: list[tuple[float, bytes]] = []
    end: str = "whole"
    end_s: float = math.inf
    pause_s: float | None = None


def stream_plan(
    kind: str,
    *,
    first: int = 1,
    first_s: float,
    gap_s: float = 0.05,
    head_s: float | None = None,
    silence_before: int = 0,
    silence_s: float = 0.0,
    trickles: bool = False,
) -> Plan:
    """Return a plan with a silence before one of its events."""
    at_s = first_s
    plan = Plan(kind=kind, head_s=first_s if head_s is None else head_s, chunks=[])
    for number in range(first, EVENTS + 1):
        if number == silence_before:
            end_s = min(at_s + silence_s, CALLER_TIMEOUT_S)
            while trickles and at_s < end_s:
                plan.chunks.append((at_s, TRICKLE))
                at_s += TRICKLE_PERIOD_S
            if not math.isfinite(silence_s):
                return plan
            at_s = end_s
        plan.chunks.append((at_s, event(number)))
        at_s += gap_s
    plan.end_s = plan.chunks[-1][0]
    return plan


def random_plan(rng: random.Random, first: int) -> Plan:
    """Return what a target does that is asked for the events from ``first`` on."""
    kind = rng.choice(
        ("sound",) * 4
        + ("paused_first", "paused_within", "slow", "dead", "head_only", "trickle")
        + ("dead_within", "rejected", "turned_away", "lost")
    )
    first_s, gap_s = rng.uniform(0.02, 0.3), rng.uniform(0.01, 0.2)
    if kind == "dead":
        return Plan(kind=kind)
    if kind == "turned_away":
        pause_s, end_s = rng.uniform(0.1, 1.0), rng.uniform(0.01, 0.3)
        return Plan(kind=kind, end="rejected", end_s=end_s, pause_s=pause_s)
    if kind in ("rejected", "lost"):
        end_s = rng.uniform(0.01, 1.5)
        head_s = rng.choice((end_s / 2, math.inf)) if kind == "lost" else math.inf
        return Plan(kind=kind, head_s=head_s, end=kind, end_s=end_s)
    if kind in ("head_only", "trickle"):
        return stream_plan(
            kind,
            first=first,
            first_s=first_s,
            silence_before=first,
            silence_s=math.inf,
            trickles=kind == "trickle",
        )
    silence_s, silence_before = 0.0, 0
    if kind == "paused_first":
        first_s = rng.uniform(0.3, SOUND_SILENCE_S)
    elif kind == "slow":
        first_s = rng.uniform(2.2, 4.0)
    elif kind != "sound":
        silence_s = math.inf if kind == "dead_within" else rng.uniform(0.3, 1.5)
        silence_before = min(EVENTS, first + rng.randint(1, 4))
    return stream_plan(
        kind,
        first=first,
        first_s=first_s,
        gap_s=gap_s,
        head_s=rng.choice((0.01, first_s)),
        silence_before=silence_before,
        silence_s=silence_s,
    )
