"""Checks of a merged configuration: value ranges and references between items."""

import math
import re
from collections.abc import Iterator

import msgspec

from lavenderfold.config._model import (
    Budget,
    FleetConfig,
    Organisation,
    Route,
    RouteKind,
    Target,
)

KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
METHOD_PATTERN = re.compile(r"[A-Z]+")

# Token amounts are encoded as signed 64-bit integers in messages.
MAX_TOKEN_COUNT = 2**63 - 1


class ConfigFault(msgspec.Struct, frozen=True):
    """A configured value that fails a check.

    ``path`` holds the keys that lead to the value; ``expected`` says what was
    expected of it.
    """

    path: tuple[str, ...]
    expected: str


def check_config(config: FleetConfig) -> Iterator[ConfigFault]:
    """Yield each value of a merged configuration that is not acceptable."""
    for name, domain in config.failure_domains.items():
        if not domain.region:
            yield ConfigFault(("failure_domains", name, "region"), "expected a region")
    yield from _check_request_classes(config)
    for name, route in config.routes.items():
        yield from _check_route(config, name, route)
    yield from _check_targets(config)
    for name, organisation in config.organisations.items():
        yield from _check_organisation(name, organisation)


def find_warnings(config: FleetConfig) -> list[str]:
    """Return warnings about settings that are valid but probably mistakes."""
    warnings = []
    for name, organisation in config.organisations.items():
        if not organisation.keys:
            warnings.append(f"organisations.{name}: has no key, so it can't call")
        used = {key.budget for key in organisation.keys.values()}
        for budget in organisation.budgets:
            if organisation.keys and budget not in used:
                path = f"organisations.{name}.budgets.{budget}"
                warnings.append(f"{path}: no key uses this budget")
    return warnings


def _check_positive(path: tuple[str, ...], value: float) -> Iterator[ConfigFault]:
    if not (math.isfinite(value) and value > 0):
        yield ConfigFault(path, f"expected a number above 0, got {value}")


def _check_positive_tokens(path: tuple[str, ...], value: int) -> Iterator[ConfigFault]:
    if not 1 <= value <= MAX_TOKEN_COUNT:
        yield ConfigFault(path, f"expected 1 to {MAX_TOKEN_COUNT} tokens, got {value}")


def _check_not_negative(path: tuple[str, ...], value: int) -> Iterator[ConfigFault]:
    if not 0 <= value <= MAX_TOKEN_COUNT:
        yield ConfigFault(path, f"expected 0 to {MAX_TOKEN_COUNT}, got {value}")


def _check_one_of(
    path: tuple[str, ...], value: str, valid_names
) -> Iterator[ConfigFault]:
    if value not in valid_names:
        names = ", ".join(sorted(valid_names)) or "none, because none is defined"
        yield ConfigFault(path, f"expected one of {names}, got {value!r}")


def _check_request_classes(config: FleetConfig) -> Iterator[ConfigFault]:
    for name, request_class in config.request_classes.items():
        path = ("request_classes", name)
        yield from _check_not_negative((*path, "priority"), request_class.priority)
        yield from _check_positive((*path, "wait_s"), request_class.wait_s)
        yield from _check_positive((*path, "run_s"), request_class.run_s)


def _check_route(config: FleetConfig, name: str, route: Route) -> Iterator[ConfigFault]:
    path = ("routes", name)
    valid_names = config.request_classes
    yield from _check_one_of((*path, "request_class"), route.request_class, valid_names)
    for organisation in route.organisations:
        valid_names = config.organisations
        yield from _check_one_of((*path, "organisations"), organisation, valid_names)
    yield from _check_not_negative((*path, "cost_tokens"), route.cost_tokens)
    if not route.methods:
        yield ConfigFault((*path, "methods"), "expected at least one method")
    for method in route.methods:
        if not METHOD_PATTERN.fullmatch(method):
            expected = f"expected a method in capitals, got {method!r}"
            yield ConfigFault((*path, "methods"), expected)
    if route.kind is RouteKind.MODEL:
        yield from _check_model_route(config, path, route)
    else:
        yield from _check_app_route(config, path, route)


def _check_model_route(
    config: FleetConfig, path: tuple[str, ...], route: Route
) -> Iterator[ConfigFault]:
    yield from _check_positive_tokens((*path, "max_tokens"), route.max_tokens)
    if route.service:
        yield ConfigFault((*path, "service"), "expected no service on a model route")
    if not route.model:
        yield ConfigFault((*path, "model"), "expected the name of a model")
    elif not any(route.model in target.models for target in config.targets.values()):
        yield ConfigFault(
            (*path, "model"), f"expected a target that has {route.model!r}"
        )


def _check_app_route(
    config: FleetConfig, path: tuple[str, ...], route: Route
) -> Iterator[ConfigFault]:
    if route.model or route.max_tokens:
        expected = "expected neither model nor max_tokens on an app route"
        yield ConfigFault(path, expected)
    if not route.service:
        yield ConfigFault((*path, "service"), "expected the name of a service")
    elif not any(route.service == target.service for target in config.targets.values()):
        expected = f"expected a target that has {route.service!r}"
        yield ConfigFault((*path, "service"), expected)


def _check_targets(config: FleetConfig) -> Iterator[ConfigFault]:
    name_by_address = {}
    for name, target in config.targets.items():
        path = ("targets", name)
        valid_names = config.failure_domains
        yield from _check_one_of(
            (*path, "failure_domain"), target.failure_domain, valid_names
        )
        yield from _check_target_kind(path, target)
        if not target.vm:
            yield ConfigFault((*path, "vm"), "expected the name of a VM")
        if target.agent.port == 0:
            yield ConfigFault((*path, "agent"), "expected a port above 0")
        other_name = name_by_address.setdefault(target.agent, name)
        if other_name != name:
            expected = (
                f"expected an address of its own; {target.agent} is already "
                f"{other_name}'s"
            )
            yield ConfigFault((*path, "agent"), expected)


def _check_target_kind(path: tuple[str, ...], target: Target) -> Iterator[ConfigFault]:
    if target.kind is RouteKind.MODEL:
        if not target.models or not all(target.models):
            yield ConfigFault((*path, "models"), "expected the names of its models")
        if target.service:
            yield ConfigFault(
                (*path, "service"), "expected no service on a model target"
            )
        return
    if not target.service:
        yield ConfigFault((*path, "service"), "expected the name of its service")
    if target.models:
        yield ConfigFault((*path, "models"), "expected no models on an app target")


def _check_organisation(name: str, organisation: Organisation) -> Iterator[ConfigFault]:
    path = ("organisations", name)
    yield from _check_positive((*path, "weight"), organisation.weight)
    name_by_hash = {}
    for key_name, key in organisation.keys.items():
        key_path = (*path, "keys", key_name)
        if not KEY_HASH_PATTERN.fullmatch(key.sha256):
            expected = "expected a SHA-256 of 64 lower-case hexadecimal digits"
            yield ConfigFault((*key_path, "sha256"), expected)
        yield from _check_one_of(
            (*key_path, "budget"), key.budget, organisation.budgets
        )
        other_name = name_by_hash.setdefault(key.sha256, key_name)
        if other_name != key_name:
            yield ConfigFault(
                (*key_path, "sha256"), f"expected a key other than {other_name}'s"
            )
    for budget_name, budget in organisation.budgets.items():
        yield from _check_budget((*path, "budgets", budget_name), budget)


def _check_budget(path: tuple[str, ...], budget: Budget) -> Iterator[ConfigFault]:
    for payment, tokens in budget.prepaid.items():
        yield from _check_positive_tokens((*path, "prepaid", payment), tokens)
    if budget.limit > MAX_TOKEN_COUNT:
        expected = f"expected at most {MAX_TOKEN_COUNT} tokens in all"
        yield ConfigFault((*path, "prepaid"), expected)
    if not 0 < budget.grant_share <= 1:
        expected = f"expected a share above 0 and up to 1, got {budget.grant_share}"
        yield ConfigFault((*path, "grant_share"), expected)
    yield from _check_positive((*path, "ride_out_s"), budget.ride_out_s)
