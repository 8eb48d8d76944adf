"""The HTTP clients of a router, one for each target address."""

import msgspec

from lavenderfold.direct._load import TargetKey, target_key
from lavenderfold.fleet import Target
from lavenderfold.http import HttpClient, refuses_connections

# A target in the other region accepts within 30 ms; an unreachable one never does.
CONNECT_TIMEOUT_S = 0.4
# A running target accepts or refuses a connection within a round trip.
CRASH_CHECK_TIMEOUT_S = 0.2


class _ClientKey(msgspec.Struct, frozen=True):
    target: TargetKey
    host: str
    port: int


class TargetClients:
    """HTTP clients by target. Connections to removed targets are closed."""

    def __init__(self):
        self._client_by_key: dict[_ClientKey, HttpClient] = {}

    def client(self, target: Target) -> HttpClient:
        key = _ClientKey(target_key(target), target.host, target.port)
        client = self._client_by_key.get(key)
        if client is None:
            client = self._client_by_key[key] = HttpClient(
                address=target.address, connect_timeout_s=CONNECT_TIMEOUT_S
            )
        return client

    async def keep_only(self, targets: list[Target]) -> None:
        """Close the idle connections to all other targets."""
        wanted = {target_key(target) for target in targets}
        for key in [each for each in self._client_by_key if each.target not in wanted]:
            await self._client_by_key.pop(key).close()


async def has_crashed(target: Target) -> bool:
    """Return whether nothing listens at the target's address any more.

    A target that only reset one connection still listens. A target that doesn't
    respond at all may be alive behind a broken link, so it counts as not crashed.
    """
    return await refuses_connections(target.address, timeout_s=CRASH_CHECK_TIMEOUT_S)
