"""A fake plain service with readings and with sign-offs that must run only once.

A GET returns a reading. A call with any other method is a sign-off: it increments
a counter and returns the counter's value along with the request body.
"""

import trio
import xxhash
from absl import app, flags

from lavenderfold.http import HttpRequest, ResponseWriter, json_response
from standins.target_common import Target, define_address_flags, serve_and_announce

READING_RANGE = 100_000
READ_METHODS = frozenset({"GET"})


class PlainService(Target):
    """Counts the calls that it ran by their ``x-request-id`` header."""

    def __init__(self) -> None:
        super().__init__()
        self.sign_offs = 0
        self.readings = 0

    def stats(self) -> dict:
        return {
            **super().stats(),
            "sign_offs": self.sign_offs,
            "readings": self.readings,
        }

    async def serve_call(self, request: HttpRequest, writer: ResponseWriter) -> None:
        request_id = request.header("x-request-id") or ""
        self.runs_by_request_id[request_id] += 1
        result = (
            self._read(request) if self._is_read(request) else self._sign_off(request)
        )
        self.switches.lose_answer()
        response = json_response(200, result)
        tokens_limit = self.switches.faults.cut_after_tokens
        if tokens_limit is None:
            await writer.send(response)
            return
        await writer.start(200, response.headers)
        await writer.write(b" ".join(response.body.split()[:tokens_limit]) or b" ")

    def _is_read(self, request: HttpRequest) -> bool:
        return request.method in READ_METHODS

    def _read(self, request: HttpRequest) -> dict:
        self.readings += 1
        reading = xxhash.xxh64_intdigest(request.target.encode()) % READING_RANGE
        return {"path": request.target, "reading": reading}

    def _sign_off(self, request: HttpRequest) -> dict:
        self.sign_offs += 1
        body = request.body.decode("utf-8", "replace")
        return {"path": request.target, "counter": self.sign_offs, "body": body}


def main(_: list[str]) -> None:
    """Serve the plain service until killed."""
    values = flags.FLAGS
    trio.run(serve_and_announce, PlainService(), values.host, values.port)


if __name__ == "__main__":
    define_address_flags()
    app.run(main)
