"""What the fake targets share: fault switches, run counts, start-up."""

from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec
import trio
from absl import flags

from lavenderfold.http import (
    HttpRequest,
    HttpResponse,
    MalformedRequestError,
    ResponseWriter,
    json_response,
    serve,
)
from lavenderfold.settings import Address


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The fault switches of a target.

    ``down``: connections are closed without an answer, nothing is run, and open
    streams are cut. ``delay_s``: wait before each call is served.
    ``cut_after_tokens``: each answer is cut after that many tokens.
    ``fail_next``: that many calls get status 500 and aren't run.
    ``lose_answers``: that many calls are run, then the connection is closed
    without an answer. ``frozen``: nothing proceeds until it's switched off.
    ``report_lag_s``: lag of the load report and cache events in place of the
    usual one. ``slow_factor``: multiplies the time of each step.
    """

    down: bool = False
    delay_s: float = 0.0
    cut_after_tokens: int | None = None
    fail_next: int = 0
    lose_answers: int = 0
    frozen: bool = False
    report_lag_s: float | None = None
    slow_factor: float = 1.0


class CallDroppedError(Exception):
    """The connection is to be closed without an answer."""


class CallFailedError(Exception):
    """The call is to be answered with status 500."""


Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class FaultSwitches:
    """Holds the faults in force and applies those that all calls share."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.changed = trio.Event()

    def update(self, body: bytes) -> None:
        """Set the switches that a JSON object names; the others stay."""
        try:
            given = msgspec.json.decode(body, type=dict[str, Any])
            merged = {**msgspec.to_builtins(self.faults), **given}
            self.faults = msgspec.convert(merged, Faults)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise MalformedRequestError(f"faults: {error}") from error
        self.changed.set()
        self.changed = trio.Event()

    async def wait_while_frozen(self) -> None:
        while self.faults.frozen:
            await self.changed.wait()

    async def admit(self) -> None:
        """Delay or refuse a call. Raises CallDroppedError, CallFailedError."""
        await self.wait_while_frozen()
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise CallDroppedError
        if self.faults.fail_next > 0:
            self.faults.fail_next -= 1
            raise CallFailedError

    def lose_answer(self) -> None:
        """Raise CallDroppedError if the answer of a finished call is to be lost."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise CallDroppedError


class Target:
    """Routes the control paths and hands every other call to ``serve_call``."""

    def __init__(self) -> None:
        self.switches = FaultSwitches()
        self.runs_by_request_id: Counter[str] = Counter()

    def stats(self) -> dict[str, Any]:
        """Return what was run; subclasses add figures of their own."""
        return {"runs_by_request_id": dict(self.runs_by_request_id)}

    async def run(self) -> None:
        """Do the target's own work until cancelled."""
        await trio.sleep_forever()

    async def serve_call(self, request: HttpRequest, writer: ResponseWriter) -> None:
        raise NotImplementedError

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Answer one HTTP call."""
        call = (request.method, request.path)
        if call == ("POST", "/faults"):
            self.switches.update(request.body)
            await writer.send(json_response(200, self.switches.faults))
            return
        if call == ("GET", "/stats"):
            await writer.send(json_response(200, self.stats()))
            return
        try:
            await self.switches.admit()
            await self.serve_call(request, writer)
        except CallDroppedError:
            return  # An answer without its end closes the connection.
        except CallFailedError:
            await writer.send(json_response(500, {"error": "injected failure"}))


def decode_body(request: HttpRequest, wanted: type) -> Any:
    """Return a JSON body as a struct. Raises MalformedRequestError."""
    try:
        return msgspec.json.decode(request.body, type=wanted)
    except msgspec.MsgspecError as error:
        raise MalformedRequestError(f"body: {error}") from error


async def not_found(writer: ResponseWriter, what: str) -> None:
    """Answer with status 404."""
    await writer.send(HttpResponse(status=404, body=what.encode()))


def define_address_flags() -> None:
    """Define the flags that say where the target listens."""
    flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on")
    flags.DEFINE_integer("port", 0, "port to listen on; 0 takes a free one")


async def serve_target(
    target: Target,
    address: Address,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a target until cancelled; reports the bound address as started."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(target.run)
        start = partial(serve, target.handle, address=address)
        bound = await nursery.start(start)
        task_status.started(bound)


async def serve_and_announce(target: Target, host: str, port: int) -> None:
    """Serve a target and print one line with its address when it's ready."""
    async with trio.open_nursery() as nursery:
        address = Address(host=host, port=port)
        bound = await nursery.start(serve_target, target, address)
        print(f"listening {bound}", flush=True)
