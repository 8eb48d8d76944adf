"""Validation of callers' requests, without I/O."""

import hashlib
import secrets
from urllib.parse import unquote

import msgspec

from lavenderfold.config import FleetConfig, RequestClass, Route, RouteKind
from lavenderfold.decoding import decode_json
from lavenderfold.http import HttpRequest
from lavenderfold.identifiers import (
    BudgetKey,
    RequestKey,
    make_request_id,
    request_id_time,
)
from lavenderfold.router._prompt_guard import prompt_part_ids
from lavenderfold.router._refusals import RefusedError, request_error
from lavenderfold.routing import count_tokens, prefix_hashes

COMPLETIONS_PATH = "/v1/completions"
APPS_PREFIX = "/v1/apps/"
REQUEST_ID_BITS = 74
# Request ids with a time further in the future than this are refused, because they
# would stay inside the retention window for too long.
CLOCK_SKEW_S = 60.0


class CompletionBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON body of a completion request."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool = False


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A validated request.

    ``worst_case`` is the largest number of tokens that the request can use.
    ``prefixes`` holds the hashes of the prompt's leading blocks.
    """

    key: RequestKey
    route_name: str
    route: Route
    request_class: RequestClass
    weight: float
    worst_case: int
    fingerprint: str
    prompt: str = ""
    prompt_tokens: int = 0
    prefixes: list[int] = msgspec.field(default_factory=list)
    max_tokens: int = 0
    stream: bool = False
    method: str = ""
    path: str = ""
    content_type: str = ""
    body: bytes = b""

    @property
    def request_id(self) -> str:
        return self.key.request_id

    @property
    def organisation(self) -> str:
        return self.key.budget.organisation

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """The ids of the prompt's beginnings that other requests may share."""
        return prompt_part_ids(self.route.model, self.prefixes)

    def without_content(self) -> "CallerRequest":
        """Return the request without its prompt, prefixes and body, to save memory."""
        return msgspec.structs.replace(self, prompt="", prefixes=[], body=b"")


class RequestValidator:
    """Converts HTTP requests to validated caller requests."""

    def __init__(self, *, request_age_s: float):
        self._request_age_s = request_age_s

    def validate(
        self,
        config: FleetConfig,
        budget: BudgetKey,
        http_request: HttpRequest,
        *,
        unix_time: float,
    ) -> CallerRequest:
        """Return the caller request for a completion or an application call.

        Raises RefusedError if the HTTP request is invalid.
        """
        if http_request.path == COMPLETIONS_PATH:
            return self._completion(config, budget, http_request, unix_time)
        return self._application(config, budget, http_request, unix_time)

    def _completion(
        self,
        config: FleetConfig,
        budget: BudgetKey,
        http_request: HttpRequest,
        unix_time: float,
    ) -> CallerRequest:
        if http_request.method != "POST":
            raise request_error("use POST", status=405, kind="method_not_allowed")
        try:
            body = decode_json(http_request.body, CompletionBody)
        except msgspec.DecodeError as error:
            raise request_error(f"body: {error}") from error
        route = find_route(config, budget, body.model, RouteKind.MODEL)
        if not 1 <= body.max_tokens <= route.max_tokens:
            raise request_error(f"max_tokens must be from 1 to {route.max_tokens}")
        prompt_tokens = count_tokens(body.prompt)
        if prompt_tokens == 0:
            raise request_error("prompt holds no tokens")
        return CallerRequest(
            **self._common_fields(
                config, budget, http_request, body.model, route, unix_time
            ),
            worst_case=prompt_tokens + body.max_tokens,
            prompt=body.prompt,
            prompt_tokens=prompt_tokens,
            prefixes=prefix_hashes(body.prompt),
            max_tokens=body.max_tokens,
            stream=body.stream,
        )

    def _application(
        self,
        config: FleetConfig,
        budget: BudgetKey,
        http_request: HttpRequest,
        unix_time: float,
    ) -> CallerRequest:
        name, _, app_path = http_request.target.removeprefix(APPS_PREFIX).partition("/")
        route = find_route(config, budget, name.partition("?")[0], RouteKind.APP)
        if http_request.method not in route.methods:
            raise request_error(
                f"use {' or '.join(route.methods)}",
                status=405,
                kind="method_not_allowed",
            )
        segments = unquote(app_path.partition("?")[0]).replace("\\", "/").split("/")
        if ".." in segments:
            raise request_error("the path must not contain '..'")
        return CallerRequest(
            **self._common_fields(config, budget, http_request, name, route, unix_time),
            worst_case=route.cost_tokens,
            method=http_request.method,
            path=f"/{app_path}",
            content_type=http_request.header("content-type") or "",
            body=http_request.body,
        )

    def _common_fields(
        self,
        config: FleetConfig,
        budget: BudgetKey,
        http_request: HttpRequest,
        route_name: str,
        route: Route,
        unix_time: float,
    ) -> dict:
        given_id = http_request.header("idempotency-key")
        if given_id is None and not route.idempotent:
            raise request_error(
                f"route {route_name} needs the header Idempotency-Key",
                kind="missing_request_id",
            )
        if given_id is not None:
            self._validate_id(given_id, unix_time)
        request_id = given_id or make_request_id(
            unix_time=unix_time, random_bits=secrets.randbits(REQUEST_ID_BITS)
        )
        return {
            "key": RequestKey(budget, request_id),
            "route_name": route_name,
            "route": route,
            "request_class": config.request_classes[route.request_class],
            "weight": config.organisations[budget.organisation].weight,
            "fingerprint": _fingerprint(http_request),
        }

    def _validate_id(self, request_id: str, unix_time: float) -> None:
        created = request_id_time(request_id)
        if created.is_err():
            raise request_error(str(created.err()))
        age_s = unix_time - created.unwrap()
        if age_s > self._request_age_s:
            raise RefusedError(
                status=400,
                kind="request_too_old",
                message=f"the request id is {age_s:.0f} s old",
                request_id=request_id,
            )
        if age_s < -CLOCK_SKEW_S:
            raise request_error("the request id lies in the future")


def _fingerprint(http_request: HttpRequest) -> str:
    """Return a digest that is equal only for calls with the same content."""
    parts = (
        http_request.method.encode(),
        http_request.target.encode("utf-8", "surrogateescape"),
        http_request.body,
    )
    return hashlib.sha256(b"\n".join(parts)).hexdigest()


def find_route(
    config: FleetConfig, budget: BudgetKey, name: str, kind: RouteKind
) -> Route:
    """Return a route that the organisation may use.

    Raises RefusedError otherwise. The error for a route of other organisations is
    the same as for an unknown route, so that it doesn't reveal the route's name.
    """
    route = config.routes.get(name)
    is_allowed = route is not None and (
        not route.organisations or budget.organisation in route.organisations
    )
    if not is_allowed or route.kind is not kind:
        raise request_error(
            f"route {name!r} does not exist", status=404, kind="unknown_route"
        )
    return route


def serves_route(route: Route, target) -> bool:
    """Return whether a configured target can serve a route."""
    if target.kind is not route.kind:
        return False
    if route.kind is RouteKind.MODEL:
        return route.model in target.models
    return route.service == target.service
