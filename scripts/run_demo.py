"""The demonstration: a morning of both example users on whole fleets.

Exits with 0 if every outcome holds.
"""

import sys
import time
from collections.abc import Sequence

from absl import app, flags

from scripts.configured_fleet import ConfiguredFleet
from scripts.fleet import REPOSITORY, FleetError

EXAMPLES = REPOSITORY / "examples"
USERS = ("prairie-dark-sky", "derwent-arcade")
REPLAY_TIMEOUT_S = 100.0

EXPLANATION = """\
What you saw: for each user the example folder was checked and applied with
lavenderfoldctl, a fleet of real processes took it from the key-value service (two
routers in each region, an agent beside every target), and lavenderfold-replay
sent a morning of 300 requests as callers of both regions.

  whole answers          length and SHA-256 of each answer are as stated at its end
  own answers            each caller got the answer recorded for its own request
  refused means not run  nothing that was refused as not run reached a target
  billed once            one ledger entry for each request that ran, none for others
  no overspend           settled + unexplained + open grants within every budget
  no double sign-off     the services counted each sign-off at most once
  no false refusal       nobody was refused for lack of money that was there
  as expected            each request ended as its trace says
"""

flags.DEFINE_float("time_scale", 1.0, "Seconds for each second of the traces.", 0.0)


def show_morning(user: str, time_scale: float) -> bool:
    """Start a user's fleet, replay its trace; return whether outcomes hold."""
    print(f"== {user} ==", flush=True)
    started = time.monotonic()
    with ConfiguredFleet(folder=EXAMPLES / user) as fleet:
        took_s = time.monotonic() - started
        print(f"{len(fleet.member_by_name)} processes ready after {took_s:.1f} s")
        print(fleet.control("status", _routers_flag(fleet)), flush=True)
        done = fleet.run(
            "replay",
            [
                f"--trace={EXAMPLES / 'traces' / f'{user}.jsonl'}",
                f"--time_scale={time_scale}",
                *fleet.replay_flags(),
            ],
            timeout_s=REPLAY_TIMEOUT_S,
        )
        print(done.stdout + done.stderr, flush=True)
    return done.returncode == 0


def main(_: Sequence[str]) -> None:
    """Show both users' mornings."""
    started = time.monotonic()
    try:
        results = [show_morning(user, flags.FLAGS.time_scale) for user in USERS]
    except FleetError as error:
        print(f"the fleet failed: {error}", file=sys.stderr)
        sys.exit(1)
    print(EXPLANATION)
    verdict = "All outcomes hold" if all(results) else "An outcome FAILED"
    print(f"{verdict}; the demonstration took {time.monotonic() - started:.0f} s.")
    sys.exit(0 if all(results) else 1)


def _routers_flag(fleet: ConfiguredFleet) -> str:
    return "--routers=" + ",".join(place.operator_listen for place in fleet.places)


if __name__ == "__main__":
    app.run(main)
