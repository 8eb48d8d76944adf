"""The routers' status pages, as the command line reads them."""

from collections.abc import Sequence

import msgspec
import trio
from result import Err, Ok, Result

from lavenderfold.http import HttpClient, HttpClientError, HttpRequest, HttpResponse
from lavenderfold.settings import Address

CALL_TIMEOUT_S = 3.0


class RouterReadError(Exception):
    """A router's status page can't be read."""

    def __init__(self, address: Address, cause: object):
        text = str(cause).removeprefix(f"{address}: ")
        super().__init__(f"router {address}: {text}")
        self.address = address


class TargetStatus(msgspec.Struct, frozen=True):
    """A target as one router sees it."""

    target: str
    connected: bool
    ready: bool
    draining: bool
    revision: int
    running: int
    queued: int


class RouterStatus(msgspec.Struct, frozen=True):
    """The answer of ``GET /v1/status``."""

    router: str
    incarnation: int
    revision: int
    draining: bool
    targets: list[TargetStatus]


class _Decisions(msgspec.Struct):
    events: list[dict[str, object]]


class _Fault(msgspec.Struct):
    type: str


class _ErrorAnswer(msgspec.Struct):
    error: _Fault


async def read_statuses(
    addresses: Sequence[Address],
) -> list[Result[RouterStatus, RouterReadError]]:
    """Return the status of each router, in the order of the addresses."""
    answers = await _get_all(addresses, "/v1/status")
    return [
        answer.and_then(lambda body, at=address: _decode(at, body, RouterStatus))
        for address, answer in zip(addresses, answers, strict=True)
    ]


async def read_decisions(
    addresses: Sequence[Address], request_id: str
) -> list[Result[list[dict[str, object]], RouterReadError]]:
    """Return each router's events about a request."""
    answers = await _get_all(addresses, f"/v1/decisions/{request_id}")
    return [
        answer.and_then(lambda body, at=address: _decode(at, body, _Decisions)).map(
            lambda decisions: decisions.events
        )
        for address, answer in zip(addresses, answers, strict=True)
    ]


async def _get_all(
    addresses: Sequence[Address], target: str
) -> list[Result[bytes, RouterReadError]]:
    answers: list = [None] * len(addresses)

    async def fill(position: int, address: Address) -> None:
        answers[position] = await _get(address, target)

    async with trio.open_nursery() as nursery:
        for position, address in enumerate(addresses):
            nursery.start_soon(fill, position, address)
    return answers


async def _get(address: Address, target: str) -> Result[bytes, RouterReadError]:
    client = HttpClient(address=address)
    request = HttpRequest(method="GET", target=target)
    try:
        with trio.move_on_after(CALL_TIMEOUT_S):
            return _body(address, await client.request(request))
        return Err(RouterReadError(address, f"no answer within {CALL_TIMEOUT_S:g} s"))
    except HttpClientError as error:
        cause = f"{error}; check that it runs and that this is its operator_listen"
        return Err(RouterReadError(address, cause))
    finally:
        await client.close()


def _body(address: Address, response: HttpResponse) -> Result[bytes, RouterReadError]:
    if response.status == 404 and _is_unknown_request(response.body):
        # A router that never saw a request has no events for it.
        return Ok(b'{"events": []}')
    if response.status != 200:
        cause = f"status {response.status}; expected the router's operator_listen"
        return Err(RouterReadError(address, cause))
    return Ok(response.body)


def _is_unknown_request(body: bytes) -> bool:
    """Whether an operator page answered; the callers' address has other errors."""
    try:
        return msgspec.json.decode(body, type=_ErrorAnswer).error.type == "unknown"
    except msgspec.DecodeError:
        return False


def _decode(address: Address, body: bytes, wanted: type):
    try:
        return Ok(msgspec.json.decode(body, type=wanted))
    except msgspec.DecodeError as error:
        return Err(RouterReadError(address, f"expected another answer: {error}"))
