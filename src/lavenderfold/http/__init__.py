"""HTTP/1.1 on trio: a server for callers and a client towards targets."""

from lavenderfold.http._calls import CallFailedError, PeerCalls
from lavenderfold.http._client import (
    HttpClient,
    HttpClientError,
    RequestNotSentError,
    ResponseLostError,
    StreamedResponse,
)
from lavenderfold.http._messages import (
    BodyTooLargeError,
    HttpRequest,
    HttpResponse,
    MalformedRequestError,
    json_response,
)
from lavenderfold.http._server import ResponseWriter, ServerLimits, ServerOptions, serve

__all__ = [
    "BodyTooLargeError",
    "CallFailedError",
    "HttpClient",
    "HttpClientError",
    "HttpRequest",
    "HttpResponse",
    "MalformedRequestError",
    "PeerCalls",
    "RequestNotSentError",
    "ResponseLostError",
    "ResponseWriter",
    "ServerLimits",
    "ServerOptions",
    "StreamedResponse",
    "json_response",
    "serve",
]
