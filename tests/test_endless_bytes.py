"""Targets that send bytes without end that are no answer.

A router keeps at most ANSWER_BYTES_LIMIT of a body, EVENT_BYTES_LIMIT of an event and
16 KiB of a head, a chunk's size or trailers, and 64 KiB received at once. The bounds
below add what the sockets of a connection hold.
"""

import tracemalloc
from collections.abc import Callable

import pytest
import trio

from lavenderfold.direct._answer_memory import ANSWER_BYTES_LIMIT
from lavenderfold.direct._events import EVENT_BYTES_LIMIT, EVENT_PARTS_LIMIT
from lavenderfold.fleet import RepeatPolicy
from tests.direct_support import (
    answer_successfully,
    count_target_requests,
    event,
    make_config,
    make_route,
    run_scenario,
    stream,
    valid_headers,
)
from tests.raw_answers import CHUNKED, EVENT_STREAM, encode_success

HEAD_BYTES_LIMIT = 16 * 1024
SOCKET_BYTES = 16 * 1024 * 1024
# Half of the memory that a router has on the smallest VMs.
MEMORY_BYTES_LIMIT = 150_000_000
REQUESTS_AT_ONCE = 20
# So many bytes show that the endless answers have begun.
ENDLESS_BEGUN_BYTES = 4 * 1024 * 1024
# The size of a chunk that holds one byte.
SMALL_CHUNK_BYTES = 6
# The router must go on with other work meanwhile.
MAX_LOOP_DELAY_S = 1.0


class Endless:
    """Bytes without end: ``start`` once and ``repeated`` ever after.

    ``limit`` is how many of them a router may keep.
    """

    def __init__(
        self,
        *,
        start: Callable[..., bytes],
        repeated: bytes,
        limit: int = HEAD_BYTES_LIMIT,
    ):
        self.start = start
        self.repeated = repeated
        self.limit = limit


def nothing(request) -> bytes:
    return b""


def head_without_end(request) -> bytes:
    return encode_success(request)[: -len(b"\r\n")]


def success(*headers, body: bytes = b"") -> Callable[..., bytes]:
    return lambda request: encode_success(request, *headers, body=body)


ENDLESS_BY_PLACE = {
    "no head": Endless(start=nothing, repeated=b"x"),
    "status line": Endless(start=lambda request: b"HTTP/1.1 200 ", repeated=b"x"),
    "head": Endless(start=head_without_end, repeated=b"x-more: x\r\n"),
    "header line": Endless(
        start=lambda request: head_without_end(request) + b"x-more: ", repeated=b"x"
    ),
    "interim responses": Endless(
        start=nothing, repeated=b"HTTP/1.1 102 Processing\r\n\r\n"
    ),
    "unframed body": Endless(start=success(), repeated=b"x", limit=ANSWER_BYTES_LIMIT),
    "body with a length": Endless(
        start=success(("content-length", str(10**15))),
        repeated=b"x",
        limit=ANSWER_BYTES_LIMIT,
    ),
    "chunk size": Endless(start=success(CHUNKED), repeated=b"0"),
    "chunk extension": Endless(start=success(CHUNKED, body=b"5;"), repeated=b"x"),
    "chunk": Endless(
        start=success(CHUNKED, body=b"FFFFFFFFFFFF\r\n"),
        repeated=b"x",
        limit=ANSWER_BYTES_LIMIT,
    ),
    "trailers": Endless(
        start=success(CHUNKED, body=b"0\r\n"), repeated=b"x-more: x\r\n"
    ),
    "event": Endless(
        start=success(EVENT_STREAM, body=b"data: "),
        repeated=b"x",
        limit=EVENT_BYTES_LIMIT,
    ),
    "event in chunks": Endless(
        start=success(EVENT_STREAM, CHUNKED),
        repeated=b"1\r\nx\r\n",
        limit=SMALL_CHUNK_BYTES * EVENT_PARTS_LIMIT,
    ),
    "lines of an event": Endless(
        start=success(EVENT_STREAM),
        repeated=b"data: x\n",
        limit=EVENT_BYTES_LIMIT,
    ),
}


class EndlessTarget:
    """Sends endless bytes until the router closes the connection.

    With ``is_slow`` they come one at a time. ``sent`` counts them, and ``closed`` the
    connections that the router closed.
    """

    def __init__(self, endless: Endless, *, is_slow: bool = False):
        self.sent = 0
        self.closed = 0
        self._endless = endless
        self._is_slow = is_slow

    async def answer(self, request, writer) -> None:
        stream = writer._stream
        repeated = self._endless.repeated
        try:
            await stream.send_all(self._endless.start(request))
            while True:
                if self._is_slow:
                    for position in range(len(repeated)):
                        await stream.send_all(repeated[position : position + 1])
                        await trio.sleep(0.05)
                    continue
                block = repeated * (16384 // len(repeated))
                await stream.send_all(block)
                self.sent += len(block)
        except trio.BrokenResourceError:
            self.closed += 1


async def measure_loop_delay(delays: list[float]) -> None:
    """Append the longest delay of the event loop so far, until cancelled."""
    while True:
        due_at = trio.current_time() + 0.02
        await trio.sleep_until(due_at)
        delays.append(max(trio.current_time() - due_at, delays[-1] if delays else 0.0))


def path_for(place: str, *, stream_path: str, other_path: str) -> str:
    return stream_path if "event" in place else other_path


@pytest.mark.parametrize("place", ENDLESS_BY_PLACE)
def test_endless_answer_is_ended_at_its_limit_and_other_work_goes_on(place):
    """Guards against memory without bound and a router that is busy with one answer."""
    endless = ENDLESS_BY_PLACE[place]
    target = EndlessTarget(endless)
    delays = []

    async def scenario(fleet):
        path = path_for(place, stream_path="/chat/x", other_path="/sign/x")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(measure_loop_delay, delays)
            answer = await fleet.send_request(path, patience="10")
            nursery.cancel_scope.cancel()
        assert answer.status == 502
        assert count_target_requests(fleet) == 1
        await fleet.wait_until(lambda: target.closed == 1)
        assert target.sent < endless.limit + SOCKET_BYTES
        assert max(delays, default=0.0) < MAX_LOOP_DELAY_S

    # The answer is ended for its bytes, however slow the machine is.
    routes = (
        make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=10.0),
        make_route("chat", RepeatPolicy.STREAM, timeout_s=10.0),
    )
    config = make_config(routes=routes)
    run_scenario(scenario, target.answer, target.answer, config=config)


@pytest.mark.parametrize("place", ENDLESS_BY_PLACE)
@pytest.mark.parametrize("is_slow", [False, True])
def test_request_goes_on_elsewhere_and_the_target_is_ejected(place, is_slow):
    """Guards against later requests that wait for the same endless answer."""
    target = EndlessTarget(ENDLESS_BY_PLACE[place], is_slow=is_slow)
    is_stream = "event" in place
    good = stream() if is_stream else answer_successfully
    whole = b"".join(event(number) for number in range(1, 5)) if is_stream else b"done"

    async def scenario(fleet):
        path = path_for(place, stream_path="/draft/x", other_path="/read/x")
        bad_id = await find_chosen_target(fleet, path)
        fleet.target_by_id[bad_id].script = target.answer
        before = len(fleet.target_by_id[bad_id].received)
        answer = await fleet.send_request(path)
        assert (answer.status, answer.body) == (200, whole)
        await fleet.wait_until(lambda: target.closed == 1)
        assert len(fleet.target_by_id[bad_id].received) == before + 1
        states = fleet.router._services.load_tracker._state_by_key
        failures = {key.id: state.failures for key, state in states.items()}
        assert failures[bad_id] == 1

    run_scenario(scenario, good, good)


def test_target_that_is_silent_and_then_breaks_off_has_failed_once():
    """Guards against an ejection that is twice as long for one request.

    On a slow machine a target's bytes without end also take longer than the wait for
    an event.
    """

    async def answer(request, writer):
        content_type = ("content-type", "text/event-stream")
        await writer.start(200, [*valid_headers(request), content_type])
        await trio.sleep(1.0)
        raise RuntimeError("the target breaks off")

    async def scenario(fleet):
        assert (await fleet.send_request("/draft/x")).status in (502, 504)
        states = fleet.router._services.load_tracker._state_by_key
        assert [state.failures for state in states.values()] == [1]

    run_scenario(scenario, answer)


@pytest.mark.parametrize("place", ["unframed body", "body with a length", "chunk"])
def test_many_endless_answers_at_once_leave_memory_for_other_requests(place):
    """Guards against a router that ends for its memory, with all its requests.

    Each answer is ended at its own limit, but many together kept gigabytes.
    """
    target = EndlessTarget(ENDLESS_BY_PLACE[place])
    peak_bytes = 0

    async def answer(request, writer):
        if request.path.startswith("/read/"):
            await answer_successfully(request, writer)
        else:
            await target.answer(request, writer)

    async def scenario(fleet):
        nonlocal peak_bytes
        statuses = []

        async def ask():
            answer = await fleet.send_request("/sign/x", patience="60")
            statuses.append(answer.status)

        tracemalloc.start()
        async with trio.open_nursery() as nursery:
            for _ in range(REQUESTS_AT_ONCE):
                nursery.start_soon(ask)
            await fleet.wait_until(lambda: target.sent > ENDLESS_BEGUN_BYTES)
            assert (await fleet.send_request("/read/x", patience="60")).status == 200
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert statuses == [502] * REQUESTS_AT_ONCE

    routes = (
        make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=60.0),
        make_route("read", RepeatPolicy.IDEMPOTENT, timeout_s=60.0),
    )
    config = make_config(routes=routes)
    run_scenario(scenario, answer, answer, config=config)
    assert peak_bytes < MEMORY_BYTES_LIMIT


async def find_chosen_target(fleet, path: str) -> str:
    """Return the id of the target that a request goes to when both are idle."""
    await fleet.send_request(path)
    return next(each.id for each in fleet.target_by_id.values() if each.received)


@pytest.mark.parametrize("place", ENDLESS_BY_PLACE)
def test_slow_endless_answer_ends_with_the_timeout_of_the_route(place):
    """Guards against a caller that waits as long as single bytes arrive."""
    target = EndlessTarget(ENDLESS_BY_PLACE[place], is_slow=True)

    async def scenario(fleet):
        path = path_for(place, stream_path="/chat/x", other_path="/sign/x")
        started_at = trio.current_time()
        answer = await fleet.send_request(path)
        assert answer.status in (502, 504)
        assert trio.current_time() - started_at < 4.0
        await fleet.wait_until(lambda: target.closed == 1)
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, target.answer, target.answer)
