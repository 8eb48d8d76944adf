"""Which targets a router keeps links to."""

from collections.abc import Iterable, Mapping

import xxhash

from lavenderfold.routing._choice import Candidate


def _rank(router: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return candidates in the router's own rendezvous order."""

    def score(each: Candidate) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{router}\0{each.target}".encode()), each.target

    return sorted(candidates, key=score, reverse=True)


def _pick(
    router: str, candidates: list[Candidate], *, region: str, limit: int
) -> list[Candidate]:
    ranked = _rank(router, candidates)
    near = [each for each in ranked if each.region == region]
    far = [each for each in ranked if each.region != region]
    # A place for the other region, for when the own one fails or is full.
    reserved = 1 if far and limit > 1 else 0
    picked = near[: limit - reserved]
    return picked + far[: limit - len(picked)]


def connected_targets(
    router: str,
    candidates_by_group: Mapping[str, list[Candidate]],
    *,
    region: str,
    per_group: int,
) -> frozenset[str]:
    """Return the targets that a router keeps links to.

    Picks at most ``per_group`` of each group (model or service) by rendezvous
    hashing of router and target: each target has its share of the routers, and
    a target that is added or removed moves only the links that concern it. The
    router's own region comes first, but for one target of another one.
    """
    return frozenset(
        each.target
        for candidates in candidates_by_group.values()
        for each in _pick(router, candidates, region=region, limit=per_group)
    )
