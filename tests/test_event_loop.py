"""Turns of the event loop, and the bounds on arrivals that follow from them."""

import errno
import socket

import trio
from trio.testing import MockClock

from lavenderfold.accepting import (
    EXHAUSTED_PAUSE_S,
    Acceptor,
    open_listening_sockets,
)
from lavenderfold.event_loop import WAKE_UP_S, EventLoopTurns, event_loop_turns

LOOPBACK = "127.0.0.1"
TURN_S = 0.0625


async def make_turns_slow(clock: MockClock) -> None:
    """Let each turn of the event loop take TURN_S."""
    while True:
        clock.jump(TURN_S)
        await trio.lowlevel.checkpoint()


async def skip_turns(count: int) -> None:
    for _ in range(count):
        await trio.lowlevel.checkpoint()


def test_input_that_a_busy_event_loop_finds_came_at_most_one_turn_ago():
    """Guards against a bound that a long turn, or an idle wait, makes wrong."""
    clock = MockClock()

    async def main():
        turns = event_loop_turns()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_turns_slow, clock)
            await skip_turns(5)
            since_s = trio.current_time() - turns.input_since
            assert TURN_S <= since_s <= 3 * TURN_S
            assert TURN_S <= turns.longest_s <= 2 * TURN_S
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)


def test_input_that_ends_an_idle_wait_is_new():
    """Guards against requests that count as old because nothing came before them."""

    async def main():
        turns = event_loop_turns()
        sender, receiver = socket.socketpair()
        with sender, receiver:
            receiver.setblocking(False)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.lowlevel.wait_readable, receiver)
                await trio.sleep(0.2)
                asked_at = trio.current_time()
                await trio.to_thread.run_sync(sender.send, b"x")
            assert turns.input_since >= asked_at

    trio.run(main)


def test_input_after_a_long_idle_wait_is_new():
    """Guards against requests that count as old because the server was idle."""
    clock = MockClock()

    async def main():
        turns = EventLoopTurns(now=trio.current_time())
        clock.jump(5)
        turns.before_io_wait(1.0)
        clock.jump(0.5)
        turns.after_io_wait(1.0)
        assert trio.current_time() - turns.input_since <= WAKE_UP_S

    trio.run(main, clock=clock)


def test_long_turn_is_logged(caplog):
    """Guards against stalls of the event loop that no line shows."""
    clock = MockClock()

    async def main():
        event_loop_turns()
        await skip_turns(2)
        clock.jump(0.7)
        await skip_turns(2)

    with caplog.at_level("WARNING"):
        trio.run(main, clock=clock)
    stalls = [each for each in caplog.records if each.msg == "event_loop_stalled"]
    assert [each.duration_ms for each in stalls] == [700]


def test_waits_in_the_queue_are_logged(caplog):
    """Guards against callers that wait in the listen queue while no line says so."""
    clock = MockClock()
    accepted = []

    async def main():
        event_loop_turns()
        (listening,) = await open_listening_sockets(LOOPBACK, 0)
        with listening:
            address = listening.getsockname()
            acceptor = Acceptor(listening=listening, on_accepted=accepted.append)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(acceptor.run)
                await skip_turns(3)
                queued_at = trio.current_time()
                callers = [socket.create_connection(address) for _ in range(3)]
                clock.jump(0.7)
                await skip_turns(10)
                nursery.cancel_scope.cancel()
            for each in callers:
                each.close()
            for each in accepted:
                each.stream.socket.close()
        assert len(accepted) == 3
        assert all(each.queued_since <= queued_at for each in accepted)

    with caplog.at_level("WARNING"):
        trio.run(main, clock=clock)
    waits = [each for each in caplog.records if each.msg == "connections_waited"]
    assert len(waits) == 1
    assert (waits[0].waited_ms, waits[0].accepted) == (700, 3)


class ExhaustedSocket(socket.socket):
    """A listening socket that can't be accepted from the first two times."""

    failures_left = 2

    def accept(self):
        if self.failures_left:
            self.failures_left -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return super().accept()


def test_connection_waits_until_the_process_can_accept_it():
    """Guards against a server that ends, or forgets the wait, without descriptors."""
    accepted = []

    async def main():
        event_loop_turns()
        is_accepted = trio.Event()

        def accept(connection):
            accepted.append(connection)
            is_accepted.set()

        (opened,) = await open_listening_sockets(LOOPBACK, 0)
        with ExhaustedSocket(fileno=opened.detach()) as listening:
            acceptor = Acceptor(listening=listening, on_accepted=accept)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(acceptor.run)
                await skip_turns(3)
                with socket.create_connection(listening.getsockname()):
                    queued_at = trio.current_time()
                    await is_accepted.wait()
                nursery.cancel_scope.cancel()
        assert trio.current_time() - queued_at >= 2 * EXHAUSTED_PAUSE_S
        assert accepted[0].queued_since <= queued_at
        accepted[0].stream.socket.close()

    trio.run(main)


def test_connections_that_a_stopping_server_still_accepts_are_new():
    """Guards against last requests that count as sent when the queue last emptied."""
    accepted = []

    async def main():
        (listening,) = await open_listening_sockets(LOOPBACK, 0)
        address = listening.getsockname()
        acceptor = Acceptor(listening=listening, on_accepted=accepted.append)
        with trio.move_on_after(0.1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(acceptor.run)
                socket.create_connection(address).close()
        await trio.sleep(0.2)
        stopped_at = trio.current_time()
        with socket.create_connection(address):
            acceptor.accept_rest()
        assert len(accepted) == 2
        assert accepted[1].queued_since >= stopped_at - 0.1
        for each in accepted:
            each.stream.socket.close()

    trio.run(main)
