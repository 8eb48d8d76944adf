"""Begins the attempts of one request."""

from collections.abc import Awaitable, Callable
from functools import partial

import msgspec
import trio

from lavenderfold.balancing import CostedTarget
from lavenderfold.direct._attempt import Attempt
from lavenderfold.direct._attempt_recorder import AttemptRecorder
from lavenderfold.direct._choice import TargetChoice
from lavenderfold.direct._outcome import AttemptOutcome
from lavenderfold.direct._patience import CallerPatience
from lavenderfold.direct._relay_progress import RelayProgress
from lavenderfold.direct._requests import CallerRequest, TargetCall
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.direct._target_wait import TargetWait
from lavenderfold.fleet import Organisation, Route, Target
from lavenderfold.http import HttpClient, ResponseWriter
from lavenderfold.placement import Permit
from lavenderfold.timers import TimerService

# Lower bound of the remaining time that a target is told; with less than this it
# can't answer any more.
MIN_REMAINING_S = 0.005


class StartedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt at ``target``, begun at ``started_at`` on the trio clock.

    ``opening`` opens the attempt, with the same keyword as ``Attempt.open``, or waits
    until it is open. ``reason`` is that of the target's choice, and ``costed`` is the
    target with its cost, if that decided. ``permit`` is that of a cold target.
    """

    attempt: Attempt
    target: Target
    reason: str
    opening: Callable[..., Awaitable[AttemptOutcome | None]]
    started_at: float
    costed: CostedTarget | None = None
    permit: Permit | None = None


class AttemptStarter:
    """Begins attempts that relay to the same writer, until ``deadline``.

    ``deadline`` is a time of the trio clock, ``patience`` that of the caller.
    ``priority`` is sent to targets, if it isn't None.
    ``on_relaying`` is called before a part of the answer to any of these attempts is
    relayed.
    """

    __slots__ = (
        "_services",
        "_request",
        "_route",
        "_organisation",
        "_priority",
        "_writer",
        "_progress",
        "_recorder",
        "_deadline",
        "_patience",
        "_on_relaying",
    )

    def __init__(
        self,
        *,
        services: RouterServices,
        request: CallerRequest,
        route: Route,
        organisation: Organisation | None,
        priority: int | None,
        writer: ResponseWriter,
        progress: RelayProgress,
        recorder: AttemptRecorder,
        deadline: float,
        patience: CallerPatience,
        on_relaying: Callable[[], None],
    ):
        self._services = services
        self._request = request
        self._route = route
        self._organisation = organisation
        self._priority = priority
        self._writer = writer
        self._progress = progress
        self._recorder = recorder
        self._deadline = deadline
        self._patience = patience
        self._on_relaying = on_relaying

    def start(
        self, choice: TargetChoice, *, try_take_over: Callable[[], bool] | None
    ) -> StartedAttempt:
        """Begin an attempt; see TargetWait for ``try_take_over``."""
        target = choice.target
        now = trio.current_time()
        self._recorder.record_start(target)
        permit = self._services.placement.take(target, now=self._services.timers.now())
        attempt = Attempt(
            call=self._new_call(target, now=now),
            codec=self._services.codec,
            writer=self._writer,
            progress=self._progress,
            target_wait=TargetWait(
                timers=self._services.timers,
                deadline=self._deadline,
                try_take_over=try_take_over,
                patience=self._patience,
            ),
            answer_memory=self._services.answer_memory,
            on_answering=self._recorder.record_answering,
            on_head=partial(self._recorder.record_head, target),
            on_sign=partial(self._recorder.record_sign, target),
            on_first_part=partial(self._recorder.record_first_part, target),
            on_relaying=partial(self._record_relaying, target),
        )
        return StartedAttempt(
            attempt=attempt,
            target=target,
            reason=choice.reason,
            costed=choice.costed,
            opening=self._opening(attempt, target, permit),
            started_at=now,
            permit=permit,
        )

    def _record_relaying(self, target: Target) -> None:
        self._recorder.record_relaying(target)
        self._on_relaying()

    def _opening(
        self, attempt: Attempt, target: Target, permit: Permit | None
    ) -> Callable[..., Awaitable[AttemptOutcome | None]]:
        client = self._services.clients.client(target)
        if permit is None:
            return partial(attempt.open, client)
        return partial(_open_permitted, attempt, client, permit, self._services.timers)

    def _new_call(self, target: Target, *, now: float) -> TargetCall:
        return TargetCall(
            request=self._request,
            route=self._route,
            target=target,
            organisation=self._organisation.name if self._organisation else None,
            remaining_s=max(MIN_REMAINING_S, self._deadline - now),
            last_event_id=self._progress.last_event_id or self._request.last_event_id,
            priority=self._priority,
        )


async def _open_permitted(
    attempt: Attempt,
    client: HttpClient,
    permit: Permit,
    timers: TimerService,
    *,
    on_sending: Callable[[], None] | None = None,
) -> AttemptOutcome | None:
    """Open an attempt; the time of its permit is that of its first byte."""

    def record_sending() -> None:
        permit.record_sending(timers.now())
        if on_sending is not None:
            on_sending()

    return await attempt.open(client, on_sending=record_sending)
