"""An open link to another router."""

from typing import Any

from lavenderfold.links import Link, LinkClosedError
from lavenderfold.messages import PeerHello
from lavenderfold.router._link_timing import peer_heartbeat_s


class Peer:
    """An open link to another router, with the hello that it sent.

    ``hello`` is None until it arrives; ``heartbeat_s`` is the heartbeat period that
    the other router announced.
    """

    def __init__(self, *, link: Link, now: float):
        self.link = link
        self.last_message_at = now
        self.heartbeat_s = peer_heartbeat_s(0)
        self.hello: PeerHello | None = None

    def post(self, message: Any) -> bool:
        """Send a message; return whether the link was open."""
        try:
            self.link.post(message)
        except LinkClosedError:
            return False
        return True
