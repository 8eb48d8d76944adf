"""Requests whose caller has left before their target read them."""

import select
import socket

import trio

from lavenderfold.http import HttpClient, HttpRequest
from lavenderfold.settings import Address

LOOPBACK = "127.0.0.1"


def test_target_that_stood_still_learns_that_a_request_was_given_up():
    """After an ordinary close it would read the request first and run it."""

    async def main():
        with socket.create_server((LOOPBACK, 0)) as listening:
            address = Address(host=LOOPBACK, port=listening.getsockname()[1])
            request = HttpRequest(method="POST", target="/", body=b"body")
            client = HttpClient(address=address)
            with trio.move_on_after(0.1):
                async with client.stream(request, resets_if_abandoned=True):
                    raise AssertionError("the target answered")
            connection, _ = listening.accept()
            with connection:
                poll = select.poll()
                poll.register(connection, select.POLLIN)
                ((_, state),) = poll.poll(1000)
                assert state & (select.POLLERR | select.POLLHUP)

    trio.run(main)


def test_connection_whose_answer_is_complete_is_closed_in_order():
    """Guards against a reset that takes the end of an answer with it."""

    async def main():
        with socket.create_server((LOOPBACK, 0)) as listening:
            address = Address(host=LOOPBACK, port=listening.getsockname()[1])
            client = HttpClient(address=address)

            async def answer_and_read() -> bytes:
                connection, _ = await trio.to_thread.run_sync(listening.accept)
                with connection:
                    connection.recv(65536)
                    head = b"HTTP/1.1 200 OK\r\nconnection: close\r\n"
                    connection.sendall(head + b"content-length: 2\r\n\r\nok")
                    return await trio.to_thread.run_sync(connection.recv, 1)

            ends = []

            async def serve():
                ends.append(await answer_and_read())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve)
                request = HttpRequest(method="POST", target="/", body=b"body")
                async with client.stream(request, resets_if_abandoned=True) as answer:
                    response = await answer.read()
                assert response.body == b"ok"
            assert ends == [b""]

    trio.run(main)
