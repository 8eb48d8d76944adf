"""Lookup of a run at the agents, and relay of its answer from an offset on."""

import uuid
from typing import Protocol

import trio

from lavenderfold.config import FleetConfig, RouteKind
from lavenderfold.identifiers import RequestKey
from lavenderfold.messages import ResumeRun, RunEnded
from lavenderfold.outcomes import Ran
from lavenderfold.router._agents import AgentUnreachableError
from lavenderfold.router._answers import AnswerAssembler, AnswerPipe
from lavenderfold.router._attempt import Attempt
from lavenderfold.router._requests import serves_route
from lavenderfold.router._services import RouterServices

LOOKUP_WAIT_S = 2.0


class AnswerSource(Protocol):
    """A run whose answer is written to a pipe.

    ``ended`` is the agent's message about the end, once it has arrived.
    """

    pipe: AnswerPipe
    ended: RunEnded | None


class ResumedRun:
    """A run whose answer is relayed from an agent's buffer."""

    def __init__(self, *, pipe: AnswerPipe, attempt: Attempt, kind: RouteKind):
        self.pipe = pipe
        self.kind = kind
        self.attempt = attempt

    @property
    def ended(self) -> RunEnded | None:
        return self.attempt.ended


class RunLookup:
    """The result of a lookup: the run, or None, and the targets not reached."""

    def __init__(self, *, run: ResumedRun | None, unreachable: list[str]):
        self.run = run
        self.unreachable = unreachable


class AnswerRelay:
    """Asks agents for a run and relays its answer from the agent that has it."""

    def __init__(self, *, services: RouterServices):
        self._services = services

    async def open(
        self, key: RequestKey, targets: list[str], *, offset: int
    ) -> RunLookup:
        """Find the run of a request at ``targets`` and start relaying its answer."""
        await self._services.agents.open_all(targets)
        runs, unreachable = self._ask_all(key, targets, offset)
        found = await self._pick_found(runs)
        for run in runs:
            if run is not found:
                run.attempt.close()
        if found is not None:
            self._services.nursery.start_soon(self._follow, key, found)
        return RunLookup(run=found, unreachable=unreachable)

    def _ask_all(
        self, key: RequestKey, targets: list[str], offset: int
    ) -> tuple[list[ResumedRun], list[str]]:
        runs, unreachable = [], []
        for target in targets:
            link = self._services.agents.get_or_open(target)
            if link is None:
                continue
            subscription = uuid.uuid4().hex
            message = ResumeRun(subscription=subscription, key=key, offset=offset)
            try:
                link.post(message)
            except AgentUnreachableError:
                unreachable.append(target)
                continue
            limits = self._services.settings.limits
            pipe = AnswerPipe(unread_bytes_limit=limits.unread_bytes)
            attempt = Attempt(
                run_id=subscription,
                key=key,
                link=link,
                assembler=AnswerAssembler(start=offset),
                pipe=pipe,
                relink_wait_s=limits.relink_wait_s,
            )
            runs.append(ResumedRun(pipe=pipe, attempt=attempt, kind=link.target.kind))
        return runs, unreachable

    async def _pick_found(self, runs: list[ResumedRun]) -> ResumedRun | None:
        """Return the run at the agent that has it, or None if no agent does.

        An agent that doesn't have the run says so immediately. An agent that
        hasn't replied by the end of the wait is therefore assumed to have it,
        without any output so far.
        """
        decided = trio.Event()

        async def wait_for_reply(run: ResumedRun) -> None:
            await run.attempt.has_replied.wait()
            is_unknown_everywhere = all(each.attempt.is_unknown for each in runs)
            if is_unknown_everywhere or not run.attempt.is_unknown:
                decided.set()

        if not runs:
            return None
        async with trio.open_nursery() as nursery:
            for run in runs:
                nursery.start_soon(wait_for_reply, run)
            with trio.move_on_after(LOOKUP_WAIT_S):
                await decided.wait()
            nursery.cancel_scope.cancel()
        candidates = [run for run in runs if not run.attempt.is_unknown]
        confirmed = [run for run in candidates if run.attempt.has_replied.is_set()]
        return next(iter(confirmed + candidates), None)

    async def _follow(self, key: RequestKey, run: ResumedRun) -> None:
        try:
            outcome = await run.attempt.follow()
        finally:
            run.attempt.close()
        event = "resumed_whole" if isinstance(outcome, Ran) else "resumed_cut"
        self._services.decision_log.record(key.request_id, event)
        run.pipe.finish(outcome)


def targets_for_organisation(config: FleetConfig, organisation: str) -> list[str]:
    """Return the targets that may have run a request of the organisation."""
    routes = [
        route
        for route in config.routes.values()
        if not route.organisations or organisation in route.organisations
    ]
    return [
        name
        for name, target in sorted(config.targets.items())
        if any(serves_route(route, target) for route in routes)
    ]
