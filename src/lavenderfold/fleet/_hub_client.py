"""Calls of routers to the hubs of their region."""

import msgspec
import trio

from lavenderfold.fleet._hub import (
    HUB_PATH,
    LISTING_STATUS,
    REFUSED_STATUS,
    FollowAnswer,
    FollowCall,
)
from lavenderfold.http import (
    HttpClient,
    HttpClientError,
    HttpRequest,
    RequestNotSentError,
    StreamedResponse,
)
from lavenderfold.settings import Address
from lavenderfold.shared import ListingWait

CONNECT_TIMEOUT_S = 0.3


class HubError(Exception):
    """A hub gave no usable answer; the message gives the cause."""


class HubUnreachableError(HubError):
    """Nothing responded at the hub's address, as when its VM is gone."""


class HubListingError(HubError):
    """The hub is still listing the prefix for the first time."""


class HubRefusedError(HubError):
    """The hub can't read the store, so what it knows may be outdated."""


class HubCallLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The longest waits of one call, in seconds.

    ``first_s`` is for the first part of the answer, ``next_s`` for each further part,
    and ``total_s`` for the whole call. An answer that makes progress isn't given up
    sooner, because its bytes would have to be sent again by another process.
    """

    first_s: float
    next_s: float
    total_s: float


class HubClient:
    """Calls hubs and keeps one HTTP client for each address."""

    def __init__(self):
        self._client_by_address: dict[Address, HttpClient] = {}

    async def call(
        self,
        address: Address,
        call: FollowCall,
        limits: HubCallLimits,
        progress: ListingWait | None = None,
    ) -> FollowAnswer:
        """Return a hub's answer; parts that arrive are recorded in ``progress``.

        Raises HubError.
        """
        body = msgspec.msgpack.encode(call)
        request = HttpRequest(method="POST", target=HUB_PATH, body=body)
        client = self._client(address)
        started_at = trio.current_time()
        with trio.move_on_at(started_at + limits.first_s) as scope:
            try:
                async with client.stream(request) as response:
                    body = await _read_body(
                        response, scope, started_at, limits, progress
                    )
                    return _decode(address, response.status, body)
            except RequestNotSentError as error:
                if isinstance(error.__cause__, trio.TooSlowError):
                    raise HubUnreachableError(str(error)) from error
                raise HubError(str(error)) from error
            except HttpClientError as error:
                raise HubError(str(error)) from error
        elapsed_s = trio.current_time() - started_at
        raise HubError(f"{address}: no answer within {elapsed_s:.1f} s")

    def _client(self, address: Address) -> HttpClient:
        client = self._client_by_address.get(address)
        if client is None:
            client = HttpClient(address=address, connect_timeout_s=CONNECT_TIMEOUT_S)
            self._client_by_address[address] = client
        return client


async def _read_body(
    response: StreamedResponse,
    scope: trio.CancelScope,
    started_at: float,
    limits: HubCallLimits,
    progress: ListingWait | None,
) -> bytes:
    """Return the whole body; each part extends the scope's deadline."""
    parts = []
    async for part in response.chunks():
        parts.append(part)
        if progress is not None:
            progress.record_data()
        next_at = trio.current_time() + limits.next_s
        scope.deadline = min(started_at + limits.total_s, next_at)
    return b"".join(parts)


def _decode(address: Address, status: int, body: bytes) -> FollowAnswer:
    if status == LISTING_STATUS:
        raise HubListingError(f"{address}: still listing")
    if status == REFUSED_STATUS:
        raise HubRefusedError(f"{address}: status {status}")
    if status != 200:
        raise HubError(f"{address}: status {status}")
    try:
        return msgspec.msgpack.decode(body, type=FollowAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise HubError(f"{address}: {error}") from error
