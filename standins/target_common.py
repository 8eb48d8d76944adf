"""Code shared by the fake targets: fault switches, run counts and start-up."""

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

    ``down``: connections are closed without an answer, no call is run, and open
    streams are cut off. ``delay_s``: time to wait before each call is served.
    ``cut_after_tokens``: each answer is cut off after that many tokens.
    ``fail_next``: the next N calls are answered with status 500 and aren't run.
    ``lose_answers``: the next N calls are run, but their connections are closed
    without an answer. ``frozen``: all calls and streams stop until it's switched
    off. ``report_lag_s``: overrides the configured lag of the load report and of
    the cache events. ``slow_factor``: multiplies the duration of each step.
    ``leaving``: answers say that the target leaves. ``pause_s``: calls are turned away
    for that long. Only the replica of the platform knows these two.
    """

    down: bool = False
    delay_s: float = 0.0
    cut_after_tokens: int | None = None
    fail_next: int = 0
    lose_answers: int = 0
    frozen: bool = False
    report_lag_s: float | None = None
    slow_factor: float = 1.0
    leaving: bool = False
    pause_s: float | None = None


class CallDroppedError(Exception):
    """Raised to close the connection without a complete answer."""


class CallFailedError(Exception):
    """Raised to answer the call with status 500."""


Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class FaultSwitches:
    """Holds the faults in force and applies those that affect every call."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.changed = trio.Event()

    def update(self, body: bytes) -> None:
        """Set the switches that a JSON object names and leave the others."""
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
        """Apply the faults that delay or reject a call before it is run.

        Raises CallDroppedError or CallFailedError.
        """
        await self.wait_while_frozen()
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise CallDroppedError
        if self.faults.fail_next > 0:
            self.faults.fail_next -= 1
            raise CallFailedError

    def lose_answer(self) -> None:
        """Raise CallDroppedError if ``lose_answers`` applies to a call that was run."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise CallDroppedError


class Target:
    """Base class of the fake targets.

    Answers ``/faults`` and ``/stats`` and passes other calls to ``serve_call``.
    """

    def __init__(self) -> None:
        self.switches = FaultSwitches()
        self.runs_by_request_id: Counter[str] = Counter()

    def stats(self) -> dict[str, Any]:
        """Return how often each request id was run; subclasses add their own counts."""
        return {"runs_by_request_id": dict(self.runs_by_request_id)}

    async def run(self) -> None:
        """Do the target's background work until cancelled."""
        await trio.sleep_forever()

    async def serve_call(self, request: HttpRequest, writer: ResponseWriter) -> None:
        raise NotImplementedError

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Answer one HTTP call."""
        method_and_path = (request.method, request.path)
        if method_and_path == ("POST", "/faults"):
            self.switches.update(request.body)
            await writer.send(json_response(200, self.switches.faults))
            return
        if method_and_path == ("GET", "/stats"):
            await writer.send(json_response(200, self.stats()))
            return
        try:
            await self.switches.admit()
            await self.serve_call(request, writer)
        except CallDroppedError:
            return  # The server closes the connection of an unfinished response.
        except CallFailedError:
            await writer.send(json_response(500, {"error": "injected failure"}))


def decode_body(request: HttpRequest, body_type: type) -> Any:
    """Decode a JSON body; raises MalformedRequestError if it isn't valid."""
    try:
        return msgspec.json.decode(request.body, type=body_type)
    except msgspec.MsgspecError as error:
        raise MalformedRequestError(f"body: {error}") from error


async def send_not_found(writer: ResponseWriter, reason: str) -> None:
    """Answer with status 404."""
    await writer.send(HttpResponse(status=404, body=reason.encode()))


def define_address_flags() -> None:
    """Define the flags that say where the target listens."""
    flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on")
    flags.DEFINE_integer("port", 0, "port to listen on; 0 selects a free port")


async def serve_target(
    target: Target,
    address: Address,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a target until cancelled.

    Passes the bound address to ``task_status.started``.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(target.run)
        start = partial(serve, target.handle, address=address)
        bound = await nursery.start(start)
        task_status.started(bound)


async def serve_and_announce(target: Target, host: str, port: int) -> None:
    """Serve a target and print ``listening HOST:PORT`` when it's ready."""
    async with trio.open_nursery() as nursery:
        address = Address(host=host, port=port)
        bound = await nursery.start(serve_target, target, address)
        print(f"listening {bound}", flush=True)
