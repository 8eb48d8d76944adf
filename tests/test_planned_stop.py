"""Planned stops: what requests get that arrive while a router drains."""

import socket
from functools import partial

import msgspec
import pytest
import trio
import trio.testing

from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import ServerOptions, serve
from lavenderfold.settings import Address
from tests.direct_support import (
    LOOPBACK,
    answer_successfully,
    make_config,
    make_route,
    run_scenario,
)
from tests.router_fleet import FakeAgent, Fleet, completion, run_fleet

HEAD = (
    b"POST /sign/x HTTP/1.1\r\nhost: host\r\nx-attempt: a\r\nx-key: secret\r\n"
    b"x-tokens: 1,2\r\ncontent-length: 4\r\n\r\n"
)
REQUEST = HEAD + b"body"
# While draining, requests are accepted this long and refused after it.
ACCEPT_S = 2.5
SEND_PERIOD_S = 0.005


async def receive_all(stream: trio.SocketStream) -> bytes:
    """Receive until the router closes the connection."""
    received = b""
    try:
        while data := await stream.receive_some(65536):
            received += data
    except trio.BrokenResourceError:
        pass
    return received


@pytest.mark.parametrize("first_part", [HEAD[:30], HEAD, HEAD + b"bo"])
def test_request_that_is_being_read_when_the_last_one_ends_is_answered(first_part):
    """Guards against a closed connection instead of a refusal.

    The router is idle but for this request, which ends a moment later.
    """

    async def scenario(fleet):
        address = fleet.address
        fleet.router.drain()
        await trio.sleep(ACCEPT_S - 0.5)
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            await stream.send_all(first_part)
            await trio.sleep(1.2)
            await stream.send_all(REQUEST[len(first_part) :])
            answer = await receive_all(stream)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after" in answer

    run_scenario(scenario, answer_successfully)


class CallerUnderLoad:
    """Sends a request on a new connection again and again, until it is refused.

    ``statuses`` holds those of the answers; ``cut`` counts the connections that ended
    without an answer although the router had accepted them.
    """

    def __init__(self, address: Address):
        self.statuses: list[int] = []
        self.cut = 0
        self._address = address

    async def run(self) -> None:
        while True:
            try:
                stream = await trio.open_tcp_stream(
                    self._address.host, self._address.port
                )
            except OSError:
                return
            async with stream:
                await self._send_request(stream)
            await trio.sleep(SEND_PERIOD_S)

    async def _send_request(self, stream: trio.SocketStream) -> None:
        try:
            await stream.send_all(REQUEST)
        except trio.BrokenResourceError:
            self.cut += 1
            return
        answer = await receive_all(stream)
        if answer:
            self.statuses.append(int(answer.split()[1]))
        else:
            self.cut += 1


def test_requests_accepted_during_a_planned_stop_under_load_are_all_answered():
    """Guards against connections that are accepted and closed without an answer.

    A request that takes longer than requests are accepted delays the end of the stop.
    """

    async def answer(request, writer):
        if request.header("x-attempt") == "slow":
            await trio.sleep(1.0)
        await answer_successfully(request, writer)

    async def scenario(fleet):
        callers = [CallerUnderLoad(fleet.address) for _ in range(20)]
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(caller.run)
            fleet.router.drain()
            await trio.sleep(ACCEPT_S - 0.3)
            assert (await fleet.send_request("/sign/x", attempt="slow")).status == 200
        statuses = {status for caller in callers for status in caller.statuses}
        assert statuses == {200, 503}
        assert sum(caller.cut for caller in callers) == 0

    run_scenario(scenario, answer)


def test_request_that_arrives_while_grants_are_handed_back_is_refused():
    """Guards against a request that is read just before the process ends."""

    async def scenario(fleet):
        await fleet.send_request("/read/x")
        # Handing back takes as long as it may.
        fleet.store.is_down = True
        fleet.router.drain()
        await trio.sleep(ACCEPT_S + 0.2)
        address = fleet.address
        for _ in range(3):
            stream = await trio.open_tcp_stream(address.host, address.port)
            async with stream:
                await stream.send_all(REQUEST)
                assert (await receive_all(stream)).startswith(b"HTTP/1.1 503")
            await trio.sleep(0.1)

    run_scenario(scenario, answer_successfully)


def test_late_requests_are_refused_also_within_a_short_grace_period():
    """Guards against requests that are passed on until the process ends."""

    async def answer_slowly(request, writer):
        await trio.sleep(1.8)
        await answer_successfully(request, writer)

    async def scenario(fleet):
        options = msgspec.structs.replace(fleet.router.options, grace_period_s=3.0)
        fleet.router.reload(options)
        fleet.router.drain()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send_request, "/sign/x")
            await trio.sleep(1.6)
            late_answer = await fleet.send_request("/sign/x")
        assert late_answer.status == 503
        assert len(fleet.target_by_id["t0"].received) == 1

    run_scenario(scenario, answer_slowly)


@pytest.mark.parametrize(("path", "statuses"), [("/sign/x", [502]), ("/read/x", [502])])
def test_request_that_its_target_does_not_answer_is_answered_before_the_end(
    path, statuses
):
    """Guards against a closed connection at the end of the grace period."""

    async def never_answer(request, writer):
        await trio.sleep_forever()

    async def scenario(fleet):
        options = msgspec.structs.replace(fleet.router.options, grace_period_s=3.0)
        fleet.router.reload(options)
        fleet.router.drain()
        await trio.sleep(0.9)
        answer = await fleet.send_request(path, patience="9")
        assert answer.status in statuses
        assert b"draining" in answer.body

    routes = tuple(
        make_route(name, policy, timeout_s=9.0)
        for name, policy in (
            ("read", RepeatPolicy.IDEMPOTENT),
            ("sign", RepeatPolicy.SINGLE_RUN),
        )
    )
    run_scenario(scenario, never_answer, config=make_config(routes=routes))


def test_kept_connection_is_answered_or_closed_unused_during_a_planned_stop():
    """Guards against closing a kept connection with a request on it."""
    answers = {}

    async def use_after(delay_s, stream):
        await trio.sleep(delay_s)
        try:
            await stream.send_all(REQUEST)
        except trio.BrokenResourceError:
            return
        answers[delay_s] = await receive_all(stream)

    async def scenario(fleet):
        delays = [1.0, ACCEPT_S - 0.05, ACCEPT_S + 0.05, ACCEPT_S + 0.15]
        async with trio.open_nursery() as nursery:
            for delay_s in delays:
                stream = await trio.open_tcp_stream(
                    fleet.address.host, fleet.address.port
                )
                await stream.send_all(REQUEST)
                assert (await stream.receive_some(65536)).startswith(b"HTTP/1.1 200")
                nursery.start_soon(use_after, delay_s, stream)
            fleet.router.drain()
        for delay_s, status in zip(delays, (200, 200, 503, 503), strict=True):
            assert answers[delay_s].startswith(b"HTTP/1.1 %d" % status), delay_s
            assert b"connection: close" in answers[delay_s]

    run_scenario(scenario, answer_successfully)


def test_agent_based_router_answers_a_request_that_it_is_reading_when_it_drains():
    """Guards against a closed connection instead of a refusal."""
    body = completion()
    head = (
        "POST /v1/completions HTTP/1.1\r\nhost: host\r\n"
        f"authorization: Bearer regina.secret\r\ncontent-length: {len(body)}\r\n\r\n"
    ).encode()

    async def check(fleet: Fleet):
        address = fleet.router.addresses["listen"]
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            await stream.send_all(head + body[:5])
            await trio.sleep(0.1)
            fleet.router.drain()
            # The router has nothing else to do.
            await trio.sleep(1.0)
            await stream.send_all(body[5:])
            assert (await receive_all(stream)).startswith(b"HTTP/1.1 503")
        with trio.fail_after(10):
            await fleet.router.finished.wait()

    run_fleet(check, FakeAgent("t1"))


def test_connection_that_arrives_as_a_server_stops_is_answered_or_refused():
    """Guards against an error of the task that accepts connections.

    It was woken for a connection, and the socket was closed before it ran.
    """

    async def main():
        for _ in range(30):
            options = ServerOptions()

            async def serve_answers(task_status, options=options):
                await serve(
                    answer_successfully,
                    address=Address(host=LOOPBACK, port=0),
                    options=options,
                    task_status=task_status,
                )

            async with trio.open_nursery() as nursery:
                address = await nursery.start(serve_answers)
                await trio.testing.wait_all_tasks_blocked()
                with trio.fail_after(5):
                    async with connect_and_stop(address, options) as stream:
                        await stream.send_all(REQUEST)
                        assert await stream.receive_some(65536)

    trio.run(main)


def connect_and_stop(address: Address, options: ServerOptions) -> trio.SocketStream:
    """Connect and request the stop of the server before any task runs."""
    caller = socket.create_connection((address.host, address.port))
    options.stop_requested.set()
    return trio.SocketStream(trio.socket.from_stdlib_socket(caller))


@pytest.mark.parametrize("is_cancelled_first", [False, True])
def test_server_that_is_stopped_and_cancelled_at_once_ends(is_cancelled_first):
    """Guards against an error at the end of a router that is cancelled as it stops.

    The listeners were closed by the cancellation before the stop looked at them.
    """

    async def main():
        for _ in range(20):
            stop_requested = trio.Event()
            start = partial(
                serve,
                answer_successfully,
                address=Address(host="127.0.0.1", port=0),
                options=ServerOptions(stop_requested=stop_requested),
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(start)
                await trio.testing.wait_all_tasks_blocked()
                steps = [stop_requested.set, nursery.cancel_scope.cancel]
                for step in reversed(steps) if is_cancelled_first else steps:
                    step()

    trio.run(main)
