"""How long targets usually take to begin an answer, and which answers are slow."""

# A target is slow if it takes this multiple of the usual time, and also longer than
# the latency objective, which a moderate load can't exceed.
SLOW_FACTOR = 3.0
# Weight of a newer time in the moving average. A longer time weighs less and counts as
# twice the average at most, so that an overload of some seconds isn't taken for usual.
SHORTER_WEIGHT = 0.1
LONGER_WEIGHT = 0.005
LONGER_FACTOR = 2.0
# The routes that were used longest ago are forgotten, as routes come and go with the
# configuration.
ROUTES_LIMIT = 1024


class UsualTimes:
    """Moving averages of the time until an answer begins, by the name of the route."""

    __slots__ = ("_average_by_route",)

    def __init__(self):
        self._average_by_route: dict[str, float] = {}

    def is_slow(
        self, route_name: str, duration_s: float, *, objective_s: float, size: float
    ) -> bool:
        """Return whether an answer is slow that takes ``duration_s`` to begin.

        ``size`` is that of the request, as a multiple of the mean; larger ones may
        take longer.
        """
        average_s = self._average_by_route.get(route_name)
        if average_s is None:
            return False
        bound_s = max(objective_s, SLOW_FACTOR * average_s)
        return duration_s > bound_s * max(1.0, size)

    def record(self, route_name: str, duration_s: float) -> None:
        """Record how long a target took to begin an answer."""
        average_s = self._average_by_route.pop(route_name, duration_s)
        if duration_s < average_s:
            average_s += SHORTER_WEIGHT * (duration_s - average_s)
        else:
            longer_s = min(duration_s, LONGER_FACTOR * average_s)
            average_s += LONGER_WEIGHT * (longer_s - average_s)
        self._average_by_route[route_name] = average_s
        if len(self._average_by_route) > ROUTES_LIMIT:
            del self._average_by_route[next(iter(self._average_by_route))]
