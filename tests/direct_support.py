"""Test fixture: a direct router on loopback, an in-memory store, scripted targets."""

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec
import trio

from lavenderfold.direct import (
    AnswerHead,
    CallerRequest,
    DirectRouter,
    PlatformCodec,
    PromptPart,
    RecordReader,
    RouterOptions,
    TargetCall,
    TokenDemand,
    UnreadableItemError,
)
from lavenderfold.fleet import (
    CallerLimits,
    FleetConfig,
    Organisation,
    RepeatPolicy,
    Route,
    Service,
    ServiceShare,
    Target,
)
from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    ResponseWriter,
    serve,
)
from lavenderfold.settings import Address
from lavenderfold.shared import CountedStore, StoreCallCounter
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore
from tests.notice_support import LeavingWriter, read_pause, turn_away

LOOPBACK = "127.0.0.1"
EVENT_TOKENS = 2
GRACE_S = 6.0


def read_request(request: HttpRequest) -> CallerRequest:
    tokens = request.header("x-tokens")
    parts = request.header("x-parts") or ""
    return CallerRequest(
        attempt_id=request.header("x-attempt") or "none",
        host="host",
        method=request.method,
        target=request.target,
        path=request.path,
        forwarded_headers=[("x-attempt", request.header("x-attempt") or "none")],
        body=request.body,
        caller_timeout_s=float(request.header("x-patience") or 3),
        key=request.header("x-key"),
        tokens=TokenDemand(*map(int, tokens.split(","))) if tokens else None,
        prompt_parts=tuple(PromptPart(each, 100) for each in parts.split(",") if each),
        last_event_id=request.header("x-last"),
    )


def write_call(call: TargetCall) -> HttpRequest:
    headers = [*call.request.forwarded_headers, ("x-target", call.target.id)]
    if call.last_event_id is not None:
        headers.append(("x-last", call.last_event_id))
    if call.priority is not None:
        headers.append(("x-priority", str(call.priority)))
    return HttpRequest(
        method=call.request.method,
        target=call.request.target,
        headers=headers,
        body=call.request.body,
    )


def read_answer(status: int, headers: list[tuple[str, str]]) -> AnswerHead:
    by_name = dict(headers)
    return AnswerHead(
        status=status,
        attempt_id=by_name.get("x-attempt"),
        is_signed="x-signature" in by_name,
        is_not_run="x-not-run" in by_name,
        is_misdirected=status == 421,
        is_encoded="content-encoding" in by_name,
        is_leaving=by_name.get("x-leaving") == "1",
        pause_s=read_pause(status, by_name.get("x-pause")),
        headers=headers,
    )


PLATFORM_CODEC = PlatformCodec(
    read_request=read_request,
    write_call=write_call,
    read_answer=read_answer,
    answer_headers=lambda attempt_id: [("x-attempt", attempt_id)],
)


class TargetRecord(msgspec.Struct):
    service: str
    host: str
    port: int
    is_draining: bool = False
    born: int = 0
    domain: str = "domain"
    warm_up_s: float | None = None


def _decode(item, wanted):
    try:
        return msgspec.json.decode(item.value, type=wanted)
    except msgspec.DecodeError as error:
        raise UnreadableItemError(str(error)) from error


def read_target(item) -> Target:
    record = _decode(item, TargetRecord)
    return Target(
        id=item.key.partition("/")[2],
        service=record.service,
        host=record.host,
        port=record.port,
        domain=record.domain,
        slots=8,
        is_draining=record.is_draining,
        warm_up_s=record.warm_up_s,
        born=record.born,
    )


READER = RecordReader(
    read_config=lambda item: _decode(item, FleetConfig), read_target=read_target
)


def make_route(name: str, repeat_policy: RepeatPolicy, **changes) -> Route:
    values = {
        "name": name,
        "host": "host",
        "path_prefix": f"/{name}/",
        "repeat_policy": repeat_policy,
        "shares": (ServiceShare("service", 1),),
        "timeout_s": 2.0,
        "latency_objective_s": 0.2,
        "pause_limit_s": 0.2,
        "attempt_limit": 2,
    }
    return Route(**{**values, **changes})


def make_config(*, version: int = 1, limit: int = 10_000, **changes) -> FleetConfig:
    values = {
        "version": version,
        "routes": (
            make_route("read", RepeatPolicy.IDEMPOTENT),
            make_route("sign", RepeatPolicy.SINGLE_RUN),
            make_route("chat", RepeatPolicy.STREAM),
            make_route("draft", RepeatPolicy.STREAM, is_resumable=True),
        ),
        "services": (
            Service(name="service", connection_limit=9, tokens_per_event=EVENT_TOKENS),
        ),
        "organisations": (
            Organisation(name="org", keys=("secret",), limit_tokens=limit),
        ),
        "limits": CallerLimits(),
    }
    return FleetConfig(**{**values, **changes})


Script = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


def valid_headers(request: HttpRequest) -> list[tuple[str, str]]:
    return [("x-attempt", request.header("x-attempt")), ("x-signature", "yes")]


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


async def answer_successfully(request: HttpRequest, writer: ResponseWriter) -> None:
    response = HttpResponse(status=200, headers=valid_headers(request), body=b"done")
    await writer.send(response)


async def reject(request: HttpRequest, writer: ResponseWriter) -> None:
    headers = [("x-attempt", request.header("x-attempt")), ("x-not-run", "1")]
    await writer.send(HttpResponse(status=503, headers=headers))


async def fail(request: HttpRequest, writer: ResponseWriter) -> None:
    headers = valid_headers(request)
    await writer.send(HttpResponse(status=500, headers=headers, body=b"failed"))


async def crash(request: HttpRequest, writer: ResponseWriter) -> None:
    """Break off after the head of a stream, before its first event."""
    headers = [*valid_headers(request), ("content-type", "text/event-stream")]
    await writer.start(200, headers)
    raise RuntimeError("the target closes the connection before the first event")


def stream(*, start_at: int = 1, end_at: int = 4, cut: bool = False) -> Script:
    """Return a script that streams events, from the one after the last event id."""

    async def script(request: HttpRequest, writer: ResponseWriter) -> None:
        first = int(request.header("x-last") or start_at - 1) + 1
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        await writer.start(200, headers)
        for number in range(first, end_at + 1):
            await writer.write(event(number))
        if cut:
            await writer.write(event(end_at + 1)[:7])
            raise RuntimeError("the target closes the connection mid-stream")
        await writer.finish()

    return script


class FakeTarget:
    """A target with a replaceable script; ``received`` holds its requests.

    While ``is_leaving`` is set, all its answers say so; while ``pause_s`` is set, each
    request is turned away with it. ``crash`` closes its port and connections; it is
    back after ``down_s`` as a new incarnation, whose ``born`` is one higher.
    """

    def __init__(self, *, id: str, script: Script, domain: str = "domain"):
        self.id = id
        self.script = script
        self.domain = domain
        self.warm_up_s: float | None = None
        self.received: list[HttpRequest] = []
        self.cancelled = 0
        self.is_leaving = False
        self.pause_s: float | None = None
        self.address: Address | None = None
        self.born = 0
        self.crashes = 0
        self.down_s = 0.5
        self._crashed = trio.Event()

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        self.received.append(request)
        script = self.script if self.pause_s is None else turn_away(self.pause_s)
        await script(
            request, LeavingWriter(writer=writer, is_leaving=lambda: self.is_leaving)
        )

    def crash(self) -> None:
        """End the current incarnation without answers to its requests."""
        if not self._crashed.is_set():
            self.crashes += 1
            self._crashed.set()

    async def run(
        self,
        on_started: Callable[["FakeTarget"], None],
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        """Serve until cancelled; call ``on_started`` for each incarnation."""
        while True:
            self._crashed = trio.Event()
            async with trio.open_nursery() as nursery:
                self.address = await nursery.start(self._serve)
                on_started(self)
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
                await self._crashed.wait()
                nursery.cancel_scope.cancel()
            await trio.sleep(self.down_s)
            self.born += 1
            self.is_leaving = False
            self.pause_s = None

    async def _serve(self, *, task_status: trio.TaskStatus[Address]) -> None:
        listen = Address(host=LOOPBACK, port=0)
        await serve(self.handle, address=listen, task_status=task_status)


class DirectFleet:
    """The router under test with its store and targets."""

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        store: MemoryStore,
        codec: PlatformCodec = PLATFORM_CODEC,
    ):
        self.nursery = nursery
        self.store = store
        self.codec = codec
        self.target_by_id: dict[str, FakeTarget] = {}
        self.router: DirectRouter | None = None
        self.address: Address | None = None

    async def add_target(
        self, id: str, script: Script, *, domain: str = "domain"
    ) -> FakeTarget:
        target = FakeTarget(id=id, script=script, domain=domain)
        await self.nursery.start(target.run, self.register)
        self.target_by_id[id] = target
        return target

    def register(self, target: FakeTarget, *, is_draining: bool = False) -> None:
        record = TargetRecord(
            service="service",
            host=target.address.host,
            port=target.address.port,
            is_draining=is_draining,
            born=target.born,
            domain=target.domain,
            warm_up_s=target.warm_up_s,
        )
        self.store.put(f"targets/{target.id}", msgspec.json.encode(record))

    def configure(self, config: FleetConfig) -> None:
        self.store.put("config", msgspec.json.encode(config))

    async def start_router(self, name: str = "router", **changes: object) -> None:
        """Start a router; ``router`` and ``address`` are then those of this one.

        ``changes`` are options that differ from the usual ones.
        """
        options = RouterOptions(
            name=name,
            domain="domain",
            listen=Address(host=LOOPBACK, port=0),
            ready_listen=Address(host=LOOPBACK, port=0),
            metrics_listen=Address(host=LOOPBACK, port=0),
            grace_period_s=GRACE_S,
            retry_share=0.1,
            fleet_retry_reserve=320.0,
            watch_wait_s=1.0,
            config_key="config",
            targets_prefix="targets/",
            ledger_prefix="ledger/",
            crashes_key="crashes",
        )
        options = msgspec.structs.replace(options, **changes)
        store_calls = StoreCallCounter(purpose_by_prefix={"ledger/": "ledger"})
        self.router = DirectRouter(
            options=options,
            store=CountedStore(store=self.store, calls=store_calls),
            store_calls=store_calls,
            reader=READER,
            codec=self.codec,
            timers=TimerService(),
        )
        self.nursery.start_soon(self.router.run)
        await self.wait_until(lambda: self.router.listen_address is not None)
        self.address = self.router.listen_address

    async def wait_until(self, is_true: Callable[[], bool]) -> None:
        """Wait for a state of the router, at most three seconds."""
        for _ in range(300):
            if is_true():
                return
            await trio.sleep(0.01)
        raise AssertionError("the router didn't reach the expected state")

    async def send_request(
        self, path: str, *, router: Address | None = None, **headers: str
    ) -> HttpResponse:
        """Send a request of the organisation and return the complete answer.

        It goes to the newest router unless the address of another is given.
        """
        values = {"attempt": "attempt-1", "key": "secret", "tokens": "10,20"}
        values.update(headers)
        request = HttpRequest(
            method="POST",
            target=path,
            headers=[(f"x-{name}", text) for name, text in values.items() if text],
            body=b"body",
        )
        client = HttpClient(address=router or self.address)
        try:
            return await client.request(request)
        finally:
            await client.close()


@asynccontextmanager
async def direct_fleet(*scripts: Script, config: FleetConfig | None = None):
    """Run a router with targets ``t0``, ``t1`` and so on that run these scripts."""
    async with trio.open_nursery() as nursery:
        fleet = DirectFleet(nursery=nursery, store=MemoryStore())
        fleet.configure(config or make_config())
        for number, script in enumerate(scripts):
            await fleet.add_target(f"t{number}", script)
        await fleet.start_router()
        await fleet.wait_until(lambda: fleet.router.is_ready)
        yield fleet
        nursery.cancel_scope.cancel()


def run_scenario(scenario, *scripts: Script, config: FleetConfig | None = None) -> None:
    """Call ``scenario`` with a fleet whose targets run these scripts."""

    async def main():
        with trio.fail_after(20):
            async with direct_fleet(*scripts, config=config) as fleet:
                await scenario(fleet)

    trio.run(main)


def count_target_requests(fleet: DirectFleet) -> int:
    """Return how many requests the targets received."""
    return sum(len(target.received) for target in fleet.target_by_id.values())
