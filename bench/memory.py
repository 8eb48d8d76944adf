"""Memory and encoded bytes per item of state.

Each size is measured in a new process, so that memory freed by one
measurement isn't reused by the next. Run: python -m bench.memory
"""

import subprocess
import sys

import msgspec

from bench.decisions import budget_key, make_id, make_report, make_shard
from bench.slopes import fit_line, resident_bytes
from lavenderfold.budgets import GrantPool
from lavenderfold.config import FleetConfig
from lavenderfold.messages import Heartbeat
from lavenderfold.routing import LoadView

BUDGET_TOKENS = 1_000_000


def build_config(budgets: int) -> object:
    organisations: dict = {}
    for number in range(budgets):
        organisation = organisations.setdefault(
            f"organisation-{number % 510}", {"budgets": {}}
        )
        organisation["budgets"][f"budget-{number}"] = {
            "prepaid": {"initial": BUDGET_TOKENS + number}
        }
    return msgspec.convert({"organisations": organisations}, FleetConfig)


def build_grants(budgets: int) -> object:
    pool = GrantPool(incarnation=1)
    for number in range(budgets):
        pool.add_grant(budget_key(number), f"1-{number}", BUDGET_TOKENS)
    return pool


def build_reservations(requests: int) -> object:
    pool = GrantPool(incarnation=1)
    pool.add_grant(budget_key(0), "1-0", 10**12)
    reservations = [
        pool.reserve(budget_key(0), make_id(number), 1000, now=1.0)
        for number in range(requests)
    ]
    return pool, reservations


def build_shard(budgets: int) -> object:
    return make_shard(budgets, 0)


def build_usage(entries: int) -> object:
    return make_shard(16, entries // 16)


def build_view(targets: int) -> object:
    view = LoadView()
    for target in range(targets):
        prefixes = [target * 1_000_003 + index for index in range(256)]
        report = make_report(prefixes)
        view.record_report(f"target-{target}", report, now=1.0)
    return view


BUILDERS = {
    "budget in the configuration": (build_config, (2000, 20_000, 60_000)),
    "budget with a grant in hand": (build_grants, (1000, 10_000, 30_000)),
    "open reservation": (build_reservations, (1000, 10_000, 30_000)),
    "budget in a ledger shard": (build_shard, (500, 2000, 8000)),
    "usage entry in a ledger shard": (build_usage, (1600, 16_000, 48_000)),
    "target in the load view (256 prefixes)": (build_view, (20, 100, 400)),
}


def measure_in_child(name: str, size: int) -> float:
    completed = subprocess.run(
        [sys.executable, "-m", "bench.memory", name, str(size)],
        check=True,
        capture_output=True,
        text=True,
        timeout=120,
    )
    return float(completed.stdout)


def print_encoded_sizes() -> None:
    for label, build in (("budget", build_shard), ("usage entry", build_usage)):
        sizes = (480, 4800, 9600)
        points = [(size, len(build(size).encode())) for size in sizes]
        print(f"  encoded bytes per {label}: {fit_line(points).slope:.1f}")
    report = build_view(1).load("target-0").latest_report
    for prefixes in (0, 256):
        shortened_report = msgspec.structs.replace(
            report, prefixes=report.prefixes[:prefixes]
        )
        size = len(msgspec.msgpack.encode([shortened_report]))
        print(f"  encoded bytes of a load report with {prefixes} prefixes: {size}")
    print(
        "  encoded bytes of a heartbeat: "
        f"{len(msgspec.msgpack.encode([Heartbeat(revision=10_000)]))}"
    )


def main() -> None:
    if len(sys.argv) == 3:
        before = resident_bytes()
        retained_object = BUILDERS[sys.argv[1]][0](int(sys.argv[2]))
        print(resident_bytes() - before)
        del retained_object
        return
    print("resident memory per item")
    for name, (_, sizes) in BUILDERS.items():
        points = [(size, measure_in_child(name, size)) for size in sizes]
        fit = fit_line(points)
        print(
            f"  {name}: {fit.slope:.0f} bytes at sizes {sizes},"
            f" residual {fit.residual:.3f}"
        )
    print("bytes on the wire and in the store")
    print_encoded_sizes()


if __name__ == "__main__":
    main()
