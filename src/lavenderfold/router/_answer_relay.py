"""Finding a run at the agents and relaying its answer from an offset on."""

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

LOCATE_WAIT_S = 2.0


class AnswerSource(Protocol):
    """Something whose answer is being written to a pipe."""

    pipe: AnswerPipe
    ended: RunEnded | None


class ResumedRun:
    """An answer that is relayed from an agent's buffer."""

    def __init__(self, *, pipe: AnswerPipe, attempt: Attempt, kind: RouteKind):
        self.pipe = pipe
        self.kind = kind
        self.attempt = attempt

    @property
    def ended(self) -> RunEnded | None:
        return self.attempt.ended


class RunLookup:
    """The result of a search: a run, or the targets that could not be asked."""

    def __init__(self, *, run: ResumedRun | None, unreachable: list[str]):
        self.run = run
        self.unreachable = unreachable


class AnswerRelay:
    """Asks agents for a run and relays the answer of the one that has it."""

    def __init__(self, *, services: RouterServices):
        self._services = services

    async def open(
        self, key: RequestKey, targets: list[str], *, offset: int
    ) -> RunLookup:
        """Find the run of a request at ``targets`` and start to relay it."""
        await self._services.agents.open_all(targets)
        runs, unreachable = self._ask_all(key, targets, offset)
        found = await self._first_found(runs)
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
            order = ResumeRun(subscription=subscription, key=key, offset=offset)
            try:
                link.post(order)
            except AgentUnreachableError:
                unreachable.append(target)
                continue
            limits = self._services.settings.limits
            pipe = AnswerPipe(unread_limit=limits.unread_bytes)
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

    async def _first_found(self, runs: list[ResumedRun]) -> ResumedRun | None:
        """Return the run that an agent has.

        An agent says at once that it doesn't have a run, so one that is silent
        until the end of the wait has it and hasn't produced anything yet.
        """
        is_decided = trio.Event()

        async def watch(run: ResumedRun) -> None:
            await run.attempt.is_found.wait()
            nowhere = all(each.attempt.is_unknown for each in runs)
            if nowhere or not run.attempt.is_unknown:
                is_decided.set()

        if not runs:
            return None
        async with trio.open_nursery() as nursery:
            for run in runs:
                nursery.start_soon(watch, run)
            with trio.move_on_after(LOCATE_WAIT_S):
                await is_decided.wait()
            nursery.cancel_scope.cancel()
        known = [run for run in runs if not run.attempt.is_unknown]
        heard = [run for run in known if run.attempt.is_found.is_set()]
        return next(iter(heard + known), None)

    async def _follow(self, key: RequestKey, run: ResumedRun) -> None:
        try:
            outcome = await run.attempt.follow()
        finally:
            run.attempt.close()
        name = "resumed_whole" if isinstance(outcome, Ran) else "resumed_cut"
        self._services.decision_log.record(key.request_id, name)
        run.pipe.finish(outcome)


def targets_of(config: FleetConfig, organisation: str) -> list[str]:
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
