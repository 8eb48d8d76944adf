"""Replicas: a model service that streams events, and a plain application."""

import asyncio
import itertools
import secrets
from collections.abc import Callable

from review.lib2.store import Store
from review.lib2.wire import Request, Server, head, reset, whole

HEARTBEAT_S = 1.2
# An entry without heartbeats ends after three of them.
SILENCE_S = 3 * HEARTBEAT_S
REMOVE_TRIES = 600

_numbers = itertools.count(1)


class Replica:
    """One replica. It registers itself, runs requests and can crash or leave.

    ``on_run`` is called with the replica and each request that it begins to work on.
    With ``poison`` a request with that prompt part, unless it is the last one, crashes
    it when it begins to write the answer. It is full with ``room`` requests, those that
    wait in its queue included. Sign-offs take ``signoff_s``, if it is given.
    """

    def __init__(
        self,
        *,
        store: Store,
        service: str,
        address: tuple[str, int],
        zone: str,
        log: Callable[[str], None],
        on_run: Callable[["Replica", Request], None],
        slots: int = 32,
        work_s: float = 0.02,
        event_s: float = 0.006,
        is_model: bool = True,
        poison: str | None = None,
        room: int | None = None,
        signoff_s: float | None = None,
    ):
        self.id = f"i-{secrets.token_hex(4)}"
        self.service = service
        self.address = address
        self.state = "ready"
        self.is_up = False
        self.is_listed = True
        self.says_leaving = False
        self.running = 0
        self.crashes = 0
        self.born = 1_780_000_000_000 + next(_numbers)
        self._store = store
        self._zone = zone
        self._log = log
        self._on_run = on_run
        self._slots = slots
        self._work_s = work_s
        self._event_s = event_s
        self._is_model = is_model
        self._poison = poison
        self._signoff_s = work_s if signoff_s is None else signoff_s
        self._room = room or slots * 3
        self._silent_until = 0.0
        self._sequence = 0
        self._server = Server(self._handle)
        self._down_since = 0.0
        self._tasks: set[asyncio.Task] = set()

    @property
    def key(self) -> str:
        return f"servers/{self.id}"

    async def start(self) -> None:
        await self._server.start(*self.address)
        self.is_up = True
        self._spawn(self._stay_listed())

    def fall_silent(self, duration_s: float) -> None:
        """Neither read nor write for a while, and then go on."""
        self._log(f"replica {self.id} falls silent for {duration_s} s")
        self._silent_until = asyncio.get_running_loop().time() + duration_s

    async def _wait_while_silent(self) -> None:
        delay_s = self._silent_until - asyncio.get_running_loop().time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)

    def crash(self, *, down_s: float | None = None) -> None:
        """End at once; start again after ``down_s`` with a new id, if it is given."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes += 1
        self._log(f"replica {self.id} crashed, {self.running} requests were there")
        self.running = 0
        self._server.stop()
        self._spawn(self._lapse(self.key, down_s))

    def stop(self) -> None:
        self.is_up = False
        self._server.stop()
        for task in list(self._tasks):
            task.cancel()

    def register(self) -> None:
        """Write the entry, as each heartbeat does."""
        if self.is_up and self.is_listed:
            self._store.put(
                self.key,
                {
                    "backend": self.service,
                    "address": f"{self.address[0]}:{self.address[1]}",
                    "zone": self._zone,
                    "version": "v1",
                    "capacity": self._slots,
                    "state": self.state,
                    "warmup_remaining_ms": 0,
                    "sequence": self._sequence,
                    "born": self.born,
                },
            )

    async def _stay_listed(self) -> None:
        while self.is_up:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _lapse(self, key: str, down_s: float | None) -> None:
        if down_s is not None:
            await asyncio.sleep(down_s)
            self.id = f"i-{secrets.token_hex(4)}"
            self.born += 1_000
            await self.start()
        await asyncio.sleep(max(0.0, SILENCE_S - (down_s or 0.0)))
        for _ in range(REMOVE_TRIES):
            if self._store.remove(key):
                return
            await asyncio.sleep(0.1)

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _headers(self, request: Request) -> dict[str, str]:
        headers = {"Attempt-Id": request.headers.get("attempt-id", "")}
        if self.says_leaving:
            headers |= {"Server-Leaving": "1", "Connection": "close"}
        return headers

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        await self._wait_while_silent()
        headers = self._headers(request)
        if request.headers.get("target-replica", self.id) != self.id:
            writer.write(whole(421, {**headers, "Replica-Id": self.id}))
            return True
        if self.running >= self._room:
            self._log(f"refused {headers['Attempt-Id']} at {self.id}, which is full")
            writer.write(whole(503, {**headers, "Not-Executed": "1"}))
            return True
        self.running += 1
        self._on_run(self, request)
        try:
            is_signoff = request.path.startswith("/signoff/")
            await asyncio.sleep(self._signoff_s if is_signoff else self._work_s)
            if not self.is_up:
                return False
            if self._has_poison(request):
                self.crash(down_s=3.0)
                return False
            # The head is made anew: the replica may have begun to leave meanwhile.
            headers = self._headers(request) | {
                "Replica-Signature": f"{self.id}.{secrets.token_hex(4)}"
            }
            if self._is_model:
                await self._stream(request, writer, headers)
            else:
                writer.write(whole(200, headers, self.id.encode()))
            await writer.drain()
        except OSError:
            self._log(f"{headers['Attempt-Id']} was broken off by its router")
            return False
        finally:
            if self.is_up:
                self.running -= 1
        return not self.says_leaving

    def _has_poison(self, request: Request) -> bool:
        parts = request.headers.get("prompt-prefix", "").split(",")
        ids = [each.partition(":")[0] for each in parts]
        return self._poison is not None and self._poison in ids[:-1]

    async def _stream(
        self, request: Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        headers |= {
            "Content-Type": "text/event-stream",
            "Weight-Versions": "1",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head(200, headers))
        tokens = int(request.headers["token-usage"].split(",")[1])
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, -(-tokens // 3) + 1):
            await asyncio.sleep(self._event_s)
            await self._wait_while_silent()
            if not self.is_up:
                reset(writer)
                return
            event = f"id: {number}\ndata: {secrets.token_hex(6)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
