"""Calls to the target, each with a typed outcome.

A connection that failed before a byte was sent is ``NotRun``; after that the
outcome is ``MayHaveRun``, whatever the target says.
"""

from collections.abc import Awaitable, Callable

import h11
import msgspec

from lavenderfold.agent._runs import Appended
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


class Whole(msgspec.Struct, frozen=True):
    """The target's answer arrived to its end."""

    status: int
    content_type: str


TargetEnd = Whole | NotRun | MayHaveRun
# Takes a part of the answer and the number of tokens in it.
Sink = Callable[[bytes, int], Appended]
TargetCall = Callable[[Run, Sink], Awaitable[TargetEnd]]

TOO_LONG = MayHaveRun(Reason.TARGET_FAILED, "the answer exceeds its buffer")


def connection_failed(error: RequestNotSentError) -> NotRun:
    """Return the outcome of a call of which no byte was sent."""
    return NotRun(Reason.CONNECTION_FAILED, str(error))


def connection_lost(error: ResponseLostError) -> MayHaveRun:
    """Return the outcome of a call whose answer was cut."""
    return MayHaveRun(Reason.CONNECTION_LOST, str(error))


def content_type(response: StreamedResponse) -> str:
    """Return a response's content type, empty if it has none."""
    return dict(response.headers).get("content-type", "")


def make_app_call(*, address: Address) -> TargetCall:
    """Return the call of a plain service."""
    shared = HttpClient(address=address)

    async def call(order: Run, sink: Sink) -> TargetEnd:
        request = _app_request(order)
        if not _is_valid(request):
            return NotRun(Reason.INVALID, "method, path or header is not valid HTTP")
        # A pooled connection may close under a call, which then can't be repeated;
        # a fresh one avoids most of those unknown outcomes.
        client = shared if order.idempotent else HttpClient(address=address)
        try:
            async with client.stream(request) as response:
                return await _relay(response, sink)
        except RequestNotSentError as error:
            return connection_failed(error)
        except ResponseLostError as error:
            return connection_lost(error)
        finally:
            if client is not shared:
                await client.close()

    return call


async def _relay(response: StreamedResponse, sink: Sink) -> TargetEnd:
    if response.status >= FIRST_SERVER_ERROR:
        return MayHaveRun(Reason.TARGET_FAILED, f"status {response.status}")
    async for chunk in response.chunks():
        if sink(chunk, 0) is Appended.TOO_LONG:
            return TOO_LONG
    return Whole(response.status, content_type(response))


def _app_request(order: Run) -> HttpRequest:
    headers = [("x-request-id", str(order.key))]
    if order.content_type:
        headers.append(("content-type", order.content_type))
    return HttpRequest(
        method=order.method, target=order.path, headers=headers, body=order.body
    )


def _is_valid(request: HttpRequest) -> bool:
    """Return whether the request can be sent, which caller input may prevent."""
    headers = [("host", "target"), *request.headers]
    try:
        h11.Request(method=request.method, target=request.target, headers=headers)
    except (h11.LocalProtocolError, UnicodeEncodeError):
        return False
    return request.target.startswith("/")
