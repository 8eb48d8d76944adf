"""Lookup of routes, organisations and services in a configuration."""

from lavenderfold.fleet._config import FleetConfig, Organisation, Route, Service

# The most and the least urgent priority that targets know.
MIN_PRIORITY = 0
MAX_PRIORITY = 9


def _names_of_ordered_services(config: FleetConfig) -> frozenset[str]:
    """Return the services whose routes have different priorities."""
    priorities_by_service: dict[str, set[int]] = {}
    for route in config.routes:
        for share in route.shares:
            priorities = priorities_by_service.setdefault(share.service, set())
            priorities.add(route.priority)
    return frozenset(
        name
        for name, priorities in priorities_by_service.items()
        if len(priorities) > 1
    )


class RouteTable:
    """Indexes of one configuration version."""

    __slots__ = (
        "config",
        "organisation_by_name",
        "service_by_name",
        "ordered_service_names",
        "_organisation_by_key",
        "_route_by_prefix_by_host",
    )

    def __init__(self, config: FleetConfig):
        self.config = config
        self.service_by_name = {each.name: each for each in config.services}
        self.organisation_by_name = {each.name: each for each in config.organisations}
        self.ordered_service_names = _names_of_ordered_services(config)
        self._organisation_by_key = {
            key: each for each in config.organisations for key in each.keys
        }
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            route_by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            route_by_prefix[route.path_prefix] = route

    @property
    def version(self) -> int:
        return self.config.version

    @property
    def requires_keys(self) -> bool:
        return bool(self.config.organisations)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest path prefix that matches ``path``."""
        route_by_prefix = self._route_by_prefix_by_host.get(host)
        if route_by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds an API key."""
        return self._organisation_by_key.get(key)

    def priority(
        self, service_name: str, route: Route, organisation: Organisation | None
    ) -> int | None:
        """Return the priority of a request in a service; 0 is the most urgent.

        That of the organisation precedes that of the route. It is None if all routes of
        the service have the same priority, because requests then have no order.
        """
        if service_name not in self.ordered_service_names:
            return None
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return min(MAX_PRIORITY, max(MIN_PRIORITY, priority))

    def service(self, name: str) -> Service | None:
        return self.service_by_name.get(name)
