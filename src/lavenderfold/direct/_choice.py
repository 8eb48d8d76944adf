"""The choice of a target for one attempt."""

import msgspec
import xxhash

from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.fleet import Target

# Load over the mean at which the home of a prefix passes requests on.
HOME_LOAD_FACTOR = 1.5
# Requests that a home takes whatever the mean is.
HOME_LOAD_FLOOR = 2


class Choice(msgspec.Struct, frozen=True):
    """The chosen target and the reason for the log."""

    target: Target
    reason: str


def shared_part(request: CallerRequest) -> str | None:
    """Return the deepest part of the prompt that other requests share.

    The last part belongs to the request itself.
    """
    if len(request.prompt_parts) < 2:
        return None
    return request.prompt_parts[-2].id


def _score(target: Target, part: str) -> int:
    return xxhash.xxh64_intdigest(f"{part}/{target.id}".encode())


def _home(
    candidates: list[Target], load_tracker: LoadTracker, part: str
) -> Target | None:
    """Return the first target in rendezvous order whose load is bounded."""
    total = sum(load_tracker.state(each).outstanding for each in candidates)
    mean = (total + 1) / len(candidates)
    bound = max(HOME_LOAD_FLOOR, HOME_LOAD_FACTOR * mean)
    ranked = sorted(candidates, key=lambda each: _score(each, part), reverse=True)
    for target in ranked:
        if load_tracker.state(target).outstanding < bound:
            return target
    return None


def choose_target(
    candidates: list[Target],
    load_tracker: LoadTracker,
    request: CallerRequest,
    *,
    avoid: frozenset[str],
    failure_domain: str,
    now: float,
) -> Choice | None:
    """Return the target for the next attempt, or None if there is none.

    Targets that are set aside after failures are used only if no other is left.
    """
    usable = [each for each in candidates if each.id not in avoid]
    if not usable:
        return None
    sound = [each for each in usable if not load_tracker.is_ejected(each, now=now)]
    pool = sound or usable
    part = shared_part(request)
    if part is not None:
        home = _home(pool, load_tracker, part)
        if home is not None:
            return Choice(home, "prefix")
    chosen = min(
        pool,
        key=lambda each: (
            load_tracker.state(each).outstanding / max(1, each.slots),
            each.domain != failure_domain,
            _score(each, request.attempt_id),
        ),
    )
    return Choice(chosen, "least_outstanding" if sound else "all_set_aside")
