"""``lavenderfold-replay``: replays a trace against a fleet and checks outcomes.

Exits with 0 if every outcome holds, 1 if one fails and 2 if the replay could
not be made.
"""

import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
import trio
from absl import app, flags

from lavenderfold import logs
from lavenderfold.replay import (
    CallRecord,
    EvidenceError,
    EvidenceReader,
    Player,
    PlayOptions,
    Router,
    TraceError,
    TraceRequest,
    format_results,
    load_trace,
    run_checks,
    select_checks,
)
from lavenderfold.settings import Address, parse_address
from lavenderfold.store import Store
from lavenderfold.timers import TimerService

EXIT_OUTCOME_FAILED = 1
EXIT_NOT_REPLAYED = 2

FLAGS = flags.FLAGS
flags.DEFINE_multi_string("trace", [], "File with a trace; several are merged.")
flags.DEFINE_multi_string("router", [], "REGION=IP:PORT of a router.")
flags.DEFINE_string("store", "", "IP:PORT of the key-value service, for the ledger.")
flags.DEFINE_multi_string(
    "target", [], "IP:PORT of a stand-in target that counts its runs (GET /stats)."
)
flags.DEFINE_string("key_secret", "example-key", "Secret part of every API key.")
flags.DEFINE_float(
    "time_scale", 1.0, "Seconds for each second of the trace; 0: no waiting.", 0.0
)
flags.DEFINE_integer("concurrency", 256, "Most requests open at a time.", 1)
flags.DEFINE_float("idle_timeout_s", 10.0, "A router silent for longer has failed.")
flags.DEFINE_float("request_timeout_s", 120.0, "Time for a request with retries.")
flags.DEFINE_float("settle_s", 15.0, "Wait for usage to reach the ledger.", 0.0)
flags.DEFINE_string(
    "records", "", "File to write: each request with its exchanges, as JSON lines."
)
flags.DEFINE_bool(
    "faults_injected",
    False,
    "Something fails during the replay: a request that must not repeat may then "
    "stay unknown.",
)


class UsageError(Exception):
    """A flag is missing or has an invalid value."""


async def replay() -> bool:
    """Replay the traces, print the results and return whether all checks passed.

    Raises UsageError, TraceError or EvidenceError.
    """
    requests = _load_traces(FLAGS.trace)
    reader = EvidenceReader(
        store=Store(address=_parse_address("store", FLAGS.store)),
        targets=[_parse_address("target", text) for text in FLAGS.target],
        settle_s=FLAGS.settle_s,
    )
    options = PlayOptions(
        routers=[_parse_router(text) for text in FLAGS.router],
        key_secret=FLAGS.key_secret,
        time_scale=FLAGS.time_scale,
        concurrency=FLAGS.concurrency,
        idle_timeout_s=FLAGS.idle_timeout_s,
        request_timeout_s=FLAGS.request_timeout_s,
    )
    if not (requests and options.routers and FLAGS.target):
        raise UsageError(
            "--trace, --router and --target must each be given at least once, "
            "and the traces must contain a request"
        )
    before = await reader.read_budgets()
    records = await Player(options=options, timers=TimerService()).play(requests)
    _write_records(records)
    evidence = await reader.read(records, before)
    checks = select_checks(faults_injected=FLAGS.faults_injected)
    results = run_checks(records, evidence, check_by_name=checks)
    print(format_results(records, results))
    return results.all_passed


def _write_records(records: Sequence[CallRecord]) -> None:
    if not FLAGS.records:
        return
    lines = [msgspec.json.encode(record) + b"\n" for record in records]
    try:
        Path(FLAGS.records).write_bytes(b"".join(lines))
    except OSError as error:
        raise UsageError(f"--records: can't write the file: {error}") from error


def _load_traces(paths: Sequence[str]) -> list[TraceRequest]:
    requests = []
    for path in paths:
        result = load_trace(path)
        if result.is_err():
            raise result.unwrap_err()
        requests += result.unwrap()
    return sorted(requests, key=lambda request: request.offset_s)


def _parse_router(text: str) -> Router:
    region, separator, address = text.partition("=")
    if not separator or not region:
        raise UsageError(f"--router: expected REGION=IP:PORT, got {text!r}")
    return Router(region, _parse_address("router", address))


def _parse_address(flag: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise UsageError(f"--{flag}: {error}") from error


def main(_: Sequence[str]) -> None:
    logs.configure(process="replay", level="WARNING")
    try:
        all_passed = trio.run(replay)
    except (UsageError, TraceError, EvidenceError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_NOT_REPLAYED)
    sys.exit(0 if all_passed else EXIT_OUTCOME_FAILED)


def run() -> None:
    """Run the command ``lavenderfold-replay``."""
    app.run(main)


if __name__ == "__main__":
    run()
