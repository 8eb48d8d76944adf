"""The HTTP interface for callers."""

import logging
from collections.abc import Callable

from lavenderfold.config import RouteKind
from lavenderfold.http import HttpRequest, ResponseWriter, json_response
from lavenderfold.identifiers import BudgetKey, RequestKey, request_id_time
from lavenderfold.logs import log_event
from lavenderfold.outcomes import MayHaveRun, NotRun, Ran, Reason
from lavenderfold.router._answer_relay import AnswerRelay, AnswerSource, targets_of
from lavenderfold.router._answers import AnswerPipe
from lavenderfold.router._api_keys import check_key
from lavenderfold.router._formats import (
    EVENT_STREAM_HEADERS,
    EventEncoder,
    application_response,
    completion_response,
    last_event_offset,
)
from lavenderfold.router._refusals import (
    AlreadyRan,
    RefusedError,
    bad_request,
    error_response,
    refusal_of,
    unknown_request,
)
from lavenderfold.router._request_execution import RequestExecution
from lavenderfold.router._request_registry import RequestRegistry, RequestStateReader
from lavenderfold.router._requests import (
    APPS_PREFIX,
    COMPLETIONS_PATH,
    CallerRequest,
    RequestValidator,
)
from lavenderfold.router._services import RouterServices

REQUESTS_PREFIX = "/v1/requests/"
ANSWER_SUFFIX = "/answer"

logger = logging.getLogger("lavenderfold.router")


class CallerApi:
    """Answers callers' HTTP requests."""

    def __init__(
        self,
        *,
        services: RouterServices,
        request_registry: RequestRegistry,
        answer_relay: AnswerRelay,
        state_reader: RequestStateReader,
        is_draining: Callable[[], bool],
        has_config: Callable[[], bool],
    ):
        limits = services.settings.limits
        self.open_requests = 0
        self._services = services
        self._request_registry = request_registry
        self._answer_relay = answer_relay
        self._state_reader = state_reader
        self._is_draining = is_draining
        self._has_config = has_config
        self._check = RequestValidator(request_age_s=limits.request_age_s)

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Answer one request; the HTTP server calls this."""
        self.open_requests += 1
        try:
            await self._route(request, writer)
        except RefusedError as error:
            self._services.metrics.incr(f"answered.{error.kind}")
            log_event(
                logger,
                "answered_with_error",
                request_id=error.request_id,
                path=request.path,
                status=error.status,
                reason=error.kind,
                outcome=error.outcome,
            )
            if not writer.started:
                await writer.send(error_response(error))
        finally:
            self.open_requests -= 1

    async def _route(self, request: HttpRequest, writer: ResponseWriter) -> None:
        if request.path == "/healthz":
            is_serving = self._has_config() and not self._is_draining()
            status = 200 if is_serving else 503
            await writer.send(json_response(status, {"draining": self._is_draining()}))
            return
        is_call = request.path == COMPLETIONS_PATH or request.path.startswith(
            APPS_PREFIX
        )
        if not is_call and not request.path.startswith(REQUESTS_PREFIX):
            raise bad_request("no such path", status=404, kind="unknown_path")
        if not self._has_config():
            refusal = NotRun(Reason.NOT_READY, "there is no configuration yet")
            raise refusal_of(refusal, request_id=None)
        budget = self._authenticate(request)
        if self._is_draining():
            raise refusal_of(NotRun(Reason.DRAINING), request_id=None)
        if is_call:
            await self._call(budget, request, writer)
        else:
            await self._look_up(budget, request, writer)

    def _authenticate(self, request: HttpRequest) -> BudgetKey:
        budget = check_key(self._services.config(), request.header("authorization"))
        if budget is None:
            raise bad_request("the API key is not valid", status=401, kind="wrong_key")
        return budget

    async def _call(
        self, budget: BudgetKey, http_request: HttpRequest, writer: ResponseWriter
    ) -> None:
        request = self._check.check(
            self._services.config(),
            budget,
            http_request,
            unix_time=self._services.timers.unix_time(),
        )
        life = self._request_registry.find(request.key)
        if life is not None and life.request.fingerprint != request.fingerprint:
            raise RefusedError(
                status=409,
                kind="request_id_reused",
                message="the request id belongs to a different request",
                request_id=request.request_id,
            )
        if life is not None and not life.may_start_again:
            await life.is_placed.wait()
            targets = [life.target] if life.target is not None else []
            if await self._replay(request, targets, writer):
                return
        life = self._request_registry.start(request)
        await life.is_placed.wait()
        if isinstance(life.outcome, AlreadyRan):
            candidates = self._services.dispatcher.candidates(request.route)
            targets = [candidate.target for candidate in candidates]
            if not await self._replay(request, targets, writer):
                raise refusal_of(life.outcome.outcome, request_id=request.request_id)
            return
        await self._deliver(request, life, writer)

    async def _replay(
        self, request: CallerRequest, targets: list[str], writer: ResponseWriter
    ) -> bool:
        """Answer a repeated call from the first one's run, if an agent has it."""
        found = await self._answer_relay.open(request.key, targets, offset=0)
        if found.run is None:
            return False
        await self._deliver(request, found.run, writer)
        return True

    async def _deliver(
        self, request: CallerRequest, source: AnswerSource, writer: ResponseWriter
    ) -> None:
        """Send an answer in the form that the request asks for."""
        try:
            if request.stream:
                await self._stream(request.request_id, source.pipe, writer)
            else:
                await self._send_whole(
                    request.request_id, request.route.kind, source, writer
                )
        finally:
            source.pipe.abandon()

    async def _send_whole(
        self, request_id: str, kind: RouteKind, source: AnswerSource, writer
    ) -> None:
        body = await source.pipe.read_all()
        result = source.pipe.result
        if not isinstance(result, Ran):
            raise refusal_of(result, request_id=request_id)
        if kind is RouteKind.MODEL:
            await writer.send(completion_response(request_id, result, body))
        else:
            response = application_response(request_id, result, source.ended, body)
            await writer.send(response)

    async def _stream(
        self, request_id: str, pipe: AnswerPipe, writer: ResponseWriter, offset: int = 0
    ) -> None:
        """Relay an answer as events; a failed one is cut without its end."""
        events = EventEncoder(offset=offset)
        clock = self._services.timers.now
        started_at = last_at = clock()
        while (data := await pipe.read()) is not None:
            now = clock()
            if not writer.started:
                self._services.metrics.timing("first_token", (now - started_at) * 1000)
                await self._start_stream(request_id, writer)
            else:
                self._services.metrics.timing("between_tokens", (now - last_at) * 1000)
            last_at = now
            await writer.write(events.encode(data))
        if not isinstance(pipe.result, Ran):
            if not writer.started:
                raise refusal_of(pipe.result, request_id=request_id)
            return
        if not writer.started:
            await self._start_stream(request_id, writer)
        await writer.write(events.encode_end(request_id, pipe.result))
        await writer.finish()

    async def _start_stream(self, request_id: str, writer: ResponseWriter) -> None:
        await writer.start(200, [*EVENT_STREAM_HEADERS, ("x-request-id", request_id)])

    async def _look_up(
        self, budget: BudgetKey, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        if request.method != "GET":
            raise bad_request("use GET", status=405, kind="method_not_allowed")
        request_id = request.path.removeprefix(REQUESTS_PREFIX)
        wants_answer = request_id.endswith(ANSWER_SUFFIX)
        request_id = request_id.removesuffix(ANSWER_SUFFIX)
        if request_id_time(request_id).is_err():
            raise unknown_request("no such request")
        key = RequestKey(budget, request_id)
        if wants_answer:
            await self._resume(key, request, writer)
        else:
            await writer.send(json_response(200, await self._state_reader.state(key)))

    async def _resume(
        self, key: RequestKey, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        """Continue an answer from the offset that the caller has."""
        offset = last_event_offset(request)
        life = self._request_registry.find(key)
        if life is not None and life.state == "waiting":
            await life.is_placed.wait()
        found = await self._answer_relay.open(
            key, self._targets(key, life), offset=offset
        )
        if found.run is None:
            if found.unreachable:
                raise refusal_of(
                    MayHaveRun(Reason.CONNECTION_LOST, "some agents can't be reached"),
                    request_id=key.request_id,
                )
            raise unknown_request("no such answer")
        try:
            if found.run.kind is RouteKind.MODEL:
                await self._stream(key.request_id, found.run.pipe, writer, offset)
            else:
                await self._send_whole(key.request_id, RouteKind.APP, found.run, writer)
        finally:
            found.run.pipe.abandon()

    def _targets(self, key: RequestKey, life: RequestExecution | None) -> list[str]:
        if life is not None and life.target is not None:
            return [life.target]
        return targets_of(self._services.config(), key.budget.organisation)
