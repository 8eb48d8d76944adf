"""One version of the fleet's configuration, as typed values."""

import enum

import msgspec


class RepeatPolicy(enum.Enum):
    """What may be run more than once."""

    IDEMPOTENT = "idempotent"
    SINGLE_RUN = "single_run"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service that takes a part of a route's requests."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where requests of one host and path prefix go. Times are in seconds.

    ``priority`` 0 is the most urgent. ``is_public`` routes need no key.
    """

    name: str
    host: str
    path_prefix: str
    repeat_policy: RepeatPolicy
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    latency_objective_s: float
    pause_limit_s: float = 0.0
    priority: int = 0
    attempt_limit: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be run again."""
        if self.repeat_policy is RepeatPolicy.STREAM:
            return self.is_resumable
        return self.repeat_policy is RepeatPolicy.IDEMPOTENT


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A set of interchangeable targets.

    ``tokens_per_event`` is the number of output tokens in one stream event.
    """

    name: str
    connection_limit: int
    health_path: str = ""
    tokens_per_event: int = 0
    cache_capacity_tokens: int = 0

    @property
    def is_model(self) -> bool:
        return self.tokens_per_event > 0


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """A prepaid customer; without ``limit_tokens`` its spending isn't limited."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    limit_tokens: int | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send. Sizes are in bytes, times in seconds."""

    header_bytes: int = 32768
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """A whole configuration; a higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits
