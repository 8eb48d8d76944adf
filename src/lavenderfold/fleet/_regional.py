"""A shared store whose large prefixes are read from a hub in the own region."""

import logging

import msgspec
import trio

from lavenderfold.fleet._hub import HUB_PATH, FollowAnswer, FollowCall
from lavenderfold.http import HttpClient, HttpClientError, HttpRequest
from lavenderfold.settings import Address
from lavenderfold.shared import (
    Change,
    Changes,
    ConditionalWrite,
    Listing,
    Relay,
    RelayChoice,
    SharedStore,
)

CONNECT_TIMEOUT_S = 0.3
# A hub answers this much later than it was asked to wait at most.
ANSWER_MARGIN_S = 0.6

logger = logging.getLogger(__name__)


class RegionalStore:
    """A ``SharedStore`` that asks a hub for ``prefixes`` and a store for the rest.

    The store is also asked when no hub answers.
    """

    def __init__(
        self, *, store: SharedStore, hubs: RelayChoice, prefixes: frozenset[str]
    ):
        self._store = store
        self._hubs = hubs
        self._prefixes = prefixes
        self._client_by_address: dict[Address, HttpClient] = {}

    async def list_items(self, prefix: str) -> Listing:
        answer = await self._ask(FollowCall(prefix, 0, 0.0))
        if answer is None:
            return await self._store.list_items(prefix)
        return Listing(items=answer.items, revision=answer.revision)

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        answer = await self._ask(FollowCall(prefix, after, wait_s))
        if answer is None:
            return await self._store.wait_changes(prefix, after=after, wait_s=wait_s)
        changes = [Change(item.key, item.revision, item) for item in answer.items]
        return Changes(changes=changes, revision=answer.revision)

    async def write(self, writes: list[ConditionalWrite]) -> int:
        return await self._store.write(writes)

    async def _ask(self, call: FollowCall) -> FollowAnswer | None:
        """Return a hub's answer, or None if the store is to be asked."""
        hub = self._hubs.best() if call.prefix in self._prefixes else None
        if hub is None:
            return None
        body = msgspec.msgpack.encode(call)
        request = HttpRequest(method="POST", target=HUB_PATH, body=body)
        cause = "no answer in time"
        with trio.move_on_after(call.wait_s + ANSWER_MARGIN_S):
            try:
                response = await self._client(hub).request(request)
                if response.status == 200:
                    answer = msgspec.msgpack.decode(response.body, type=FollowAnswer)
                    self._hubs.worked(hub)
                    return answer
                cause = f"status {response.status}"
            except (HttpClientError, msgspec.DecodeError) as error:
                cause = str(error)
        self._hubs.failed(hub)
        fields = {"address": str(hub.address), "prefix": call.prefix, "cause": cause}
        logger.info("hub_failed", extra=fields)
        return None

    def _client(self, hub: Relay) -> HttpClient:
        client = self._client_by_address.get(hub.address)
        if client is None:
            client = HttpClient(
                address=hub.address, connect_timeout_s=CONNECT_TIMEOUT_S
            )
            self._client_by_address[hub.address] = client
        return client
