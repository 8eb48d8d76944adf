"""Sending a request to one target and relaying its answer to the caller."""

import contextlib
import enum
from collections.abc import Awaitable, Callable

import msgspec
import trio

from lavenderfold.direct._events import (
    CompleteEvents,
    EventSplitter,
    InvalidEventError,
    is_later_id,
)
from lavenderfold.direct._requests import (
    AnswerHead,
    InvalidAnswerError,
    InvalidCause,
    PlatformCodec,
    TargetCall,
)
from lavenderfold.direct._target_wait import TargetWait
from lavenderfold.fleet import Route
from lavenderfold.http import (
    HttpClient,
    HttpResponse,
    MalformedResponseError,
    MixedHeadError,
    RequestNotSentError,
    ResponseLostError,
    ResponseWriter,
    SlowCallerError,
    StreamedResponse,
)
from lavenderfold.quarantine import BEGINNING_S

EVENT_STREAM_TYPE = "text/event-stream"
ANSWER_BYTES_LIMIT = 16 * 1024 * 1024
# How long to wait for the head or the next event of an answer before another target
# may take over, as a multiple of the route's latency objective or pause limit,
# but at least the minimum.
HEAD_WAIT_FACTOR = 2.5
HEAD_WAIT_MIN_S = 0.6
EVENT_WAIT_FACTOR = 3.0
EVENT_WAIT_MIN_S = 0.6
# With one of these statuses a router guarantees that the request didn't run, so a
# target's own answer with such a status isn't relayed.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# The message of an error can contain a whole line of the target's.
DETAIL_CHARACTERS_LIMIT = 100
# Headers of the connection or of the message framing, which aren't relayed.
FRAMING_HEADERS = frozenset(
    ("connection", "content-length", "keep-alive", "transfer-encoding", "date")
)


class AttemptOutcome(enum.Enum):
    """The result of one attempt at a target.

    MISDIRECTED: the request reached another target than the chosen one.
    LOST: the connection broke, or the stream ended within an event.
    SILENT: the target didn't answer in time, and another one takes over.
    TIMED_OUT: the deadline of the request passed before the answer was complete.
    INVALID: the answer isn't a valid answer to this attempt.
    FAILED: the target's answer is an error response, or can't continue a stream.
    """

    DELIVERED = "delivered"
    NOT_CONNECTED = "not_connected"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    SILENT = "silent"
    TIMED_OUT = "timed_out"
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
    """How much of an answer was relayed to the caller, over all attempts.

    ``may_have_run`` is true once any target may have run the request.
    """

    events: int = 0
    last_event_id: str | None = None
    first_byte_at: float | None = None
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    may_have_run: bool = False

    def record_events(self, count: int, last_id: str | None, *, now: float) -> None:
        """Record events that were relayed together."""
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
    """Sends a call to a target and relays a valid answer to the caller.

    An error response of the target is kept in ``failure_response``, so that it can
    be relayed if no other attempt follows; ``invalid_answer`` tells why its bytes are
    no answer. ``target_wait`` limits the waits for the target; what has arrived by
    then is written also later, within the limits of ``writer``.
    ``on_answering`` is called when the target has gone on beyond the beginning of its
    answer, ``on_head`` when the head of any answer was read, ``on_sign`` when a part of
    an answer's body was. ``is_turned_away`` says whether the target asked for a pause.
    ``events`` counts those that this target sent, the first of them at
    ``first_event_at``.
    """

    def __init__(
        self,
        *,
        call: TargetCall,
        codec: PlatformCodec,
        writer: ResponseWriter,
        progress: RelayProgress,
        target_wait: TargetWait,
        on_answering: Callable[[], None],
        on_head: Callable[[AnswerHead], None],
        on_sign: Callable[[], None],
    ):
        self.failure_response: HttpResponse | None = None
        self.invalid_answer: InvalidAnswerError | None = None
        self.status: int | None = None
        self.is_turned_away = False
        self.events = 0
        self.first_event_at: float | None = None
        self._call = call
        self._codec = codec
        self._writer = writer
        self._progress = progress
        self._is_continuation = progress.events > 0
        self._target_wait = target_wait
        self._on_answering = on_answering
        self._on_head = on_head
        self._on_sign = on_sign
        self._is_answering = False

    @property
    def is_before_answer(self) -> bool:
        """Whether the target hadn't gone beyond the beginning of its answer yet."""
        return not self._is_answering

    @property
    def is_begun(self) -> bool:
        """Whether the target had sent the head of its answer, but no event."""
        return self.status is not None and self.events == 0

    async def run(self, client: HttpClient) -> AttemptOutcome:
        """Run the attempt until it ends or is cancelled; return its outcome."""
        may_have_run_before = self._progress.may_have_run
        try:
            outcome = await self._send(client)
        finally:
            self._target_wait.close()
        if outcome is AttemptOutcome.DELIVERED:
            self._record_answering()
        if outcome.is_certainly_not_run:
            self._progress.may_have_run = may_have_run_before
        return outcome

    def _record_sending(self) -> None:
        # Set before the first byte is sent, so that it holds as well if the caller
        # disconnects and the attempt is cancelled before its outcome is known.
        self._progress.may_have_run = True

    async def relay_failure(self) -> None:
        """Write the error response of the target to the caller."""
        await self._write(self._writer.send(self.failure_response))

    async def _send(self, client: HttpClient) -> AttemptOutcome:
        request = self._codec.write_call(self._call)
        # The target may close an idle connection while the request is being sent,
        # which leaves unknown whether it ran. Requests that must not run twice are
        # therefore sent on a new connection.
        exchange = client.stream(
            request,
            is_fresh=not self._call.route.is_repeatable,
            resets_if_abandoned=True,
            on_sending=self._record_sending,
            exchange_id=self._call.request.attempt_id,
        )
        first_deadline = trio.current_time() + self._head_wait_s()
        try:
            async with contextlib.AsyncExitStack() as stack:
                with self._target_wait.until_silent(first_deadline) as wait:
                    response = await stack.enter_async_context(exchange)
                if wait.cancelled_caught:
                    return self._unanswered()
                return await self._handle_response(response, first_deadline)
        except InvalidAnswerError as error:
            self.invalid_answer = error
            return AttemptOutcome.INVALID
        except MixedHeadError:
            self.invalid_answer = InvalidAnswerError(InvalidCause.MIXED_HEAD)
            return AttemptOutcome.INVALID
        except MalformedResponseError as error:
            detail = str(error.__cause__)[:DETAIL_CHARACTERS_LIMIT]
            self.invalid_answer = InvalidAnswerError(InvalidCause.MALFORMED, detail)
            return AttemptOutcome.INVALID
        except RequestNotSentError:
            return AttemptOutcome.NOT_CONNECTED
        except ResponseLostError:
            return AttemptOutcome.LOST

    async def _handle_response(
        self, response: StreamedResponse, first_deadline: float
    ) -> AttemptOutcome:
        self.status = response.status
        head = self._codec.read_answer(response.status, response.headers)
        self.is_turned_away = head.asks_pause
        self._on_sign()
        self._on_head(head)
        if head.attempt_id != self._call.request.attempt_id:
            raise InvalidAnswerError(InvalidCause.OTHER_ATTEMPT)
        if head.is_not_run:
            if head.is_misdirected:
                return AttemptOutcome.MISDIRECTED
            return AttemptOutcome.REJECTED
        if not head.is_signed:
            raise InvalidAnswerError(InvalidCause.UNSIGNED)
        if head.is_encoded:
            raise InvalidAnswerError(InvalidCause.ENCODED)
        if head.is_success and _is_event_stream(head):
            return await self._relay_events(head, response, first_deadline)
        return await self._relay_buffered(head, response, first_deadline)

    async def _relay_buffered(
        self, head: AnswerHead, response: StreamedResponse, deadline: float
    ) -> AttemptOutcome:
        if self._writer.started:
            # The caller has already received part of another target's stream.
            return AttemptOutcome.FAILED
        body = bytearray()
        with self._target_wait.until_silent(deadline) as wait:
            async for chunk in response.chunks():
                body += chunk
                if len(body) > ANSWER_BYTES_LIMIT:
                    raise InvalidAnswerError(InvalidCause.TOO_LONG)
        if wait.cancelled_caught:
            return self._unanswered()
        answer = HttpResponse(
            status=head.status, headers=_relayed_headers(head), body=bytes(body)
        )
        if head.is_success:
            self._progress.first_byte_at = trio.current_time()
            if await self._write(self._writer.send(answer)):
                return AttemptOutcome.DELIVERED
            return AttemptOutcome.TIMED_OUT
        if head.status not in NOT_RUN_STATUSES:
            self.failure_response = answer
        return AttemptOutcome.FAILED

    async def _relay_events(
        self, head: AnswerHead, response: StreamedResponse, first_deadline: float
    ) -> AttemptOutcome:
        splitter = EventSplitter()
        chunks = response.chunks()
        deadline = first_deadline
        while True:
            # Only the read is limited, not the write to the caller: events that are
            # counted as relayed must be written completely. A wait that has passed
            # while the process was suspended doesn't cancel what follows the read.
            with self._target_wait.until_silent(deadline) as wait:
                chunk = await anext(chunks, None)
            if wait.cancelled_caught:
                return self._unanswered()
            if chunk is None:
                break
            self._on_sign()
            try:
                events = splitter.feed(chunk)
            except InvalidEventError as error:
                raise InvalidAnswerError(InvalidCause.EVENT, str(error)) from error
            if events is not None:
                if not self._follows_relayed(events):
                    return AttemptOutcome.FAILED
                if not await self._write_events(head, events):
                    return AttemptOutcome.TIMED_OUT
                # Bytes without a complete event don't show that the target goes on.
                deadline = trio.current_time() + self._event_wait_s()
        if splitter.has_partial_event:
            return AttemptOutcome.LOST
        if self._is_continuation and not self._has_relayed_ids:
            # A target that can't resume the stream may answer without any event; the
            # caller would take the broken stream for a complete one.
            return AttemptOutcome.FAILED
        if await self._start(head) and await self._write(self._writer.finish()):
            return AttemptOutcome.DELIVERED
        return AttemptOutcome.TIMED_OUT

    def _follows_relayed(self, events: CompleteEvents) -> bool:
        """Return whether these events may follow those of an earlier attempt.

        A target that can't resume a stream begins it again.
        """
        last_id = self._progress.last_event_id
        if not self._is_continuation or last_id is None or events.first_id is None:
            return True
        return is_later_id(events.first_id, last_id)

    @property
    def _has_relayed_ids(self) -> bool:
        """Whether any event with an id was relayed in this attempt."""
        return self._progress.last_event_id != self._call.last_event_id

    async def _write_events(self, head: AnswerHead, events: CompleteEvents) -> bool:
        if not await self._start(head):
            return False
        self._record_events(events)
        return await self._write(self._writer.write(events.data))

    async def _start(self, head: AnswerHead) -> bool:
        if self._writer.started:
            return True
        return await self._write(
            self._writer.start(head.status, _relayed_headers(head))
        )

    async def _write(self, write: Awaitable[None]) -> bool:
        """Write to the caller; return False if the caller reads too slowly."""
        try:
            await write
        except SlowCallerError:
            return False
        return True

    def _record_events(self, events: CompleteEvents) -> None:
        now = trio.current_time()
        if self.first_event_at is None:
            self.first_event_at = now
        if now - self.first_event_at >= BEGINNING_S:
            self._record_answering()
        self.events += events.count
        self._progress.record_events(events.count, events.last_id, now=now)

    def _record_answering(self) -> None:
        if not self._is_answering:
            self._is_answering = True
            self._on_answering()

    def _unanswered(self) -> AttemptOutcome:
        """Return the outcome after a wait that was cancelled."""
        if self._target_wait.is_taken_over:
            return AttemptOutcome.SILENT
        return AttemptOutcome.TIMED_OUT

    def _head_wait_s(self) -> float:
        return max(
            HEAD_WAIT_MIN_S, HEAD_WAIT_FACTOR * self._call.route.latency_objective_s
        )

    def _event_wait_s(self) -> float:
        limit_s = self._call.route.pause_limit_s
        return max(EVENT_WAIT_MIN_S, EVENT_WAIT_FACTOR * limit_s)


def can_be_continued(route: Route, progress: RelayProgress) -> bool:
    """Return whether another target can continue an answer that was relayed in part.

    Without event ids a target would begin the answer again.
    """
    return route.is_resumable and progress.last_event_id is not None


def _is_event_stream(head: AnswerHead) -> bool:
    return any(
        name == "content-type" and value.startswith(EVENT_STREAM_TYPE)
        for name, value in head.headers
    )


def _relayed_headers(head: AnswerHead) -> list[tuple[str, str]]:
    return [item for item in head.headers if item[0] not in FRAMING_HEADERS]
