"""Links: long-lived connections that carry batches of messages between processes."""

from lavenderfold.links._link import Link, LinkClosedError
from lavenderfold.links._silence import exclude_own_delay
from lavenderfold.links._transport import Listener, ListenError, connect

__all__ = [
    "Link",
    "LinkClosedError",
    "ListenError",
    "Listener",
    "connect",
    "exclude_own_delay",
]
