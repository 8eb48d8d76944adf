"""Choice of the target for one attempt.

Requests that share a prompt prefix go to the same target, its home, by rendezvous
hashing with bounded loads. Others go to the target with the least load. Both are
replaced by the expected cost where that is enabled.
"""

from collections.abc import Callable, Set

import msgspec
import xxhash

from lavenderfold.balancing import CostedTarget
from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.fleet import Target

# The home of a prefix takes requests up to this multiple of the mean load, then the
# next target in rendezvous order takes them.
HOME_LOAD_FACTOR = 1.5
# Requests that a home takes even if the mean load is lower.
HOME_LOAD_MIN = 2


class TargetChoice(msgspec.Struct, frozen=True):
    """A chosen target, and the reason of the choice as logged.

    ``is_last_resort`` means that all targets have failed lately or stand still.
    ``costed`` is the target with its cost, if that decided.
    """

    target: Target
    reason: str
    is_last_resort: bool = False
    costed: CostedTarget | None = None


def shared_prefix_id(request: CallerRequest) -> str | None:
    """Return the id of the longest prompt prefix that other requests may share."""
    part_ids = request.shared_part_ids
    return part_ids[-1] if part_ids else None


def _rendezvous_score(target: Target, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}/{target.id}".encode())


def _home_target(
    candidates: list[Target], load_tracker: LoadTracker, prefix_id: str
) -> Target | None:
    """Return the first target in rendezvous order whose load is below the bound."""
    total = sum(load_tracker.state(each).outstanding for each in candidates)
    mean = (total + 1) / len(candidates)
    bound = max(HOME_LOAD_MIN, HOME_LOAD_FACTOR * mean)
    ranked = sorted(
        candidates, key=lambda each: _rendezvous_score(each, prefix_id), reverse=True
    )
    for target in ranked:
        if load_tracker.state(target).outstanding < bound:
            return target
    return None


def _with_recent_signs(
    targets: list[Target], load_tracker: LoadTracker, *, now: float
) -> list[Target]:
    """Return the targets that sent something lately, or all if none did."""
    return [
        each for each in targets if load_tracker.has_recent_sign(each, now=now)
    ] or targets


def _least_loaded(
    targets: list[Target],
    load_tracker: LoadTracker,
    request: CallerRequest,
    failure_domain: str,
) -> Target:
    return min(
        targets,
        key=lambda each: (
            load_tracker.state(each).outstanding / max(1, each.slots),
            each.domain != failure_domain,
            _rendezvous_score(each, request.attempt_id),
        ),
    )


def choose_target(
    candidates: list[Target],
    load_tracker: LoadTracker,
    request: CallerRequest,
    *,
    avoid: Set[str],
    failure_domain: str,
    now: float,
    choose_by_cost: Callable[[list[Target]], CostedTarget] | None = None,
) -> TargetChoice | None:
    """Return the target for the next attempt, or None if there is none.

    Targets that were ejected after failures, or that stand still, are used only if no
    other is left, those that leave or pause never. ``choose_by_cost``, if it is given,
    chooses among those that are left.
    """
    available = load_tracker.available(candidates, now=now)
    usable = [each for each in available if each.id not in avoid]
    if not usable:
        return None
    healthy = [each for each in usable if not load_tracker.is_ejected(each, now=now)]
    responsive = [each for each in healthy if not load_tracker.is_silent(each, now=now)]
    if len(usable) < len(available):
        # A target that this request was sent to has failed or stands still. Others that
        # got no request lately may stand still as well.
        responsive = _with_recent_signs(responsive, load_tracker, now=now)
    pool = responsive or healthy or usable
    if choose_by_cost is not None:
        costed = choose_by_cost(pool)
        reason = costed.evidence if responsive else "all_set_aside"
        return TargetChoice(costed.target, reason, not responsive, costed)
    prefix_id = shared_prefix_id(request)
    if prefix_id is not None:
        home = _home_target(pool, load_tracker, prefix_id)
        if home is not None:
            return TargetChoice(home, "prefix", not responsive)
    chosen = _least_loaded(pool, load_tracker, request, failure_domain)
    reason = "least_outstanding" if responsive else "all_set_aside"
    return TargetChoice(chosen, reason, not responsive)
