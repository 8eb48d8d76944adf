"""HTTP calls between the fleet's own processes."""

import trio

from lavenderfold.http._client import HttpClient, HttpClientError
from lavenderfold.http._messages import HttpRequest
from lavenderfold.settings import Address


class CallFailedError(Exception):
    """A peer didn't respond with status 200 within the timeout."""


class CallRefusedError(CallFailedError):
    """A peer responded that it can't serve the call now."""


class PeerClient:
    """Sends POST requests to peers and keeps one HTTP client for each address."""

    def __init__(self, *, connect_timeout_s: float):
        self._connect_timeout_s = connect_timeout_s
        self._client_by_address: dict[Address, HttpClient] = {}

    async def post(
        self, address: Address, path: str, body: bytes, *, timeout_s: float
    ) -> bytes:
        """Send a POST request and return the body of the response.

        Raises CallFailedError if no response with status 200 arrives in time, and
        CallRefusedError if the status is 503.
        """
        request = HttpRequest(method="POST", target=path, body=body)
        response = None
        try:
            with trio.move_on_after(timeout_s):
                response = await self._client_for(address).request(request)
        except HttpClientError as error:
            raise CallFailedError(str(error)) from error
        if response is None:
            raise CallFailedError(f"{address}: no response within {timeout_s:g} s")
        if response.status == 503:
            raise CallRefusedError(f"{address}: status {response.status}")
        if response.status != 200:
            raise CallFailedError(f"{address}: status {response.status}")
        return response.body

    def _client_for(self, address: Address) -> HttpClient:
        client = self._client_by_address.get(address)
        if client is None:
            client = HttpClient(
                address=address, connect_timeout_s=self._connect_timeout_s
            )
            self._client_by_address[address] = client
        return client
