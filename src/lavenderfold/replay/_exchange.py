"""One exchange with a router: builds the request and reads the answer."""

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
    Answer,
    AnswerFaultError,
    DoneEvent,
    EventParser,
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


class _Fault(msgspec.Struct, frozen=True):
    type: str = ""
    message: str = ""
    request_id: str | None = None
    outcome: CallOutcome = CallOutcome.MAY_HAVE_RUN


class _FaultAnswer(msgspec.Struct, frozen=True):
    error: _Fault


class _State(msgspec.Struct, frozen=True):
    state: str = "ended"
    outcome: CallOutcome = CallOutcome.MAY_HAVE_RUN


def build_request(
    request: TraceRequest, *, step: Step, key: str, request_id: str, answer: Answer
) -> HttpRequest:
    """Return the HTTP request of a step."""
    headers = [("authorization", f"Bearer {key}")]
    state = f"/v1/requests/{request_id}"
    if step is Step.GET_STATE:
        return HttpRequest(method="GET", target=state, headers=headers)
    if step is Step.RESUME:
        if answer.last_event_id:
            headers.append(("last-event-id", answer.last_event_id))
        return HttpRequest(method="GET", target=f"{state}/answer", headers=headers)
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
    """Sends one request and fills ``answer`` with what comes back.

    ``on_part`` is called for each part of a streamed answer. A router that sends
    nothing for ``idle_timeout_s`` is given up like a broken connection.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        request_id: str,
        is_model: bool,
        answer: Answer,
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
        """Return how the exchange ended."""
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
            except AnswerFaultError as error:
                attempt.reason = f"bad answer: {error}"
        if scope.cancelled_caught:
            attempt.reason = "timeout"
        return attempt

    async def _read(
        self, response: StreamedResponse, attempt: Attempt, scope: trio.CancelScope
    ) -> None:
        kind = dict(response.headers).get("content-type", "")
        if response.status == 200 and kind.startswith(EVENT_STREAM):
            await self._read_stream(response, scope)
            attempt.outcome = CallOutcome.RAN
            attempt.answered = True
            attempt.status = response.status
            return
        whole = await response.read()
        attempt.status = whole.status
        if whole.status >= 400:
            self._read_fault(whole, attempt)
        elif attempt.step is Step.GET_STATE:
            state = _decode(whole.body, _State, _State())
            attempt.outcome = state.outcome
            attempt.active = state.state in ACTIVE_STATES
        else:
            self._read_whole(whole)
            attempt.outcome = CallOutcome.RAN
            attempt.answered = True

    async def _read_stream(
        self, response: StreamedResponse, scope: trio.CancelScope
    ) -> None:
        parser = EventParser()
        async for data in response.chunks():
            scope.deadline = trio.current_time() + self._idle_timeout_s
            for event in parser.feed(data):
                if self._answer.add(event):
                    self._on_part()
        if self._answer.done is None:
            raise ResponseLostError(self._client.address, "no done event")

    def _read_whole(self, response: HttpResponse) -> None:
        if not self._is_model:
            done = DoneEvent(
                digest=response.header("x-answer-digest") or "",
                request_id=response.header("x-request-id") or "",
            )
            self._answer.add_whole(response.body, done)
            return
        try:
            whole = msgspec.json.decode(response.body, type=_Completion)
        except msgspec.DecodeError as error:
            raise AnswerFaultError(str(error)) from error
        done = DoneEvent(
            digest=whole.digest, request_id=whole.id, tokens=whole.usage.tokens
        )
        self._answer.add_whole(whole.text.encode(), done)

    def _read_fault(self, response: HttpResponse, attempt: Attempt) -> None:
        fault = _decode(response.body, _FaultAnswer, _FaultAnswer(_Fault())).error
        attempt.reason = fault.type or f"status {response.status}"
        # A refused look-up says nothing about the request that it asks for,
        # unless the answer names it.
        if attempt.step is Step.POST or fault.request_id == self._request_id:
            attempt.outcome = fault.outcome
        text = response.header("retry-after") or "0"
        if text.isdecimal():
            attempt.retry_after_s = min(RETRY_AFTER_LIMIT_S, float(text))


def _decode(body: bytes, wanted: type, default: object) -> object:
    try:
        return msgspec.json.decode(body, type=wanted)
    except msgspec.DecodeError:
        return default
