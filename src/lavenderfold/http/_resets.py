"""Connections that are reset instead of closed in an orderly way."""

import struct
from socket import SO_LINGER, SOL_SOCKET

import trio

# A linger time of 0 s.
NO_LINGER = struct.pack("ii", 1, 0)


def reset_on_close(stream: trio.SocketStream) -> None:
    """Have the peer get a reset when the connection is closed."""
    stream.setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
