"""A fake model engine with the HTTP interface of the design's section 12.1.

``offset`` of a completion is in bytes of the answer's UTF-8 text: a request id
that the engine knows is resumed there, and an unknown one must start at 0.
"""

from urllib.parse import parse_qs, unquote

import msgspec
import trio
from absl import app, flags

from lavenderfold.http import (
    HttpRequest,
    HttpResponse,
    MalformedRequestError,
    ResponseWriter,
    json_response,
)
from standins.engine_core import Engine, EngineOptions, Stream
from standins.target_common import (
    CallDroppedError,
    Target,
    decode_body,
    define_address_flags,
    not_found,
    serve_and_announce,
)

COMPLETIONS = "/v1/completions"
ORDER_ACTIONS = ("load", "unload")


class CompletionBody(msgspec.Struct, kw_only=True):
    """The body of a completion call."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    offset: int = 0


class OrderBody(msgspec.Struct, kw_only=True):
    """The body of a placement order."""

    fencing_token: int
    action: str
    model: str


class ModelEngine(Target):
    """Serves the engine's HTTP interface and runs its steps."""

    def __init__(self, *, options: EngineOptions):
        super().__init__()
        self._options = options
        self.engine = Engine(options=options, now=trio.current_time())
        self._work = trio.Event()
        self._stepped = trio.Event()

    def stats(self) -> dict:
        return {
            **super().stats(),
            "tokens_by_request_id": dict(self.engine.tokens_by_id),
            "cancelled": [
                stream.request_id
                for stream in self.engine.stream_by_id.values()
                if stream.cancelled
            ],
            "prefix_hit_blocks": self.engine.cache.hit_blocks,
            "orders": self.engine.orders,
        }

    async def run(self) -> None:
        while True:
            await self._work.wait()
            self._work = trio.Event()
            while self.engine.busy:
                factor = self.switches.faults.slow_factor
                await trio.sleep(self._options.step_s * factor)
                await self.switches.wait_while_frozen()
                if not self.switches.faults.down:
                    self.engine.step(now=trio.current_time())
                self._wake_readers()

    async def serve_call(self, request: HttpRequest, writer: ResponseWriter) -> None:
        call = (request.method, request.path)
        if call == ("POST", COMPLETIONS):
            await self._complete(request, writer)
        elif request.method == "DELETE" and request.path.startswith(COMPLETIONS):
            await self._cancel(request, writer)
        elif call == ("GET", "/v1/load"):
            lag = self._lag(self._options.report_lag_s)
            load = self.engine.load(now=trio.current_time(), lag_s=lag)
            await writer.send(json_response(200, load))
        elif call == ("GET", "/v1/cache-events"):
            await self._cache_events(request, writer)
        elif call == ("POST", "/v1/orders"):
            await self._order(request, writer)
        else:
            await not_found(writer, "no such path")

    def _lag(self, usual_s: float) -> float:
        switched = self.switches.faults.report_lag_s
        return usual_s if switched is None else switched

    async def _complete(self, request: HttpRequest, writer: ResponseWriter) -> None:
        body = decode_body(request, CompletionBody)
        if body.max_tokens < 1 or body.offset < 0:
            raise MalformedRequestError("max_tokens or offset is out of range")
        stream = self.engine.stream_by_id.get(body.request_id)
        if stream is None:
            if body.offset > 0 or body.model not in self.engine.models:
                await not_found(writer, "unknown model or request")
                return
            stream = self._start(body)
        position = stream.position(body.offset)
        if position is None:
            raise MalformedRequestError("offset is not the end of a token")
        self.switches.lose_answer()
        await self._send_stream(stream, position, writer)

    def _start(self, body: CompletionBody) -> Stream:
        stream = Stream(
            request_id=body.request_id,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            priority=body.priority,
        )
        self.runs_by_request_id[body.request_id] += 1
        self.engine.submit(stream, now=trio.current_time())
        self._work.set()
        return stream

    async def _send_stream(
        self, stream: Stream, position: int, writer: ResponseWriter
    ) -> None:
        await writer.start(200, [("content-type", "text/event-stream")])
        budget = self.switches.faults.cut_after_tokens
        while True:
            # Taken before the words are read: a step during the write below must
            # not be missed.
            stepped = self._stepped
            words = stream.words[position:]
            if budget is not None:
                words = words[:budget]
                budget -= len(words)
            position += len(words)
            if words:
                event = {"text": "".join(words), "tokens": len(words)}
                await writer.write(encode_event(event))
            if stream.cancelled or budget == 0:
                raise CallDroppedError
            if stream.ended_at is not None and position == len(stream.words):
                break
            await self._wait_for_step(stepped)
        await writer.write(encode_event({"done": True, "tokens": position}))
        await writer.finish()

    async def _wait_for_step(self, stepped: trio.Event) -> None:
        await stepped.wait()
        await self.switches.wait_while_frozen()
        if self.switches.faults.down:
            raise CallDroppedError

    def _wake_readers(self) -> None:
        self._stepped.set()
        self._stepped = trio.Event()

    async def _cancel(self, request: HttpRequest, writer: ResponseWriter) -> None:
        request_id = unquote(request.path.removeprefix(COMPLETIONS + "/"))
        known = self.engine.cancel(request_id, now=trio.current_time())
        self._wake_readers()
        await writer.send(HttpResponse(status=200 if known else 404))

    async def _cache_events(self, request: HttpRequest, writer: ResponseWriter) -> None:
        after = parse_qs(request.query).get("after", ["0"])[0]
        if not after.isdecimal():
            raise MalformedRequestError("after must be a whole number")
        until = trio.current_time() - self._lag(self._options.event_lag_s)
        events = self.engine.cache.events(after=int(after), until=until)
        await writer.send(json_response(200, {"events": events}))

    async def _order(self, request: HttpRequest, writer: ResponseWriter) -> None:
        body = decode_body(request, OrderBody)
        if body.action not in ORDER_ACTIONS:
            raise MalformedRequestError(f"action {body.action!r} is unknown")
        accepted = self.engine.order(
            fencing_token=body.fencing_token, action=body.action, model=body.model
        )
        await writer.send(json_response(200 if accepted else 409, {}))


def encode_event(value: dict) -> bytes:
    """Return a server-sent event."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def define_flags() -> None:
    """Define the flags for the engine's size and speed."""
    define_address_flags()
    usual = EngineOptions()
    flags.DEFINE_list("models", list(usual.models), "models served at the start")
    flags.DEFINE_integer("slots", usual.slots, "streams that run at once")
    flags.DEFINE_float("step_s", usual.step_s, "seconds for a step")
    flags.DEFINE_integer(
        "tokens_per_step", usual.tokens_per_step, "tokens per stream and step"
    )
    flags.DEFINE_integer(
        "prefill_tokens_per_step",
        usual.prefill_tokens_per_step,
        "prompt tokens read per stream and step",
    )
    flags.DEFINE_integer("cache_blocks", usual.cache_blocks, "prefix cache blocks")
    flags.DEFINE_float("report_lag_s", usual.report_lag_s, "lag of the load report")
    flags.DEFINE_float("event_lag_s", usual.event_lag_s, "lag of cache events")
    flags.DEFINE_integer("event_gap", usual.event_gap, "each n-th event is lost")
    flags.DEFINE_bool(
        "check_fencing", usual.check_fencing, "refuse orders with a stale token"
    )
    flags.DEFINE_float("retention_s", usual.retention_s, "how long answers are kept")


def read_options() -> EngineOptions:
    """Return the options that the flags give."""
    names = EngineOptions.__struct_fields__
    given = {name: getattr(flags.FLAGS, name) for name in names}
    return EngineOptions(**{**given, "models": tuple(given["models"])})


async def serve_engine(options: EngineOptions, host: str, port: int) -> None:
    """Serve an engine until cancelled."""
    await serve_and_announce(ModelEngine(options=options), host, port)


def main(_: list[str]) -> None:
    """Serve until killed."""
    trio.run(serve_engine, read_options(), flags.FLAGS.host, flags.FLAGS.port)


if __name__ == "__main__":
    define_flags()
    app.run(main)
