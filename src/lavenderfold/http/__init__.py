"""HTTP/1.1 server and client on trio, used for callers, targets and peers."""

from lavenderfold.http._client import (
    HttpClient,
    HttpClientError,
    MalformedResponseError,
    MixedHeadError,
    RequestNotSentError,
    ResponseLostError,
    StreamedResponse,
    refuses_connections,
)
from lavenderfold.http._messages import (
    BodyTooLargeError,
    HttpRequest,
    HttpResponse,
    MalformedRequestError,
    json_response,
)
from lavenderfold.http._peer_client import (
    CallFailedError,
    CallRefusedError,
    PeerClient,
)
from lavenderfold.http._request_reader import IDLE_GRACE_S
from lavenderfold.http._response_writer import ResponseWriter, SlowCallerError
from lavenderfold.http._serve import serve
from lavenderfold.http._server_options import (
    CloseReason,
    ServerLimits,
    ServerOptions,
    connections_limit,
    platform_connections_limit,
)

__all__ = [
    "BodyTooLargeError",
    "CallFailedError",
    "CallRefusedError",
    "CloseReason",
    "HttpClient",
    "HttpClientError",
    "HttpRequest",
    "HttpResponse",
    "IDLE_GRACE_S",
    "MalformedRequestError",
    "MalformedResponseError",
    "MixedHeadError",
    "PeerClient",
    "RequestNotSentError",
    "ResponseLostError",
    "ResponseWriter",
    "ServerLimits",
    "ServerOptions",
    "SlowCallerError",
    "StreamedResponse",
    "connections_limit",
    "json_response",
    "platform_connections_limit",
    "refuses_connections",
    "serve",
]
