"""Choice of the service for a request on a route with several."""

import xxhash

from lavenderfold.fleet import Route


def pick_service(route: Route, attempt_id: str) -> str:
    """Return the service for an attempt, chosen by the weights of the route."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    remainder = xxhash.xxh64_intdigest(attempt_id.encode()) % max(1, total)
    for share in route.shares:
        remainder -= share.weight
        if remainder < 0:
            return share.service
    return route.shares[-1].service
