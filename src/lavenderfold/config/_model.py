"""The merged configuration as typed structs.

The names of items are the keys of the mappings that hold them. An unknown key
in a file is an error.
"""

import enum

import msgspec

from lavenderfold.settings import Address


class RouteKind(enum.StrEnum):
    """What kind of target serves a route."""

    MODEL = "model"
    APP = "app"


class FailureDomain(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """VMs that can fail together."""

    region: str


class RequestClass(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """How urgent requests are.

    Priority 0 is served first. A request waits at most ``wait_s`` for budget
    and a target before it's refused, and runs at most ``run_s``.
    """

    priority: int
    wait_s: float
    run_s: float = 600.0


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A kind of request that callers may send.

    A model route names ``model`` and bounds ``max_tokens``; an application
    route names ``service`` and costs ``cost_tokens`` for each call. An empty
    list of organisations admits all.
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
    """A replica of a model or service, reached through its agent."""

    kind: RouteKind
    agent: Address
    vm: str
    failure_domain: str
    models: list[str] = msgspec.field(default_factory=list)
    service: str = ""


class Budget(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Prepaid tokens by the name of the payment; a top-up adds an entry.

    ``grant_share`` is the largest part of the available tokens that one grant
    takes; ``ride_out_s`` is the outage that grants should cover.
    """

    prepaid: dict[str, int]
    grant_share: float = 0.125
    ride_out_s: float = 600.0

    @property
    def limit(self) -> int:
        """Return the prepaid tokens in all."""
        return sum(self.prepaid.values())


class ApiKey(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A caller's key, kept as the SHA-256 of its text, and its budget."""

    sha256: str
    budget: str


class Organisation(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An organisation that calls the fleet.

    A key's text is ``ORGANISATION.SECRET``, so that the organisation is known
    before the key is looked up. ``weight`` is its share under contention.
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
