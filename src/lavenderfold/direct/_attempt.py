"""Sending a request to one target and relaying its answer to the caller."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

import trio

from lavenderfold.direct._answer_heads import is_event_stream, relayed_headers
from lavenderfold.direct._answer_memory import (
    ANSWER_BYTES_LIMIT,
    AnswerMemory,
    AnswerTooLongError,
)
from lavenderfold.direct._events import (
    CompleteEvents,
    EventSplitter,
    InvalidEventError,
    is_later_id,
)
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._part_progress import PartProgress
from lavenderfold.direct._relay_progress import RelayProgress
from lavenderfold.direct._requests import (
    AnswerHead,
    InvalidAnswerError,
    InvalidCause,
    PlatformCodec,
    TargetCall,
)
from lavenderfold.direct._target_wait import TargetWait
from lavenderfold.http import (
    HttpClient,
    HttpClientError,
    HttpResponse,
    MalformedResponseError,
    MixedHeadError,
    RequestNotSentError,
    ResponseWriter,
    SlowCallerError,
    StreamedResponse,
)
from lavenderfold.quarantine import BEGINNING_S

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


class Attempt:
    """Sends a call to a target and relays a valid answer to the caller.

    An error response of the target is kept in ``failure_response``, so that it can
    be relayed if no other attempt follows; ``invalid_answer`` tells why its bytes are
    no answer. ``target_wait`` limits the waits for the target; what has arrived by
    then is written also later, within the limits of ``writer``.
    ``on_answering`` is called when the target has gone on beyond the beginning of its
    answer, ``on_head`` when the head of any answer was read, ``on_sign`` when a part of
    an answer's body was, ``on_relaying`` before a part is relayed. ``on_first_part`` is
    called when the first event, or a whole plain answer, is relayed, with the time
    since the call was sent; ``has_begun_answer`` is set then. ``is_turned_away`` says
    whether the target asked for a pause. ``events`` counts those that this target sent,
    the first of them at ``first_event_at``. ``sent_at`` is when the first byte of the
    call was sent.
    """

    def __init__(
        self,
        *,
        call: TargetCall,
        codec: PlatformCodec,
        writer: ResponseWriter,
        progress: RelayProgress,
        target_wait: TargetWait,
        answer_memory: AnswerMemory,
        on_answering: Callable[[], None],
        on_head: Callable[[AnswerHead], None],
        on_sign: Callable[[], None],
        on_first_part: Callable[[float], None],
        on_relaying: Callable[[], None],
    ):
        self.failure_response: HttpResponse | None = None
        self.invalid_answer: InvalidAnswerError | None = None
        self.status: int | None = None
        self.is_turned_away = False
        self.is_leaving = False
        self.has_begun_answer = False
        self.events = 0
        self.first_event_at: float | None = None
        self.sent_at: float | None = None
        self._call = call
        self._codec = codec
        self._writer = writer
        self._progress = progress
        self._is_continuation = progress.events > 0
        self._target_wait = target_wait
        self._on_answering = on_answering
        self._on_head = on_head
        self._on_sign = on_sign
        self._on_first_part = on_first_part
        self._on_relaying = on_relaying
        self._is_answering = False
        self._is_closed = False
        self._parts = PartProgress()
        self._first_deadline = target_wait.silent_at(self._head_wait_s())
        self._exchange = contextlib.AsyncExitStack()
        self._head: AnswerHead | None = None
        self._answer: HttpResponse | None = None
        self._chunks: AsyncIterator[bytes] | None = None
        self._buffer = answer_memory.open_buffer()
        self._exchange.callback(self._buffer.close)
        self._splitter = EventSplitter(buffer=self._buffer)
        self._first_events: CompleteEvents | None = None

    @property
    def is_before_answer(self) -> bool:
        """Whether the target hadn't gone beyond the beginning of its answer yet."""
        return not self._is_answering

    @property
    def is_begun(self) -> bool:
        """Whether the target had sent the head of its answer, but no event."""
        return self.status is not None and self.events == 0

    @property
    def is_stalled(self) -> bool:
        """Whether the target kept sending parts of a head or event without its end."""
        return self._parts.is_stalled

    async def open(
        self, client: HttpClient, *, on_sending: Callable[[], None] | None = None
    ) -> AttemptOutcome | None:
        """Send the call, and read what can be relayed first.

        That is the whole answer, or the first events of a stream. Returns the outcome
        if the attempt ends with that, and None if there is something to relay.
        ``on_sending`` is called before the first byte is sent. There is no limit on
        the time.
        """
        request = self._codec.write_call(self._call)
        # The target may close an idle connection while the request is being sent,
        # which leaves unknown whether it ran. Requests that must not run twice are
        # therefore sent on a new connection.
        exchange = client.stream(
            request,
            is_fresh=not self._call.route.is_repeatable,
            resets_if_abandoned=True,
            on_sending=partial(self._record_sending, on_sending),
            on_head_bytes=self._record_bytes,
            exchange_id=self._call.request.attempt_id,
        )
        try:
            response = await self._exchange.enter_async_context(exchange)
            if self._is_closed:
                # Closed by another task in the turn in which the head arrived.
                await self._exchange.aclose()
                return AttemptOutcome.LOST
            return self._read_head(response) or await self._read_first(response)
        except (InvalidAnswerError, HttpClientError) as error:
            return self._failure_outcome(error)

    async def run(
        self, opening: Callable[[], Awaitable[AttemptOutcome | None]]
    ) -> AttemptOutcome:
        """Run the attempt until it ends or is cancelled; return its outcome.

        ``opening`` calls ``open``, or waits for a call of it by another task.
        """
        try:
            outcome = await self._open_and_relay(opening)
        finally:
            await self.close()
        if outcome is AttemptOutcome.DELIVERED:
            self._record_answering()
        if outcome.is_certainly_not_run:
            self.record_not_run()
        return outcome

    async def close(self) -> None:
        """Give the exchange with the target up, if it isn't complete."""
        self._is_closed = True
        self._target_wait.close()
        await self._exchange.aclose()

    def record_not_run(self) -> None:
        """Record that the target certainly didn't run the request."""
        if self.sent_at is not None:
            self._progress.uncertain_attempts -= 1

    def give_up_silent_target(self) -> None:
        """End the wait for a silent target, as another one takes over."""
        self._target_wait.end_taken_over()

    def _record_sending(self, on_sending: Callable[[], None] | None) -> None:
        # Counted before the first byte is sent, so that it holds as well if the caller
        # disconnects and the attempt is cancelled before its outcome is known.
        self.sent_at = trio.current_time()
        self._progress.uncertain_attempts += 1
        if on_sending is not None:
            on_sending()

    def _record_bytes(self, is_part: bool) -> None:
        if is_part:
            self._parts.record_part(now=trio.current_time())
        else:
            self._parts.record_whole()

    async def _open_and_relay(
        self, opening: Callable[[], Awaitable[AttemptOutcome | None]]
    ) -> AttemptOutcome:
        with self._target_wait.until_silent(self._first_deadline) as wait:
            outcome = await opening()
        if wait.cancelled_caught:
            return self._unanswered()
        if outcome is not None:
            return outcome
        try:
            return await self._relay()
        except (InvalidAnswerError, HttpClientError) as error:
            return self._failure_outcome(error)

    def _failure_outcome(
        self, error: InvalidAnswerError | HttpClientError
    ) -> AttemptOutcome:
        if isinstance(error, InvalidAnswerError):
            self.invalid_answer = error
        elif isinstance(error, MixedHeadError):
            self.invalid_answer = InvalidAnswerError(InvalidCause.MIXED_HEAD)
        elif isinstance(error, MalformedResponseError):
            detail = str(error.__cause__ or error)[:DETAIL_CHARACTERS_LIMIT]
            self.invalid_answer = InvalidAnswerError(InvalidCause.MALFORMED, detail)
        elif isinstance(error, RequestNotSentError):
            return AttemptOutcome.NOT_CONNECTED
        else:
            return AttemptOutcome.LOST
        return AttemptOutcome.INVALID

    def _read_head(self, response: StreamedResponse) -> AttemptOutcome | None:
        """Return the outcome if no answer follows the head, else None."""
        self.status = response.status
        self._parts.record_whole()
        head = self._codec.read_answer(response.status, response.headers)
        self.is_turned_away = head.asks_pause
        self.is_leaving = head.is_leaving
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
        self._head = head
        return None

    async def _read_first(self, response: StreamedResponse) -> AttemptOutcome | None:
        if not (self._head.is_success and is_event_stream(self._head)):
            return await self._read_answer(response)
        self._chunks = response.chunks()
        self._first_events = await self._next_events()
        return self._check_events(self._first_events)

    async def _read_answer(self, response: StreamedResponse) -> AttemptOutcome | None:
        if self._writer.started:
            # The caller has already received part of another target's stream.
            return AttemptOutcome.FAILED
        body = await self._read_body(response)
        head = self._head
        answer = HttpResponse(
            status=head.status, headers=relayed_headers(head), body=body
        )
        if head.is_success:
            self._answer = answer
            return None
        if head.status not in NOT_RUN_STATUSES:
            self.failure_response = answer
        return AttemptOutcome.FAILED

    async def _read_body(self, response: StreamedResponse) -> bytes:
        try:
            async for chunk in response.chunks():
                self._buffer.append(chunk)
                if len(self._buffer) > ANSWER_BYTES_LIMIT:
                    raise InvalidAnswerError(InvalidCause.TOO_LONG)
            return self._buffer.take(len(self._buffer))
        except AnswerTooLongError as error:
            raise InvalidAnswerError(InvalidCause.TOO_LONG, str(error)) from error

    async def _next_events(self) -> CompleteEvents | None:
        """Return the next complete events of the stream, or None at its end."""
        while True:
            self._record_bytes(self._splitter.has_partial_event)
            chunk = await anext(self._chunks, None)
            if chunk is None:
                return None
            self._on_sign()
            try:
                events = self._splitter.feed(chunk)
            except InvalidEventError as error:
                raise InvalidAnswerError(InvalidCause.EVENT, str(error)) from error
            if events is not None:
                self._parts.record_whole()
                return events

    def _check_events(self, events: CompleteEvents | None) -> AttemptOutcome | None:
        """Return the outcome if these events, or the end, mustn't be relayed."""
        if events is not None:
            return None if self._follows_relayed(events) else AttemptOutcome.FAILED
        if self._splitter.has_partial_event:
            return AttemptOutcome.LOST
        if self._is_continuation and not self._has_relayed_ids:
            # A target that can't resume the stream may answer without any event; the
            # caller would take the broken stream for a complete one.
            return AttemptOutcome.FAILED
        return None

    async def _relay(self) -> AttemptOutcome:
        if self._answer is None:
            return await self._relay_events()
        self._on_relaying()
        self._progress.first_byte_at = trio.current_time()
        self._record_first_part(self._progress.first_byte_at)
        if await self._write(self._writer.send(self._answer)):
            return AttemptOutcome.DELIVERED
        return AttemptOutcome.TIMED_OUT

    async def _relay_events(self) -> AttemptOutcome:
        events = self._first_events
        while events is not None:
            if not await self._write_events(events):
                return AttemptOutcome.TIMED_OUT
            # Only the read is limited, not the write to the caller: events that are
            # counted as relayed must be written completely. A wait that has passed
            # while the process was suspended doesn't cancel what follows the read.
            # Bytes without a complete event don't show that the target goes on.
            deadline = self._target_wait.silent_at(self._event_wait_s())
            with self._target_wait.until_silent(deadline) as wait:
                events = await self._next_events()
            if wait.cancelled_caught:
                return self._unanswered()
            outcome = self._check_events(events)
            if outcome is not None:
                return outcome
        if await self._start() and await self._write(self._writer.finish()):
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

    async def _write_events(self, events: CompleteEvents) -> bool:
        self._on_relaying()
        if not await self._start():
            return False
        self._record_events(events)
        return await self._write(self._writer.write(events.data))

    async def _start(self) -> bool:
        if self._writer.started:
            return True
        headers = relayed_headers(self._head)
        return await self._write(self._writer.start(self._head.status, headers))

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
            self._record_first_part(now)
        if now - self.first_event_at >= BEGINNING_S:
            self._record_answering()
        self.events += events.count
        self._progress.record_events(events.count, events.last_id, now=now)

    def _record_first_part(self, now: float) -> None:
        self.has_begun_answer = True
        self._on_first_part(now - self.sent_at)

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
