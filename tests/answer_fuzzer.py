"""Fuzzer of the bytes that targets write on kept connections, and its checks.

Each case has a seed. What a target writes to a request follows from the seed, the
request's id and the target's id, so that it doesn't depend on the order of tasks.
"""

import itertools
import random

import h11
import msgspec
import trio

from lavenderfold.fleet import Organisation, RepeatPolicy
from tests.answer_bytes import (
    STREAM_HEADER,
    ByteTarget,
    Caller,
    CallerAnswer,
    Exchange,
    answer_bytes,
    byte_fleet,
    caller_request,
    refusal_bytes,
)
from tests.direct_support import DirectFleet, make_config, make_route

TARGETS = 3
CALLERS = 6
EVENTS = 4
CONFIG_PERIOD_S = 0.03
# Longer than any request may take, so that a case that hangs ends as a failure.
CASE_TIMEOUT_S = 60.0
LATE_SHARE = 0.35
EARLY_SHARE = 0.2
NEW_CONNECTION_SHARE = 0.1
STREAM_ROUTES = ("chat", "draft")
# How often a request may run. "fetch" may be repeated, but has one attempt, so that
# its callers see what the router makes of an uncertain answer.
RUNS_LIMIT_BY_ROUTE = {"read": 2, "fetch": 1, "sign": 1, "chat": 1, "draft": 2}
SINGLE_HEADERS = ("attempt-id", "replica-signature", "content-length", "content-type")


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """A run of a request at a target; ``signature`` identifies it."""

    request_id: str
    signature: str
    status: int
    body: bytes


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request and the answer that it got."""

    request_id: str
    route: str
    answer: CallerAnswer


def make_event(request_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {request_id} piece {number}\n\n".encode()


def make_events(request_id: str, first: int = 1) -> list[bytes]:
    """Return all events of a request's stream from number ``first`` on."""
    return [make_event(request_id, each) for each in range(first, EVENTS + 1)]


def make_chunked(data: list[bytes]) -> bytes:
    chunks = [b"%x\r\n%b\r\n" % (len(each), each) for each in data]
    return b"".join(chunks) + b"0\r\n\r\n"


class AnswerFuzzer:
    """One case: targets that write faulty bytes, callers, and what both saw."""

    def __init__(self, seed: int, *, requests: int):
        self.seed = seed
        self.requests = requests
        self.runs: list[Run] = []
        self.calls: list[Call] = []
        self.late_copies = 0
        self.unasked: list[bytes] = []
        self._run_numbers = itertools.count(1)

    async def run(self) -> list[str]:
        """Play the case and return what callers or targets saw that must not be."""
        scripts = [self._script(f"t{number}") for number in range(TARGETS)]
        with trio.fail_after(CASE_TIMEOUT_S):
            async with (
                byte_fleet(
                    *scripts, config=_config(1), answers_early=self._answers_early
                ) as (fleet, targets),
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(self._change_config, fleet, targets)
                async with trio.open_nursery() as callers:
                    for number in range(CALLERS):
                        callers.start_soon(self._call_often, fleet, number)
                nursery.cancel_scope.cancel()
        return [f"seed {self.seed}: {text}" for text in self._violations()]

    # Callers

    async def _call_often(self, fleet: DirectFleet, caller: int) -> None:
        client = Caller(fleet.address)
        for number in range(self.requests // CALLERS):
            request_id = f"{self.seed}-{caller}-{number}"
            rng = random.Random(request_id)
            route = rng.choice(list(RUNS_LIMIT_BY_ROUTE))
            body = b"x" * rng.choice((0, 4, 4, 20_000))
            request = caller_request(request_id, f"/{route}/x", body=body)
            if rng.random() < NEW_CONNECTION_SHARE:
                await client.close()
            answer = await client.call(request)
            self.calls.append(Call(request_id=request_id, route=route, answer=answer))
        await client.close()
        self.unasked += client.unasked

    async def _change_config(
        self, fleet: DirectFleet, targets: list[ByteTarget]
    ) -> None:
        """Install versions and drain one target after the other."""
        for version in itertools.count(2):
            await trio.sleep(CONFIG_PERIOD_S)
            fleet.configure(_config(version))
            target = targets[version // 2 % TARGETS]
            fleet.register(target, is_draining=version % 2 == 0)

    # Targets

    def _answers_early(self, head: h11.Request) -> bool:
        request_id = dict(head.headers)[b"attempt-id"].decode()
        return random.Random(f"early/{request_id}").random() < EARLY_SHARE

    def _script(self, target_id: str):
        async def script(exchange: Exchange) -> bytes:
            rng = random.Random(f"{self.seed}/{exchange.request_id}/{target_id}")
            if rng.random() < 0.3:
                await trio.sleep(rng.random() * 0.01)
            late = self._late_bytes(rng, exchange)
            if rng.random() < 0.1:
                refusal = refusal_bytes(exchange.request_id)
                await _write(rng, exchange, late + refusal)
                return refusal
            run = self._record_run(rng, exchange)
            answer, closes = _encode_run(rng, exchange, run)
            if rng.random() < 0.1:
                # The target breaks off, in the head or in the body. Only a reset shows
                # that an answer without a length isn't whole.
                end = rng.randrange(len(answer))
                await _write(rng, exchange, late + answer[:end])
                is_reset = closes or rng.random() < 0.3
                await (exchange.reset if is_reset else exchange.close)()
                return b""
            await _write(rng, exchange, late + answer)
            if closes:
                await exchange.close()
            elif rng.random() < 0.1:
                # A second copy that is there before the next request, or beside it.
                await trio.sleep(rng.random() * 0.005)
                await exchange.write(_torn(rng, answer))
            return answer

        return script

    def _record_run(self, rng: random.Random, exchange: Exchange) -> Run:
        request_id = exchange.request_id
        is_failure = rng.random() < 0.08
        if is_failure:
            body = f"{request_id} failed".encode()
        elif exchange.path.split("/")[1] in STREAM_ROUTES:
            first = int(exchange.header(b"last-event-id") or 0) + 1
            body = b"".join(make_events(request_id, first))
        else:
            body = f"{request_id} done ".encode() * rng.choice((1, 20))
        run = Run(
            request_id=request_id,
            signature=f"s{next(self._run_numbers)}",
            status=rng.choice((404, 500)) if is_failure else 200,
            body=body,
        )
        self.runs.append(run)
        return run

    def _late_bytes(self, rng: random.Random, exchange: Exchange) -> bytes:
        """Return bytes of an earlier answer, or none."""
        if not exchange.number or rng.random() > LATE_SHARE:
            return b""
        self.late_copies += 1
        old_id = exchange.last_request_id
        refusal = refusal_bytes(old_id)
        sources = (
            exchange.last_answer or refusal,
            refusal,
            _with_id_last(refusal),
            answer_bytes(old_id, b"old", status_line="HTTP/1.1 404 Not Found"),
            b"HTTP/1.1 100 Continue\r\nDate: Fri\r\n\r\n",
        )
        source = rng.choices(sources, weights=(6, 3, 3, 2, 1))[0]
        if rng.random() < 0.5:
            source = _with_other_order(rng, source)
        return source if rng.random() < 0.2 else _torn(rng, source)

    # Checks

    def _violations(self):
        runs_by_id: dict[str, list[Run]] = {}
        for run in self.runs:
            runs_by_id.setdefault(run.request_id, []).append(run)
        for data in self.unasked:
            yield f"bytes to a caller without a request: {data!r}"
        for each in self.calls:
            runs = runs_by_id.get(each.request_id, [])
            for text in _call_violations(each, runs):
                yield f"{each.route} {each.request_id}: {text}"
            if len(runs) > RUNS_LIMIT_BY_ROUTE[each.route]:
                yield f"{each.route} {each.request_id}: ran {len(runs)} times"


def _call_violations(call_: Call, runs: list[Run]):
    answer = call_.answer
    if answer.status is None:
        yield "neither an answer nor a refusal"
        return
    if answer.values("attempt-id") != [call_.request_id]:
        yield f"ids {answer.values('attempt-id')}"
    for name, value in answer.headers:
        if "HTTP/1." in value:
            yield f"{name} contains a status line: {value!r}"
    for name in SINGLE_HEADERS:
        if len(answer.values(name)) > 1:
            yield f"{name} stands twice: {answer.values(name)}"
    if answer.says_not_run and runs:
        yield f"refused as not run with {answer.status}, but ran"
    if signatures := answer.values("replica-signature"):
        own_runs = [run for run in runs if [run.signature] == signatures]
        if not own_runs:
            yield f"signature {signatures} of another run"
        else:
            yield from _run_violations(call_, own_runs[0])
    elif answer.status < 400 or not answer.is_whole:
        yield f"unsigned answer {answer.status}, whole: {answer.is_whole}"


def _run_violations(call_: Call, run: Run):
    answer = call_.answer
    if answer.status != run.status:
        yield f"status {answer.status} instead of {run.status}"
    if call_.route not in STREAM_ROUTES or run.status != 200:
        if (answer.body, answer.is_whole) != (run.body, True):
            yield f"body {answer.body!r}, whole: {answer.is_whole}"
        return
    events = make_events(call_.request_id)
    beginnings = [b"".join(events[:count]) for count in range(len(events) + 1)]
    if answer.body not in beginnings:
        yield f"stream {answer.body!r}"
    elif answer.is_whole and answer.body != beginnings[-1]:
        yield f"stream ends as complete after {answer.body!r}"


def _config(version: int):
    """Return a version of the configuration; some have a further route."""
    routes = [
        make_route("read", RepeatPolicy.IDEMPOTENT),
        make_route("fetch", RepeatPolicy.IDEMPOTENT, attempt_limit=1),
        make_route("sign", RepeatPolicy.SINGLE_RUN),
        make_route("chat", RepeatPolicy.STREAM),
        make_route("draft", RepeatPolicy.STREAM, is_resumable=True),
    ]
    if version % 3:
        routes.append(make_route("other", RepeatPolicy.IDEMPOTENT))
    organisation = Organisation(name="org", keys=("secret",), limit_tokens=10**9)
    return make_config(
        version=version, routes=tuple(routes), organisations=(organisation,)
    )


def _with_id_last(data: bytes) -> bytes:
    """Return an answer whose second line, the id, stands after all other headers."""
    head, _, body = data.partition(b"\r\n\r\n")
    status_line, id_line, *headers = head.split(b"\r\n")
    return b"\r\n".join([status_line, *headers, id_line]) + b"\r\n\r\n" + body


def _with_other_order(rng: random.Random, data: bytes) -> bytes:
    """Return an answer with its headers in another order."""
    head, _, body = data.partition(b"\r\n\r\n")
    status_line, *headers = head.split(b"\r\n")
    rng.shuffle(headers)
    return b"\r\n".join([status_line, *headers]) + b"\r\n\r\n" + body


def _torn(rng: random.Random, data: bytes) -> bytes:
    """Return the beginning of an answer, mostly of its head."""
    head_end = data.find(b"\r\n\r\n") + 4
    return data[: rng.randint(1, head_end if rng.random() < 0.8 else len(data))]


async def _write(rng: random.Random, exchange: Exchange, data: bytes) -> None:
    """Write the bytes at once or in two parts."""
    if data and rng.random() < 0.2:
        middle = rng.randrange(len(data))
        await exchange.write(data[:middle])
        await trio.sleep(rng.random() * 0.005)
        data = data[middle:]
    await exchange.write(data)


def _encode_run(rng: random.Random, exchange: Exchange, run: Run) -> tuple[bytes, bool]:
    """Return the answer's bytes, and whether closing the connection ends it."""
    is_stream = run.status == 200 and exchange.path.split("/")[1] in STREAM_ROUTES
    whole = answer_bytes(
        run.request_id,
        run.body,
        status_line=f"HTTP/1.1 {run.status} Status",
        signature=run.signature,
        headers=STREAM_HEADER if is_stream else "Content-Type: text/plain\r\n",
    )
    length = b"Content-Length: %d\r\n" % len(run.body)
    head = whole[: len(whole) - len(run.body)]
    framing = rng.choices(("length", "chunked", "close"), weights=(5, 4, 1))[0]
    if framing == "length":
        return whole, False
    if framing == "close":
        return head.replace(length, b"") + run.body, True
    middle = rng.randint(0, len(run.body))
    parts = [each for each in (run.body[:middle], run.body[middle:]) if each]
    chunked = head.replace(length, b"Transfer-Encoding: chunked\r\n")
    return chunked + make_chunked(parts), False
