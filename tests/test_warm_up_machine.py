"""The bound on requests to a cold target, summed over all routers, as a state machine.

Each router sends as often as its limiter allows. Routers join, die and are replaced,
are cut off, and know a wrong number of routers or none.
"""

import random
from bisect import bisect_left

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from lavenderfold.fleet import Service
from lavenderfold.placement import ColdTargets
from tests.placement_support import make_target

RATE = 17.0
OVERSHOOT = 1.5
TOLERANCE = 5.0
BOUND = RATE * OVERSHOOT + TOLERANCE
MOST_ROUTERS = 31
WARM_UP_S = 20.0
STEP_S = 0.05
SERVICE = Service(
    name="service", connection_limit=9, warm_up_s=WARM_UP_S, warm_up_rate=RATE
)


class Router:
    """One router's limiter, with its own random numbers and its view of the fleet."""

    def __init__(self, *, seed: int, count: int):
        self.count = count
        self.rng = random.Random(seed)
        self.is_cut_off = False
        self.connect_s = 0.0
        self.pending = []
        self.cold = ColdTargets(
            overshoot=OVERSHOOT, tolerance=TOLERANCE, router_count=lambda: self.count
        )
        self.cold.set_services([SERVICE])

    def send(self, target, now: float) -> list[float]:
        """Send what is allowed; return the times of the requests' first bytes."""
        sent = []
        for permit, sent_at in self.pending:
            if sent_at <= now:
                permit.record_sending(now)
                sent.append(now)
        self.pending = [each for each in self.pending if each[1] > now]
        if self.is_permitted(target, now):
            permit = self.cold.take(target, now=now, counts_warm=self.is_cut_off)
            # Some attempts never get through, others late.
            if self.rng.random() < 0.2:
                permit.release()
            else:
                self.pending.append((permit, now + self.rng.random() * self.connect_s))
        return sent

    def is_permitted(self, target, now: float) -> bool:
        # A router that reads no entries takes any target for cold.
        permitted = self.cold.unused if self.is_cut_off else self.cold.permitted
        return bool(permitted([target], now=now, rng=self.rng))


class WarmUpMachine(RuleBasedStateMachine):
    """Counts the requests to one target that is cold all the time."""

    @initialize(
        routers=st.integers(1, MOST_ROUTERS),
        count=st.sampled_from((0, 1.0, 0.8)),
        seed=st.integers(0, 10**6),
    )
    def start(self, routers, count, seed):
        self.now = 100.0
        self.seed = seed
        self.count = round(count * routers)
        self.target = make_target("t", "d", warm_up_s=WARM_UP_S, born=5)
        self.revision = 1
        self.cold_until = self.now + WARM_UP_S
        self.sent = []
        self.routers = []
        for _ in range(routers):
            self.add_router(is_first_listing=False)

    def add_router(self, *, is_first_listing):
        self.seed += 1
        router = Router(seed=self.seed, count=self.count)
        self.read_entry(router, is_first_listing=is_first_listing)
        self.routers.append(router)

    def read_entry(self, router, *, is_first_listing=False):
        router.cold.record_entry(
            self.target,
            revision=self.revision,
            is_first_listing=is_first_listing,
            now=self.now,
        )

    @rule(seconds=st.sampled_from((0.3, 1.0, 3.0)))
    def run_for(self, seconds):
        ends_at = self.now + seconds
        if ends_at + STEP_S > self.cold_until:
            # Without a new entry the target would be warm, and get everything.
            self.write_entry(WARM_UP_S)
        while self.now < ends_at:
            self.now += STEP_S * random.Random(self.seed).uniform(0.5, 1.0)
            for router in self.routers:
                self.sent += router.send(self.target, self.now)
        self.check()

    @rule(stays_cold_s=st.sampled_from((None, WARM_UP_S, 0.7 * WARM_UP_S)))
    def write_entry(self, stays_cold_s):
        """A heartbeat; only connected routers see it."""
        self.revision += 1
        if stays_cold_s is not None:
            self.cold_until = self.now + stays_cold_s
        entry = make_target("t", "d", warm_up_s=stays_cold_s, born=5)
        for router in self.routers:
            if not router.is_cut_off:
                router.cold.record_entry(
                    entry, revision=self.revision, is_first_listing=False, now=self.now
                )

    @rule(index=st.integers(0, MOST_ROUTERS), is_cut_off=st.booleans())
    def change_link(self, index, is_cut_off):
        router = self.routers[index % len(self.routers)]
        router.is_cut_off = is_cut_off
        if not is_cut_off:
            self.read_entry(router)

    @rule(connect_s=st.sampled_from((0.0, 0.4)))
    def change_connect_time(self, connect_s):
        for router in self.routers:
            router.connect_s = connect_s

    @rule(deaths=st.integers(1, MOST_ROUTERS))
    def restart(self, deaths):
        """Routers die and are replaced at once, by processes that know nothing."""
        for _ in range(min(deaths, len(self.routers))):
            self.routers.pop(0)
            self.add_router(is_first_listing=True)

    @rule(joins=st.integers(1, 4))
    def join(self, joins):
        for _ in range(min(joins, MOST_ROUTERS - len(self.routers))):
            self.add_router(is_first_listing=True)

    @rule(count=st.sampled_from((0, 1.0, 0.8, 1.3)))
    def learn_count(self, count):
        self.count = round(count * len(self.routers))
        for router in self.routers:
            router.count = self.count

    def check(self):
        for number, sent_at in enumerate(self.sent):
            end = bisect_left(self.sent, sent_at + 1.0)
            assert end - number <= BOUND

    def teardown(self):
        if hasattr(self, "sent"):
            self.check()


def test_all_routers_together_stay_below_the_bound():
    run_state_machine_as_test(
        WarmUpMachine,
        settings=settings(max_examples=60, stateful_step_count=25, deadline=None),
    )


def test_cold_target_gets_its_even_share():
    """A limiter that allows too little would leave requests of a cold fleet unserved.

    25 targets get about 235 requests a second, which is 9.4 for each.
    """
    target = make_target("t", "d", warm_up_s=WARM_UP_S, born=5)
    routers = [Router(seed=number, count=MOST_ROUTERS) for number in range(31)]
    for router in routers:
        router.cold.record_entry(target, revision=1, is_first_listing=False, now=100.0)
    sent = 0
    now = 100.0
    while now < 110.0:
        now += 0.02
        sent += sum(len(router.send(target, now)) for router in routers)
    assert 10 * 9.4 < sent < 10 * RATE
