"""Plays seeded cases of faulty bytes from targets until the time is over.

Prints what callers or targets saw that must not be; exits with 1 if there was any.
Add a seed that failed to SEEDS in tests/test_answer_fuzz.py.
"""

import logging
import sys
from collections.abc import Sequence

import trio
from absl import app, flags

from scripts.seeded_plays import play_seeds
from tests.answer_fuzzer import AnswerFuzzer

MINUTES = flags.DEFINE_float("minutes", 3.0, "How long to play.", lower_bound=0.0)
FIRST_SEED = flags.DEFINE_integer("first_seed", 1000, "The seed of the first case.")
REQUESTS = flags.DEFINE_integer("requests", 240, "Requests in each case.")


def main(arguments: Sequence[str]) -> None:
    """Play the cases; ``arguments`` must hold nothing but the program's name."""
    if len(arguments) > 1:
        raise app.UsageError("this command takes no arguments")
    # The router logs each faulty answer.
    logging.disable(logging.CRITICAL)
    late_copies = 0

    def play_seed(seed: int) -> list[str]:
        nonlocal late_copies
        case = AnswerFuzzer(seed, requests=REQUESTS.value)
        violations = trio.run(case.run)
        late_copies += case.late_copies
        return violations

    cases, failed_seeds = play_seeds(
        play_seed, first_seed=FIRST_SEED.value, minutes=MINUTES.value
    )
    print(
        f"cases: {cases}, requests: {cases * REQUESTS.value}, "
        f"late copies: {late_copies}, failed seeds: {failed_seeds}"
    )
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    app.run(main)
