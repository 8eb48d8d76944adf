"""How long the targets of a route usually take to the first event of a stream."""

from lavenderfold.fleet import Route

# Weight of the newest stream in the moving average.
NEWEST_WEIGHT = 0.1
# The routes that were used longest ago are forgotten, as routes come and go with the
# configuration.
ROUTES_LIMIT = 1024


class FirstEventTimes:
    """Moving averages of the time to the first event, by the name of the route."""

    __slots__ = ("_average_by_route",)

    def __init__(self):
        self._average_by_route: dict[str, float] = {}

    def record(self, route: Route, duration_s: float) -> None:
        """Record a stream whose first event came ``duration_s`` after it was sent."""
        average_s = self._average_by_route.pop(route.name, duration_s)
        average_s += NEWEST_WEIGHT * (duration_s - average_s)
        self._average_by_route[route.name] = average_s
        if len(self._average_by_route) > ROUTES_LIMIT:
            del self._average_by_route[next(iter(self._average_by_route))]

    def usual_s(self, route: Route) -> float:
        """Return the usual time, the latency objective if no stream was recorded."""
        return self._average_by_route.get(route.name, route.latency_objective_s)
