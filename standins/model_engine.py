"""A fake model engine with the HTTP interface of the design's section 12.1.

The ``offset`` of a completion call counts bytes of the answer's UTF-8 text. For a
request id that the engine knows, the answer is resumed at that offset; for an
unknown one, the offset must be 0.
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
    send_not_found,
    serve_and_announce,
)

COMPLETIONS_PATH = "/v1/completions"
ORDER_ACTIONS = ("load", "unload")


class CompletionBody(msgspec.Struct, kw_only=True):
    """The JSON body of a completion call."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    offset: int = 0


class OrderBody(msgspec.Struct, kw_only=True):
    """The JSON body of an order to load or unload a model."""

    fencing_token: int
    action: str
    model: str


class ModelEngine(Target):
    """Serves the engine's HTTP interface and runs its steps."""

    def __init__(self, *, options: EngineOptions):
        super().__init__()
        self._options = options
        self.engine = Engine(options=options, now=trio.current_time())
        self._stream_submitted = trio.Event()
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
            await self._stream_submitted.wait()
            self._stream_submitted = trio.Event()
            while self.engine.is_busy:
                factor = self.switches.faults.slow_factor
                await trio.sleep(self._options.step_s * factor)
                await self.switches.wait_while_frozen()
                if not self.switches.faults.down:
                    self.engine.step(now=trio.current_time())
                self._wake_readers()

    async def serve_call(self, request: HttpRequest, writer: ResponseWriter) -> None:
        method_and_path = (request.method, request.path)
        if method_and_path == ("POST", COMPLETIONS_PATH):
            await self._serve_completion(request, writer)
        elif request.method == "DELETE" and request.path.startswith(COMPLETIONS_PATH):
            await self._serve_cancellation(request, writer)
        elif method_and_path == ("GET", "/v1/load"):
            lag_s = self._lag_s(self._options.report_lag_s)
            load = self.engine.load(now=trio.current_time(), lag_s=lag_s)
            await writer.send(json_response(200, load))
        elif method_and_path == ("GET", "/v1/cache-events"):
            await self._serve_cache_events(request, writer)
        elif method_and_path == ("POST", "/v1/orders"):
            await self._serve_order(request, writer)
        else:
            await send_not_found(writer, "no such path")

    def _lag_s(self, default_s: float) -> float:
        override_s = self.switches.faults.report_lag_s
        return default_s if override_s is None else override_s

    async def _serve_completion(
        self, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        body = decode_body(request, CompletionBody)
        if body.max_tokens < 1 or body.offset < 0:
            raise MalformedRequestError("max_tokens or offset is out of range")
        stream = self.engine.stream_by_id.get(body.request_id)
        if stream is None:
            if body.offset > 0 or body.model not in self.engine.models:
                await send_not_found(writer, "unknown model or request")
                return
            stream = self._start_stream(body)
        word_index = stream.word_index_at(body.offset)
        if word_index is None:
            raise MalformedRequestError("offset is not the end of a token")
        self.switches.lose_answer()
        await self._send_stream(stream, word_index, writer)

    def _start_stream(self, body: CompletionBody) -> Stream:
        stream = Stream(
            request_id=body.request_id,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            priority=body.priority,
        )
        self.runs_by_request_id[body.request_id] += 1
        self.engine.submit(stream, now=trio.current_time())
        self._stream_submitted.set()
        return stream

    async def _send_stream(
        self, stream: Stream, word_index: int, writer: ResponseWriter
    ) -> None:
        await writer.start(200, [("content-type", "text/event-stream")])
        tokens_until_cut = self.switches.faults.cut_after_tokens
        while True:
            # Take the event before reading the words, so that a step that happens
            # during the write below isn't missed.
            stepped = self._stepped
            words = stream.words[word_index:]
            if tokens_until_cut is not None:
                words = words[:tokens_until_cut]
                tokens_until_cut -= len(words)
            word_index += len(words)
            if words:
                event = {"text": "".join(words), "tokens": len(words)}
                await writer.write(encode_event(event))
            if stream.cancelled or tokens_until_cut == 0:
                raise CallDroppedError
            if stream.ended_at is not None and word_index == len(stream.words):
                break
            await self._wait_for_step(stepped)
        await writer.write(encode_event({"done": True, "tokens": word_index}))
        await writer.finish()

    async def _wait_for_step(self, stepped: trio.Event) -> None:
        await stepped.wait()
        await self.switches.wait_while_frozen()
        if self.switches.faults.down:
            raise CallDroppedError

    def _wake_readers(self) -> None:
        self._stepped.set()
        self._stepped = trio.Event()

    async def _serve_cancellation(
        self, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        request_id = unquote(request.path.removeprefix(COMPLETIONS_PATH + "/"))
        is_known = self.engine.cancel(request_id, now=trio.current_time())
        self._wake_readers()
        await writer.send(HttpResponse(status=200 if is_known else 404))

    async def _serve_cache_events(
        self, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        after = parse_qs(request.query).get("after", ["0"])[0]
        if not after.isdecimal():
            raise MalformedRequestError("after must be a whole number")
        until = trio.current_time() - self._lag_s(self._options.event_lag_s)
        events = self.engine.cache.events(after=int(after), until=until)
        await writer.send(json_response(200, {"events": events}))

    async def _serve_order(self, request: HttpRequest, writer: ResponseWriter) -> None:
        body = decode_body(request, OrderBody)
        if body.action not in ORDER_ACTIONS:
            raise MalformedRequestError(f"action {body.action!r} is unknown")
        is_accepted = self.engine.apply_order(
            fencing_token=body.fencing_token, action=body.action, model=body.model
        )
        await writer.send(json_response(200 if is_accepted else 409, {}))


def encode_event(value: dict) -> bytes:
    """Return a server-sent event."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def define_flags() -> None:
    """Define the flags for the engine's address, capacity and speed."""
    define_address_flags()
    defaults = EngineOptions()
    flags.DEFINE_list("models", list(defaults.models), "models loaded at the start")
    flags.DEFINE_integer(
        "slots", defaults.slots, "number of streams that run at the same time"
    )
    flags.DEFINE_float("step_s", defaults.step_s, "duration of a step in seconds")
    flags.DEFINE_integer(
        "tokens_per_step",
        defaults.tokens_per_step,
        "tokens that a stream produces in a step",
    )
    flags.DEFINE_integer(
        "prefill_tokens_per_step",
        defaults.prefill_tokens_per_step,
        "prompt tokens that a stream reads in a step",
    )
    flags.DEFINE_integer(
        "cache_blocks", defaults.cache_blocks, "capacity of the prefix cache in blocks"
    )
    flags.DEFINE_float(
        "report_lag_s", defaults.report_lag_s, "age of the reported load in seconds"
    )
    flags.DEFINE_float(
        "event_lag_s", defaults.event_lag_s, "delay of cache events in seconds"
    )
    flags.DEFINE_integer(
        "event_gap", defaults.event_gap, "drop every n-th cache event; 0 drops none"
    )
    flags.DEFINE_bool(
        "check_fencing",
        defaults.check_fencing,
        "refuse orders with a stale fencing token",
    )
    flags.DEFINE_float(
        "retention_s", defaults.retention_s, "seconds to keep ended streams"
    )


def read_options() -> EngineOptions:
    """Return the engine options set by the flags."""
    option_names = EngineOptions.__struct_fields__
    option_values = {name: getattr(flags.FLAGS, name) for name in option_names}
    return EngineOptions(**{**option_values, "models": tuple(option_values["models"])})


async def serve_engine(options: EngineOptions, host: str, port: int) -> None:
    """Serve an engine until cancelled."""
    await serve_and_announce(ModelEngine(options=options), host, port)


def main(_: list[str]) -> None:
    """Serve the engine that the flags describe until killed."""
    trio.run(serve_engine, read_options(), flags.FLAGS.host, flags.FLAGS.port)


if __name__ == "__main__":
    define_flags()
    app.run(main)
