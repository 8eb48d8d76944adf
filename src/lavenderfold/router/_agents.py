"""Links to the agents beside the targets, each run by a task of its own."""

import logging
import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import trio

from lavenderfold.config import FleetConfig, RouteKind, Target
from lavenderfold.links import Link, LinkClosedError, connect, exclude_own_delay
from lavenderfold.logs import log_event
from lavenderfold.messages import (
    AgentHello,
    FenceReport,
    Frame,
    Heartbeat,
    LoadReport,
    MessageToRouter,
    RouterHello,
    RunAccepted,
    RunEnded,
    RunUnknown,
    UsageReport,
)
from lavenderfold.router._link_timing import AgentLinkTiming, agent_link_timing
from lavenderfold.routing import Candidate, backoff_s, connected_targets
from lavenderfold.timers import TimerService

UNUSED_LINK_LINGER_S = 10.0
# How long a task waits until a temporary link is open. A resume waits for this, so
# that it is short; an agent that doesn't connect in time counts as unreachable.
TEMPORARY_LINK_WAIT_S = 1.0

logger = logging.getLogger("lavenderfold.router.agents")


class AgentUnreachableError(Exception):
    """Raised if a message wasn't sent, as the target's agent has no open link."""

    def __init__(self, target: str):
        super().__init__(f"no link to the agent of {target}")
        self.target = target


class RunSink(Protocol):
    """Receives what an agent sends about one run or subscription."""

    def on_accepted(self) -> None: ...

    def on_frame(self, frame: Frame) -> None: ...

    def on_ended(self, ended: RunEnded) -> None: ...

    def on_unknown(self) -> None: ...

    def on_link_lost(self) -> None: ...


class AgentHandlers:
    """Functions of the router that the agent links call with the target's name."""

    def __init__(
        self,
        *,
        link_lost: Callable[[str], None],
        load_reported: Callable[[str, LoadReport], None],
        usage_reported: Callable[[str, UsageReport], None],
        fence_reported: Callable[[str, FenceReport], None],
    ):
        self.link_lost = link_lost
        self.load_reported = load_reported
        self.usage_reported = usage_reported
        self.fence_reported = fence_reported


class AgentLink:
    """The link to one target's agent, reopened whenever it closes.

    A temporary link, whose ``is_permanent`` is false, is used to resume runs and to
    fence incarnations. Its load reports are ignored, so that its target gets no new
    runs. ``connected`` is set from the agent's hello until the link closes, and
    ``greeted`` from the first hello on.
    """

    def __init__(
        self,
        *,
        name: str,
        target: Target,
        handlers: AgentHandlers,
        hello: Callable[[], RouterHello],
        timing: Callable[[], AgentLinkTiming],
        timers: TimerService,
        batch_window_s: float,
    ):
        self.name = name
        self.target = target
        self.boot_id = ""
        self.is_permanent = True
        self.scope = trio.CancelScope()
        self.connected = trio.Event()
        self.greeted = trio.Event()
        self._handlers = handlers
        self._hello = hello
        self._timing = timing
        self._timers = timers
        self._batch_window_s = batch_window_s
        self._link: Link | None = None
        self._sink_by_run_id: dict[str, RunSink] = {}
        self._last_message_at = 0.0
        self._is_retiring = False
        self._unused = trio.Event()

    @property
    def is_connected(self) -> bool:
        return (
            self._link is not None and not self._link.closed and self.connected.is_set()
        )

    def post(self, message: Any) -> None:
        """Send a message. Raises AgentUnreachableError if it wasn't sent."""
        if not self.is_connected:
            raise AgentUnreachableError(self.name)
        try:
            self._link.post(message)
        except LinkClosedError as error:
            raise AgentUnreachableError(self.name) from error

    def attach(self, run_id: str, sink: RunSink) -> None:
        """Deliver messages about a run or subscription to ``sink``."""
        self._sink_by_run_id[run_id] = sink

    def detach(self, run_id: str) -> None:
        self._sink_by_run_id.pop(run_id, None)
        if self._is_retiring and not self._sink_by_run_id:
            self._unused.set()

    async def retire(self) -> None:
        """Close the link after its runs have ended."""
        await self.wait_until_unused()
        self.scope.cancel()

    async def wait_until_unused(self) -> None:
        """Wait until the link has had no run or subscription for a while.

        The agent may still have usage to report that no router has confirmed.
        """
        self._is_retiring = True
        while True:
            if self._sink_by_run_id:
                self._unused = trio.Event()
                await self._unused.wait()
            await trio.sleep(UNUSED_LINK_LINGER_S)
            if not self._sink_by_run_id:
                return

    async def run(self) -> None:
        """Open the link, and reopen it when it closes, until ``scope`` is cancelled."""
        with self.scope:
            failure_count = 0
            while True:
                was_connected = await self._run_once()
                failure_count = 1 if was_connected else failure_count + 1
                await trio.sleep(backoff_s(failure_count, random.random()))

    async def _run_once(self) -> bool:
        self._link = connect(
            address=self.target.agent,
            message_type=MessageToRouter,
            batch_window_s=self._batch_window_s,
        )
        self._last_message_at = self._timers.now()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._link.run)
                self._link.post(self._hello())
                nursery.start_soon(self._send_heartbeats, self._link)
                await self._receive(self._link)
                nursery.cancel_scope.cancel()
        except* LinkClosedError:
            pass
        finally:
            self._link.close()
            was_connected = self.connected.is_set()
            self._notify_link_lost()
        return was_connected

    async def _receive(self, link: Link) -> None:
        while True:
            for message in await link.receive():
                self._last_message_at = self._timers.now()
                self._handle(message)

    async def _send_heartbeats(self, link: Link) -> None:
        """Send heartbeats, and close the link if the agent is silent for too long."""
        due_at = check_due_at = self._timers.now()
        while not link.closed:
            now = self._timers.now()
            timing = self._timing()
            self._last_message_at = exclude_own_delay(
                self._last_message_at, check_due_at=check_due_at, now=now
            )
            if now - self._last_message_at > timing.silence_limit_s:
                link.close()
                return
            if now >= due_at:
                due_at = now + timing.heartbeat_period_s - timing.check_period_s
                revision = self._hello().revision
                link.post(Heartbeat(revision, period_s=timing.heartbeat_period_s))
            check_due_at = now + timing.check_period_s
            await trio.sleep(timing.check_period_s)

    def _notify_link_lost(self) -> None:
        if self.connected.is_set():
            log_event(logger, "agent_link_lost", target=self.name)
            # An event that wasn't set is kept, because runs may be waiting for it
            # since an earlier loss of the link.
            self.connected = trio.Event()
        if self.is_permanent:
            self._handlers.link_lost(self.name)
        for sink in list(self._sink_by_run_id.values()):
            sink.on_link_lost()

    def _handle(self, message: Any) -> None:
        match message:
            case Frame(run_id=run_id) if run_id in self._sink_by_run_id:
                self._sink_by_run_id[run_id].on_frame(message)
            case RunEnded(run_id=run_id) if run_id in self._sink_by_run_id:
                self._sink_by_run_id[run_id].on_ended(message)
            case RunAccepted(run_id=run_id) if run_id in self._sink_by_run_id:
                self._sink_by_run_id[run_id].on_accepted()
            case RunUnknown(subscription=name) if name in self._sink_by_run_id:
                self._sink_by_run_id[name].on_unknown()
            case LoadReport():
                if self.is_permanent:
                    self._handlers.load_reported(self.name, message)
            case UsageReport():
                self._handlers.usage_reported(self.name, message)
            case FenceReport():
                self._handlers.fence_reported(self.name, message)
            case AgentHello():
                self._handle_hello(message)

    def _handle_hello(self, hello: AgentHello) -> None:
        if hello.target != self.name:
            # Another target's agent listens at this address, for example after a
            # VM was replaced and the configuration still names the old one.
            log_event(logger, "wrong_agent", target=self.name, answered_by=hello.target)
            self._link.close()
            return
        self.boot_id = hello.boot_id
        self.connected.set()
        self.greeted.set()
        log_event(logger, "agent_connected", target=self.name, boot=hello.boot_id)


class AgentLinks:
    """The permanent and temporary links to agents, by target.

    The router keeps permanent links to the targets that it may choose and opens
    temporary links to others when needed. It never has two links to one agent,
    because an agent closes the older of two links from the same router.
    """

    def __init__(
        self,
        *,
        router: str,
        region: str,
        targets_per_group: int,
        handlers: AgentHandlers,
        hello: Callable[[], RouterHello],
        timers: TimerService,
        batch_window_s: float,
    ):
        self.link_by_target: dict[str, AgentLink] = {}
        self.timing = agent_link_timing(0)
        self._router = router
        self._region = region
        self._targets_per_group = targets_per_group
        self._target_by_name: dict[str, Target] = {}
        self._temporary_link_by_target: dict[str, AgentLink] = {}
        self._nursery: trio.Nursery | None = None
        self._handlers = handlers
        self._hello = hello
        self._timers = timers
        self._batch_window_s = batch_window_s

    def install(self, config: FleetConfig, nursery: trio.Nursery) -> None:
        """Open links to new targets and close those to removed ones.

        Tells the agents the configuration's revision and their report period.
        """
        self._nursery = nursery
        self._target_by_name = config.targets
        permanent_targets = connected_targets(
            self._router,
            _candidates_by_group(config),
            region=self._region,
            per_group=self._targets_per_group,
        )
        self.timing = agent_link_timing(len(permanent_targets))
        self._retire_changed(self.link_by_target)
        self._retire_changed(self._temporary_link_by_target)
        for name in self.link_by_target.keys() - permanent_targets:
            self._make_temporary(name)
        for name in sorted(permanent_targets - self.link_by_target.keys()):
            self._make_permanent(name)
        self.post_all(self._hello())
        self.post_all(
            Heartbeat(self._hello().revision, period_s=self.timing.heartbeat_period_s)
        )

    def get_or_open(self, target: str) -> AgentLink | None:
        """Return the link to a target, opening a temporary one if it has none.

        Returns None if the target isn't configured.
        """
        link = self.link_by_target.get(target) or self._temporary_link_by_target.get(
            target
        )
        if link is None and target in self._target_by_name:
            link = self._temporary_link_by_target[target] = self._make_link(target)
            link.is_permanent = False
            self._nursery.start_soon(link.run)
            self._nursery.start_soon(self._close_when_unused, link)
        return link

    async def open_all(self, targets: Iterable[str]) -> None:
        """Open temporary links to targets without a link and wait for their hellos.

        The wait ends after TEMPORARY_LINK_WAIT_S.
        """
        with trio.move_on_after(TEMPORARY_LINK_WAIT_S):
            for link in [self.get_or_open(target) for target in targets]:
                if link is not None and not link.is_permanent:
                    await link.greeted.wait()

    def _retire_changed(self, link_by_target: dict[str, AgentLink]) -> None:
        """Retire links to targets that were removed or have a new address."""
        for name, link in list(link_by_target.items()):
            target = self._target_by_name.get(name)
            if target is None or target.agent != link.target.agent:
                del link_by_target[name]
                self._nursery.start_soon(link.retire)
            else:
                link.target = target

    def _make_temporary(self, name: str) -> None:
        link = self._temporary_link_by_target[name] = self.link_by_target.pop(name)
        link.is_permanent = False
        self._handlers.link_lost(name)
        self._nursery.start_soon(self._close_when_unused, link)

    def _make_permanent(self, name: str) -> None:
        link = self._temporary_link_by_target.pop(name, None)
        if link is None:
            link = self._make_link(name)
            self._nursery.start_soon(link.run)
        link.is_permanent = True
        self.link_by_target[name] = link

    def _make_link(self, name: str) -> AgentLink:
        return AgentLink(
            name=name,
            target=self._target_by_name[name],
            handlers=self._handlers,
            hello=self._hello,
            timing=lambda: self.timing,
            timers=self._timers,
            batch_window_s=self._batch_window_s,
        )

    async def _close_when_unused(self, link: AgentLink) -> None:
        await link.wait_until_unused()
        if self._temporary_link_by_target.get(link.name) is link:
            del self._temporary_link_by_target[link.name]
            link.scope.cancel()

    def post(self, target: str, message: Any) -> None:
        """Send to a target's agent. Raises AgentUnreachableError if that failed."""
        link = self.link_by_target.get(target) or self._temporary_link_by_target.get(
            target
        )
        if link is None:
            raise AgentUnreachableError(target)
        link.post(message)

    def post_if_connected(self, target: str, message: Any) -> bool:
        """Send to a target's agent; return whether its link was open."""
        try:
            self.post(target, message)
        except AgentUnreachableError:
            return False
        return True

    def post_all(self, message: Any) -> None:
        """Send to all connected agents."""
        for target in [*self.link_by_target, *self._temporary_link_by_target]:
            self.post_if_connected(target, message)

    def is_connected(self, target: str) -> bool:
        link = self.link_by_target.get(target)
        return link is not None and link.is_connected


def _candidates_by_group(config: FleetConfig) -> dict[str, list[Candidate]]:
    """Return the candidate targets of each model and each service."""
    candidates_by_group: dict[str, list[Candidate]] = {}
    for name, target in sorted(config.targets.items()):
        region = config.failure_domains[target.failure_domain].region
        is_model = target.kind is RouteKind.MODEL
        for group in target.models if is_model else [target.service]:
            candidates = candidates_by_group.setdefault(f"{target.kind}:{group}", [])
            candidates.append(Candidate(target=name, region=region))
    return candidates_by_group
