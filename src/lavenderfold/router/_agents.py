"""Links to the agents: one task for each target of the configuration."""

import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

import trio

from lavenderfold.config import FleetConfig, Target
from lavenderfold.links import Link, LinkClosedError, connect
from lavenderfold.logs import log_event
from lavenderfold.messages import (
    AgentHello,
    FenceReport,
    Frame,
    Heartbeat,
    LoadReport,
    RouterHello,
    RunAccepted,
    RunEnded,
    RunUnknown,
    ToRouter,
    UsageReport,
)
from lavenderfold.routing import backoff_s
from lavenderfold.timers import TimerService

HEARTBEAT_S = 0.5
# An agent that sends nothing for this long is taken for unreachable, even if
# the transport still looks open. The load view avoids it earlier; the link stays
# a while, because runs in flight survive a short stall without a new link.
SILENCE_LIMIT_S = 5.0
RETIRE_LINGER_S = 10.0

logger = logging.getLogger("lavenderfold.router.agents")


class AgentUnreachableError(Exception):
    """There is no open link to the target's agent; nothing was sent."""

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
    """Functions that the agent links call with the target's name."""

    def __init__(
        self,
        *,
        lost: Callable[[str], None],
        reported: Callable[[str, LoadReport], None],
        usage_reported: Callable[[str, UsageReport], None],
        fenced: Callable[[str, FenceReport], None],
    ):
        self.lost = lost
        self.reported = reported
        self.usage_reported = usage_reported
        self.fenced = fenced


class AgentLink:
    """The link to one target's agent, opened again whenever it closes."""

    def __init__(
        self,
        *,
        name: str,
        target: Target,
        handlers: AgentHandlers,
        hello: Callable[[], RouterHello],
        timers: TimerService,
        batch_window_s: float,
    ):
        self.name = name
        self.target = target
        self.boot_id = ""
        self.scope = trio.CancelScope()
        self.up = trio.Event()
        self._handlers = handlers
        self._hello = hello
        self._timers = timers
        self._batch_window_s = batch_window_s
        self._link: Link | None = None
        self._sink_by_run_id: dict[str, RunSink] = {}
        self._heard_at = 0.0
        self._is_retiring = False
        self._is_unused = trio.Event()

    @property
    def is_connected(self) -> bool:
        return self._link is not None and not self._link.closed and self.up.is_set()

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
            self._is_unused.set()

    async def retire(self) -> None:
        """Close the link once its runs have ended.

        Stays open a while longer, because the agent may still hold usage that
        no router has confirmed.
        """
        self._is_retiring = True
        if self._sink_by_run_id:
            await self._is_unused.wait()
        await trio.sleep(RETIRE_LINGER_S)
        self.scope.cancel()

    async def run(self) -> None:
        """Keep the link open until the scope is cancelled."""
        with self.scope:
            failures = 0
            while True:
                was_up = await self._run_once()
                failures = 1 if was_up else failures + 1
                await trio.sleep(backoff_s(failures, random.random()))

    async def _run_once(self) -> bool:
        self._link = connect(
            address=self.target.agent,
            message_type=ToRouter,
            batch_window_s=self._batch_window_s,
        )
        self._heard_at = self._timers.now()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._link.run)
                nursery.start_soon(self._send_heartbeats, self._link)
                self._link.post(self._hello())
                await self._receive(self._link)
                nursery.cancel_scope.cancel()
        except* LinkClosedError:
            pass
        finally:
            self._link.close()
            was_up = self.up.is_set()
            self._lose()
        return was_up

    async def _receive(self, link: Link) -> None:
        while True:
            for message in await link.receive():
                self._heard_at = self._timers.now()
                self._take(message)

    async def _send_heartbeats(self, link: Link) -> None:
        while True:
            await trio.sleep(HEARTBEAT_S)
            if self._timers.now() - self._heard_at > SILENCE_LIMIT_S:
                link.close()
                return
            if not link.closed:
                link.post(Heartbeat(revision=self._hello().revision))

    def _lose(self) -> None:
        if self.up.is_set():
            log_event(logger, "agent_link_lost", target=self.name)
            # Replaced only once set: runs may be waiting for it since a loss.
            self.up = trio.Event()
        self._handlers.lost(self.name)
        for sink in list(self._sink_by_run_id.values()):
            sink.on_link_lost()

    def _take(self, message: Any) -> None:
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
                self._handlers.reported(self.name, message)
            case UsageReport():
                self._handlers.usage_reported(self.name, message)
            case FenceReport():
                self._handlers.fenced(self.name, message)
            case AgentHello():
                self._greet(message)

    def _greet(self, hello: AgentHello) -> None:
        if hello.target != self.name:
            # Another target answers at this address, for example after a VM
            # was replaced and the configuration still names the old one.
            log_event(logger, "wrong_agent", target=self.name, answered_by=hello.target)
            self._link.close()
            return
        self.boot_id = hello.boot_id
        self.up.set()
        log_event(logger, "agent_connected", target=self.name, boot=hello.boot_id)


class AgentLinks:
    """The links to all targets of the configuration."""

    def __init__(
        self,
        *,
        handlers: AgentHandlers,
        hello: Callable[[], RouterHello],
        timers: TimerService,
        batch_window_s: float,
    ):
        self.by_target: dict[str, AgentLink] = {}
        self._handlers = handlers
        self._hello = hello
        self._timers = timers
        self._batch_window_s = batch_window_s

    def install(self, config: FleetConfig, nursery: trio.Nursery) -> None:
        """Open links to new targets and close those to removed ones."""
        for name, link in list(self.by_target.items()):
            target = config.targets.get(name)
            if target is None or target.agent != link.target.agent:
                del self.by_target[name]
                nursery.start_soon(link.retire)
            else:
                link.target = target
        for name, target in config.targets.items():
            if name in self.by_target:
                continue
            link = AgentLink(
                name=name,
                target=target,
                handlers=self._handlers,
                hello=self._hello,
                timers=self._timers,
                batch_window_s=self._batch_window_s,
            )
            self.by_target[name] = link
            nursery.start_soon(link.run)

    def post(self, target: str, message: Any) -> None:
        """Send to a target's agent. Raises AgentUnreachableError."""
        link = self.by_target.get(target)
        if link is None:
            raise AgentUnreachableError(target)
        link.post(message)

    def post_if_connected(self, target: str, message: Any) -> bool:
        """Send to a target's agent; returns whether there was a link."""
        try:
            self.post(target, message)
        except AgentUnreachableError:
            return False
        return True

    def post_all(self, message: Any) -> None:
        """Send to all agents that are connected."""
        for target in self.by_target:
            self.post_if_connected(target, message)

    def is_connected(self, target: str) -> bool:
        link = self.by_target.get(target)
        return link is not None and link.is_connected
