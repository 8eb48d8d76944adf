"""Options and limits of an HTTP server, and why its connections end."""

import enum
from collections.abc import Callable

import msgspec
import trio

HEADER_BYTES_LIMIT = 32768
BODY_BYTES_LIMIT = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
REQUEST_READ_TIMEOUT_S = 20.0


class ServerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of a request and on the time that it may take to arrive.

    A caller that reads nothing of a response counts as idle as well.
    """

    header_bytes: int = HEADER_BYTES_LIMIT
    body_bytes: int = BODY_BYTES_LIMIT
    idle_timeout_s: float = IDLE_TIMEOUT_S
    read_timeout_s: float = REQUEST_READ_TIMEOUT_S


class CloseReason(enum.Enum):
    """Why the connection of a caller ended.

    IDLE: no request came within the idle timeout.
    LEFT: the caller closed it.
    ANSWERED: it was closed after a whole answer.
    CUT: it was closed without a whole answer to a request.
    """

    IDLE = "idle"
    LEFT = "left"
    ANSWERED = "answered"
    CUT = "cut"


def _ignore_close(reason: CloseReason) -> None:
    """Ignore the end of a connection."""


class ServerOptions(msgspec.Struct, kw_only=True):
    """Options of a server.

    ``limits`` is called for each request and returns the limits in force.
    ``is_closing`` returns whether responses should close their connections. With
    ``cancels_on_disconnect`` a handler is cancelled when its caller closes the
    connection. ``on_closed`` is called with the reason when a connection ends. When
    ``stop_requested`` is set, the server accepts no more connections, closes those
    that are idle, answers the requests that have begun to arrive, and ends.
    """

    limits: Callable[[], ServerLimits] = ServerLimits
    is_closing: Callable[[], bool] = bool
    cancels_on_disconnect: bool = False
    on_closed: Callable[[CloseReason], None] = _ignore_close
    stop_requested: trio.Event = msgspec.field(default_factory=trio.Event)
