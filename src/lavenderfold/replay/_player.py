"""Replays a trace: sends each request at its recorded time."""

import random
from collections.abc import Sequence

import msgspec
import trio

from lavenderfold.http import HttpClient
from lavenderfold.identifiers import make_request_id
from lavenderfold.replay._call import Call
from lavenderfold.replay._records import CallRecord
from lavenderfold.replay._routers import Router, RouterSelector
from lavenderfold.replay._trace import TraceRequest
from lavenderfold.timers import TimerService

REQUEST_ID_RANDOM_BITS = 74


class PlayOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How to replay a trace.

    ``time_scale`` is the number of seconds that a second of the trace takes in the
    replay; 0 sends requests as fast as ``concurrency``, the limit of open requests,
    permits. ``key_secret`` is the secret part of each organisation's API key, whose
    text is ``ORGANISATION.SECRET``.
    """

    routers: Sequence[Router]
    key_secret: str
    time_scale: float = 1.0
    concurrency: int = 256
    idle_timeout_s: float = 10.0
    request_timeout_s: float = 120.0


class Player:
    """Sends the requests of a trace and records what their callers received.

    ``records`` holds a record for each request that was sent so far.
    """

    def __init__(self, *, options: PlayOptions, timers: TimerService):
        self.records: list[CallRecord] = []
        self._options = options
        self._timers = timers
        self._router_selector = RouterSelector(routers=options.routers)
        self._slots = trio.Semaphore(options.concurrency)
        self._random = random.SystemRandom()
        self._client_by_address = {
            router.address: HttpClient(address=router.address)
            for router in options.routers
        }

    async def play(self, requests: Sequence[TraceRequest]) -> list[CallRecord]:
        """Send all requests; return their records in the order of the trace."""
        start_s = self._timers.now()
        records = self.records = []
        async with trio.open_nursery() as nursery:
            for request in requests:
                due_s = start_s + request.offset_s * self._options.time_scale
                await trio.sleep(max(0.0, due_s - self._timers.now()))
                await self._slots.acquire()
                record = self._make_record(request, due_s)
                records.append(record)
                nursery.start_soon(self._run_call, record)
        for client in self._client_by_address.values():
            await client.close()
        return records

    def _make_record(self, request: TraceRequest, due_s: float) -> CallRecord:
        # With time scale 0 requests have no due times, so latency counts from now.
        if self._options.time_scale == 0:
            due_s = self._timers.now()
        request_id = make_request_id(
            unix_time=self._timers.unix_time(),
            random_bits=self._random.getrandbits(REQUEST_ID_RANDOM_BITS),
        )
        return CallRecord(request=request, request_id=request_id, due_s=due_s)

    async def _run_call(self, record: CallRecord) -> None:
        call = Call(
            record=record,
            api_key=f"{record.request.organisation}.{self._options.key_secret}",
            router_selector=self._router_selector,
            client_by_address=self._client_by_address,
            idle_timeout_s=self._options.idle_timeout_s,
            timers=self._timers,
        )
        try:
            with trio.move_on_after(self._options.request_timeout_s) as scope:
                await call.run()
            if scope.cancelled_caught:
                record.fault = "the caller's time ran out"
        finally:
            self._slots.release()
