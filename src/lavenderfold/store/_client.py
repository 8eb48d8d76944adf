"""The client: one HTTP call for each operation, with a timeout."""

from urllib.parse import quote

import msgspec
import trio
from result import Err, Ok, Result

from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
)
from lavenderfold.settings import Address
from lavenderfold.store._errors import (
    AnswerLostError,
    ConflictError,
    StoreError,
    StoreUnavailableError,
)
from lavenderfold.store._values import VersionedValue

CALL_TIMEOUT_S = 2.0
WATCH_GRACE_S = 2.0
VERSION_HEADER = "x-version"


class _LeaseAnswer(msgspec.Struct):
    id: str


class _Entry(msgspec.Struct):
    key: str
    version: int


class _Listing(msgspec.Struct):
    entries: list[_Entry]


class Store:
    """Reads and writes keys of the key-value service.

    Every method returns a Result. Version 0 stands for a key that doesn't
    exist; ``put`` with version 0 creates it.
    """

    def __init__(self, *, address: Address, timeout_s: float = CALL_TIMEOUT_S):
        self._http = HttpClient(address=address, connect_timeout_s=timeout_s)
        self._timeout_s = timeout_s

    async def get(self, key: str) -> Result[VersionedValue | None, StoreError]:
        """Return the value of a key, or None if it doesn't exist."""
        answer = await self._call(key, HttpRequest(method="GET", target=_path(key)))
        return answer.and_then(lambda response: _versioned(key, response))

    async def put(
        self, key: str, value: bytes, *, version: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write a key if its version is ``version``; return the new version."""
        target = f"{_path(key)}?version={version}"
        if lease is not None:
            target += f"&lease={quote(lease, safe='')}"
        request = HttpRequest(method="PUT", target=target, body=value)
        answer = await self._call(key, request)
        return answer.and_then(lambda response: _written(key, version, response))

    async def delete(self, key: str, *, version: int) -> Result[int, StoreError]:
        """Remove a key if its version is ``version``."""
        target = f"{_path(key)}?version={version}"
        answer = await self._call(key, HttpRequest(method="DELETE", target=target))
        return answer.and_then(lambda response: _written(key, version, response))

    async def watch(
        self, key: str, *, after: int, timeout_s: float
    ) -> Result[VersionedValue | None, StoreError]:
        """Wait until the key's version exceeds ``after``; None on timeout."""
        target = f"/v1/watch/{quote(key)}?after={after}&timeout_s={timeout_s:g}"
        request = HttpRequest(method="GET", target=target)
        answer = await self._call(key, request, extra_s=timeout_s + WATCH_GRACE_S)
        return answer.and_then(lambda response: _versioned(key, response))

    async def list_versions(self, prefix: str) -> Result[dict[str, int], StoreError]:
        """Return the version of each key that starts with ``prefix``."""
        target = f"/v1/keys?prefix={quote(prefix, safe='')}"
        answer = await self._call(prefix, HttpRequest(method="GET", target=target))
        return answer.and_then(lambda response: _listed(prefix, response))

    async def grant_lease(self, *, ttl_s: float) -> Result[str, StoreError]:
        """Open a lease; keys attached to it vanish when it lapses."""
        body = msgspec.json.encode({"ttl_s": ttl_s})
        request = HttpRequest(method="POST", target="/v1/leases", body=body)
        answer = await self._call("leases", request)
        return answer.and_then(_leased)

    async def renew_lease(self, lease: str) -> Result[bool, StoreError]:
        """Renew a lease; return whether it was still in force."""
        target = f"/v1/leases/{quote(lease, safe='')}/renew"
        answer = await self._call(lease, HttpRequest(method="POST", target=target))
        return answer.map(lambda response: response.status == 200)

    async def _call(
        self, key: str, request: HttpRequest, *, extra_s: float = 0.0
    ) -> Result[HttpResponse, StoreError]:
        response = None
        with trio.move_on_after(self._timeout_s + extra_s):
            try:
                response = await self._http.request(request)
            except RequestNotSentError as error:
                return Err(StoreUnavailableError(key, error))
            except ResponseLostError as error:
                return Err(AnswerLostError(key, error))
        if response is None:
            return Err(AnswerLostError(key, "timeout"))
        if response.status >= 500:
            return Err(StoreUnavailableError(key, f"status {response.status}"))
        return Ok(response)


def _path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _version(response: HttpResponse) -> int:
    return int(response.header(VERSION_HEADER) or 0)


def _versioned(
    key: str, response: HttpResponse
) -> Result[VersionedValue | None, StoreError]:
    if response.status in (204, 404):
        return Ok(None)
    if response.status != 200:
        return Err(StoreUnavailableError(key, f"status {response.status}"))
    return Ok(VersionedValue(value=response.body, version=_version(response)))


def _written(
    key: str, expected: int, response: HttpResponse
) -> Result[int, StoreError]:
    if response.status == 200:
        return Ok(_version(response))
    if response.status == 409:
        actual = _version(response)
        return Err(ConflictError(key, expected=expected, actual=actual))
    return Err(StoreUnavailableError(key, f"status {response.status}"))


def _listed(prefix: str, response: HttpResponse) -> Result[dict[str, int], StoreError]:
    if response.status != 200:
        return Err(StoreUnavailableError(prefix, f"status {response.status}"))
    listing = msgspec.json.decode(response.body, type=_Listing)
    return Ok({entry.key: entry.version for entry in listing.entries})


def _leased(response: HttpResponse) -> Result[str, StoreError]:
    if response.status != 200:
        return Err(StoreUnavailableError("leases", f"status {response.status}"))
    return Ok(msgspec.json.decode(response.body, type=_LeaseAnswer).id)
