"""Choice by cost under uneven loads, without a network; each test names its load."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from itertools import count

import pytest

from lavenderfold.balancing import Balancer, Demand
from lavenderfold.balancing._delays import FACTOR_LIMIT, TargetRecord
from lavenderfold.balancing._parts import (
    ORDERS_LIMIT,
    PAIRS_LIMIT,
    SHARES_LIMIT,
    PartHomes,
    PartMemory,
    PartShares,
)
from lavenderfold.fleet import Target

PLAIN = Demand(service="s")


def make_targets(number: int, *, slots: int = 16, born: int = 0) -> list[Target]:
    return [
        Target(
            id=f"t{n}",
            service="s",
            host="h",
            port=1,
            domain="d",
            slots=slots,
            born=born,
        )
        for n in range(number)
    ]


def prompt(part_id: str, tokens: int) -> Demand:
    return Demand("s", ((part_id, tokens),), tokens + 200, tokens + 300)


class Drive:
    """Routers that send requests at a steady rate; ``sends`` are (time, id, demand).

    ``answer_s(target, now, outstanding)`` is how long an answer takes, negative if it
    is an error after that time. Routers learn of answers ``age_s`` late.
    """

    def __init__(self, *, routers: int, targets: list[Target], age_s: float = 0.0):
        self.targets = targets
        self.routers = [Balancer() for _ in range(routers)]
        self.sends: list[tuple[float, str, Demand]] = []
        self.router_count = routers
        self.outstanding = Counter()
        self._age_s = age_s
        self._rng = random.Random(7)
        self._ends: list[tuple] = []
        self._order = count()
        self._now = 0.0

    def run(
        self,
        *,
        until: float,
        rate: float,
        answer_s: Callable[[Target, float, int], float],
        draw: Callable[[random.Random], Demand] = lambda _: PLAIN,
    ) -> None:
        while self._now < until:
            self._now += self._rng.expovariate(rate)
            while self._ends and self._ends[0][0] <= self._now:
                heapq.heappop(self._ends)[2]()
            self._send(self._rng.choice(self.routers), draw(self._rng), answer_s)

    def share(self, target_id: str, begin: float, end: float) -> float:
        """Return a target's share of the requests, relative to an even one."""
        ids = [id for at, id, _ in self.sends if begin <= at < end]
        return ids.count(target_id) * len(self.targets) / len(ids)

    def worst_share(self, begin: float, end: float) -> float:
        return max(self.share(each.id, begin, end) for each in self.targets)

    def _send(self, router: Balancer, demand: Demand, answer_s) -> None:
        now = self._now
        target = router.choose(
            self.targets,
            demand,
            router_count=self.router_count,
            rng=self._rng,
            now=now,
        ).target
        use = router.record_send(target, demand, now=now)
        self.sends.append((now, target.id, demand))
        self.outstanding[target.id] += 1
        takes_s = answer_s(target, now, self.outstanding[target.id])
        ends_at = now + abs(takes_s)

        def learn() -> None:
            if takes_s < 0:
                router.record_error(use, now=ends_at)
            else:
                router.record_first(use, now=ends_at)
            router.record_end(use)

        def leave() -> None:
            self.outstanding[target.id] -= 1

        self._at(ends_at, leave)
        self._at(ends_at + self._age_s, learn)

    def _at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._ends, (when, next(self._order), call))


def even(target: Target, now: float, outstanding: int) -> float:
    return 0.1 * max(1.0, outstanding / target.slots)


def test_one_idle_target_gets_a_small_part_of_simultaneous_choices():
    """Routers that all take the idlest target overload it at the same moment."""
    targets, rng, chosen = make_targets(12), random.Random(1), Counter()
    for _ in range(400):
        router = Balancer()
        for busy in targets[1:]:
            router.record_send(busy, PLAIN, now=0.0)
        choice = router.choose(targets, PLAIN, router_count=30, rng=rng, now=0.1)
        chosen[choice.target.id] += 1
    # Three of twelve are looked at; the idle one is among them 23 times of 100.
    assert 1 / 12 < chosen["t0"] / 400 < 0.3


def test_target_that_errs_fast_is_not_taken_for_an_idle_one():
    """Its errors free its slots at once, and would draw the traffic of all routers."""
    drive = Drive(routers=20, targets=make_targets(5, slots=6))

    def answer_s(target, now, outstanding):
        errs = target.id == "t0" and 5.0 < now < 20.0
        return -0.002 if errs else even(target, now, outstanding)

    drive.run(until=32.0, rate=200.0, answer_s=answer_s)
    assert drive.share("t0", 7.0, 20.0) < 0.5
    assert drive.share("t0", 26.0, 32.0) > 0.6


def test_home_that_errs_is_left_for_another_target():
    """A prompt's parts at a failing home must not draw its requests there."""
    targets, rng, demand = make_targets(8), random.Random(1), prompt("p", 6000)
    balancer = Balancer()
    options = {"router_count": 1, "rng": rng, "now": 0.0}
    first = Counter(
        balancer.choose(targets, demand, **options).target.id for _ in range(50)
    )
    home = next(each for each in targets if each.id == first.most_common(1)[0][0])
    for _ in range(3):
        use = balancer.record_send(home, demand, now=0.0)
        balancer.record_error(use, now=0.0)
        balancer.record_end(use)
    later = [balancer.choose(targets, demand, **options).target for _ in range(50)]
    assert first[home.id] > 35
    assert home not in later


def test_errors_are_no_evidence_of_speed():
    """The estimate must not fall with answers that took no work."""
    record, balancer = TargetRecord(now=0.0), Balancer()
    record.record_factor(2.0, now=0.0)
    before = record.delay_factor(1.0)
    record.record_error(now=1.0)
    assert record.delay_factor(1.0) == before
    target = make_targets(1)[0]
    use = balancer.record_send(target, PLAIN, now=0.0)
    balancer.record_error(use, now=0.001)
    (costed,) = balancer.explain([target], PLAIN, router_count=1, now=0.01)
    assert costed.age_s is None
    assert costed.cost_s > 0.1


@pytest.mark.parametrize("age_s", [0.2, 2.0])
def test_load_stays_even_while_knowledge_is_seconds_old(age_s):
    """Late answers must not make all routers turn to the same targets in turns."""
    drive = Drive(routers=30, targets=make_targets(12), age_s=age_s)
    drive.run(until=20.0, rate=400.0, answer_s=even)
    for second in range(5, 20):
        assert drive.worst_share(second, second + 1) < 1.8


def test_target_back_from_a_freeze_gets_requests_within_seconds():
    """The wait of a frozen target says nothing of it once it has gone on."""
    drive = Drive(routers=10, targets=make_targets(8))

    def answer_s(target, now, outstanding):
        is_frozen = target.id == "t0" and 5.0 < now < 9.0
        return 9.0 - now + 0.1 if is_frozen else even(target, now, outstanding)

    drive.run(until=20.0, rate=200.0, answer_s=answer_s)
    assert drive.share("t0", 6.0, 9.0) < 0.5
    assert drive.share("t0", 14.0, 20.0) > 0.6


def test_choices_stay_even_after_half_of_the_routers_have_gone():
    """A number of routers that is too high must not change the order of costs."""
    drive = Drive(routers=30, targets=make_targets(9))
    drive.run(until=8.0, rate=300.0, answer_s=even)
    del drive.routers[15:]
    drive.run(until=20.0, rate=300.0, answer_s=even)
    assert drive.worst_share(10.0, 20.0) < 1.4


def test_targets_of_unequal_speed_get_requests_by_their_speed():
    """Plain targets of 0.7, 0.7 and 1.7 of the mean: even shares overload the slow."""
    drive = Drive(routers=20, targets=make_targets(3, slots=6))
    speed_by_id = {"t0": 0.7, "t1": 0.7, "t2": 1.7}

    def answer_s(target, now, outstanding):
        takes_s = even(target, now, outstanding) / speed_by_id[target.id]
        # Every twelfth answer is an error, as on real plain services.
        return -takes_s if int(now * 1e6) % 12 == 0 else takes_s

    drive.run(until=30.0, rate=120.0, answer_s=answer_s)
    assert 1.2 < drive.share("t2", 10.0, 30.0) < 1.85
    assert min(drive.share(each, 10.0, 30.0) for each in ("t0", "t1")) > 0.5


def test_hot_prefix_spreads_over_homes_and_others_stay_at_theirs():
    """A prefix with a third of the traffic would fill one home, others are read again.

    Prefixes of 5,000 tokens take 80 ms to read. Two thirds of the slots are in use.
    """
    drive = Drive(routers=20, targets=make_targets(20, slots=2))

    def draw(rng):
        name = "hot" if rng.random() < 1 / 3 else f"p{rng.randrange(100)}"
        return prompt(name, 5000)

    drive.run(until=40.0, rate=260.0, answer_s=even, draw=draw)
    late = [(id, demand) for at, id, demand in drive.sends if at > 10.0]
    assert drive.worst_share(10.0, 40.0) < 1.8
    hot = Counter(id for id, demand in late if demand.shared_parts[0][0] == "hot")
    assert max(hot.values()) < 0.25 * hot.total()
    top_two = []
    for number in range(100):
        ids = Counter(
            id for id, each in late if each.shared_parts[0][0] == f"p{number}"
        )
        top_two.append(sum(n for _, n in ids.most_common(2)) / ids.total())
    assert sum(top_two) / len(top_two) > 0.8


def test_small_shared_part_does_not_bind():
    """A part of 100 tokens is read in 2 ms, far less than a queue takes."""
    drive = Drive(routers=1, targets=make_targets(10))
    drive.run(until=10.0, rate=50.0, answer_s=even, draw=lambda _: prompt("small", 100))
    assert drive.worst_share(0.0, 10.0) < 2.0


def test_target_that_turns_slow_is_left_and_found_again():
    """A target that is four times slower for 7 s needs no probe to be found again."""
    drive = Drive(routers=10, targets=make_targets(10))

    def answer_s(target, now, outstanding):
        is_slow = target.id == "t0" and 10.0 < now < 17.0
        return even(target, now, outstanding) * (4.0 if is_slow else 1.0)

    drive.run(until=32.0, rate=100.0, answer_s=answer_s)
    assert 0.05 < drive.share("t0", 12.0, 17.0) < 0.6
    assert drive.share("t0", 24.0, 32.0) > 0.6


def test_evidence_of_an_incarnation_ends_with_it():
    """A target that restarts may run on other hardware."""
    balancer, rng = Balancer(), random.Random(1)
    old, new = make_targets(1), make_targets(1, born=1)
    use = balancer.record_send(old[0], PLAIN, now=0.0)
    balancer.record_first(use, now=3.0)
    costs = [
        balancer.choose(each, PLAIN, router_count=1, rng=rng, now=3.0)
        for each in (old, new)
    ]
    assert [each.age_s for each in costs] == [0.0, None]
    balancer.keep_only(new)
    # An answer after the end of the incarnation brings nothing back.
    balancer.record_end(use)
    assert balancer.spread_by_service(new, now=4.0) == {}


def test_delay_is_bounded_and_returns_to_the_mean():
    """One answer after minutes must not take a target out for minutes."""
    record = TargetRecord(now=0.0)
    for _ in range(50):
        record.record_factor(1e6, now=0.0)
    assert record.delay_factor(0.0) <= FACTOR_LIMIT * 1.001
    assert record.delay_factor(400.0) == pytest.approx(1.0, abs=0.02)


def test_memory_of_parts_is_bounded():
    """Callers choose the ids of parts."""
    memory, homes, shares = PartMemory(), PartHomes(), PartShares()
    targets = make_targets(2)
    for number in range(3000):
        memory.record(f"p{number}", ("t", 0), now=0.0)
        homes.order(f"p{number}", targets)
        shares.record("s", [f"p{number}"], now=0.0)
    assert len(memory._sent_at_by_pair) == PAIRS_LIMIT
    assert len(homes._order_by_part) == ORDERS_LIMIT
    assert len(shares._count_by_part) == SHARES_LIMIT


def test_order_of_homes_follows_the_targets():
    """A stored order must not bring back a target that has left the list."""
    homes, targets = PartHomes(), make_targets(6)
    order = homes.order("p", targets)
    assert homes.order("p", targets) is order
    rest = [each for each in targets if each is not order[0]]
    assert homes.order("p", rest) == order[1:]


def test_part_is_expected_for_some_seconds_at_the_target_that_read_it():
    """Targets drop parts that aren't used, so old knowledge must not bind."""
    memory = PartMemory()
    memory.record("p", ("t", 0), now=0.0)
    likely = [memory.likelihood("p", ("t", 0), now=now) for now in (1.0, 8.0, 11.0)]
    assert likely[0] > likely[1] > likely[2] == 0.0


def test_answers_that_take_no_time_by_the_clock():
    """Guards against a division by the usual time of a service, which was 0 then."""
    balancer, [target] = Balancer(), make_targets(1)
    first = balancer.record_send(target, PLAIN, now=1.0)
    balancer.record_first(first, now=1.0)
    balancer.record_end(first)
    waiting = balancer.record_send(target, PLAIN, now=1.0)
    rng = random.Random(1)
    chosen = balancer.choose([target], PLAIN, router_count=1, rng=rng, now=2.0)
    assert chosen.cost_s > 0.0
    balancer.record_silence(waiting, now=3.0)
