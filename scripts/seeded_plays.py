"""Plays cases of consecutive seeds until a time is over."""

import itertools
import time
from collections.abc import Callable

SECONDS_PER_MINUTE = 60.0


def play_seeds(
    play: Callable[[int], list[str]], *, first_seed: int, minutes: float
) -> tuple[int, list[int]]:
    """Call ``play`` with each seed and print the violations that it returns.

    At least one seed is played. Return how many were, and those with violations.
    """
    end = time.monotonic() + minutes * SECONDS_PER_MINUTE
    failed_seeds = []
    for plays in itertools.count(1):
        seed = first_seed + plays - 1
        violations = play(seed)
        if violations:
            failed_seeds.append(seed)
            print("\n".join(violations))
        if time.monotonic() >= end:
            break
    return plays, failed_seeds
