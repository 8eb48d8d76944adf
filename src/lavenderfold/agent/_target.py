"""Calls to the target and their results.

A call that fails before any byte was sent results in ``NotRun``. Any later failure
results in ``MayHaveRun``, even if the target answers that it didn't run the request.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import h11
import msgspec
import trio

from lavenderfold.agent._runs import AppendResult
from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    RequestNotSentError,
    ResponseLostError,
    StreamedResponse,
)
from lavenderfold.messages import Run
from lavenderfold.outcomes import MayHaveRun, NotRun, Reason
from lavenderfold.settings import Address

FIRST_SERVER_ERROR = 500


class CompleteAnswer(msgspec.Struct, frozen=True):
    """The target's answer was received completely."""

    status: int
    content_type: str


TargetResult = CompleteAnswer | NotRun | MayHaveRun
# Receives a part of the answer and the number of tokens in it.
AnswerSink = Callable[[bytes, int], AppendResult]
TargetCaller = Callable[[Run, AnswerSink], Awaitable[TargetResult]]

ANSWER_TOO_LONG = MayHaveRun(Reason.TARGET_FAILED, "the answer exceeds its buffer")


def connection_failed(error: RequestNotSentError) -> NotRun:
    """Return the outcome of a call that failed before any byte was sent."""
    return NotRun(Reason.CONNECTION_FAILED, str(error))


def connection_lost(error: ResponseLostError) -> MayHaveRun:
    """Return the outcome of a call whose connection broke before the answer's end."""
    return MayHaveRun(Reason.CONNECTION_LOST, str(error))


@asynccontextmanager
async def close_shielded(
    exchange: AbstractAsyncContextManager[StreamedResponse],
) -> AsyncIterator[StreamedResponse]:
    """Yield the response of ``exchange``, whose end isn't cancelled after the body's.

    Closing a connection is a checkpoint. A run that is cancelled there would lose the
    answer that it has already received.
    """
    with trio.CancelScope() as scope:
        async with exchange as response:
            yield response
            scope.shield = True


def response_content_type(response: StreamedResponse) -> str:
    """Return a response's content type, empty if it has none."""
    return dict(response.headers).get("content-type", "")


def build_app_caller(*, address: Address) -> TargetCaller:
    """Return a function that runs orders at a plain service."""

    async def call(order: Run, sink: AnswerSink) -> TargetResult:
        request = _make_http_request(order)
        if not _is_valid_http(request):
            return NotRun(Reason.INVALID, "method, path or header is not valid HTTP")
        # Responses bear no id of their request, so on a kept connection a late copy of
        # an earlier response would be taken for this one. The service may also close
        # a kept connection during a call, and then it is unknown whether it ran.
        client = HttpClient(address=address)
        try:
            async with close_shielded(client.stream(request)) as response:
                return await _relay_response(response, sink)
        except RequestNotSentError as error:
            return connection_failed(error)
        except ResponseLostError as error:
            return connection_lost(error)
        finally:
            with trio.CancelScope(shield=True):
                await client.close()

    return call


async def _relay_response(response: StreamedResponse, sink: AnswerSink) -> TargetResult:
    if response.status >= FIRST_SERVER_ERROR:
        return MayHaveRun(Reason.TARGET_FAILED, f"status {response.status}")
    async for chunk in response.chunks():
        if sink(chunk, 0) is AppendResult.BUFFER_FULL:
            return ANSWER_TOO_LONG
    return CompleteAnswer(response.status, response_content_type(response))


def _make_http_request(order: Run) -> HttpRequest:
    headers = [("x-request-id", str(order.key))]
    if order.content_type:
        headers.append(("content-type", order.content_type))
    return HttpRequest(
        method=order.method, target=order.path, headers=headers, body=order.body
    )


def _is_valid_http(request: HttpRequest) -> bool:
    """Return whether the request is valid HTTP; parts of it come from the caller."""
    headers = [("host", "target"), *request.headers]
    try:
        h11.Request(method=request.method, target=request.target, headers=headers)
    except (h11.LocalProtocolError, UnicodeEncodeError):
        return False
    return request.target.startswith("/")
