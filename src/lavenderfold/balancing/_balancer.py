"""Choice of a target by the expected cost in seconds."""

import random
from collections.abc import Iterable

import msgspec

from lavenderfold.balancing._delays import ServiceTimes, TargetRecord
from lavenderfold.balancing._parts import (
    SPILL_LIKELY,
    PartHomes,
    PartMemory,
    PartShares,
    home_likelihood,
)
from lavenderfold.fleet import Target

# The cheapest of so many random targets is taken. The cheapest of all would be the same
# one for many routers, which would overload it.
RANDOM_CANDIDATES = 3
# Services with fewer targets than this draw FEW_CANDIDATES, with replacement: of three
# targets the fastest is then drawn 5 times of 9.
FEW_TARGETS = 8
FEW_CANDIDATES = 2
# Of two targets, one with 1.1 times the cost is taken with a probability of 0.36, with
# twice the cost 0.015. Without this randomness a slightly slower target would get no
# requests, and its recovery would go unnoticed. The second, stricter exponent holds if
# any candidate is a home of the prompt.
COST_EXPONENT = 6.0
BOUND_COST_EXPONENT = 20.0
# Homes of one part that are looked at, chosen at random if it has more.
HOME_CANDIDATES = 3
# Targets prefill 40 to 90 prompt tokens per millisecond.
READ_TOKENS_PER_S = 60_000.0
# Prefill of a smaller part takes less than 10 ms, which isn't worth a preference for
# the part's homes.
BINDING_TOKENS = 600
# The homes of at most so many parts of a prompt, the largest ones, are looked at.
BINDING_PARTS_LIMIT = 2
# Prefill delays the caller, and as much the other requests of the target.
READ_WEIGHT = 2.0
# A router's own load tells little of what others have at a target, unless they choose
# by the same evidence. So each other router counts as this fraction.
OTHER_ROUTER_WEIGHT = 0.1
# The mean pause of fewer events says little of a target.
PAUSE_EVENTS_MIN = 4
# A target with full slots costs so many usual times more. With a smaller weight,
# slightly faster targets are filled before others get any request.
LOAD_WEIGHT = 4.0
# What a run of errors costs, by its square, as a part of the usual time and of the time
# to read the whole prompt. Parts that a target holds don't outweigh several errors.
ERROR_WEIGHT = 0.5


class Demand(msgspec.Struct, frozen=True):
    """What one request asks of a target.

    ``shared_parts`` are ids and tokens of the prompt's parts that other requests may
    share, in the prompt's order. ``tokens`` is the worst case of all its tokens, 0 if
    it uses none.
    """

    service: str
    shared_parts: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    tokens: int = 0


class CostedTarget(msgspec.Struct, frozen=True):
    """A target with its expected cost in seconds.

    ``unread_tokens`` are the prompt tokens that the target is expected not to have in
    its prefix cache. ``evidence`` tells what the expectation is based on: "home" if the
    target is a home of a part, "held" if this router sent a large part there, else
    "cost".
    ``age_s`` is how long ago the target's delay was last observed, None if never.
    """

    target: Target
    cost_s: float
    unread_tokens: float
    evidence: str
    age_s: float | None


class TargetUse(msgspec.Struct, eq=False):
    """One request of this router in progress at a target.

    ``weight`` is its load relative to the usual request of the service.
    ``unread_tokens`` are as in CostedTarget, and ``first_at`` is when the first event
    came.
    """

    record: TargetRecord
    times: ServiceTimes
    weight: float
    unread_tokens: float
    sent_at: float
    first_at: float | None = None
    is_ended: bool = False


class _Held:
    """Expectations of the parts that targets hold, for one request."""

    __slots__ = ("homes_by_part", "_memory", "_parts", "_now")

    def __init__(self, *, memory: PartMemory, demand: Demand, now: float):
        self.homes_by_part: dict[str, dict[str, float]] = {}
        self._memory = memory
        self._parts = demand.shared_parts
        self._now = now

    def tokens(self, target: Target) -> tuple[float, str]:
        """Return the tokens that a target is expected to hold, and the evidence."""
        key = _key(target)
        likely, total, evidence = 0.0, 0.0, "cost"
        # A target that holds a part also holds those before it.
        for part_id, tokens in reversed(self._parts):
            sent = self._memory.likelihood(part_id, key, now=self._now)
            if sent > likely:
                likely = sent
                evidence = "held" if tokens >= BINDING_TOKENS else evidence
            homes = self.homes_by_part.get(part_id)
            at_home = homes.get(target.id, 0.0) if homes else 0.0
            if at_home:
                likely, evidence = max(likely, at_home), "home"
            total += likely * tokens
        return total, evidence


class Balancer:
    """Learns from one router's requests, and chooses targets by expected cost.

    Times are in seconds of any one clock.
    """

    def __init__(self):
        self._record_by_key: dict[tuple, TargetRecord] = {}
        self._times_by_service: dict[str, ServiceTimes] = {}
        self._memory = PartMemory()
        self._homes = PartHomes()
        self._shares = PartShares()

    def choose(
        self,
        targets: list[Target],
        demand: Demand,
        *,
        router_count: int,
        rng: random.Random,
        now: float,
    ) -> CostedTarget:
        """Return the cheapest of a few targets: random ones and homes of the prompt."""
        held = _Held(memory=self._memory, demand=demand, now=now)
        # With replacement, so that a small service's fastest target isn't always drawn.
        are_few = len(targets) < FEW_TARGETS
        number = FEW_CANDIDATES if are_few else RANDOM_CANDIDATES
        drawn = rng.choices(targets, k=number)
        candidate_by_id = {each.id: each for each in drawn}
        for ranked in self._note_homes(targets, demand, held, now):
            if len(ranked) > HOME_CANDIDATES:
                ranked = rng.sample(ranked, HOME_CANDIDATES)
            candidate_by_id.update((each.id, each) for each in ranked)
        factor = _load_factor(router_count)
        costed = [
            self._cost(each, demand, held, factor, now)
            for each in candidate_by_id.values()
        ]
        if len(costed) == 1:
            return costed[0]
        is_bound = any(each.evidence == "home" for each in costed)
        power = 1 / (BOUND_COST_EXPONENT if is_bound else COST_EXPONENT)
        # Each target wins with a probability in proportion to cost_s ** -exponent.
        return min(costed, key=lambda each: each.cost_s * rng.expovariate(1.0) ** power)

    def explain(
        self, targets: list[Target], demand: Demand, *, router_count: int, now: float
    ) -> list[CostedTarget]:
        """Return all targets with the costs that a choice among them goes by."""
        held = _Held(memory=self._memory, demand=demand, now=now)
        self._note_homes(targets, demand, held, now)
        factor = _load_factor(router_count)
        return [self._cost(each, demand, held, factor, now) for each in targets]

    def record_send(self, target: Target, demand: Demand, *, now: float) -> TargetUse:
        """Count a request that is being sent; pass the result to the other records."""
        held = _Held(memory=self._memory, demand=demand, now=now)
        held_tokens, _ = held.tokens(target)
        times = self._times(demand.service)
        weight = times.weight(demand.tokens)
        times.record_tokens(demand.tokens)
        record = self._record(target, now)
        record.load += weight
        record.record_send(now=now)
        key = _key(target)
        for part_id, _ in demand.shared_parts:
            self._memory.record(part_id, key, now=now)
        self._shares.record(demand.service, _binding_part_ids(demand), now=now)
        unread_tokens = max(0.0, demand.prompt_tokens - held_tokens)
        use = TargetUse(record, times, weight, unread_tokens, now)
        record.read_at_by_waiting[use] = now + unread_tokens / READ_TOKENS_PER_S
        return use

    def record_first(self, use: TargetUse, *, now: float) -> None:
        """Record the first event of a stream, or a whole successful answer."""
        if use.first_at is not None:
            return
        use.first_at = now
        use.record.read_at_by_waiting.pop(use, None)
        factor = use.times.first_factor(now - use.sent_at, use.unread_tokens)
        use.record.record_factor(factor, now=now)
        use.record.record_success(now=now)

    def record_last(self, use: TargetUse, events: int, *, now: float) -> None:
        """Record the end of a whole answer with so many events."""
        if use.first_at is None or events < PAUSE_EVENTS_MIN:
            return
        mean_s = (now - use.first_at) / (events - 1)
        use.record.record_factor(use.times.pause_factor(mean_s), now=now)

    def record_silence(self, use: TargetUse, *, now: float) -> None:
        """Record that a target sent no event until it was given up."""
        if use.first_at is not None:
            return
        factor = (now - use.sent_at) / use.times.usual_s
        use.record.record_factor(max(1.0, factor), now=now)

    def record_error(self, use: TargetUse, *, now: float) -> None:
        """Record a failure or refusal, which says nothing of the target's speed."""
        use.record.record_error(now=now)

    def record_end(self, use: TargetUse) -> None:
        """Stop counting a request."""
        if not use.is_ended:
            use.is_ended = True
            use.record.load -= use.weight
            use.record.read_at_by_waiting.pop(use, None)

    def keep_only(self, targets: Iterable[Target]) -> None:
        """Forget incarnations that aren't listed any more."""
        keys = {_key(each) for each in targets}
        for key in [each for each in self._record_by_key if each not in keys]:
            del self._record_by_key[key]

    def spread_by_service(
        self, targets: Iterable[Target], *, now: float
    ) -> dict[str, float]:
        """Return the most own sends to a target over the mean, by service."""
        sends_by_service: dict[str, list[float]] = {}
        for target in targets:
            record = self._record_by_key.get(_key(target))
            sends = record.sends(now) if record is not None else 0.0
            sends_by_service.setdefault(target.service, []).append(sends)
        return {
            service: max(sends) * len(sends) / sum(sends)
            for service, sends in sends_by_service.items()
            if sum(sends) > 0.0
        }

    def _note_homes(
        self, targets: list[Target], demand: Demand, held: _Held, now: float
    ) -> list[list[Target]]:
        """Note the homes of the binding parts in ``held`` and return them."""
        homes = []
        for part_id in _binding_part_ids(demand):
            order = self._homes.order(part_id, targets)
            count = self._shares.homes(demand.service, part_id, len(targets), now=now)
            ranked = order[: count + len(SPILL_LIKELY)]
            held.homes_by_part[part_id] = {
                each.id: home_likelihood(rank, count)
                for rank, each in enumerate(ranked)
            }
            homes.append(ranked)
        return homes

    def _cost(
        self, target: Target, demand: Demand, held: _Held, factor: float, now: float
    ) -> CostedTarget:
        record = self._record_by_key.get(_key(target))
        held_tokens, evidence = held.tokens(target)
        unread_tokens = max(0.0, demand.prompt_tokens - held_tokens)
        usual_s = self._times(demand.service).usual_s
        read_s = READ_WEIGHT * unread_tokens / READ_TOKENS_PER_S
        if record is None:
            return CostedTarget(target, usual_s + read_s, unread_tokens, evidence, None)
        load = factor * record.load / max(1, target.slots)
        delay = max(record.delay_factor(now), record.overdue_factor(usual_s, now))
        cost_s = delay * (usual_s * (1.0 + LOAD_WEIGHT * load) + read_s)
        whole_s = usual_s + READ_WEIGHT * demand.prompt_tokens / READ_TOKENS_PER_S
        cost_s += ERROR_WEIGHT * whole_s * record.errors(now) ** 2
        age_s = None if record.sampled_at is None else now - record.sampled_at
        return CostedTarget(target, cost_s, unread_tokens, evidence, age_s)

    def _record(self, target: Target, now: float) -> TargetRecord:
        key = _key(target)
        record = self._record_by_key.get(key)
        if record is None:
            record = self._record_by_key[key] = TargetRecord(now=now)
        return record

    def _times(self, service: str) -> ServiceTimes:
        times = self._times_by_service.get(service)
        if times is None:
            times = self._times_by_service[service] = ServiceTimes()
        return times


def _key(target: Target) -> tuple[str, int]:
    """Identify the incarnation of a target."""
    return (target.id, target.born)


def _load_factor(router_count: int) -> float:
    return 1.0 + OTHER_ROUTER_WEIGHT * (max(1, router_count) - 1)


def _binding_part_ids(demand: Demand) -> list[str]:
    """Return the ids of the parts whose homes are looked at, the largest ones."""
    large = [each for each in demand.shared_parts if each[1] >= BINDING_TOKENS]
    if len(large) > BINDING_PARTS_LIMIT:
        large = sorted(large, key=lambda each: each[1])[-BINDING_PARTS_LIMIT:]
    return [part_id for part_id, _ in large]
