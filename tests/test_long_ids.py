"""Ids that callers choose are kept by number, so their length mustn't count."""

import logging
import os
import tracemalloc
from functools import partial

import trio

from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    ResponseWriter,
    serve,
)
from lavenderfold.logs import BoundedLogHandler
from lavenderfold.process_memory import MIB
from lavenderfold.quarantine import PromptQuarantine
from lavenderfold.settings import Address
from lavenderfold.timers import TimerService

LOOPBACK = Address(host="127.0.0.1", port=0)
# Fits into a head of 16 KB.
ID_CHARACTERS = 15_800
ANSWERED_PARTS = 9000
EXCHANGES = 70
LOG_LINES = 550
PARTS_LIMIT_BYTES = 4 * MIB
CONNECTION_LIMIT_BYTES = MIB // 4


def long_id(number: int) -> str:
    return f"{number}".zfill(ID_CHARACTERS)


def test_answered_parts_with_long_ids_take_little_memory():
    """Guards against a router that grows by each long prompt part that it serves."""
    quarantine = PromptQuarantine(timers=TimerService())
    tracemalloc.start()
    try:
        for number in range(ANSWERED_PARTS):
            quarantine.record_answer((long_id(number),))
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes < PARTS_LIMIT_BYTES


def test_kept_connection_remembers_little_of_long_ids():
    """Guards against idle connections to targets that hold a megabyte of ids each."""

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        await writer.send(HttpResponse(status=200))

    async def exchange() -> int:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(partial(serve, answer, address=LOOPBACK))
            client = HttpClient(address=address)
            request = HttpRequest(method="POST", target="/x")
            tracemalloc.start()
            try:
                for number in range(EXCHANGES):
                    stream = client.stream(request, exchange_id=long_id(number))
                    async with stream as response:
                        await response.read()
                kept_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            await client.close()
            nursery.cancel_scope.cancel()
        return kept_bytes

    assert trio.run(exchange) < CONNECTION_LIMIT_BYTES


def test_long_log_lines_wait_within_a_bound():
    """Guards against lines of long paths that pile up while nobody reads the log."""
    reading, writing = os.pipe()
    handler = BoundedLogHandler(fd=writing)
    level = logging.WARNING
    tracemalloc.start()
    try:
        # Lines have a limit per second, and the records of one second fit into it.
        for number in range(LOG_LINES):
            message = long_id(number)
            handler.emit(logging.LogRecord("n", level, "", 0, message, None, None))
        handler.flush_pending()
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        os.close(reading)
        os.close(writing)
    assert kept_bytes < PARTS_LIMIT_BYTES + MIB
    assert handler.dropped_count > 0
