"""Evenness of load under several balancing policies, with stale observations.

One function drives targets with slots, queues and prompt caches by the choices of many
choosers. Run: python -m bench.stale_choices [seconds]
"""

import heapq
import random
import sys
from collections.abc import Callable
from itertools import count, product

from bench.decisions import per_call_us
from lavenderfold.balancing import Balancer, Demand
from lavenderfold.fleet import Target

SEED = 20261206
TARGETS, SLOTS = 12, 16
SPEEDS = [0.7 + index / (TARGETS - 1) for index in range(TARGETS)]
RUN_S, FIRST_S, READ_S, HELD_S = 0.4, 0.05, 0.062, 10.0
RATE = 0.7 * SLOTS * sum(SPEEDS) / RUN_S
PREFIXES, PREFIX_SHARE, HOT_SHARE = 200, 0.4, 0.25
PREFIX_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 4000, 300, 100
REPORT_S, SAMPLE_S, WARM_UP_S = 0.01, 0.1, 5.0
CHOOSERS, AGES_S = (5, 30, 400), (0.0, 0.2, 1.0)


def make_targets(number: int) -> list[Target]:
    """Return targets of one service."""
    return [
        Target(id=f"t{n}", service="s", host="h", port=1, domain="d", slots=SLOTS)
        for n in range(number)
    ]


def make_demand(prefix: str | None) -> Demand:
    """Return the demand of a request with this prompt prefix."""
    parts = () if prefix is None else ((prefix, PREFIX_TOKENS),)
    tokens = OWN_TOKENS + PREFIX_TOKENS * len(parts)
    return Demand("s", parts, tokens, tokens + OUTPUT_TOKENS)


def draw_prefix(rng: random.Random) -> str | None:
    """Return the prompt prefix of a random request, None if it shares none."""
    if rng.random() >= PREFIX_SHARE:
        return None
    return "p0" if rng.random() < HOT_SHARE else f"p{rng.randrange(1, PREFIXES)}"


class SimulatedTarget:
    """Slots with a queue, and the prompt prefixes that were read recently."""

    def __init__(self, speed: float):
        self.speed = speed
        self.outstanding = 0
        self.free_at = [0.0] * SLOTS
        self.held_at: dict[str, float] = {}

    def run(self, prefix: str | None, run_s: float, now: float):
        """Return the times of first event and end, and whether a prefix was read."""
        starts_at = max(now, heapq.heappop(self.free_at))
        is_read = prefix is not None and now - self.held_at.get(prefix, -99) > HELD_S
        if prefix is not None:
            self.held_at[prefix] = now
        begins_at = starts_at + is_read * READ_S / self.speed
        ends_at = begins_at + run_s / self.speed
        heapq.heappush(self.free_at, ends_at)
        self.outstanding += 1
        return begins_at + FIRST_S / self.speed, ends_at, is_read


# A policy returns a function that chooses a target. This function returns the index of
# the target and two callbacks, for the first event and for the end.
def by_reports(rule: Callable[[list[int], random.Random], int]) -> Callable:
    """Return a policy that applies a rule to the reported loads."""

    def make(choosers: int, age_s: float) -> Callable:
        return lambda chooser, prefix, loads, rng, now: (rule(loads, rng), abs, abs)

    return make


def least(loads: list[int], rng: random.Random) -> int:
    """Return a target with the least load."""
    return min(range(TARGETS), key=lambda each: (loads[each], rng.random()))


def two_choices(loads: list[int], rng: random.Random) -> int:
    """Return the less loaded of two random targets."""
    return min(rng.sample(range(TARGETS), 2), key=lambda each: loads[each])


def randomised_rank(loads: list[int], rng: random.Random) -> int:
    """Return a random target of the least loaded third."""
    ranked = sorted(range(TARGETS), key=lambda each: (loads[each], rng.random()))
    return rng.choice(ranked[: TARGETS // 3])


def by_cost(choosers: int, age_s: float) -> Callable:
    """Choose by one balancer for each chooser, which learns of answers later."""
    balancers = [Balancer() for _ in range(choosers)]
    targets = make_targets(TARGETS)

    def choose(chooser, prefix, loads, rng, now):
        balancer, demand = balancers[chooser], make_demand(prefix)
        target = balancer.choose(
            targets, demand, router_count=choosers, rng=rng, now=now - age_s
        ).target
        use = balancer.record_send(target, demand, now=now)

        def learn_first(at: float) -> None:
            balancer.record_first(use, now=at - age_s)

        return targets.index(target), learn_first, lambda _: balancer.record_end(use)

    return choose


POLICIES = {
    "least outstanding": by_reports(least),
    "two choices": by_reports(two_choices),
    "randomised rank": by_reports(randomised_rank),
    "cost": by_cost,
}


def run(choose: Callable, choosers: int, age_s: float, duration_s: float) -> tuple:
    """Drive the targets by the choices of a policy.

    Returns the mean of maximum over mean load, the share of targets that use less than
    half of their slots while requests wait at another one, the share of prefixes that
    were read again, and the 95th percentile of the time to the first event.
    """
    rng, order = random.Random(SEED), count()
    targets = [SimulatedTarget(speed) for speed in SPEEDS]
    events: list[tuple] = []
    loads = [0] * TARGETS
    ratios, idle, firsts, reads = [], [], [], []

    def at(when: float, call: Callable[[float], None]) -> None:
        heapq.heappush(events, (when, next(order), call))

    def report(now: float) -> None:
        seen = [each.outstanding for each in targets]
        at(now + age_s, lambda _: loads.__setitem__(slice(None), seen))
        at(now + REPORT_S, report)

    def sample(now: float) -> None:
        busy = [each.outstanding for each in targets]
        ratios.append(max(busy) * TARGETS / max(1, sum(busy)))
        is_queued = max(busy) > SLOTS
        idle.append(is_queued * sum(each < SLOTS / 2 for each in busy) / TARGETS)
        at(now + SAMPLE_S, sample)

    def arrive(now: float) -> None:
        chooser, prefix = rng.randrange(choosers), draw_prefix(rng)
        seen = loads if age_s else [each.outstanding for each in targets]
        index, learn_first, learn_end = choose(chooser, prefix, seen, rng, now)
        target, run_s = targets[index], RUN_S * rng.uniform(0.5, 1.5)
        first_at, ends_at, is_read = target.run(prefix, run_s, now)
        at(ends_at, lambda _: setattr(target, "outstanding", target.outstanding - 1))
        at(first_at + age_s, learn_first)
        at(ends_at + age_s, learn_end)
        if now > WARM_UP_S:
            firsts.append(first_at - now)
            reads.extend([is_read] * (prefix is not None))
        at(now + rng.expovariate(RATE), arrive)

    at(0.0, report)
    at(WARM_UP_S, sample)
    at(0.0, arrive)
    while events[0][0] < duration_s:
        when, _, call = heapq.heappop(events)
        call(when)
    late_s = sorted(firsts)[int(0.95 * len(firsts))]
    shares = [sum(each) / len(each) for each in (ratios, idle, reads)]
    return *shares, late_s


def choice_cost_us(number: int) -> float:
    """Return the processor time of a choice and its records."""
    targets, balancer, rng = make_targets(number), Balancer(), random.Random(SEED)

    def choose(index: int) -> None:
        demand, now = make_demand(draw_prefix(rng)), index / 15
        choice = balancer.choose(targets, demand, router_count=30, rng=rng, now=now)
        balancer.record_end(balancer.record_send(choice.target, demand, now=now))

    return per_call_us(choose, repeats=4000)


def main() -> None:
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else 60.0
    print("| choice | choosers | age ms | max/mean | idle | read again | p95 ms |")
    print("|---|---|---|---|---|---|---|")
    for name, choosers, age_s in product(POLICIES, CHOOSERS, AGES_S):
        choose = POLICIES[name](choosers, age_s)
        *shares, late_s = run(choose, choosers, age_s, duration_s)
        figures = " | ".join(f"{share:.2f}" for share in shares)
        setting = f"{name} | {choosers} | {age_s * 1000:.0f}"
        print(f"| {setting} | {figures} | {late_s * 1000:.0f} |")
    for number in (6, 60, 600):
        print(f"{number} targets: {choice_cost_us(number):.0f} us")


if __name__ == "__main__":
    main()
