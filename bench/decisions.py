"""Processor time of budget and routing operations, by the size of their input.

Run: python -m bench.decisions
"""

import uuid
from collections.abc import Callable, Iterable

from bench.slopes import MICROSECONDS_PER_SECOND, cpu_seconds, fit_line
from lavenderfold.budgets import (
    GrantPool,
    LedgerShard,
    OpenGrant,
    SetLimit,
    Settle,
    apply,
)
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey, make_request_id
from lavenderfold.messages import LoadReport
from lavenderfold.routing import (
    Candidate,
    LoadView,
    QueueEntry,
    RequestQueue,
    RouteRequest,
    choose_target,
    prefix_hashes,
)

REPEATS = 400
NOW_UNIX = 1_790_000_000.0
LIMIT_TOKENS = 10**12


def make_id(number: int) -> str:
    return make_request_id(unix_time=NOW_UNIX, random_bits=number * 7919)


def budget_key(number: int) -> BudgetKey:
    return BudgetKey(f"organisation-{number % 17}", f"budget-{number}")


def make_shard(budgets: int, usage_per_budget: int) -> LedgerShard:
    operations = []
    for number in range(budgets):
        key = budget_key(number)
        operations.append(SetLimit(key, LIMIT_TOKENS, 1))
        operations.append(OpenGrant(key, f"1-{number}", 1, 10**9, 1))
        operations.extend(
            Settle(key, f"1-{number}", make_id(number * 10_000 + index), 700)
            for index in range(usage_per_budget)
        )
    shard, _ = apply(LedgerShard(), operations, now_unix=NOW_UNIX)
    return shard


def print_costs(
    title: str, unit: str, sizes: Iterable[int], cost_us: Callable[[int], float]
) -> None:
    """Print the cost at each size and the line fitted to these costs."""
    points = [(size, cost_us(size)) for size in sizes]
    fit = fit_line(points)
    print(title)
    for size, cost in points:
        print(f"  {unit}={size:<8} cpu_us={cost:10.2f}")
    print(
        f"  fit: {fit.intercept:.2f} us + {fit.slope:.4f} us per {unit},"
        f" residual {fit.residual:.3f}"
    )


def per_call_us(call: Callable[[int], object], repeats: int = REPEATS) -> float:
    def work() -> None:
        for number in range(repeats):
            call(number)

    return cpu_seconds(work) / repeats * MICROSECONDS_PER_SECOND


def commit_cost_us(batch_size: int, budgets: int, usage_entries: int) -> float:
    """Return the cost of applying a batch to a shard and encoding the shard."""
    shard = make_shard(budgets, usage_entries)

    def commit(number: int) -> None:
        operations = [
            Settle(
                budget_key(index % budgets),
                f"1-{index % budgets}",
                make_id(10**9 + number * batch_size + index),
                700,
            )
            for index in range(batch_size)
        ]
        changed, _ = apply(shard, operations, now_unix=NOW_UNIX)
        changed.encode()

    return per_call_us(commit, repeats=40)


def decode_cost_us(usage_entries: int) -> float:
    data = make_shard(64, usage_entries).encode()
    return per_call_us(lambda _: LedgerShard.decode(data), repeats=40)


def reserve_cost_us(budgets: int) -> float:
    pool = GrantPool(incarnation=1)
    for number in range(budgets):
        pool.add_grant(budget_key(number), f"1-{number}", 10**9)
    budget = Budget(prepaid={"first": LIMIT_TOKENS})

    def reserve(number: int) -> None:
        key = budget_key(number % budgets)
        reservation = pool.reserve(key, make_id(number), 1000, now=float(number))
        pool.settle(reservation, 700)
        pool.order(key, budget=budget, waiting_tokens=0, now=float(number))

    return per_call_us(reserve)


def make_report(prefixes: list[int]) -> LoadReport:
    """Return the load report of a target that runs three requests."""
    return LoadReport(
        running=3,
        queued=0,
        queued_tokens=0,
        slots=16,
        tokens_per_s=1800.0,
        ready=True,
        draining=False,
        revision=1,
        prefixes=prefixes,
        prefixes_known=True,
    )


def choice_cost_us(candidates: int, prefix_blocks: int = 64) -> float:
    view = LoadView()
    prompt = " ".join(f"word{index}" for index in range(prefix_blocks * 16))
    prefixes = prefix_hashes(prompt)
    report = make_report(prefixes)
    candidate_targets = [
        Candidate(target=f"target-{index}", region=f"region-{index % 2}")
        for index in range(candidates)
    ]
    for candidate in candidate_targets:
        view.record_report(candidate.target, report, now=1.0)
    request = RouteRequest(
        region="region-0",
        prompt_tokens=prefix_blocks * 16,
        output_tokens=400,
        prefixes=prefixes,
    )
    return per_call_us(
        lambda _: choose_target(view, candidate_targets, request, now=1.5)
    )


def queue_cost_us(waiting: int) -> float:
    queue = RequestQueue(length_limit=waiting + 10)

    def make_entry(number: int) -> QueueEntry:
        return QueueEntry(
            request_id=str(uuid.UUID(int=number)),
            organisation=f"organisation-{number % 510}",
            priority=number % 2,
            tokens=1000,
            deadline=float(number),
        )

    for number in range(waiting):
        queue.push(make_entry(number))

    def push_and_pop(number: int) -> None:
        queue.push(make_entry(waiting + number))
        queue.pop()

    return per_call_us(push_and_pop)


def hash_cost_us(tokens: int) -> float:
    prompt = " ".join(f"word{index}" for index in range(tokens))
    return per_call_us(lambda _: prefix_hashes(prompt))


def main() -> None:
    print_costs(
        "ledger commit by batch (64 budgets, 20 entries each): apply and encode",
        "operation",
        (1, 16, 64, 256),
        lambda batch_size: commit_cost_us(batch_size, 64, 20),
    )
    print_costs(
        "ledger commit by shard size (64 budgets, batch of 16)",
        "entry",
        (64 * 5, 64 * 20, 64 * 80),
        lambda entries: commit_cost_us(16, 64, entries // 64),
    )
    print_costs(
        "ledger decode by shard size (64 budgets)",
        "entry",
        (64 * 5, 64 * 20, 64 * 80),
        lambda entries: decode_cost_us(entries // 64),
    )
    print_costs(
        "reserve, settle and order check by budgets held",
        "budget",
        (10, 1000, 10_000),
        reserve_cost_us,
    )
    print_costs(
        "route choice by candidates (prompt of 1024 tokens)",
        "candidate",
        (3, 15, 60),
        choice_cost_us,
    )
    print_costs(
        "class queue, push and pop, by waiting requests",
        "waiting",
        (10, 1000, 10_000),
        queue_cost_us,
    )
    print_costs("prefix hashes by prompt size", "token", (128, 512, 2048), hash_cost_us)


if __name__ == "__main__":
    main()
