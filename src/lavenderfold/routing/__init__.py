"""Load-aware routing: choosing targets, queueing requests and limiting retries."""

from lavenderfold.routing._choice import (
    Candidate,
    Choice,
    RouteRequest,
    choose_least_outstanding,
    choose_round_robin,
    choose_target,
    has_capacity,
)
from lavenderfold.routing._load import LoadView, TargetLoad, TargetState
from lavenderfold.routing._prefix import (
    PREFIX_BLOCKS_LIMIT,
    count_tokens,
    prefix_hashes,
)
from lavenderfold.routing._queue import QueueEntry, RequestQueue
from lavenderfold.routing._retry import RetryBudget, backoff_s, router_reserve
from lavenderfold.routing._subset import connected_targets

__all__ = [
    "Candidate",
    "Choice",
    "RequestQueue",
    "LoadView",
    "PREFIX_BLOCKS_LIMIT",
    "QueueEntry",
    "RetryBudget",
    "RouteRequest",
    "TargetLoad",
    "TargetState",
    "backoff_s",
    "choose_least_outstanding",
    "choose_round_robin",
    "choose_target",
    "connected_targets",
    "count_tokens",
    "has_capacity",
    "prefix_hashes",
    "router_reserve",
]
