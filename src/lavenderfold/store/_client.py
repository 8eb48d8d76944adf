"""Key-value client that makes one HTTP request for each operation."""

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
WATCH_MARGIN_S = 2.0
VERSION_HEADER = "x-version"


class _LeaseResponse(msgspec.Struct):
    id: str


class _KeyVersion(msgspec.Struct):
    key: str
    version: int


class _KeysResponse(msgspec.Struct):
    entries: list[_KeyVersion]


class Store:
    """Reads and writes keys of the key-value service.

    The methods return a Result with the value or a StoreError. A key that doesn't
    exist has version 0, so ``put`` with version 0 creates it.
    """

    def __init__(self, *, address: Address, timeout_s: float = CALL_TIMEOUT_S):
        self._http = HttpClient(address=address, connect_timeout_s=timeout_s)
        self._timeout_s = timeout_s

    async def get(self, key: str) -> Result[VersionedValue | None, StoreError]:
        """Return the value and version of a key, or None if it doesn't exist."""
        result = await self._call(key, HttpRequest(method="GET", target=_key_path(key)))
        return result.and_then(lambda response: _read_value(key, response))

    async def put(
        self, key: str, value: bytes, *, version: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write a key if its version is ``version`` and return the new version.

        If ``lease`` is given, the key is attached to that lease.
        """
        target = f"{_key_path(key)}?version={version}"
        if lease is not None:
            target += f"&lease={quote(lease, safe='')}"
        request = HttpRequest(method="PUT", target=target, body=value)
        result = await self._call(key, request)
        return result.and_then(
            lambda response: _written_version(key, version, response)
        )

    async def delete(self, key: str, *, version: int) -> Result[int, StoreError]:
        """Delete a key if its version is ``version``."""
        target = f"{_key_path(key)}?version={version}"
        result = await self._call(key, HttpRequest(method="DELETE", target=target))
        return result.and_then(
            lambda response: _written_version(key, version, response)
        )

    async def watch(
        self, key: str, *, after: int, timeout_s: float
    ) -> Result[VersionedValue | None, StoreError]:
        """Wait until the key's version exceeds ``after`` and return its value.

        Returns None after ``timeout_s`` without such a change.
        """
        target = f"/v1/watch/{quote(key)}?after={after}&timeout_s={timeout_s:g}"
        request = HttpRequest(method="GET", target=target)
        result = await self._call(
            key, request, extra_timeout_s=timeout_s + WATCH_MARGIN_S
        )
        return result.and_then(lambda response: _read_value(key, response))

    async def list_versions(self, prefix: str) -> Result[dict[str, int], StoreError]:
        """Return the version of each key that starts with ``prefix``."""
        target = f"/v1/keys?prefix={quote(prefix, safe='')}"
        result = await self._call(prefix, HttpRequest(method="GET", target=target))
        return result.and_then(lambda response: _read_listing(prefix, response))

    async def grant_lease(self, *, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease and return its id; its keys are deleted when it expires."""
        body = msgspec.json.encode({"ttl_s": ttl_s})
        request = HttpRequest(method="POST", target="/v1/leases", body=body)
        result = await self._call("leases", request)
        return result.and_then(_read_lease)

    async def renew_lease(self, lease: str) -> Result[bool, StoreError]:
        """Renew a lease and return whether it was still valid."""
        target = f"/v1/leases/{quote(lease, safe='')}/renew"
        result = await self._call(lease, HttpRequest(method="POST", target=target))
        return result.map(lambda response: response.status == 200)

    async def _call(
        self, key: str, request: HttpRequest, *, extra_timeout_s: float = 0.0
    ) -> Result[HttpResponse, StoreError]:
        response = None
        with trio.move_on_after(self._timeout_s + extra_timeout_s):
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


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _read_version(response: HttpResponse) -> int:
    return int(response.header(VERSION_HEADER) or 0)


def _read_value(
    key: str, response: HttpResponse
) -> Result[VersionedValue | None, StoreError]:
    if response.status in (204, 404):
        return Ok(None)
    if response.status != 200:
        return Err(StoreUnavailableError(key, f"status {response.status}"))
    return Ok(VersionedValue(value=response.body, version=_read_version(response)))


def _written_version(
    key: str, expected: int, response: HttpResponse
) -> Result[int, StoreError]:
    if response.status == 200:
        return Ok(_read_version(response))
    if response.status == 409:
        actual = _read_version(response)
        return Err(ConflictError(key, expected=expected, actual=actual))
    return Err(StoreUnavailableError(key, f"status {response.status}"))


def _read_listing(
    prefix: str, response: HttpResponse
) -> Result[dict[str, int], StoreError]:
    if response.status != 200:
        return Err(StoreUnavailableError(prefix, f"status {response.status}"))
    listing = msgspec.json.decode(response.body, type=_KeysResponse)
    return Ok({entry.key: entry.version for entry in listing.entries})


def _read_lease(response: HttpResponse) -> Result[str, StoreError]:
    if response.status != 200:
        return Err(StoreUnavailableError("leases", f"status {response.status}"))
    return Ok(msgspec.json.decode(response.body, type=_LeaseResponse).id)
