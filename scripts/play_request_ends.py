"""Plays seeded cases of requests beside changes of a router until the time is over.

Prints the requests that ended in a way that must not be; exits with 1 if there was any.
"""

import logging
import sys
from collections.abc import Sequence

import trio
from absl import app, flags

from scripts.seeded_plays import play_seeds
from tests import request_ends

MINUTES = flags.DEFINE_float("minutes", 3.0, "How long to play.", lower_bound=0.0)
FIRST_SEED = flags.DEFINE_integer("first_seed", 1000, "The seed of the first play.")
SILENT_SHARE = flags.DEFINE_float(
    "silent_share", request_ends.SILENT_SHARE, "The share of targets' silent runs."
)


def main(arguments: Sequence[str]) -> None:
    """Play the cases; ``arguments`` must hold nothing but the program's name."""
    if len(arguments) > 1:
        raise app.UsageError("this command takes no arguments")
    # The router logs each failed attempt.
    logging.disable(logging.CRITICAL)
    requests = 0

    def play_seed(seed: int) -> list[str]:
        nonlocal requests
        play = request_ends.RequestEnds(seed, silent_share=SILENT_SHARE.value)
        violations = trio.run(play.run)
        requests += len(play.sent)
        return violations

    plays, failed_seeds = play_seeds(
        play_seed, first_seed=FIRST_SEED.value, minutes=MINUTES.value
    )
    print(f"plays: {plays}, requests: {requests}, failed seeds: {failed_seeds}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    app.run(main)
