"""A fake replica that speaks the users' platform, for tests and load.

It echoes the id of the attempt and signs its answers. Requests that state their token
counts are answered with a stream of events, others with a short text. The faults
``leaving`` and ``pause_s`` make it say that it leaves, and turn requests away.
"""

import trio
from absl import app, flags

from lavenderfold.http import HttpRequest, HttpResponse, ResponseWriter
from standins.target_common import Target, define_address_flags, serve_and_announce

ATTEMPT_ID_HEADER = "attempt-id"
LAST_EVENT_ID_HEADER = "last-event-id"
TARGET_HEADER = "target-replica"
TOKENS_HEADER = "token-usage"
LEAVING_ITEM = ("server-leaving", "1")
NOT_RUN_ITEM = ("not-executed", "1")
EVENTS = 5
EVENT_PERIOD_S = 0.02


class PlatformReplica(Target):
    """Counts the requests that it ran by attempt id, and those it turned away.

    Requests for another ``replica_id`` get 421; an empty id accepts all.
    """

    def __init__(self, *, replica_id: str = "") -> None:
        super().__init__()
        self.turned_away = 0
        self._replica_id = replica_id

    def stats(self) -> dict:
        return {**super().stats(), "turned_away": self.turned_away}

    async def serve_call(self, request: HttpRequest, writer: ResponseWriter) -> None:
        attempt_id = request.header(ATTEMPT_ID_HEADER) or ""
        headers = [(ATTEMPT_ID_HEADER, attempt_id)]
        if self.switches.faults.leaving:
            headers.append(LEAVING_ITEM)
        wanted_id = request.header(TARGET_HEADER)
        if self._replica_id and wanted_id not in (None, self._replica_id):
            await writer.send(HttpResponse(status=421, headers=headers))
            return
        if self.switches.faults.pause_s is not None:
            await self._turn_away(headers, writer)
            return
        self.runs_by_request_id[attempt_id] += 1
        headers.append(("replica-signature", f"{self._replica_id}.{attempt_id}"))
        self.switches.lose_answer()
        if request.header(TOKENS_HEADER) is None:
            await writer.send(HttpResponse(status=200, headers=headers, body=b"done"))
            return
        await self._stream(request, headers, writer)

    async def _turn_away(
        self, headers: list[tuple[str, str]], writer: ResponseWriter
    ) -> None:
        self.turned_away += 1
        pause = ("retry-after", f"{self.switches.faults.pause_s:g}")
        response = HttpResponse(status=503, headers=[*headers, NOT_RUN_ITEM, pause])
        await writer.send(response)

    async def _stream(
        self,
        request: HttpRequest,
        headers: list[tuple[str, str]],
        writer: ResponseWriter,
    ) -> None:
        last_id = int(request.header(LAST_EVENT_ID_HEADER) or 0)
        await writer.start(200, [*headers, ("content-type", "text/event-stream")])
        for number in range(last_id + 1, EVENTS + 1):
            await self.switches.wait_while_frozen()
            await writer.write(f"id: {number}\ndata: event {number}\n\n".encode())
            await trio.sleep(EVENT_PERIOD_S)
        await writer.finish()


def main(_: list[str]) -> None:
    """Serve the replica until killed."""
    values = flags.FLAGS
    replica = PlatformReplica(replica_id=values.replica_id)
    trio.run(serve_and_announce, replica, values.host, values.port)


if __name__ == "__main__":
    define_address_flags()
    flags.DEFINE_string("replica_id", "", "id that requests must name; any if empty")
    app.run(main)
