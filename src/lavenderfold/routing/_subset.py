"""Selection of the targets that a router keeps links to."""

from collections.abc import Iterable, Mapping

import xxhash

from lavenderfold.routing._choice import Candidate


def _rank_candidates(router: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return candidates in the order of their rendezvous hashes for the router."""

    def score(each: Candidate) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{router}\0{each.target}".encode()), each.target

    return sorted(candidates, key=score, reverse=True)


def _select(
    router: str, candidates: list[Candidate], *, region: str, limit: int
) -> list[Candidate]:
    ranked = _rank_candidates(router, candidates)
    same_region = [each for each in ranked if each.region == region]
    other_regions = [each for each in ranked if each.region != region]
    # Keep one link to another region, for when this region fails or is full.
    reserved_for_other_regions = 1 if other_regions and limit > 1 else 0
    selected = same_region[: limit - reserved_for_other_regions]
    return selected + other_regions[: limit - len(selected)]


def connected_targets(
    router: str,
    candidates_by_group: Mapping[str, list[Candidate]],
    *,
    region: str,
    per_group: int,
) -> frozenset[str]:
    """Return the targets that a router keeps links to.

    Selects at most ``per_group`` targets of each group (model or service) by
    rendezvous hashing of router and target. This spreads the routers over the
    targets, and adding or removing a target changes only the links that involve
    it. Targets in the router's own region come first, except that one place is
    kept for a target in another region.
    """
    return frozenset(
        each.target
        for candidates in candidates_by_group.values()
        for each in _select(router, candidates, region=region, limit=per_group)
    )
