"""Lookup of routes, organisations and services in one configuration."""

from lavenderfold.fleet._config import FleetConfig, Organisation, Route, Service


class RouteTable:
    """Indexes of one configuration version."""

    __slots__ = (
        "config",
        "organisation_by_name",
        "service_by_name",
        "_organisation_by_key",
        "_route_by_prefix_by_host",
    )

    def __init__(self, config: FleetConfig):
        self.config = config
        self.service_by_name = {each.name: each for each in config.services}
        self.organisation_by_name = {each.name: each for each in config.organisations}
        self._organisation_by_key = {
            key: each for each in config.organisations for key in each.keys
        }
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    @property
    def version(self) -> int:
        return self.config.version

    @property
    def requires_keys(self) -> bool:
        return bool(self.config.organisations)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        by_prefix = self._route_by_prefix_by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds an API key."""
        return self._organisation_by_key.get(key)

    def service(self, name: str) -> Service | None:
        return self.service_by_name.get(name)
