"""Which targets are expected to hold the shared parts of a prompt.

Routers exchange no messages about that. Each remembers where it recently sent a part.
The first targets in a part's rendezvous order, which is the same for all routers, are
its homes: they should get the requests with this part.
"""

import math
from collections import OrderedDict

import xxhash

from lavenderfold.fleet import Target

# Parts are reused within 8 to 10 s. Up to the first age a target is expected to hold a
# part that it got; the expectation falls to 0 at the second one.
HELD_AGE_S = 5.0
LOST_AGE_S = 10.0
HELD_LIKELY = 0.95
# Remembered pairs of a part and a target. At 15 requests/s with 3 parts each, 10 s make
# 450 pairs.
PAIRS_LIMIT = 2048
# Orders kept, one per part, each as long as the list of targets.
ORDERS_LIMIT = 128
# Time constant of the decaying counts from which a part's share is computed.
SHARE_S = 10.0
SHARES_LIMIT = 1024
# A part has as many homes as targets are needed if it takes up to this fraction of
# their requests, so that a popular part doesn't fill its homes.
HOME_FRACTION = 0.25
# How likely the homes that the share calls for hold a part, and those after them, which
# get it when the others are loaded.
HOME_LIKELY = 0.9
SPILL_LIKELY = (0.6, 0.3)


class PartMemory:
    """Remembers, up to a bound, which targets this router sent which parts lately."""

    __slots__ = ("_sent_at_by_pair",)

    def __init__(self):
        self._sent_at_by_pair: OrderedDict[tuple, float] = OrderedDict()

    def record(self, part_id: str, target_key: tuple, *, now: float) -> None:
        pair = (part_id, target_key)
        self._sent_at_by_pair[pair] = now
        self._sent_at_by_pair.move_to_end(pair)
        if len(self._sent_at_by_pair) > PAIRS_LIMIT:
            self._sent_at_by_pair.popitem(last=False)

    def likelihood(self, part_id: str, target_key: tuple, *, now: float) -> float:
        """Return how likely a target holds a part that this router sent to it."""
        sent_at = self._sent_at_by_pair.get((part_id, target_key))
        if sent_at is None:
            return 0.0
        age_s = now - sent_at
        if age_s <= HELD_AGE_S:
            return HELD_LIKELY
        return HELD_LIKELY * max(0.0, LOST_AGE_S - age_s) / (LOST_AGE_S - HELD_AGE_S)


class PartHomes:
    """The homes of a part among the targets, in rendezvous order."""

    __slots__ = ("_order_by_part",)

    def __init__(self):
        self._order_by_part: OrderedDict[str, tuple] = OrderedDict()

    def order(self, part_id: str, targets: list[Target]) -> list[Target]:
        """Return the targets in the rendezvous order of a part."""
        known = self._order_by_part.get(part_id)
        # Lists with the same objects compare in about 20 ns an element.
        if known is not None and known[0] == targets:
            self._order_by_part.move_to_end(part_id)
            return known[1]
        ordered = sorted(
            targets, key=lambda each: _score(part_id, each.id), reverse=True
        )
        self._order_by_part[part_id] = (list(targets), ordered)
        self._order_by_part.move_to_end(part_id)
        if len(self._order_by_part) > ORDERS_LIMIT:
            self._order_by_part.popitem(last=False)
        return ordered


class PartShares:
    """The share of each part in the requests of a service, as decaying counts."""

    __slots__ = ("_count_by_part", "_total_by_service")

    def __init__(self):
        self._count_by_part: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self._total_by_service: dict[str, tuple[float, float]] = {}

    def record(self, service: str, part_ids: list[str], *, now: float) -> None:
        """Count a request with these parts."""
        total = _decayed(self._total_by_service.get(service), now)
        self._total_by_service[service] = (total + 1.0, now)
        for part_id in part_ids:
            count = _decayed(self._count_by_part.get(part_id), now)
            self._count_by_part[part_id] = (count + 1.0, now)
            self._count_by_part.move_to_end(part_id)
            if len(self._count_by_part) > SHARES_LIMIT:
                self._count_by_part.popitem(last=False)

    def homes(self, service: str, part_id: str, targets: int, *, now: float) -> int:
        """Return how many homes a part needs among so many targets."""
        count = _decayed(self._count_by_part.get(part_id), now)
        total = max(1.0, _decayed(self._total_by_service.get(service), now))
        # Less the standard deviation, as few requests aren't evidence of a large share.
        share = max(0.0, count - math.sqrt(count)) / total
        needed = math.floor(share * targets / HOME_FRACTION)
        return min(targets, max(1, needed))


def home_likelihood(rank: int, homes: int) -> float:
    """Return how likely the target of a rank holds a part with so many homes."""
    if rank < homes:
        return HOME_LIKELY
    spill = rank - homes
    return SPILL_LIKELY[spill] if spill < len(SPILL_LIKELY) else 0.0


def _score(part_id: str, target_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{part_id}/{target_id}".encode())


def _decayed(entry: tuple[float, float] | None, now: float) -> float:
    if entry is None:
        return 0.0
    value, at = entry
    return value * math.exp(-(now - at) / SHARE_S)
