"""Calls to a model engine: completion streams, resumed by offset when cut."""

from collections.abc import AsyncIterator
from urllib.parse import quote

import msgspec
import trio

from lavenderfold.agent._runs import Appended
from lavenderfold.agent._target import (
    TOO_LONG,
    Sink,
    TargetCall,
    TargetEnd,
    Whole,
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

COMPLETIONS = "/v1/completions"
EVENT_END = b"\n\n"
EVENT_START = b"data: "
ANSWER_CONTENT_TYPE = "text/plain; charset=utf-8"
CANCEL_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 10.0
FIRST_RESUME_WAIT_S = 0.05
OK_STATUS = 200


class EngineEvent(msgspec.Struct, frozen=True):
    """One event of a stream; the last has ``done`` and the total of tokens."""

    text: str = ""
    tokens: int = 0
    done: bool = False


class MalformedStreamError(Exception):
    """The engine sent something that isn't an event of the interface."""


class _Progress:
    """What one run has received over all of its connections."""

    __slots__ = ("sink", "length", "tokens")

    def __init__(self, *, sink: Sink):
        self.sink = sink
        self.length = 0
        self.tokens = 0

    def take(self, event: EngineEvent) -> Appended:
        data = event.text.encode()
        self.length += len(data)
        self.tokens += event.tokens
        return self.sink(data, event.tokens)


def engine_request_id(order: Run) -> str:
    """Return the id of a run at the engine; attempts of a request differ in it."""
    return f"{order.key}/{order.run_id}"


def make_model_call(*, client: HttpClient, resumes: int) -> TargetCall:
    """Return the call of an engine that resumes a cut stream ``resumes`` times."""

    async def call(order: Run, sink: Sink) -> TargetEnd:
        progress = _Progress(sink=sink)
        end = await _attempt(client, order, progress)
        for number in range(resumes):
            if not _is_resumable(end, order, progress):
                break
            await trio.sleep(FIRST_RESUME_WAIT_S * 2**number)
            resumed = await _attempt(client, order, progress)
            # A refused connection says nothing about the run that already began.
            end = end if isinstance(resumed, NotRun) else resumed
        return end

    return call


def _is_resumable(end: TargetEnd, order: Run, progress: _Progress) -> bool:
    if not isinstance(end, MayHaveRun) or end.reason is not Reason.CONNECTION_LOST:
        return False
    # At offset 0 an engine that lost the run would begin it a second time.
    return order.idempotent or progress.length > 0


async def _attempt(client: HttpClient, order: Run, progress: _Progress) -> TargetEnd:
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
        target=COMPLETIONS,
        headers=[("content-type", "application/json")],
        body=msgspec.json.encode(body),
    )
    try:
        async with client.stream(request) as response:
            return await _read(client, order, response, progress)
    except RequestNotSentError as error:
        return connection_failed(error)
    except ResponseLostError as error:
        return connection_lost(error)
    except MalformedStreamError as error:
        return MayHaveRun(Reason.TARGET_FAILED, str(error))


async def _read(
    client: HttpClient, order: Run, response: StreamedResponse, progress: _Progress
) -> TargetEnd:
    if response.status != OK_STATUS:
        return MayHaveRun(Reason.TARGET_FAILED, f"status {response.status}")
    async for event in _events(response):
        if event.done:
            return _end_of_stream(event, progress)
        match progress.take(event):
            case Appended.TOO_LONG:
                await cancel_at_engine(client, order)
                return TOO_LONG
            case Appended.LIMIT_REACHED:
                # The engine went past its limit: the caller pays for no more.
                await cancel_at_engine(client, order)
                return Whole(OK_STATUS, ANSWER_CONTENT_TYPE)
    return MayHaveRun(Reason.CONNECTION_LOST, "the stream ended without its end event")


def _end_of_stream(event: EngineEvent, progress: _Progress) -> TargetEnd:
    if event.tokens != progress.tokens:
        detail = f"received {progress.tokens} of {event.tokens} tokens"
        return MayHaveRun(Reason.TARGET_FAILED, detail)
    return Whole(OK_STATUS, ANSWER_CONTENT_TYPE)


async def _events(response: StreamedResponse) -> AsyncIterator[EngineEvent]:
    rest = b""
    async for chunk in response.chunks():
        *events, rest = (rest + chunk).split(EVENT_END)
        for event in events:
            yield _decode(event)


def _decode(event: bytes) -> EngineEvent:
    if not event.startswith(EVENT_START):
        raise MalformedStreamError(f"unexpected event {event[:40]!r}")
    try:
        return msgspec.json.decode(event[len(EVENT_START) :], type=EngineEvent)
    except msgspec.MsgspecError as error:
        raise MalformedStreamError(str(error)) from error


async def cancel_at_engine(client: HttpClient, order: Run) -> None:
    """Cancel a run's stream; a failure only costs the engine's work."""
    name = quote(engine_request_id(order), safe="")
    request = HttpRequest(method="DELETE", target=f"{COMPLETIONS}/{name}")
    await _send(client, request, timeout_s=CANCEL_TIMEOUT_S)


async def relay_order(client: HttpClient, order: PlacementOrder) -> int | None:
    """Send a placement order on; return the engine's status, None if unknown."""
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
    return await _send(client, request, timeout_s=ORDER_TIMEOUT_S)


async def _send(
    client: HttpClient, request: HttpRequest, *, timeout_s: float
) -> int | None:
    with trio.move_on_after(timeout_s):
        try:
            return (await client.request(request)).status
        except (RequestNotSentError, ResponseLostError):
            return None
    return None
