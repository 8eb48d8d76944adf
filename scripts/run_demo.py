"""Replays a morning of traffic of each example user on a fleet of real processes.

Exits with 0 if all checks of the results pass.
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
SMALL_ORGANISATION = "astronomy-club"
SMALL_BUDGET_FILE = "90-small-budget.yaml"
SMALL_BUDGET_TOKENS = 2000
CONTEST_REQUESTS = 60

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


def demonstrate_user(user: str, time_scale: float) -> bool:
    """Start a user's fleet and replay its traces; return whether all checks pass."""
    print(f"== {user} ==", flush=True)
    started = time.monotonic()
    with ConfiguredFleet(folder=EXAMPLES / user) as fleet:
        duration_s = time.monotonic() - started
        print(f"{len(fleet.member_by_name)} processes ready after {duration_s:.1f} s")
        print(fleet.run_ctl("status", _routers_flag(fleet)), flush=True)
        trace = EXAMPLES / "traces" / f"{user}.jsonl"
        passed = replay(fleet, trace, time_scale)
        return demonstrate_contest(fleet, user) and passed


def demonstrate_contest(fleet: ConfiguredFleet, user: str) -> bool:
    """Replay requests that compete for the small budget of an added organisation.

    Returns whether all checks pass.
    """
    path = fleet.folder / SMALL_BUDGET_FILE
    path.write_text(yaml.safe_dump(_small_budget_configuration()), encoding="utf-8")
    print(fleet.apply(), end="")
    started = time.monotonic()
    fleet.wait_in_effect()
    duration_s = time.monotonic() - started
    print(f"in effect at all routers after {duration_s:.2f} s\n", flush=True)
    generator = TraceGenerator(user=user, seed=1)
    requests = generator.make_contest(
        organisation=SMALL_ORGANISATION, count=CONTEST_REQUESTS
    )
    trace = fleet.directory / "contest.jsonl"
    trace.write_text(encode_trace(requests), encoding="utf-8")
    passed = replay(fleet, trace, 1.0)
    print(
        fleet.run_ctl("budget", SMALL_ORGANISATION, f"--store={fleet.store.address}"),
        flush=True,
    )
    return passed


def replay(fleet: ConfiguredFleet, trace: Path, time_scale: float) -> bool:
    """Replay a trace and print the results; return whether all checks pass."""
    arguments = [f"--trace={trace}", f"--time_scale={time_scale}"]
    completed = fleet.run(
        "replay", [*arguments, *fleet.replay_flags()], timeout_s=REPLAY_TIMEOUT_S
    )
    print(completed.stdout + completed.stderr, flush=True)
    return completed.returncode == 0


def main(_: Sequence[str]) -> None:
    """Run the demonstration for both users and exit with its result."""
    started = time.monotonic()
    try:
        results = [demonstrate_user(user, flags.FLAGS.time_scale) for user in USERS]
    except FleetError as error:
        print(f"the fleet failed: {error}", file=sys.stderr)
        sys.exit(1)
    print(EXPLANATION)
    verdict = "All outcomes hold" if all(results) else "An outcome FAILED"
    print(f"{verdict}; the demonstration took {time.monotonic() - started:.0f} s.")
    sys.exit(0 if all(results) else 1)


def _small_budget_configuration() -> dict:
    digest = hashlib.sha256(f"{SMALL_ORGANISATION}.example-key".encode()).hexdigest()
    organisation = {
        "keys": {"example": {"sha256": digest, "budget": "main"}},
        "budgets": {"main": {"prepaid": {"first": SMALL_BUDGET_TOKENS}}},
    }
    return {"organisations": {SMALL_ORGANISATION: organisation}}


def _routers_flag(fleet: ConfiguredFleet) -> str:
    return "--routers=" + ",".join(spec.operator_listen for spec in fleet.router_specs)


if __name__ == "__main__":
    app.run(main)
