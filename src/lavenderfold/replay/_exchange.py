"""Sends one HTTP request to a router and reads the response."""

from collections.abc import Callable
from urllib.parse import quote

import msgspec
import trio

from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
    StreamedResponse,
)
from lavenderfold.replay._answer import (
    AnswerError,
    DoneEvent,
    EventParser,
    ReceivedAnswer,
)
from lavenderfold.replay._records import Attempt, CallOutcome, Step
from lavenderfold.replay._trace import TraceRequest

EVENT_STREAM = "text/event-stream"
ACTIVE_STATES = frozenset({"waiting", "running"})
RETRY_AFTER_LIMIT_S = 10.0


class _Usage(msgspec.Struct, frozen=True):
    tokens: int


class _Completion(msgspec.Struct, frozen=True):
    id: str
    text: str
    digest: str
    usage: _Usage


class _ErrorDetails(msgspec.Struct, frozen=True):
    type: str = ""
    message: str = ""
    request_id: str | None = None
    outcome: CallOutcome = CallOutcome.MAY_HAVE_RUN


class _ErrorAnswer(msgspec.Struct, frozen=True):
    error: _ErrorDetails


class _StateAnswer(msgspec.Struct, frozen=True):
    state: str = "ended"
    outcome: CallOutcome = CallOutcome.MAY_HAVE_RUN


def build_request(
    request: TraceRequest,
    *,
    step: Step,
    api_key: str,
    request_id: str,
    answer: ReceivedAnswer,
) -> HttpRequest:
    """Return the HTTP request that carries out ``step``."""
    headers = [("authorization", f"Bearer {api_key}")]
    state_path = f"/v1/requests/{request_id}"
    if step is Step.GET_STATE:
        return HttpRequest(method="GET", target=state_path, headers=headers)
    if step is Step.RESUME:
        if answer.last_event_id:
            headers.append(("last-event-id", answer.last_event_id))
        return HttpRequest(method="GET", target=f"{state_path}/answer", headers=headers)
    headers.append(("idempotency-key", request_id))
    headers.append(("content-type", "application/json"))
    if not request.kind.is_model:
        return HttpRequest(
            method=request.method,
            target=f"/v1/apps/{quote(request.route)}/{request.path}",
            headers=headers,
            body=b"" if request.method == "GET" else request.body(),
        )
    body = {
        "model": request.route,
        "prompt": request.prompt_text(),
        "max_tokens": request.max_tokens,
        "stream": request.stream,
    }
    return HttpRequest(
        method="POST",
        target="/v1/completions",
        headers=headers,
        body=msgspec.json.encode(body),
    )


class Exchange:
    """Sends one HTTP request and adds the text that it returns to ``answer``.

    ``on_part`` is called for each event of a streamed answer that brings new text.
    The exchange ends as if the connection had broken when the router sends
    nothing for ``idle_timeout_s``.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        request_id: str,
        is_model: bool,
        answer: ReceivedAnswer,
        idle_timeout_s: float,
        on_part: Callable[[], None],
    ):
        self._client = client
        self._request_id = request_id
        self._is_model = is_model
        self._answer = answer
        self._idle_timeout_s = idle_timeout_s
        self._on_part = on_part

    async def run(self, request: HttpRequest, *, step: Step) -> Attempt:
        """Send ``request`` and return how the exchange ended."""
        attempt = Attempt(step=step, router=str(self._client.address))
        scope = trio.CancelScope(deadline=trio.current_time() + self._idle_timeout_s)
        with scope:
            try:
                async with self._client.stream(request) as response:
                    await self._read(response, attempt, scope)
            except RequestNotSentError:
                attempt.sent = False
                attempt.outcome = CallOutcome.NOT_RUN
                attempt.reason = "connection_failed"
            except ResponseLostError:
                attempt.reason = "connection_lost"
            except AnswerError as error:
                attempt.reason = f"bad answer: {error}"
        if scope.cancelled_caught:
            attempt.reason = "timeout"
        return attempt

    async def _read(
        self, response: StreamedResponse, attempt: Attempt, scope: trio.CancelScope
    ) -> None:
        content_type = dict(response.headers).get("content-type", "")
        if response.status == 200 and content_type.startswith(EVENT_STREAM):
            await self._read_stream(response, scope)
            attempt.outcome = CallOutcome.RAN
            attempt.answered = True
            attempt.status = response.status
            return
        full_response = await response.read()
        attempt.status = full_response.status
        if full_response.status >= 400:
            self._read_error(full_response, attempt)
        elif attempt.step is Step.GET_STATE:
            state = _decode_or_default(full_response.body, _StateAnswer, _StateAnswer())
            attempt.outcome = state.outcome
            attempt.active = state.state in ACTIVE_STATES
        else:
            self._read_unstreamed(full_response)
            attempt.outcome = CallOutcome.RAN
            attempt.answered = True

    async def _read_stream(
        self, response: StreamedResponse, scope: trio.CancelScope
    ) -> None:
        parser = EventParser()
        async for data in response.chunks():
            scope.deadline = trio.current_time() + self._idle_timeout_s
            for event in parser.feed(data):
                if self._answer.add_event(event):
                    self._on_part()
        if self._answer.done is None:
            raise ResponseLostError(self._client.address, "no done event")

    def _read_unstreamed(self, response: HttpResponse) -> None:
        if not self._is_model:
            done = DoneEvent(
                digest=response.header("x-answer-digest") or "",
                request_id=response.header("x-request-id") or "",
            )
            self._answer.add_unstreamed(response.body, done)
            return
        try:
            completion = msgspec.json.decode(response.body, type=_Completion)
        except msgspec.DecodeError as error:
            raise AnswerError(str(error)) from error
        done = DoneEvent(
            digest=completion.digest,
            request_id=completion.id,
            tokens=completion.usage.tokens,
        )
        self._answer.add_unstreamed(completion.text.encode(), done)

    def _read_error(self, response: HttpResponse, attempt: Attempt) -> None:
        error = _decode_or_default(
            response.body, _ErrorAnswer, _ErrorAnswer(_ErrorDetails())
        ).error
        attempt.reason = error.type or f"status {response.status}"
        # An error that answers a GET for the request's state or answer concerns that
        # GET; it reports the outcome of the request only if it names the request.
        if attempt.step is Step.POST or error.request_id == self._request_id:
            attempt.outcome = error.outcome
        retry_after = response.header("retry-after") or "0"
        if retry_after.isdecimal():
            attempt.retry_after_s = min(RETRY_AFTER_LIMIT_S, float(retry_after))


def _decode_or_default(body: bytes, answer_type: type, default: object) -> object:
    try:
        return msgspec.json.decode(body, type=answer_type)
    except msgspec.DecodeError:
        return default
