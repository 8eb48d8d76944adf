"""The HTTP interface for callers."""

import logging
from collections.abc import Callable

from lavenderfold.config import RouteKind
from lavenderfold.http import HttpRequest, ResponseWriter, json_response
from lavenderfold.identifiers import BudgetKey, RequestKey, request_id_time
from lavenderfold.logs import log_event
from lavenderfold.outcomes import MayHaveRun, NotRun, Ran, Reason
from lavenderfold.router._answer_relay import (
    AnswerRelay,
    AnswerSource,
    targets_for_organisation,
)
from lavenderfold.router._answers import AnswerPipe
from lavenderfold.router._api_keys import authenticate
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
    error_for_outcome,
    error_response,
    request_error,
    unknown_request_error,
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
    """Handles callers' HTTP requests."""

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
        self._validator = RequestValidator(request_age_s=limits.request_age_s)

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Respond to one HTTP request; the HTTP server calls this."""
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
        is_run_call = request.path == COMPLETIONS_PATH or request.path.startswith(
            APPS_PREFIX
        )
        if not is_run_call and not request.path.startswith(REQUESTS_PREFIX):
            raise request_error("no such path", status=404, kind="unknown_path")
        if not self._has_config():
            refusal = NotRun(Reason.NOT_READY, "there is no configuration yet")
            raise error_for_outcome(refusal, request_id=None)
        budget = self._authenticate(request)
        if self._is_draining():
            raise error_for_outcome(NotRun(Reason.DRAINING), request_id=None)
        if is_run_call:
            await self._handle_call(budget, request, writer)
        else:
            await self._handle_lookup(budget, request, writer)

    def _authenticate(self, request: HttpRequest) -> BudgetKey:
        budget = authenticate(self._services.config(), request.header("authorization"))
        if budget is None:
            raise request_error(
                "the API key is not valid", status=401, kind="wrong_key"
            )
        return budget

    async def _handle_call(
        self, budget: BudgetKey, http_request: HttpRequest, writer: ResponseWriter
    ) -> None:
        request = self._validator.validate(
            self._services.config(),
            budget,
            http_request,
            unix_time=self._services.timers.unix_time(),
        )
        execution = self._request_registry.find(request.key)
        if (
            execution is not None
            and execution.request.fingerprint != request.fingerprint
        ):
            raise RefusedError(
                status=409,
                kind="request_id_reused",
                message="the request id belongs to a different request",
                request_id=request.request_id,
            )
        if execution is not None and not execution.may_start_again:
            await execution.is_placed.wait()
            targets = [execution.target] if execution.target is not None else []
            if await self._replay_answer(request, targets, writer):
                return
        execution = self._request_registry.start(request)
        await execution.is_placed.wait()
        if isinstance(execution.outcome, AlreadyRan):
            candidates = self._services.dispatcher.candidates(request.route)
            targets = [candidate.target for candidate in candidates]
            if not await self._replay_answer(request, targets, writer):
                raise error_for_outcome(
                    execution.outcome.outcome, request_id=request.request_id
                )
            return
        await self._deliver_answer(request, execution, writer)

    async def _replay_answer(
        self, request: CallerRequest, targets: list[str], writer: ResponseWriter
    ) -> bool:
        """Answer a repeated call from the buffered answer of the first call's run.

        Returns False if no agent has that run.
        """
        lookup = await self._answer_relay.open(request.key, targets, offset=0)
        if lookup.run is None:
            return False
        await self._deliver_answer(request, lookup.run, writer)
        return True

    async def _deliver_answer(
        self, request: CallerRequest, source: AnswerSource, writer: ResponseWriter
    ) -> None:
        """Send an answer as a stream or whole, as the request asks for."""
        try:
            if request.stream:
                await self._stream_answer(request.request_id, source.pipe, writer)
            else:
                await self._send_whole_answer(
                    request.request_id, request.route.kind, source, writer
                )
        finally:
            source.pipe.abandon()

    async def _send_whole_answer(
        self, request_id: str, kind: RouteKind, source: AnswerSource, writer
    ) -> None:
        body = await source.pipe.read_all()
        result = source.pipe.result
        if not isinstance(result, Ran):
            raise error_for_outcome(result, request_id=request_id)
        if kind is RouteKind.MODEL:
            await writer.send(completion_response(request_id, result, body))
        else:
            response = application_response(request_id, result, source.ended, body)
            await writer.send(response)

    async def _stream_answer(
        self, request_id: str, pipe: AnswerPipe, writer: ResponseWriter, offset: int = 0
    ) -> None:
        """Relay an answer as server-sent events.

        If the run fails after the stream has started, the stream is cut off without
        its final event, so that the caller can tell that it is incomplete.
        """
        encoder = EventEncoder(offset=offset)
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
            await writer.write(encoder.encode(data))
        if not isinstance(pipe.result, Ran):
            if not writer.started:
                raise error_for_outcome(pipe.result, request_id=request_id)
            return
        if not writer.started:
            await self._start_stream(request_id, writer)
        await writer.write(encoder.encode_end(request_id, pipe.result))
        await writer.finish()

    async def _start_stream(self, request_id: str, writer: ResponseWriter) -> None:
        await writer.start(200, [*EVENT_STREAM_HEADERS, ("x-request-id", request_id)])

    async def _handle_lookup(
        self, budget: BudgetKey, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        if request.method != "GET":
            raise request_error("use GET", status=405, kind="method_not_allowed")
        request_id = request.path.removeprefix(REQUESTS_PREFIX)
        wants_answer = request_id.endswith(ANSWER_SUFFIX)
        request_id = request_id.removesuffix(ANSWER_SUFFIX)
        if request_id_time(request_id).is_err():
            raise unknown_request_error("no such request")
        key = RequestKey(budget, request_id)
        if wants_answer:
            await self._resume_answer(key, request, writer)
        else:
            await writer.send(json_response(200, await self._state_reader.state(key)))

    async def _resume_answer(
        self, key: RequestKey, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        """Send the rest of an answer from the offset that the caller has reached."""
        offset = last_event_offset(request)
        execution = self._request_registry.find(key)
        if execution is not None and execution.state == "waiting":
            await execution.is_placed.wait()
        lookup = await self._answer_relay.open(
            key, self._possible_targets(key, execution), offset=offset
        )
        if lookup.run is None:
            if lookup.unreachable:
                raise error_for_outcome(
                    MayHaveRun(
                        Reason.CONNECTION_LOST,
                        "some agents can't be reached",
                    ),
                    request_id=key.request_id,
                )
            raise unknown_request_error("no such answer")
        try:
            if lookup.run.kind is RouteKind.MODEL:
                await self._stream_answer(
                    key.request_id, lookup.run.pipe, writer, offset
                )
            else:
                await self._send_whole_answer(
                    key.request_id, RouteKind.APP, lookup.run, writer
                )
        finally:
            lookup.run.pipe.abandon()

    def _possible_targets(
        self, key: RequestKey, execution: RequestExecution | None
    ) -> list[str]:
        if execution is not None and execution.target is not None:
            return [execution.target]
        return targets_for_organisation(
            self._services.config(), key.budget.organisation
        )
