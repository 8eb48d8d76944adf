"""Calls to a model engine. A completion stream that breaks is resumed by offset."""

from collections.abc import AsyncIterator
from urllib.parse import quote

import msgspec
import trio

from lavenderfold.agent._runs import AppendResult
from lavenderfold.agent._target import (
    ANSWER_TOO_LONG,
    AnswerSink,
    CompleteAnswer,
    TargetCaller,
    TargetResult,
    close_shielded,
    connection_failed,
    connection_lost,
)
from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    RequestNotSentError,
    ResponseLostError,
    StreamedResponse,
)
from lavenderfold.messages import PlacementOrder, Run
from lavenderfold.outcomes import MayHaveRun, NotRun, Reason

# Longest event, and longest answer of which only the status matters.
EVENT_BYTES_LIMIT = 256 * 1024
STATUS_BYTES_LIMIT = 64 * 1024
COMPLETIONS_PATH = "/v1/completions"
EVENT_TERMINATOR = b"\n\n"
EVENT_PREFIX = b"data: "
ANSWER_CONTENT_TYPE = "text/plain; charset=utf-8"
CANCEL_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 10.0
INITIAL_RESUME_DELAY_S = 0.05
OK_STATUS = 200


class EngineEvent(msgspec.Struct, frozen=True):
    """One event of a stream; the last has ``done`` set and the total token count."""

    text: str = ""
    tokens: int = 0
    done: bool = False


class MalformedStreamError(Exception):
    """The engine sent data that isn't a valid event of its stream protocol."""


class _StreamProgress:
    """The bytes and tokens that one run has received over all its connections."""

    __slots__ = ("sink", "length", "tokens")

    def __init__(self, *, sink: AnswerSink):
        self.sink = sink
        self.length = 0
        self.tokens = 0

    def add_event(self, event: EngineEvent) -> AppendResult:
        data = event.text.encode()
        self.length += len(data)
        self.tokens += event.tokens
        return self.sink(data, event.tokens)


def engine_request_id(order: Run) -> str:
    """Return the engine's id of a run, which differs for each attempt of a request."""
    return f"{order.key}/{order.run_id}"


def build_model_caller(*, client: HttpClient, max_resumes: int) -> TargetCaller:
    """Return a function that runs orders at an engine.

    It resumes a broken stream up to ``max_resumes`` times.
    """

    async def call(order: Run, sink: AnswerSink) -> TargetResult:
        progress = _StreamProgress(sink=sink)
        result = await _stream_once(client, order, progress)
        for number in range(max_resumes):
            if not _is_resumable(result, order, progress):
                break
            await trio.sleep(INITIAL_RESUME_DELAY_S * 2**number)
            resumed = await _stream_once(client, order, progress)
            # A refused connection doesn't show whether the run that had already
            # started goes on, so the earlier outcome stays.
            result = result if isinstance(resumed, NotRun) else resumed
        return result

    return call


def _is_resumable(result: TargetResult, order: Run, progress: _StreamProgress) -> bool:
    if (
        not isinstance(result, MayHaveRun)
        or result.reason is not Reason.CONNECTION_LOST
    ):
        return False
    # At offset 0 an engine that has lost the run would start it a second time.
    return order.idempotent or progress.length > 0


async def _stream_once(
    client: HttpClient, order: Run, progress: _StreamProgress
) -> TargetResult:
    body = {
        "request_id": engine_request_id(order),
        "model": order.model,
        "prompt": order.prompt,
        "max_tokens": order.max_tokens,
        "priority": order.priority,
        "offset": progress.length,
    }
    request = HttpRequest(
        method="POST",
        target=COMPLETIONS_PATH,
        headers=[("content-type", "application/json")],
        body=msgspec.json.encode(body),
    )
    try:
        # On a kept connection a late copy of an earlier response could come first.
        async with close_shielded(client.stream(request, is_fresh=True)) as response:
            return await _relay_events(client, order, response, progress)
    except RequestNotSentError as error:
        return connection_failed(error)
    except ResponseLostError as error:
        return connection_lost(error)
    except MalformedStreamError as error:
        return MayHaveRun(Reason.TARGET_FAILED, str(error))


async def _relay_events(
    client: HttpClient,
    order: Run,
    response: StreamedResponse,
    progress: _StreamProgress,
) -> TargetResult:
    if response.status != OK_STATUS:
        return MayHaveRun(Reason.TARGET_FAILED, f"status {response.status}")
    async for event in _iter_events(response):
        if event.done:
            return _check_stream_end(event, progress)
        match progress.add_event(event):
            case AppendResult.BUFFER_FULL:
                await cancel_at_engine(client, order)
                return ANSWER_TOO_LONG
            case AppendResult.TOKEN_LIMIT_REACHED:
                # The engine exceeded max_tokens. The excess was cut off, so that the
                # caller doesn't pay for it. The answer is complete even if the run is
                # cancelled from here on.
                with trio.CancelScope(shield=True):
                    await cancel_at_engine(client, order)
                return CompleteAnswer(OK_STATUS, ANSWER_CONTENT_TYPE)
    return MayHaveRun(Reason.CONNECTION_LOST, "the stream ended without its end event")


def _check_stream_end(event: EngineEvent, progress: _StreamProgress) -> TargetResult:
    if event.tokens != progress.tokens:
        detail = f"received {progress.tokens} of {event.tokens} tokens"
        return MayHaveRun(Reason.TARGET_FAILED, detail)
    return CompleteAnswer(OK_STATUS, ANSWER_CONTENT_TYPE)


async def _iter_events(response: StreamedResponse) -> AsyncIterator[EngineEvent]:
    remaining = b""
    async for chunk in response.chunks():
        *events, remaining = (remaining + chunk).split(EVENT_TERMINATOR)
        for event in events:
            yield _decode_event(event)
        if len(remaining) > EVENT_BYTES_LIMIT:
            raise MalformedStreamError(f"{len(remaining)} bytes without an event's end")


def _decode_event(event: bytes) -> EngineEvent:
    if not event.startswith(EVENT_PREFIX):
        raise MalformedStreamError(f"unexpected event {event[:40]!r}")
    try:
        return msgspec.json.decode(event[len(EVENT_PREFIX) :], type=EngineEvent)
    except msgspec.MsgspecError as error:
        raise MalformedStreamError(str(error)) from error


async def cancel_at_engine(client: HttpClient, order: Run) -> None:
    """Cancel a run at the engine.

    Errors are ignored: the engine then only does work that nobody needs.
    """
    name = quote(engine_request_id(order), safe="")
    request = HttpRequest(method="DELETE", target=f"{COMPLETIONS_PATH}/{name}")
    await _request_status(client, request, timeout_s=CANCEL_TIMEOUT_S)


async def send_placement_order(client: HttpClient, order: PlacementOrder) -> int | None:
    """Forward a placement order to the engine.

    Return the HTTP status, or None if no response arrived.
    """
    request = HttpRequest(
        method="POST",
        target="/v1/orders",
        body=msgspec.json.encode(
            {
                "fencing_token": order.fencing_token,
                "action": order.action,
                "model": order.model,
            }
        ),
    )
    return await _request_status(client, request, timeout_s=ORDER_TIMEOUT_S)


async def _request_status(
    client: HttpClient, request: HttpRequest, *, timeout_s: float
) -> int | None:
    with trio.move_on_after(timeout_s):
        try:
            answer = await client.request(request, limit_bytes=STATUS_BYTES_LIMIT)
            return answer.status
        except (RequestNotSentError, ResponseLostError):
            return None
    return None
