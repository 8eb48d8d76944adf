"""Small stand-ins of replicas (PROTOCOL.md): of a plain service, and of a model.

They read a request whole, run at most ``slots`` at once and queue the rest, answer with
their signature, and record the ids that they ran. A request that names another replica
gets 421 and isn't run.
"""

import asyncio
import time

from review.lib.wire import read_body, read_head, response


class Replica:
    """A replica of a plain service, whose requests take ``work_s``."""

    def __init__(self, *, replica_id, slots=6, work_s=0.045, answer=b"x" * 800):
        self.id = replica_id
        self.work_s = work_s
        self.answer = answer
        self.slots = slots
        self.ran = []
        self.run_at = {}
        self.records = []
        self.port = 0

    async def start(self):
        self._free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, service, zone="zone-a"):
        return {
            "backend": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": zone,
            "version": "v1",
            "capacity": self.slots,
            "state": "ready",
            "warmup_remaining_ms": 0,
            "sequence": 1,
            "born": 1790000000000,
        }

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head)
                attempt_id = head.get("attempt-id") or ""
                echo = [("Attempt-Id", attempt_id)]
                if head.get("target-replica") not in (None, self.id):
                    writer.write(response(421, b"", [*echo, ("Replica-Id", self.id)]))
                    continue
                async with self._free:
                    self.ran.append(attempt_id)
                    self.run_at.setdefault(attempt_id, time.monotonic())
                    self.records.append(
                        f"run {attempt_id} at {time.monotonic():.3f} by {self.id}"
                    )
                    signature = f"{self.id}.{attempt_id}"
                    signed = [*echo, ("Replica-Signature", signature)]
                    await self._run(head, writer, signed)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(self, head, writer, signed):
        await asyncio.sleep(self.work_s)
        writer.write(response(200, self.answer, signed))


class ModelReplica(Replica):
    """A replica of a model: a stream of ``events`` events every ``step_s``."""

    def __init__(self, *, replica_id, slots=32, events=10, step_s=0.02):
        super().__init__(replica_id=replica_id, slots=slots)
        self.events = events
        self.step_s = step_s

    async def _run(self, head, writer, signed):
        rows = [*signed, ("Content-Type", "text/event-stream")]
        rows += [("Transfer-Encoding", "chunked"), ("Weight-Versions", "1")]
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in rows)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(head.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.step_s)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
