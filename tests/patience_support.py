"""Routes, targets and requests for tests of how long a request waits."""

import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

import trio

from lavenderfold.fleet import RepeatPolicy, Route
from lavenderfold.http import HttpResponse
from lavenderfold.settings import Address
from tests.direct_support import LOOPBACK, DirectFleet, make_route

# Enough to fill the queue of a listener with a backlog of 0.
QUEUE_FILLERS = 4
# An event loop that is late by less than this counts as running.
LATENESS_STEP_S = 0.01
# Time for the router to read a changed registration.
REGISTRATION_S = 0.3


def make_stream_routes(*, patience_s: float) -> tuple[Route, ...]:
    """Return ``chat`` and the resumable ``draft`` with their callers' patience."""
    return (
        make_route("chat", RepeatPolicy.STREAM, timeout_s=4.0, patience_s=patience_s),
        make_route(
            "draft",
            RepeatPolicy.STREAM,
            timeout_s=4.0,
            patience_s=patience_s,
            is_resumable=True,
        ),
    )


class EventLoopLateness:
    """Adds up, in ``total_s``, for how long the event loop didn't run."""

    def __init__(self):
        self.total_s = 0.0

    async def measure(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = trio.current_time() + LATENESS_STEP_S
            await trio.sleep(LATENESS_STEP_S)
            late_s = trio.current_time() - due_at
            if late_s > LATENESS_STEP_S:
                self.total_s += late_s


@contextmanager
def silent_address() -> Iterator[Address]:
    """Yield an address that neither accepts nor refuses connections."""
    with ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((LOOPBACK, 0))
        listener.listen(0)
        # The queue of the listener is full from here on.
        for _ in range(QUEUE_FILLERS):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield Address(host=LOOPBACK, port=listener.getsockname()[1])


async def move_target(fleet: DirectFleet, id: str, address: Address) -> None:
    """Register a target at another address and let the router read it."""
    target = fleet.target_by_id[id]
    target.address = address
    fleet.register(target)
    await trio.sleep(REGISTRATION_S)


async def request_during_change(
    fleet: DirectFleet,
    path: str,
    *,
    is_due: Callable[[], bool],
    change: Callable[[], None],
) -> HttpResponse:
    """Send a request, call ``change`` once it is due, and return the answer."""
    answers = []

    async def send() -> None:
        answers.append(await fleet.send_request(path, patience="6"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await fleet.wait_until(is_due)
        change()
    return answers[0]
