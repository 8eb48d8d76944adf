"""The fleet's configuration as typed values."""

import enum

import msgspec


class RepeatPolicy(enum.Enum):
    """Whether a request that may have run may be run again.

    A STREAM may be run again only if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    SINGLE_RUN = "single_run"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and the weight of its part of a route's requests."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests for one host and path prefix are routed. Times are in seconds.

    ``priority`` 0 is the most urgent. ``is_public`` routes need no API key. After
    ``patience_s`` without an event, also before the first one, callers abandon a
    stream; None if they wait until their deadline. Without ``allowed_regions`` its
    requests may be served anywhere.
    """

    name: str
    host: str
    path_prefix: str
    repeat_policy: RepeatPolicy
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    latency_objective_s: float
    pause_limit_s: float = 0.0
    patience_s: float | None = None
    priority: int = 0
    attempt_limit: int = 1
    is_public: bool = False
    is_resumable: bool = False
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be run again."""
        if self.repeat_policy is RepeatPolicy.STREAM:
            return self.is_resumable
        return self.repeat_policy is RepeatPolicy.IDEMPOTENT


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A set of interchangeable targets.

    ``tokens_per_event`` is the number of output tokens in one stream event. A target
    is cold for ``warm_up_s`` seconds after its start, and may get ``warm_up_rate``
    requests per second from all routers together in that time.
    """

    name: str
    connection_limit: int
    health_path: str = ""
    tokens_per_event: int = 0
    cache_capacity_tokens: int = 0
    warm_up_s: float = 0.0
    warm_up_rate: float = 0.0

    @property
    def is_model(self) -> bool:
        return self.tokens_per_event > 0


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """A prepaid customer. Without ``limit_tokens`` its spending is unlimited.

    Without ``allowed_regions`` its requests may be served anywhere.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    limit_tokens: int | None = None
    allowed_regions: frozenset[str] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on callers' requests and connections."""

    header_bytes: int = 32768
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """A complete configuration. A higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits
