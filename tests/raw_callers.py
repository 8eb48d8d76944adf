"""Callers that send to a router without a turn of its event loop."""

import selectors
import socket
import time

from lavenderfold.fleet import FleetConfig, Organisation, RepeatPolicy
from lavenderfold.settings import Address
from tests.direct_support import make_config, make_route

TIMEOUT_S = 0.6
# A request must be answered at most this long after its route's timeout.
ANSWER_SLACK_S = 0.5


def encode_request(attempt: str, *, path: str = "/sign/x") -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "host: host",
        f"x-attempt: {attempt}",
        "x-key: secret",
        "content-length: 4",
    ]
    return "\r\n".join([*lines, "", "body"]).encode()


def send_raw(address: Address, data: bytes) -> socket.socket:
    """Send bytes on a new connection without a turn of the event loop."""
    connection = socket.create_connection((address.host, address.port))
    connection.sendall(data)
    return connection


def make_short_config() -> FleetConfig:
    """Return a configuration with one route, /sign/, that has TIMEOUT_S."""
    route = make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=TIMEOUT_S)
    # Without a limit, so that no reservation has to be waited for.
    organisation = Organisation(name="org", keys=("secret",), limit_tokens=None)
    return make_config(routes=(route,), organisations=(organisation,))


class CallersInBurst:
    """Callers that send at once on new connections, in a thread of their own."""

    def __init__(self, *, address: Address, count: int):
        self._address = address
        self._count = count
        self.sent_at_by_id: dict[str, float] = {}
        self.answered_s: list[float] = []

    def run(self) -> None:
        """Send all requests and wait for their answers, at most ten seconds."""
        with selectors.DefaultSelector() as selector:
            for number in range(self._count):
                attempt = f"a{number}"
                self.sent_at_by_id[attempt] = time.monotonic()
                caller = send_raw(self._address, encode_request(attempt))
                selector.register(caller, selectors.EVENT_READ, attempt)
            ends_at = time.monotonic() + 10
            while selector.get_map() and time.monotonic() < ends_at:
                for key, _ in selector.select(0.1):
                    sent_at = self.sent_at_by_id[key.data]
                    self.answered_s.append(time.monotonic() - sent_at)
                    selector.unregister(key.fileobj)
                    key.fileobj.close()
