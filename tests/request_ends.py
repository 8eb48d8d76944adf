"""Player of requests beside changes of a direct router, and the check of their ends.

A play has a seed. What a caller sends, and what a target does with a request, follows
from the seed, the request's id and the target's id; the order of tasks doesn't.
"""

import random
from functools import partial

import h11
import msgspec
import trio

from lavenderfold.direct import DirectRouter
from lavenderfold.fleet import Organisation, RepeatPolicy
from lavenderfold.settings import Address
from tests.direct_support import (
    DirectFleet,
    direct_fleet,
    make_config,
    make_route,
)
from tests.test_late_answers import suspend
from tests.uneven_targets import LARGE, SILENT_SHARE, Targets, body_of, events_of

TARGETS = 3
CALLERS = 16
CHANGE_PERIOD_S = 0.08
# Callers that are done shortly before keep their connections idle until the idle
# timeout is raised, so that it is raised between two of their requests.
RAISE_AT_S = 0.9
WAIT_FOR_RAISE_S = 0.4
INSTALL_S = 0.1
STOP_AT_S = 1.4
# The stopped router accepts requests for 2.5 s.
PLAY_S = 4.0
# Longer than any request may take, so that a play that hangs ends as a failure.
PLAY_TIMEOUT_S = 30.0
TIMEOUT_S = 3.0
SHORT_IDLE_S = 0.4
LONG_IDLE_S = 10.0
# Longer than the short idle timeout, at callers that know of the long one.
READ_PAUSE_S = 0.8
PROMISES = (408, 421, 429, 503)
UNCERTAIN = (502, 504)
OWN_STATUSES = (*PROMISES, *UNCERTAIN)
EXTRA_ROUTE = "extra"
EXTRA_KEY = "second"
STREAM_ROUTES = ("chat", "draft")
ROUTES = ("read", "sign", *STREAM_ROUTES, EXTRA_ROUTE)


class Sent(msgspec.Struct, kw_only=True):
    """A request that was sent whole, and what its caller got."""

    id: str
    route: str
    key: str
    method: str
    is_kept: bool
    is_stopping: bool = False
    sent_at: float = 0.0
    took_s: float = 0.0
    status: int | None = None
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


class RequestEnds:
    """Plays callers, targets, changes and a planned stop; checks the ends of requests.

    ``sent`` holds the requests that were sent whole.
    """

    def __init__(self, seed: int, *, silent_share: float = SILENT_SHARE):
        self.sent: list[Sent] = []
        self.targets = Targets(silent_share=silent_share)
        self._seed = seed
        self._version = 1
        self._is_stopping = False
        self._routers: list[DirectRouter] = []
        self._raised = trio.Event()
        self._began_at = 0.0

    async def run(self) -> list[str]:
        """Play, and return the violations."""
        scripts = [
            partial(self.targets.handle, f"t{number}") for number in range(TARGETS)
        ]
        with trio.fail_after(PLAY_TIMEOUT_S):
            async with direct_fleet(*scripts, config=self._new_config()) as fleet:
                self._routers = [fleet.router]
                self._began_at = trio.current_time()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._change, fleet)
                    nursery.start_soon(self._stop_one, fleet)
                    for number in range(CALLERS):
                        caller = Caller(play=self, number=number)
                        nursery.start_soon(caller.run)
        return [text for each in self.sent if (text := self._violation(each))]

    @property
    def seed(self) -> int:
        return self._seed

    @property
    def is_over(self) -> bool:
        return trio.current_time() >= self._began_at + PLAY_S

    @property
    def is_stopping(self) -> bool:
        """Whether one of the routers stops or has stopped."""
        return self._is_stopping

    @property
    def is_idle_timeout_raised(self) -> bool:
        """Whether the long idle timeout is in force at all routers."""
        tables = [router._config.table for router in self._routers]
        return all(
            table is not None and table.config.limits.idle_timeout_s == LONG_IDLE_S
            for table in tables
        )

    async def wait_between_requests(self, duration_s: float) -> bool:
        """Wait; return whether the idle timeout was raised while waiting."""
        await trio.sleep(duration_s)
        raise_in_s = self._began_at + RAISE_AT_S - trio.current_time()
        if 0 < raise_in_s < WAIT_FOR_RAISE_S:
            await self._raised.wait()
            await trio.sleep(INSTALL_S)
            return True
        return False

    def pick_address(self, rng: random.Random) -> Address:
        return rng.choice(self._routers).listen_address

    def _new_config(self, rng: random.Random | None = None):
        rng = rng or random.Random(self._seed)
        timeout_s = TIMEOUT_S + rng.random()
        routes = [
            make_route("read", RepeatPolicy.IDEMPOTENT, timeout_s=timeout_s),
            make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=timeout_s),
            make_route("chat", RepeatPolicy.STREAM, timeout_s=timeout_s),
            make_route(
                "draft", RepeatPolicy.STREAM, is_resumable=True, timeout_s=timeout_s
            ),
        ]
        if rng.random() < 0.5:
            routes.append(
                make_route(EXTRA_ROUTE, RepeatPolicy.IDEMPOTENT, timeout_s=timeout_s)
            )
        organisations = [
            Organisation(name="org", keys=("secret",), limit_tokens=10_000_000)
        ]
        if rng.random() < 0.5:
            organisations.append(
                Organisation(name="two", keys=(EXTRA_KEY,), limit_tokens=10_000_000)
            )
        limits = msgspec.structs.replace(
            make_config().limits,
            idle_timeout_s=LONG_IDLE_S if self._raised.is_set() else SHORT_IDLE_S,
            header_bytes=rng.choice((4096, 16_384)),
            body_bytes=rng.choice((4096, 1_000_000)),
        )
        return make_config(
            version=self._version,
            routes=tuple(routes),
            organisations=tuple(organisations),
            limits=limits,
        )

    async def _change(self, fleet: DirectFleet) -> None:
        """Change the configuration and the settings; let the event loop be late."""
        rng = random.Random(f"{self._seed}/changes")
        while not self.is_over:
            await trio.sleep(CHANGE_PERIOD_S * rng.choice((0, 1, 3)))
            if trio.current_time() >= self._began_at + RAISE_AT_S:
                self._raised.set()
            self._version += 1
            fleet.configure(self._new_config(rng))
            if rng.random() < 0.2:
                options = fleet.router.options
                share = rng.choice((0.1, 0.2))
                fleet.router.reload(msgspec.structs.replace(options, retry_share=share))
            if rng.random() < 0.04:
                suspend(0.15)

    async def _stop_one(self, fleet: DirectFleet) -> None:
        """Start a second router, then stop the first one."""
        await trio.sleep(STOP_AT_S)
        first = fleet.router
        await fleet.start_router("second")
        second = fleet.router
        await fleet.wait_until(lambda: second.is_ready)
        self._routers.append(second)
        self._is_stopping = True
        first.drain()

    def _violation(self, sent: Sent) -> str | None:
        fault = self._fault(sent)
        if fault is None:
            return None
        fields = (sent.method, sent.route, sent.status, round(sent.took_s, 2))
        return f"{sent.id}: {fault} {fields}, {len(sent.body)} bytes"

    def _fault(self, sent: Sent) -> str | None:
        if sent.status is not None and sent.headers.get("x-attempt") != sent.id:
            return "the answer of another request"
        if not sent.is_whole:
            return self._fault_of_cut(sent)
        if "x-signature" in sent.headers:
            return self._fault_of_answer(sent)
        if sent.status in PROMISES and sent.id in self.targets.ran:
            return "refused as not run"
        if sent.status in OWN_STATUSES:
            return None
        may_be_unknown = sent.route == EXTRA_ROUTE or sent.key == EXTRA_KEY
        if sent.status in (401, 404) and may_be_unknown:
            return None
        return "an unfounded refusal"

    def _fault_of_cut(self, sent: Sent) -> str | None:
        # Before an answer has begun, the router can refuse the request.
        is_begun = sent.route in STREAM_ROUTES and sent.status is not None
        if is_begun and sent.id in self.targets.failed:
            return None
        if sent.status is not None and sent.took_s >= TIMEOUT_S:
            return None
        is_crossing = sent.is_kept and sent.is_stopping and sent.status is None
        if is_crossing and sent.id not in self.targets.arrived:
            return None
        return "neither an answer nor a refusal"

    def _fault_of_answer(self, sent: Sent) -> str | None:
        if sent.status == 500:
            return None if sent.body in (b"failed", b"") else "a mixed failure"
        if sent.method == "HEAD":
            return None
        is_stream = sent.route in STREAM_ROUTES
        right = b"".join(events_of(sent.id)) if is_stream else body_of(sent.id)
        return None if sent.body == right else "an answer that isn't the right one"


class Caller:
    """Sends requests one after another, most of them on a kept connection."""

    def __init__(self, *, play: RequestEnds, number: int):
        self._play = play
        self._number = number
        self._rng = random.Random(f"{play.seed}/{number}")
        self._stream: trio.SocketStream | None = None
        self._protocol: h11.Connection | None = None
        self._is_kept = False
        self._is_after_raise = False

    async def run(self) -> None:
        count = 0
        while not self._play.is_over:
            if self._stream is None and not await self._connect():
                await trio.sleep(0.01)
                continue
            count += 1
            await self._request(count)
            if self._protocol.our_state is h11.DONE is self._protocol.their_state:
                self._protocol.start_next_cycle()
            else:
                await self._close()
            # Kept connections idle for less than the shortest timeout.
            self._is_after_raise = await self._play.wait_between_requests(
                self._rng.choice((0.0, 0.0, 0.01, SHORT_IDLE_S / 2))
            )
        await self._close()

    async def _connect(self) -> bool:
        address = self._play.pick_address(self._rng)
        caller = trio.socket.socket()
        caller.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 8192)
        try:
            await caller.connect((address.host, address.port))
        except OSError:
            # The router has stopped.
            caller.close()
            return False
        self._stream = trio.SocketStream(caller)
        self._protocol = h11.Connection(h11.CLIENT)
        self._is_kept = False
        return True

    async def _close(self) -> None:
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
        self._stream = None

    async def _request(self, count: int) -> None:
        rng = self._rng
        is_large = self._is_after_raise or rng.random() < 0.25
        size = LARGE if is_large else "small"
        sent = Sent(
            id=f"s{self._play.seed}-{self._number}-{count}-{size}",
            route=rng.choice(ROUTES),
            key=rng.choice(("secret",) * 5 + (EXTRA_KEY,)),
            method=rng.choice(("POST",) * 9 + ("HEAD",)),
            is_kept=self._is_kept,
        )
        # A caller that reads late relies on the idle timeout that is in force now.
        is_late = self._is_after_raise or rng.random() < 0.5
        is_late = is_late and self._play.is_idle_timeout_raised
        # Before the router can have it, whose time limit begins then.
        sent.sent_at = trio.current_time()
        try:
            await self._stream.send_all(self._encode(sent))
        except trio.BrokenResourceError:
            # It wasn't sent whole.
            self._protocol.send_failed()
            return
        self._is_kept = True
        self._play.sent.append(sent)
        if is_late:
            # The answer of a busy machine may take most of the pause to begin.
            await trio.lowlevel.wait_readable(self._stream.socket)
            await trio.sleep(READ_PAUSE_S)
        await self._read(sent)
        sent.took_s = trio.current_time() - sent.sent_at
        sent.is_stopping = self._play.is_stopping

    def _encode(self, sent: Sent) -> bytes:
        headers = [
            ("host", "host"),
            ("x-attempt", sent.id),
            ("x-key", sent.key),
            ("x-tokens", "1,2"),
            ("x-patience", "6"),
        ]
        head = h11.Request(
            method=sent.method, target=f"/{sent.route}/x", headers=headers
        )
        return self._protocol.send(head) + self._protocol.send(h11.EndOfMessage())

    async def _read(self, sent: Sent) -> None:
        parts = []
        try:
            while True:
                received = await self._next_event()
                if isinstance(received, h11.Response):
                    sent.status = received.status_code
                    sent.headers = {
                        name.decode(): value.decode()
                        for name, value in received.headers
                    }
                elif isinstance(received, h11.Data):
                    parts.append(bytes(received.data))
                elif isinstance(received, h11.EndOfMessage):
                    sent.is_whole = True
                    break
                else:
                    break
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            # The connection ended early, which the check judges.
            pass
        sent.body = b"".join(parts)

    async def _next_event(self) -> h11.Event:
        while True:
            received = self._protocol.next_event()
            if received is not h11.NEED_DATA:
                return received
            self._protocol.receive_data(await self._stream.receive_some(1_000_000))
