"""Code shared by the stand-ins: request dispatch, fault switches and start-up."""

from collections.abc import Awaitable, Callable
from typing import Annotated, TypeVar
from urllib.parse import parse_qsl, unquote

import msgspec
import trio
from absl import app, flags

from lavenderfold.http import (
    HttpRequest,
    HttpResponse,
    MalformedRequestError,
    ResponseWriter,
    json_response,
    serve,
)
from lavenderfold.settings import Address

Action = Callable[[HttpRequest, str], Awaitable[HttpResponse | None]]
HttpHandler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]
JsonType = TypeVar("JsonType")
Count = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]

DOWN_RESPONSE = json_response(503, {"error": "the stand-in is switched off"})


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Fault switches that every stand-in has.

    ``down``: the service is unavailable. ``delay_s``: time to wait before each
    call is handled. Subclasses add the switches of one stand-in.
    """

    down: bool = False
    delay_s: Seconds = 0.0

    def update(self, body: bytes) -> None:
        """Set the switches that a JSON object names and leave the others."""
        current = msgspec.to_builtins(self)
        given = decode_json(body, dict[str, object])
        try:
            changed = msgspec.convert({**current, **given}, type(self))
        except msgspec.ValidationError as error:
            raise MalformedRequestError(str(error)) from error
        for name in self.__struct_fields__:
            setattr(self, name, getattr(changed, name))


class Dispatcher:
    """Calls the action registered for a request's method and path.

    A registered path that ends in ``/`` matches every longer path; the action
    receives the remaining part, percent-decoded. If an action returns None, the
    connection is closed without a response. ``/faults`` and ``/stats`` are
    answered even while the stand-in is down.
    """

    def __init__(self, *, faults: Faults, stats: Callable[[], object]):
        self._faults = faults
        self._stats = stats
        self._actions: list[tuple[str, str, Action]] = []

    def add(self, method: str, path: str, action: Action) -> None:
        """Register the action that serves a method and path."""
        self._actions.append((method, path, action))

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Answer one request; the handler for ``lavenderfold.http.serve``."""
        response = await self._respond(request)
        if response is not None:
            await writer.send(response)

    async def _respond(self, request: HttpRequest) -> HttpResponse | None:
        if (request.method, request.path) == ("POST", "/faults"):
            self._faults.update(request.body)
            return json_response(200, self._faults)
        if (request.method, request.path) == ("GET", "/stats"):
            return json_response(200, self._stats())
        return await self.dispatch(request)

    async def dispatch(self, request: HttpRequest) -> HttpResponse | None:
        """Apply the faults in force, then call the matching action."""
        if self._faults.delay_s > 0:
            await trio.sleep(self._faults.delay_s)
        if self._faults.down:
            return DOWN_RESPONSE
        path = unquote(request.path)
        is_known_path = False
        for method, action_path, action in self._actions:
            if path != action_path and not (
                action_path.endswith("/") and _is_below(path, action_path)
            ):
                continue
            is_known_path = True
            if method == request.method:
                return await action(request, path.removeprefix(action_path))
        return json_response(405 if is_known_path else 404, {"error": "no such call"})


def _is_below(path: str, prefix: str) -> bool:
    return path.startswith(prefix) and len(path) > len(prefix)


def decode_json(body: bytes, body_type: type[JsonType]) -> JsonType:
    """Decode a JSON body; raises MalformedRequestError if it isn't valid."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.DecodeError as error:
        raise MalformedRequestError(str(error)) from error


def query_value(request: HttpRequest, name: str, default: str | None = None) -> str:
    """Return a query parameter; raises MalformedRequestError if it's missing."""
    value = dict(parse_qsl(request.query)).get(name, default)
    if value is None:
        raise MalformedRequestError(f"query parameter {name} is missing")
    return value


def query_number(request: HttpRequest, name: str, default: str | None = None) -> float:
    """Return a query parameter as a finite number of at least 0.

    Raises MalformedRequestError for any other value.
    """
    text = query_value(request, name, default)
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise MalformedRequestError(f"query parameter {name}: expected a number >= 0")
    return number


def define_flags() -> None:
    """Define the flags that every stand-in has."""
    flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
    flags.DEFINE_integer("port", 0, "TCP port to listen on; 0 selects a free port.")


def run(make_handler: Callable[[], HttpHandler]) -> None:
    """Parse the flags and serve until interrupted.

    Prints ``listening HOST:PORT`` once the server accepts connections.
    """

    async def serve_forever() -> None:
        address = Address(host=flags.FLAGS.host, port=flags.FLAGS.port)
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(_start_server, make_handler(), address)
            print(f"listening {bound}", flush=True)

    def main(_: list[str]) -> None:
        try:
            trio.run(serve_forever)
        except KeyboardInterrupt:
            return

    app.run(main)


async def _start_server(
    handler: HttpHandler,
    address: Address,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    await serve(handler, address=address, task_status=task_status)
