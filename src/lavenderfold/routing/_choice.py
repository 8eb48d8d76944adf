"""Selection of a target for a request, and simpler policies used as baselines."""

import math

import msgspec
import xxhash

from lavenderfold.outcomes import NotRun, Reason
from lavenderfold.routing._load import LoadView, TargetState
from lavenderfold.routing._prefix import PREFIX_BLOCK_TOKENS

# Costs in seconds only rank targets, so only their ratios matter. Reading a prompt
# is much faster per token than generating the answer.
PREFILL_S_PER_TOKEN = 0.0002
# A full batch slows down every run in it.
FULL_BATCH_S = 0.1
CROSS_REGION_COST_S = 0.3
REGION_LINK_BYTES_PER_S = 15_000_000 / 8
ANSWER_BYTES_PER_TOKEN = 6
AFFINITY_BLOCKS = 4
# Multiple of the mean load from which a prefix's home target gets no more of the
# prefix's requests; the next target in rendezvous order gets them.
HOME_LOAD_FACTOR = 1.25
# Urgent runs are sent beyond the free slots, up to this share of the slots, so
# that an engine has work until its next report.
QUEUED_SHARE_OF_SLOTS = 0.5
# Share of all targets' slots reserved for urgent requests. Without it, requests
# that can wait fill every slot at saturation, and an urgent request has to wait
# until one of them ends.
URGENT_SHARE_OF_SLOTS = 0.1


class Candidate(msgspec.Struct, frozen=True):
    """A target that the configuration allows for a route."""

    target: str
    region: str


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a request that target selection depends on.

    ``region`` is the router's own region. ``prefixes`` holds the hashes that
    ``prefix_hashes`` returns. ``excluded_targets`` names targets that already
    refused the request. ``wait_limit_s`` limits the expected wait at the target.
    ``sequence_number`` is a counter that only the round-robin baseline uses.
    """

    region: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefixes: list[int] = msgspec.field(default_factory=list)
    excluded_targets: frozenset[str] = frozenset()
    wait_limit_s: float = math.inf
    sequence_number: int = 0


class Choice(msgspec.Struct, frozen=True):
    """The chosen target, its cost in seconds and the reason to log."""

    target: str
    cost: float
    reason: str


REASON_BY_STATE = {
    TargetState.DRAINING: Reason.DRAINING,
    TargetState.NOT_READY: Reason.NOT_READY,
    TargetState.UNREACHABLE: Reason.NO_TARGET,
}


def _usable_candidates(
    view: LoadView, candidates: list[Candidate], request: RouteRequest, now: float
) -> list[Candidate] | NotRun:
    """Return the ready candidates that aren't excluded, or why there are none."""
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


def _starts_in_time(
    view: LoadView, candidate: Candidate, request: RouteRequest
) -> bool:
    """Return whether the target is expected to start the request in time.

    A target whose token rate isn't measured yet always counts as in time: its
    expected wait is only an estimate for ranking, and refusing requests because
    of it rejected bursts at targets that had just started.
    """
    load = view.load(candidate.target)
    return not load.is_rate_measured or load.expected_wait_s() <= request.wait_limit_s


def _rendezvous_score(target: str, key: int) -> int:
    return xxhash.xxh64_intdigest(target.encode(), seed=key)


def _find_home(
    view: LoadView, usable: list[Candidate], request: RouteRequest
) -> Candidate | None:
    """Return the target that should cache the request's leading blocks.

    This is the first target in the prefix's rendezvous order whose load is below
    the bound (rendezvous hashing with bounded loads). Targets in other regions
    are considered only if the router's own region has none, because sending a
    prompt across the link between regions costs more than reading it again.
    """
    if not request.prefixes:
        return None
    local_candidates = [
        each for each in usable if each.region == request.region
    ] or usable
    key = request.prefixes[min(AFFINITY_BLOCKS, len(request.prefixes)) - 1]
    total = sum(view.load(each.target).outstanding for each in local_candidates)
    bound = math.ceil(HOME_LOAD_FACTOR * (total + 1) / len(local_candidates))
    ranked = sorted(
        local_candidates,
        key=lambda each: _rendezvous_score(each.target, key),
        reverse=True,
    )
    for candidate in ranked:
        if view.load(candidate.target).outstanding < bound:
            return candidate
    return None


def _region_crossing_s(candidate: Candidate, request: RouteRequest) -> float:
    if candidate.region == request.region:
        return 0.0
    tokens = request.prompt_tokens + request.output_tokens
    transfer_s = tokens * ANSWER_BYTES_PER_TOKEN / REGION_LINK_BYTES_PER_S
    return CROSS_REGION_COST_S + transfer_s


def _estimate_cost(
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
        # Count the prompt as cached: the home target reads it once, and later
        # requests with the same prefix find it there.
        cached_tokens = max(cached_tokens, request.prompt_tokens)
        reasons.append("home")
    prefill_s = max(0, request.prompt_tokens - cached_tokens) * PREFILL_S_PER_TOKEN
    crossing_s = _region_crossing_s(candidate, request)
    reasons.append("other-region" if crossing_s else "same-region")
    reasons.append(f"wait:{wait_s:.3f}")
    cost = wait_s + batch_s + prefill_s + crossing_s
    return Choice(target=candidate.target, cost=cost, reason=",".join(reasons))


def choose_target(
    view: LoadView, candidates: list[Candidate], request: RouteRequest, *, now: float
) -> Choice | NotRun:
    """Return the cheapest ready target, or why the request isn't run."""
    usable = _usable_candidates(view, candidates, request, now)
    if isinstance(usable, NotRun):
        return usable
    in_time = [each for each in usable if _starts_in_time(view, each, request)]
    if not in_time:
        return NotRun(
            Reason.OVERLOADED,
            f"no target starts within {request.wait_limit_s:g} s",
        )
    home = _find_home(view, in_time, request)
    choices = [_estimate_cost(view, each, request, home) for each in in_time]
    return min(choices, key=lambda choice: (choice.cost, choice.target))


def has_capacity(
    view: LoadView,
    candidates: list[Candidate],
    *,
    unsent: int,
    is_urgent: bool,
    now: float,
) -> bool:
    """Return whether the targets have capacity for one more queued request.

    ``unsent`` counts requests that have left the queue but aren't sent yet.
    Requests that aren't urgent have to leave URGENT_SHARE_OF_SLOTS free.
    """
    capacity = 0
    slots = 0
    for candidate in candidates:
        if view.state(candidate.target, now=now) is not TargetState.READY:
            continue
        load = view.load(candidate.target)
        slots += load.latest_report.slots
        queueable = math.ceil(load.latest_report.slots * QUEUED_SHARE_OF_SLOTS)
        capacity += max(0, load.free_slots + (queueable if is_urgent else 0))
    if not is_urgent:
        capacity -= math.floor(slots * URGENT_SHARE_OF_SLOTS)
    return capacity > unsent


def choose_round_robin(
    view: LoadView, candidates: list[Candidate], request: RouteRequest, *, now: float
) -> Choice | NotRun:
    """Baseline policy: return the ready targets in rotation."""
    usable = _usable_candidates(view, candidates, request, now)
    if isinstance(usable, NotRun):
        return usable
    chosen = usable[request.sequence_number % len(usable)]
    return Choice(target=chosen.target, cost=0.0, reason="round-robin")


def choose_least_outstanding(
    view: LoadView, candidates: list[Candidate], request: RouteRequest, *, now: float
) -> Choice | NotRun:
    """Baseline policy: return the ready target with the fewest outstanding runs."""
    usable = _usable_candidates(view, candidates, request, now)
    if isinstance(usable, NotRun):
        return usable
    chosen = min(
        usable, key=lambda each: (view.load(each.target).outstanding, each.target)
    )
    outstanding = view.load(chosen.target).outstanding
    return Choice(
        target=chosen.target, cost=float(outstanding), reason="least-outstanding"
    )
