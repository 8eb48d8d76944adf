"""Client of the routers' operator API."""

from collections.abc import Sequence

import msgspec
import trio
from result import Err, Ok, Result

from lavenderfold.http import HttpClient, HttpClientError, HttpRequest, HttpResponse
from lavenderfold.settings import Address

REQUEST_TIMEOUT_S = 3.0


class RouterReadError(Exception):
    """A router's operator API did not return a usable answer."""

    def __init__(self, address: Address, cause: object):
        text = str(cause).removeprefix(f"{address}: ")
        super().__init__(f"router {address}: {text}")
        self.address = address


class TargetStatus(msgspec.Struct, frozen=True):
    """The state of a target as one router reports it."""

    target: str
    connected: bool
    ready: bool
    draining: bool
    revision: int
    running: int
    queued: int


class RouterStatus(msgspec.Struct, frozen=True):
    """The body of a response to ``GET /v1/status``."""

    router: str
    incarnation: int
    revision: int
    draining: bool
    targets: list[TargetStatus]


class _Decisions(msgspec.Struct):
    events: list[dict[str, object]]


class _ErrorDetail(msgspec.Struct):
    type: str


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


async def read_statuses(
    addresses: Sequence[Address],
) -> list[Result[RouterStatus, RouterReadError]]:
    """Return the status of each router, in the order of the addresses."""
    results = await _get_all(addresses, "/v1/status")
    return [
        result.and_then(lambda body, at=address: _decode(at, body, RouterStatus))
        for address, result in zip(addresses, results, strict=True)
    ]


async def read_decisions(
    addresses: Sequence[Address], request_id: str
) -> list[Result[list[dict[str, object]], RouterReadError]]:
    """Return each router's events about a request, in the order of the addresses."""
    results = await _get_all(addresses, f"/v1/decisions/{request_id}")
    return [
        result.and_then(lambda body, at=address: _decode(at, body, _Decisions)).map(
            lambda decisions: decisions.events
        )
        for address, result in zip(addresses, results, strict=True)
    ]


async def _get_all(
    addresses: Sequence[Address], path: str
) -> list[Result[bytes, RouterReadError]]:
    """Request ``path`` from all routers at the same time."""
    results: list = [None] * len(addresses)

    async def store_result(index: int, address: Address) -> None:
        results[index] = await _get(address, path)

    async with trio.open_nursery() as nursery:
        for index, address in enumerate(addresses):
            nursery.start_soon(store_result, index, address)
    return results


async def _get(address: Address, path: str) -> Result[bytes, RouterReadError]:
    client = HttpClient(address=address)
    request = HttpRequest(method="GET", target=path)
    try:
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            return _response_body(address, await client.request(request))
        return Err(
            RouterReadError(address, f"no answer within {REQUEST_TIMEOUT_S:g} s")
        )
    except HttpClientError as error:
        cause = (
            f"{error}; check that it runs and that this is its operator_listen address"
        )
        return Err(RouterReadError(address, cause))
    finally:
        await client.close()


def _response_body(
    address: Address, response: HttpResponse
) -> Result[bytes, RouterReadError]:
    if response.status == 404 and _is_unknown_request(response.body):
        # A router that has not seen the request has no events about it.
        return Ok(b'{"events": []}')
    if response.status != 200:
        cause = (
            f"status {response.status}; expected the router's operator_listen address"
        )
        return Err(RouterReadError(address, cause))
    return Ok(response.body)


def _is_unknown_request(body: bytes) -> bool:
    """Return whether a 404 is the operator API's answer for an unknown request.

    A router's address for callers also answers 404, but with another error type.
    Taking that for an unknown request would hide the wrong address.
    """
    try:
        return msgspec.json.decode(body, type=_ErrorBody).error.type == "unknown"
    except msgspec.DecodeError:
        return False


def _decode(address: Address, body: bytes, body_type: type):
    try:
        return Ok(msgspec.json.decode(body, type=body_type))
    except msgspec.DecodeError as error:
        return Err(RouterReadError(address, f"unexpected answer: {error}"))
