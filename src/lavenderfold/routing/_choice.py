"""The choice of a target for one request, and baselines to measure it against."""

import math

import msgspec
import xxhash

from lavenderfold.outcomes import NotRun, Reason
from lavenderfold.routing._load import LoadView, TargetState
from lavenderfold.routing._prefix import PREFIX_BLOCK_TOKENS

# Prompts are read far faster than answers are written. The costs need only be
# right against each other, since they rank targets.
PREFILL_S_PER_TOKEN = 0.0002
# A full batch makes every run in it slower.
FULL_BATCH_S = 0.1
REGION_COST_S = 0.3
REGION_LINK_BYTES_PER_S = 15_000_000 / 8
ANSWER_BYTES_PER_TOKEN = 6
AFFINITY_BLOCKS = 4
# Load above the mean at which a prefix's home target passes requests on.
HOME_LOAD_FACTOR = 1.25
# Runs beyond the slots that keep an engine busy between two reports.
QUEUED_SHARE_OF_SLOTS = 0.5
# Slots of all targets together that only urgent requests may take. Without them
# requests that may wait fill every slot at saturation, and an urgent one waits
# until one of those ends.
URGENT_SHARE_OF_SLOTS = 0.1


class Candidate(msgspec.Struct, frozen=True):
    """A target that the configuration permits for a route."""

    target: str
    region: str


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What the choice needs to know about a request.

    ``region`` is the router's own. ``avoid`` names targets that already
    refused the request. ``wait_limit_s`` bounds the wait at the target.
    ``turn`` is a counter that only the round robin baseline uses.
    """

    region: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefixes: list[int] = msgspec.field(default_factory=list)
    excluded_targets: frozenset[str] = frozenset()
    wait_limit_s: float = math.inf
    sequence_number: int = 0


class Choice(msgspec.Struct, frozen=True):
    """The chosen target, its cost in seconds and the reason for the log."""

    target: str
    cost: float
    reason: str


REASON_BY_STATE = {
    TargetState.DRAINING: Reason.DRAINING,
    TargetState.NOT_READY: Reason.NOT_READY,
    TargetState.UNREACHABLE: Reason.NO_TARGET,
}


def _usable(
    view: LoadView, candidates: list[Candidate], request: RouteRequest, now: float
) -> list[Candidate] | NotRun:
    """Return the candidates that may be given the request, or why there are none."""
    states = [view.state(candidate.target, now=now) for candidate in candidates]
    ready = [
        candidate
        for candidate, state in zip(candidates, states, strict=True)
        if state is TargetState.READY
    ]
    usable = [each for each in ready if each.target not in request.excluded_targets]
    if usable:
        return usable
    if ready:
        return NotRun(Reason.OVERLOADED, "every ready target refused the request")
    for state in (TargetState.NOT_READY, TargetState.DRAINING):
        if state in states:
            return NotRun(REASON_BY_STATE[state], f"targets are {state.value}")
    return NotRun(Reason.NO_TARGET, "no target of the route is reachable")


def _is_within(view: LoadView, candidate: Candidate, request: RouteRequest) -> bool:
    """Return whether the target isn't known to start the request too late.

    The wait of a target whose rate isn't measured yet is only a guess that ranks
    it. Refusing by that guess turned away bursts at targets that had just started.
    """
    load = view.load(candidate.target)
    return not load.is_rate_measured or load.expected_wait_s() <= request.wait_limit_s


def _rendezvous_score(target: str, key: int) -> int:
    return xxhash.xxh64_intdigest(target.encode(), seed=key)


def _home(
    view: LoadView, usable: list[Candidate], request: RouteRequest
) -> Candidate | None:
    """Return the target whose cache should hold the request's leading blocks.

    The first target in rendezvous order with less than the bounded load; the
    router's own region comes first, because a prompt that crosses the link
    costs more than reading it again.
    """
    if not request.prefixes:
        return None
    local = [each for each in usable if each.region == request.region] or usable
    key = request.prefixes[min(AFFINITY_BLOCKS, len(request.prefixes)) - 1]
    total = sum(view.load(each.target).outstanding for each in local)
    bound = math.ceil(HOME_LOAD_FACTOR * (total + 1) / len(local))
    ranked = sorted(
        local, key=lambda each: _rendezvous_score(each.target, key), reverse=True
    )
    for candidate in ranked:
        if view.load(candidate.target).outstanding < bound:
            return candidate
    return None


def _crossing_s(candidate: Candidate, request: RouteRequest) -> float:
    if candidate.region == request.region:
        return 0.0
    tokens = request.prompt_tokens + request.output_tokens
    transfer_s = tokens * ANSWER_BYTES_PER_TOKEN / REGION_LINK_BYTES_PER_S
    return REGION_COST_S + transfer_s


def _cost(
    view: LoadView, candidate: Candidate, request: RouteRequest, home: Candidate | None
) -> Choice:
    load = view.load(candidate.target)
    wait_s = load.expected_wait_s()
    batch_s = FULL_BATCH_S * min(
        1.0, load.outstanding / max(1, load.latest_report.slots)
    )
    cached_tokens = load.count_cached_blocks(request.prefixes) * PREFIX_BLOCK_TOKENS
    reasons = []
    if cached_tokens:
        reasons.append(f"cached:{cached_tokens}")
    if candidate is home:
        # The home pays for reading the prompt once and saves it from then on.
        cached_tokens = max(cached_tokens, request.prompt_tokens)
        reasons.append("home")
    prefill_s = max(0, request.prompt_tokens - cached_tokens) * PREFILL_S_PER_TOKEN
    crossing_s = _crossing_s(candidate, request)
    reasons.append("other-region" if crossing_s else "same-region")
    reasons.append(f"wait:{wait_s:.3f}")
    cost = wait_s + batch_s + prefill_s + crossing_s
    return Choice(target=candidate.target, cost=cost, reason=",".join(reasons))


def choose_target(
    view: LoadView, candidates: list[Candidate], request: RouteRequest, *, now: float
) -> Choice | NotRun:
    """Return the cheapest ready target, or why the request isn't run."""
    usable = _usable(view, candidates, request, now)
    if isinstance(usable, NotRun):
        return usable
    within = [each for each in usable if _is_within(view, each, request)]
    if not within:
        return NotRun(
            Reason.OVERLOADED, f"no target starts within {request.wait_limit_s:g} s"
        )
    home = _home(view, within, request)
    choices = [_cost(view, each, request, home) for each in within]
    return min(choices, key=lambda choice: (choice.cost, choice.target))


def has_capacity(
    view: LoadView,
    candidates: list[Candidate],
    *,
    unsent: int,
    is_urgent: bool,
    now: float,
) -> bool:
    """Return whether a queued request should be sent to the targets now.

    ``reserved`` counts requests that left the queue and weren't sent yet. A
    request that isn't urgent leaves URGENT_SHARE_OF_SLOTS free.
    """
    room = 0
    slots = 0
    for candidate in candidates:
        if view.state(candidate.target, now=now) is not TargetState.READY:
            continue
        load = view.load(candidate.target)
        slots += load.latest_report.slots
        spare = math.ceil(load.latest_report.slots * QUEUED_SHARE_OF_SLOTS)
        room += max(0, load.free_slots + (spare if is_urgent else 0))
    if not is_urgent:
        room -= math.floor(slots * URGENT_SHARE_OF_SLOTS)
    return room > unsent


def choose_round_robin(
    view: LoadView, candidates: list[Candidate], request: RouteRequest, *, now: float
) -> Choice | NotRun:
    """Baseline: take the ready targets in turn."""
    usable = _usable(view, candidates, request, now)
    if isinstance(usable, NotRun):
        return usable
    chosen = usable[request.sequence_number % len(usable)]
    return Choice(target=chosen.target, cost=0.0, reason="round-robin")


def choose_least_outstanding(
    view: LoadView, candidates: list[Candidate], request: RouteRequest, *, now: float
) -> Choice | NotRun:
    """Baseline: take the ready target with the fewest outstanding runs."""
    usable = _usable(view, candidates, request, now)
    if isinstance(usable, NotRun):
        return usable
    chosen = min(
        usable, key=lambda each: (view.load(each.target).outstanding, each.target)
    )
    outstanding = view.load(chosen.target).outstanding
    return Choice(
        target=chosen.target, cost=float(outstanding), reason="least-outstanding"
    )
