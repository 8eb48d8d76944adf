"""Tells where a request would go now, without sending it.

The same selection decides as for requests. Nothing is recorded.
"""

import math
import random
import re
from collections.abc import Hashable, Set
from urllib.parse import parse_qs

import msgspec

from lavenderfold.balancing import CostedTarget
from lavenderfold.direct._load import target_key
from lavenderfold.direct._requests import CallerRequest, PromptPart, TokenDemand
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.direct._service_choice import pick_service
from lavenderfold.direct._target_selection import TargetSelection
from lavenderfold.fleet import RouteTable, Target
from lavenderfold.http import HttpRequest, HttpResponse, json_response
from lavenderfold.placement import in_regions

EXPLAIN_PATH = "/explain-route"
MS_PER_S = 1000
TOKENS = re.compile(r"[0-9]{1,9}")

_rng = random.Random()


class TargetExplanation(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One target as the router sees it.

    ``excluded`` is why it can't be chosen; a target with only "ejected", "silent" or
    "full" is used if there is no other. A cold target with a permit isn't excluded.
    ``outstanding`` are the router's own requests there.
    """

    target: str
    domain: str
    slots: int
    outstanding: int
    is_chosen: bool
    excluded: list[str] = []
    cost_ms: float | None = None
    evidence: str | None = None
    age_ms: float | None = None
    unread_tokens: int | None = None


class RouteExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request would go. Without ``target`` it would be refused.

    The choice is made among a few random candidates, so another one may differ.
    """

    route: str
    organisation: str | None
    service: str
    config_version: int
    target: str | None
    reason: str
    targets: list[TargetExplanation]


class UnknownNameError(Exception):
    """The question names a route or organisation that the router doesn't know."""

    def __init__(self, kind: str, name: str):
        super().__init__(f"the router knows no {kind} {name!r}")
        self.kind = kind


class _Question(msgspec.Struct, frozen=True, kw_only=True):
    host: str
    path: str
    organisation: str | None
    parts: tuple[PromptPart, ...]


def answer_question(
    http_request: HttpRequest, services: RouterServices, table: RouteTable | None
) -> HttpResponse:
    """Answer an operator's question, whose parameters are in the query."""
    try:
        question = _read_question(http_request.query)
    except ValueError as error:
        return _failure(400, "invalid", str(error))
    if table is None:
        return _failure(503, "not_ready", "the router has no configuration yet")
    try:
        explanation = _explain(question, services, table)
    except UnknownNameError as error:
        return _failure(404, f"unknown_{error.kind}", str(error))
    return json_response(200, explanation)


def _explain(
    question: _Question, services: RouterServices, table: RouteTable
) -> RouteExplanation:
    """Return where a request would go. Raises UnknownNameError."""
    route = table.route(question.host, question.path)
    if route is None:
        raise UnknownNameError("route", question.host + question.path)
    organisation = question.organisation
    if organisation is not None and organisation not in table.organisation_by_name:
        raise UnknownNameError("organisation", organisation)
    request = _new_request(question)
    service_name = pick_service(route, request.attempt_id)
    selection = TargetSelection(
        services=services,
        service_name=service_name,
        service=table.service(service_name),
        request=request,
        route=route,
        organisation=table.organisation_by_name.get(organisation),
    )
    choice = selection.choose()
    return RouteExplanation(
        route=route.name,
        organisation=organisation,
        service=service_name,
        config_version=table.version,
        target=None if choice is None else choice.target.id,
        reason="no_target" if choice is None else choice.reason,
        targets=_explain_targets(
            services,
            request,
            service_name,
            regions=selection.regions,
            full=selection.full_targets(),
            chosen=None if choice is None else choice.target,
        ),
    )


def _explain_targets(
    services: RouterServices,
    request: CallerRequest,
    service_name: str,
    *,
    regions: frozenset[str] | None,
    full: Set[Hashable],
    chosen: Target | None,
) -> list[TargetExplanation]:
    now = services.timers.now()
    listed = services.directory.targets()
    targets = [each for each in listed if each.service == service_name]
    costed_by_id = {}
    if services.balancing is not None and targets:
        costed = services.balancing.explain(
            targets, service_name=service_name, request=request
        )
        costed_by_id = {each.target.id: each for each in costed}
    return [
        _explain_target(
            each,
            costed_by_id.get(each.id),
            outstanding=services.load_tracker.state(each).outstanding,
            is_chosen=each == chosen,
            excluded=_exclusions(services, each, regions, full, now),
        )
        for each in sorted(targets, key=lambda each: each.id)
    ]


def _explain_target(
    target: Target,
    costed: CostedTarget | None,
    *,
    outstanding: int,
    is_chosen: bool,
    excluded: list[str],
) -> TargetExplanation:
    fields = {}
    if costed is not None:
        fields = {
            "cost_ms": round(costed.cost_s * MS_PER_S, 1),
            "evidence": costed.evidence,
            "age_ms": _rounded_ms(costed.age_s),
            "unread_tokens": round(costed.unread_tokens),
        }
    return TargetExplanation(
        target=target.id,
        domain=target.domain,
        slots=target.slots,
        outstanding=outstanding,
        is_chosen=is_chosen,
        excluded=excluded,
        **fields,
    )


def _exclusions(
    services: RouterServices,
    target: Target,
    regions: frozenset[str] | None,
    full: Set[Hashable],
    now: float,
) -> list[str]:
    load_tracker, placement = services.load_tracker, services.placement
    state = load_tracker.state(target)
    is_excluded_by_reason = {
        "draining": target.is_draining,
        "leaving": state.is_leaving,
        "pausing": state.is_pausing(now),
        "ejected": load_tracker.is_ejected(target, now=now),
        "silent": load_tracker.is_silent(target, now=now),
        "region": not in_regions([target], regions, placement.region_by_domain),
        "evacuated": target.domain in placement.evacuations.domains(),
        "cold": not placement.cold.permitted([target], now=now, rng=_rng),
        "full": target_key(target) in full,
    }
    return [reason for reason, holds in is_excluded_by_reason.items() if holds]


def _rounded_ms(duration_s: float | None) -> float | None:
    is_known = duration_s is not None and math.isfinite(duration_s)
    return round(duration_s * MS_PER_S) if is_known else None


def _read_question(query: str) -> _Question:
    """Read the query. Raises ValueError if a parameter is missing or invalid."""
    values = {name: texts[-1] for name, texts in parse_qs(query).items()}
    if not values.get("host") or not values.get("path"):
        raise ValueError("host and path are required")
    parts = []
    for entry in filter(None, values.get("parts", "").split(",")):
        part_id, separator, tokens = entry.rpartition(":")
        if not separator or TOKENS.fullmatch(tokens) is None:
            raise ValueError(f"{entry!r} is no part, expected ID:TOKENS")
        parts.append(PromptPart(part_id, int(tokens)))
    return _Question(
        host=values["host"],
        path=values["path"],
        organisation=values.get("organisation"),
        parts=tuple(parts),
    )


def _new_request(question: _Question) -> CallerRequest:
    prompt_tokens = sum(part.tokens for part in question.parts)
    return CallerRequest(
        attempt_id="explain-route",
        host=question.host,
        method="GET",
        target=question.path,
        path=question.path,
        forwarded_headers=[],
        body=b"",
        caller_timeout_s=None,
        tokens=TokenDemand(prompt_tokens, 0) if question.parts else None,
        prompt_parts=question.parts,
    )


def _failure(status: int, kind: str, message: str) -> HttpResponse:
    return json_response(status, {"error": {"type": kind, "message": message}})
