"""Stand-in answers of targets that leave or want nothing for a while."""

import math
from collections.abc import Callable
from functools import partial

from lavenderfold.http import HttpClient, HttpRequest, HttpResponse, ResponseWriter

LEAVING_ITEM = ("x-leaving", "1")


def read_pause(status: int, text: str | None) -> float | None:
    """Return the pause in an answer's header in seconds, NaN if it is no number."""
    if status != 503 or text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return math.nan


class LeavingWriter:
    """A writer of answers that say whether their target leaves at their head."""

    def __init__(self, *, writer: ResponseWriter, is_leaving: Callable[[], bool]):
        self._writer = writer
        self._is_leaving = is_leaving

    def __getattr__(self, name: str) -> object:
        return getattr(self._writer, name)

    async def send(self, response: HttpResponse) -> None:
        response.headers = [*response.headers, *self._notice()]
        await self._writer.send(response)

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        await self._writer.start(status, [*headers, *self._notice()])

    def _notice(self) -> list[tuple[str, str]]:
        return [LEAVING_ITEM] if self._is_leaving() else []


async def _answer_pause(
    text: str, is_not_run: bool, request: HttpRequest, writer: ResponseWriter
) -> None:
    headers = [("x-attempt", request.header("x-attempt")), ("x-pause", text)]
    if is_not_run:
        headers.append(("x-not-run", "1"))
    await writer.send(HttpResponse(status=503, headers=headers))


def turn_away(pause: float | str, *, is_not_run: bool = True):
    """Return a script that turns each request away, with a pause in seconds."""
    return partial(_answer_pause, str(pause), is_not_run)


async def reach(fleet, id: str, path: str = "/read/x") -> HttpResponse:
    """Send requests until one reaches the target, and return the answer to it."""
    target = fleet.target_by_id[id]
    for number in range(40):
        before = len(target.received)
        answer = await fleet.send_request(path, attempt=f"reach-{number}")
        if len(target.received) > before:
            return answer
    raise AssertionError(f"no request reached the target {id}")


async def count_arrivals(fleet, id: str, path: str = "/read/x") -> int:
    """Send ten requests and return how many of them reach the target."""
    target = fleet.target_by_id[id]
    before = len(target.received)
    for number in range(10):
        await fleet.send_request(path, attempt=f"attempt-{number}")
    return len(target.received) - before


async def read_metrics(fleet) -> str:
    """Return the metrics page of the fleet's router."""
    client = HttpClient(address=fleet.router.metrics_address)
    try:
        answer = await client.request(HttpRequest(method="GET", target="/"))
    finally:
        await client.close()
    return answer.body.decode()
