"""Shared code of the stand-ins: dispatch, fault switches and start-up."""

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
    """The switches of every stand-in. ``delay_s`` precedes each call."""

    down: bool = False
    delay_s: Seconds = 0.0

    def change(self, body: bytes) -> None:
        """Set the switches that the JSON object names; the others stay."""
        current = msgspec.to_builtins(self)
        wanted = decode_json(body, dict[str, object])
        try:
            changed = msgspec.convert({**current, **wanted}, type(self))
        except msgspec.ValidationError as error:
            raise MalformedRequestError(str(error)) from error
        for name in self.__struct_fields__:
            setattr(self, name, getattr(changed, name))


class Dispatcher:
    """Calls the action registered for a request's method and path.

    A path that ends in ``/`` takes all longer paths; the action gets the
    unquoted rest. An action that returns None closes the connection without a
    response. ``/faults`` and ``/stats`` work while the stand-in is down.
    """

    def __init__(self, *, faults: Faults, stats: Callable[[], object]):
        self._faults = faults
        self._stats = stats
        self._actions: list[tuple[str, str, Action]] = []

    def add(self, method: str, path: str, action: Action) -> None:
        """Register an action for a method and path."""
        self._actions.append((method, path, action))

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Serve one request of ``lavenderfold.http.serve``."""
        response = await self._respond(request)
        if response is not None:
            await writer.send(response)

    async def _respond(self, request: HttpRequest) -> HttpResponse | None:
        if (request.method, request.path) == ("POST", "/faults"):
            self._faults.change(request.body)
            return json_response(200, self._faults)
        if (request.method, request.path) == ("GET", "/stats"):
            return json_response(200, self._stats())
        return await self.call(request)

    async def call(self, request: HttpRequest) -> HttpResponse | None:
        """Serve a request of the service itself, with the faults in force."""
        if self._faults.delay_s > 0:
            await trio.sleep(self._faults.delay_s)
        if self._faults.down:
            return DOWN_RESPONSE
        path = unquote(request.path)
        known_path = False
        for method, wanted, action in self._actions:
            if path != wanted and not (wanted.endswith("/") and _below(path, wanted)):
                continue
            known_path = True
            if method == request.method:
                return await action(request, path.removeprefix(wanted))
        return json_response(405 if known_path else 404, {"error": "no such call"})


def _below(path: str, prefix: str) -> bool:
    return path.startswith(prefix) and len(path) > len(prefix)


def decode_json(body: bytes, wanted: type[JsonType]) -> JsonType:
    """Decode a JSON body; raises MalformedRequestError."""
    try:
        return msgspec.json.decode(body, type=wanted)
    except msgspec.DecodeError as error:
        raise MalformedRequestError(str(error)) from error


def query_value(request: HttpRequest, name: str, default: str | None = None) -> str:
    """Return a query parameter; raises MalformedRequestError if it's missing."""
    value = dict(parse_qsl(request.query)).get(name, default)
    if value is None:
        raise MalformedRequestError(f"query parameter {name} is missing")
    return value


def query_number(request: HttpRequest, name: str, default: str | None = None) -> float:
    """Return a query parameter that must be a number of at least zero."""
    text = query_value(request, name, default)
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise MalformedRequestError(f"query parameter {name}: expected a number >= 0")
    return number


def define_flags() -> None:
    """Define the flags of every stand-in."""
    flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
    flags.DEFINE_integer("port", 0, "TCP port to listen on; 0 takes a free one.")


def run(make_handler: Callable[[], HttpHandler]) -> None:
    """Parse the flags, then serve until interrupted.

    Prints ``listening HOST:PORT`` when ready.
    """

    async def serve_forever() -> None:
        address = Address(host=flags.FLAGS.host, port=flags.FLAGS.port)
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(_start, make_handler(), address)
            print(f"listening {bound}", flush=True)

    def main(_: list[str]) -> None:
        try:
            trio.run(serve_forever)
        except KeyboardInterrupt:
            return

    app.run(main)


async def _start(
    handler: HttpHandler,
    address: Address,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    await serve(handler, address=address, task_status=task_status)
