"""The demonstration: a morning of both example users on whole fleets.

Exits with 0 if every outcome holds.
"""

import hashlib
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import yaml
from absl import app, flags

from lavenderfold.replay import encode_trace
from scripts.configured_fleet import ConfiguredFleet
from scripts.fleet import REPOSITORY, FleetError
from standins.trace_generator import TraceGenerator

EXAMPLES = REPOSITORY / "examples"
USERS = ("prairie-dark-sky", "derwent-arcade")
REPLAY_TIMEOUT_S = 100.0
CLUB = "astronomy-club"
CLUB_FILE = "90-small-budget.yaml"
CLUB_TOKENS = 2000
CLUB_REQUESTS = 60

EXPLANATION = """\
What you saw: for each user the example folder was checked and applied with
lavenderfoldctl, a fleet of real processes took it from the key-value service (two
routers in each region, an agent beside every target), and lavenderfold-replay
sent a morning of 300 requests as callers of both regions. Then a file with an
organisation of 2000 prepaid tokens was added, and 60 questions of up to about 56
tokens competed for them at all routers: the refused ones are those for which the
money really was spent.

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


def show_user(user: str, time_scale: float) -> bool:
    """Start a user's fleet and replay; return whether all outcomes hold."""
    print(f"== {user} ==", flush=True)
    started = time.monotonic()
    with ConfiguredFleet(folder=EXAMPLES / user) as fleet:
        took_s = time.monotonic() - started
        print(f"{len(fleet.member_by_name)} processes ready after {took_s:.1f} s")
        print(fleet.control("status", _routers_flag(fleet)), flush=True)
        morning = EXAMPLES / "traces" / f"{user}.jsonl"
        holds = replay(fleet, morning, time_scale)
        return show_contest(fleet, user) and holds


def show_contest(fleet: ConfiguredFleet, user: str) -> bool:
    """Add an organisation with a small budget and let requests compete for it."""
    path = fleet.folder / CLUB_FILE
    path.write_text(yaml.safe_dump(_club_configuration()), encoding="utf-8")
    print(fleet.apply(), end="")
    started = time.monotonic()
    fleet.wait_in_effect()
    took_s = time.monotonic() - started
    print(f"in effect at all routers after {took_s:.2f} s\n", flush=True)
    generator = TraceGenerator(user=user, seed=1)
    requests = generator.make_contest(organisation=CLUB, count=CLUB_REQUESTS)
    trace = fleet.directory / "contest.jsonl"
    trace.write_text(encode_trace(requests), encoding="utf-8")
    holds = replay(fleet, trace, 1.0)
    print(fleet.control("budget", CLUB, f"--store={fleet.store.address}"), flush=True)
    return holds


def replay(fleet: ConfiguredFleet, trace: Path, time_scale: float) -> bool:
    """Replay a trace and print the results; return whether all outcomes hold."""
    arguments = [f"--trace={trace}", f"--time_scale={time_scale}"]
    done = fleet.run(
        "replay", [*arguments, *fleet.replay_flags()], timeout_s=REPLAY_TIMEOUT_S
    )
    print(done.stdout + done.stderr, flush=True)
    return done.returncode == 0


def main(_: Sequence[str]) -> None:
    """Show both users' mornings."""
    started = time.monotonic()
    try:
        results = [show_user(user, flags.FLAGS.time_scale) for user in USERS]
    except FleetError as error:
        print(f"the fleet failed: {error}", file=sys.stderr)
        sys.exit(1)
    print(EXPLANATION)
    verdict = "All outcomes hold" if all(results) else "An outcome FAILED"
    print(f"{verdict}; the demonstration took {time.monotonic() - started:.0f} s.")
    sys.exit(0 if all(results) else 1)


def _club_configuration() -> dict:
    digest = hashlib.sha256(f"{CLUB}.example-key".encode()).hexdigest()
    club = {
        "keys": {"example": {"sha256": digest, "budget": "main"}},
        "budgets": {"main": {"prepaid": {"first": CLUB_TOKENS}}},
    }
    return {"organisations": {CLUB: club}}


def _routers_flag(fleet: ConfiguredFleet) -> str:
    return "--routers=" + ",".join(place.operator_listen for place in fleet.places)


if __name__ == "__main__":
    app.run(main)
