"""The structs of a merged configuration.

An item's name is its key in the mapping that holds it. An unknown key in a file
is an error.
"""

import enum

import msgspec

from lavenderfold.settings import Address


class RouteKind(enum.StrEnum):
    """The kind of target that serves a route: a model engine or a plain service."""

    MODEL = "model"
    APP = "app"


class FailureDomain(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A group of VMs that can fail together."""

    region: str


class RequestClass(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The priority and time limits of a class of requests.

    Priority 0 is served first. A request that has waited ``wait_s`` seconds for
    budget and a target is refused. A request runs for at most ``run_s`` seconds.
    """

    priority: int
    wait_s: float
    run_s: float = 600.0


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A kind of request that callers may send.

    A model route sets ``model`` and the upper limit ``max_tokens``. An application
    route sets ``service``, and each call costs ``cost_tokens``. An empty list of
    organisations admits all of them.
    """

    kind: RouteKind
    request_class: str
    idempotent: bool = True
    model: str = ""
    max_tokens: int = 0
    service: str = ""
    cost_tokens: int = 0
    methods: list[str] = msgspec.field(default_factory=lambda: ["POST"])
    organisations: list[str] = msgspec.field(default_factory=list)


class Target(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A replica of models or of a service.

    Routers reach it through the agent at the address ``agent``.
    """

    kind: RouteKind
    agent: Address
    vm: str
    failure_domain: str
    models: list[str] = msgspec.field(default_factory=list)
    service: str = ""


class Budget(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Prepaid tokens that the keys of an organisation spend.

    ``prepaid`` maps the name of each payment to its tokens; a top-up adds an
    entry. ``grant_share`` is the largest share of the available tokens that one
    grant may take. ``ride_out_s`` is the length in seconds of a ledger outage that
    the tokens of open grants should cover.
    """

    prepaid: dict[str, int]
    grant_share: float = 0.125
    ride_out_s: float = 600.0

    @property
    def limit(self) -> int:
        """Return the sum of the prepaid tokens."""
        return sum(self.prepaid.values())


class ApiKey(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An API key and the budget that it spends from.

    Only the SHA-256 of the key's text is stored.
    """

    sha256: str
    budget: str


class Organisation(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An organisation that calls the fleet.

    A key's text is ``ORGANISATION.SECRET``, so that the organisation is known
    before the key is looked up. ``weight`` determines the organisation's share of
    the tokens that targets process when requests of several organisations queue.
    """

    keys: dict[str, ApiKey] = msgspec.field(default_factory=dict)
    budgets: dict[str, Budget] = msgspec.field(default_factory=dict)
    weight: float = 1.0


class FleetConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The whole merged configuration of one revision."""

    failure_domains: dict[str, FailureDomain] = msgspec.field(default_factory=dict)
    request_classes: dict[str, RequestClass] = msgspec.field(default_factory=dict)
    routes: dict[str, Route] = msgspec.field(default_factory=dict)
    targets: dict[str, Target] = msgspec.field(default_factory=dict)
    organisations: dict[str, Organisation] = msgspec.field(default_factory=dict)
