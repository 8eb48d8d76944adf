"""HTTP server with one trio task per connection."""

import logging
from contextlib import ExitStack
from socket import SO_RCVBUF, SOL_SOCKET

import h11
import trio

from lavenderfold.accepting import (
    AcceptedConnection,
    Acceptor,
    open_listening_sockets,
)
from lavenderfold.http._open_connections import OpenConnections
from lavenderfold.http._server import Handler, ServerConnection
from lavenderfold.http._server_options import CloseReason, ServerOptions
from lavenderfold.http._stop import IdleConnections
from lavenderfold.settings import Address

# How long a stopping server waits for the requests of callers that have just connected.
LAST_REQUESTS_S = 0.2
# What the system queues of a connection counts towards the memory as well. A body of
# 4 MB over a link with a round trip of 30 ms still arrives within 3 s.
BOUNDED_QUEUE_BYTES = 65536

logger = logging.getLogger(__name__)


async def serve(
    handler: Handler,
    *,
    address: Address,
    options: ServerOptions | None = None,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP on ``address`` until cancelled or stopped.

    Reports the bound address to ``task_status``, which tells the port if 0 was given.
    """
    options = options or ServerOptions()
    idle_connections = IdleConnections()
    open_connections = OpenConnections(
        limit=options.connections_limit, memory=options.memory
    )

    async def serve_connection(connection: ServerConnection) -> None:
        try:
            await connection.run()
        except (OSError, h11.LocalProtocolError) as error:
            logger.info("connection_failed", extra={"cause": repr(error)})
        except Exception:
            # The requests of other connections go on.
            logger.exception("connection_failed")

    async with trio.open_nursery() as connections:

        def start_serving(accepted: AcceptedConnection) -> None:
            if not open_connections.has_room():
                accepted.stream.socket.close()
                options.on_closed(CloseReason.EVICTED)
                return
            connection = ServerConnection(
                accepted=accepted,
                handler=handler,
                options=options,
                idle_connections=idle_connections,
                open_connections=open_connections,
            )
            connections.start_soon(serve_connection, connection)

        # Closed before the connections end, so that a cancelled server takes no more.
        with ExitStack() as open_sockets:
            sockets = await open_listening_sockets(address.host, address.port)
            for each in sockets:
                open_sockets.enter_context(each)
                if options.memory.is_bounded:
                    each.setsockopt(SOL_SOCKET, SO_RCVBUF, BOUNDED_QUEUE_BYTES)
            acceptors = [
                Acceptor(listening=each, on_accepted=start_serving) for each in sockets
            ]
            async with trio.open_nursery() as accepting:
                for acceptor in acceptors:
                    accepting.start_soon(acceptor.run)
                host, port = sockets[0].getsockname()[:2]
                task_status.started(Address(host=host, port=port))
                await options.stop_requested.wait()
                accepting.cancel_scope.cancel()
            for acceptor in acceptors:
                acceptor.accept_rest()
        await trio.sleep(LAST_REQUESTS_S)
        idle_connections.close()
