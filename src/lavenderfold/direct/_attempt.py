"""One attempt at one target, and the relay of its answer to the caller."""

import enum
import math

import msgspec
import trio

from lavenderfold.direct._events import EventSplitter, EventTooLongError
from lavenderfold.direct._requests import AnswerHead, PlatformCodec, TargetCall
from lavenderfold.http import (
    HttpClient,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
    ResponseWriter,
    StreamedResponse,
)

EVENT_STREAM_TYPE = "text/event-stream"
ANSWER_BYTES_LIMIT = 16 * 1024 * 1024
# The longest wait for the head or the next event of an answer that another
# target could give, as a multiple of what the route aims at.
HEAD_WAIT_FACTOR = 2.5
HEAD_WAIT_FLOOR_S = 0.6
PAUSE_WAIT_FACTOR = 3.0
PAUSE_WAIT_FLOOR_S = 0.6
# Statuses by which a router promises that a request didn't run.
PROMISE_STATUSES = frozenset((408, 421, 429, 503))
# Headers that describe the connection or the framing and aren't relayed.
FRAMING_HEADERS = frozenset(
    ("connection", "content-length", "keep-alive", "transfer-encoding", "date")
)


class AttemptOutcome(enum.Enum):
    """What an attempt came to."""

    DELIVERED = "delivered"
    NOT_CONNECTED = "not_connected"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    SILENT = "silent"
    INVALID = "invalid"
    FAILED = "failed"

    @property
    def is_certainly_not_run(self) -> bool:
        return self in (
            AttemptOutcome.NOT_CONNECTED,
            AttemptOutcome.REJECTED,
            AttemptOutcome.MISDIRECTED,
        )


class RelayProgress(msgspec.Struct):
    """What the caller of one request has got so far, over all attempts."""

    events: int = 0
    last_event_id: str | None = None
    first_byte_at: float | None = None
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    may_have_run: bool = False

    def note_events(self, count: int, last_id: str | None, *, now: float) -> None:
        """Count events that came together."""
        if self.last_event_at is None:
            self.first_byte_at = now
        else:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now
        self.events += count
        if last_id is not None:
            self.last_event_id = last_id


class Attempt:
    """Sends a call to a target and relays a good answer.

    A failure that the target itself answered is kept in ``failure``, so that it
    can be relayed when no other attempt follows.
    """

    def __init__(
        self,
        *,
        call: TargetCall,
        codec: PlatformCodec,
        writer: ResponseWriter,
        relayed: RelayProgress,
        may_move: bool,
    ):
        self.failure: HttpResponse | None = None
        self.status: int | None = None
        self._call = call
        self._codec = codec
        self._writer = writer
        self._relayed = relayed
        self._may_move = may_move

    async def run(self, client: HttpClient) -> AttemptOutcome:
        """Return the outcome; the caller's cancellation ends the attempt."""
        had_run_before = self._relayed.may_have_run
        # Until the outcome is known, also if the caller leaves meanwhile.
        self._relayed.may_have_run = True
        outcome = await self._send(client)
        if outcome.is_certainly_not_run:
            self._relayed.may_have_run = had_run_before
        return outcome

    async def _send(self, client: HttpClient) -> AttemptOutcome:
        request = self._codec.write_call(self._call)
        # A request that must not run twice isn't risked on an idle connection.
        is_fresh = not self._call.route.is_repeatable
        try:
            with trio.CancelScope() as scope:
                self._limit_wait(scope, self._head_wait_s())
                async with client.stream(request, is_fresh=is_fresh) as response:
                    return await self._take(response, scope)
        except RequestNotSentError:
            return AttemptOutcome.NOT_CONNECTED
        except ResponseLostError:
            return AttemptOutcome.LOST
        return AttemptOutcome.SILENT

    async def _take(
        self, response: StreamedResponse, scope: trio.CancelScope
    ) -> AttemptOutcome:
        head = self._codec.read_answer(response.status, response.headers)
        self.status = head.status
        if head.attempt_id != self._call.request.attempt_id:
            return AttemptOutcome.INVALID
        if head.is_not_run:
            if head.is_misdirected:
                return AttemptOutcome.MISDIRECTED
            return AttemptOutcome.REJECTED
        if not head.is_signed or head.is_encoded:
            return AttemptOutcome.INVALID
        if head.is_success and _is_event_stream(head):
            return await self._relay_events(head, response, scope)
        return await self._relay_whole(head, response, scope)

    async def _relay_whole(
        self, head: AnswerHead, response: StreamedResponse, scope: trio.CancelScope
    ) -> AttemptOutcome:
        body = bytearray()
        async for chunk in response.chunks():
            body += chunk
            if len(body) > ANSWER_BYTES_LIMIT:
                return AttemptOutcome.INVALID
        scope.deadline = math.inf
        answer = HttpResponse(
            status=head.status, headers=_relayed_headers(head), body=bytes(body)
        )
        if self._writer.started:
            # The caller already reads another target's stream.
            return AttemptOutcome.FAILED
        if head.is_success:
            self._relayed.first_byte_at = trio.current_time()
            await self._writer.send(answer)
            return AttemptOutcome.DELIVERED
        if head.status not in PROMISE_STATUSES:
            self.failure = answer
        return AttemptOutcome.FAILED

    async def _relay_events(
        self, head: AnswerHead, response: StreamedResponse, scope: trio.CancelScope
    ) -> AttemptOutcome:
        splitter = EventSplitter()
        async for chunk in response.chunks():
            # The wait for a target ends here: events that are counted as relayed
            # must be written whole, also after the process was suspended.
            scope.deadline = math.inf
            try:
                events = splitter.feed(chunk)
            except EventTooLongError:
                return AttemptOutcome.INVALID
            if events is None:
                self._limit_wait(scope, self._pause_wait_s())
                continue
            if not self._writer.started:
                await self._writer.start(head.status, _relayed_headers(head))
            self._relayed.note_events(
                events.count, events.last_id, now=trio.current_time()
            )
            await self._writer.write(events.data)
            self._limit_wait(scope, self._pause_wait_s())
        scope.deadline = math.inf
        if splitter.has_partial_event:
            return AttemptOutcome.LOST
        if not self._writer.started:
            await self._writer.start(head.status, _relayed_headers(head))
        await self._writer.finish()
        return AttemptOutcome.DELIVERED

    def _limit_wait(self, scope: trio.CancelScope, wait_s: float) -> None:
        if self._may_move:
            scope.deadline = trio.current_time() + wait_s

    def _head_wait_s(self) -> float:
        return max(
            HEAD_WAIT_FLOOR_S, HEAD_WAIT_FACTOR * self._call.route.latency_objective_s
        )

    def _pause_wait_s(self) -> float:
        limit_s = self._call.route.pause_limit_s
        return max(PAUSE_WAIT_FLOOR_S, PAUSE_WAIT_FACTOR * limit_s)


def _is_event_stream(head: AnswerHead) -> bool:
    return any(
        name == "content-type" and value.startswith(EVENT_STREAM_TYPE)
        for name, value in head.headers
    )


def _relayed_headers(head: AnswerHead) -> list[tuple[str, str]]:
    return [item for item in head.headers if item[0] not in FRAMING_HEADERS]
