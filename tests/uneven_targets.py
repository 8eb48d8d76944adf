"""Targets that refuse, pause, fail and break off, as the ids of requests say."""

import random

import trio

from lavenderfold.http import HttpRequest, HttpResponse, ResponseWriter
from tests.direct_support import event, reject, valid_headers
from tests.raw_answers import EVENT_STREAM

# Longer than a router waits for a target before it asks another one.
SILENCE_S = 0.9
SILENT_SHARE = 0.12
SMALL_BYTES = 100
# More than the socket buffers of a slow caller take.
LARGE_BYTES = 6_000_000
# The end of the ids of requests with a large answer.
LARGE = "large"
EVENTS = 4


def body_of(request_id: str) -> bytes:
    """Return the body of the only right answer to a request."""
    size = LARGE_BYTES if request_id.endswith(LARGE) else SMALL_BYTES
    unit = f"{request_id} ".encode()
    return unit * (size // len(unit) + 1)


def events_of(request_id: str) -> list[bytes]:
    """Return the events of the only right stream in answer to a request."""
    note = f": {request_id}\n".encode()
    return [note + event(number) for number in range(1, EVENTS + 1)]


class Targets:
    """What the targets do with the requests that reach them.

    ``arrived`` holds the ids of these requests, ``ran`` those of which a run began and
    ``failed`` those of which a run failed or broke off.
    """

    def __init__(self, *, silent_share: float):
        self._silent_share = silent_share
        self.arrived: set[str] = set()
        self.ran: set[str] = set()
        self.failed: set[str] = set()

    async def handle(
        self, target_id: str, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        request_id = request.header("x-attempt")
        rng = random.Random(f"{request_id}/{target_id}")
        self.arrived.add(request_id)
        if rng.random() < 0.1:
            await reject(request, writer)
            return
        self.ran.add(request_id)
        await self._pause(rng, self._silent_share)
        what = rng.choice(("answer",) * 6 + ("fail", "close"))
        if what == "fail":
            self.failed.add(request_id)
            headers = valid_headers(request)
            await writer.send(HttpResponse(status=500, headers=headers, body=b"failed"))
        elif what == "close":
            await self._break_off(request_id, writer)
        elif request.path.startswith(("/chat", "/draft")):
            await self._stream(rng, request, writer)
        else:
            headers = valid_headers(request)
            body = body_of(request_id)
            await writer.send(HttpResponse(status=200, headers=headers, body=body))

    async def _stream(
        self, rng: random.Random, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        request_id = request.header("x-attempt")
        first = int(request.header("x-last") or 0)
        await writer.start(200, [*valid_headers(request), EVENT_STREAM])
        for data in events_of(request_id)[first:]:
            await self._pause(rng, self._silent_share / 2)
            if rng.random() < 0.04:
                await self._break_off(request_id, writer)
                return
            await writer.write(data)
        await writer.finish()

    async def _pause(self, rng: random.Random, silent_share: float) -> None:
        is_silent = rng.random() < silent_share
        await trio.sleep(SILENCE_S if is_silent else rng.choice((0.0, 0.0, 0.02)))

    async def _break_off(self, request_id: str, writer: ResponseWriter) -> None:
        self.failed.add(request_id)
        await writer._stream.aclose()
