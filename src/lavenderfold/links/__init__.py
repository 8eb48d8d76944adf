"""Links: long-lived streams of message batches between the fleet's processes."""

from lavenderfold.links._link import Link, LinkClosedError
from lavenderfold.links._transport import Listener, ListenError, connect

__all__ = ["Link", "LinkClosedError", "ListenError", "Listener", "connect"]
