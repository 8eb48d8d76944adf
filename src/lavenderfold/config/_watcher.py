"""Keeps a process's configuration at the highest revision."""

import logging
from collections.abc import Callable

import trio

from lavenderfold.config._revisions import Head, Revisions
from lavenderfold.config._state import ConfigState
from lavenderfold.logs import log_event
from lavenderfold.messages import Snapshot

# A watch that a network fault leaves without an end delays news by this long.
WATCH_TIMEOUT_S = 5.0
POLL_S = 2.0

# Bounds the calls to a store that ends each watch at once.
PAUSE_S = 0.05

Subscriber = Callable[[ConfigState], None]

logger = logging.getLogger(__name__)


class ConfigWatcher:
    """Installs higher revisions from the store and from peers.

    Watches the head, and polls it each ``poll_s`` seconds while the watch
    fails. Subscribers are called with the state after each installation.
    """

    def __init__(
        self,
        *,
        state: ConfigState,
        revisions: Revisions,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
        poll_s: float = POLL_S,
    ):
        self._state = state
        self._revisions = revisions
        self._watch_timeout_s = watch_timeout_s
        self._poll_s = poll_s
        self._subscribers: list[Subscriber] = []
        self._announced_revision = 0
        self._unusable_revision = 0
        self._announced = trio.Event()
        self._installed = trio.Event()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber(state)`` after each installation from now on."""
        self._subscribers.append(subscriber)

    def offer(self, snapshot: Snapshot, *, source: str) -> bool:
        """Install a peer's snapshot if it's higher; return whether it was."""
        return self._install(snapshot.revision, snapshot.text_by_name, source)

    def announce(self, revision: int) -> None:
        """Take note of a revision that a peer has; a higher one is fetched."""
        if revision > max(self._announced_revision, self._state.revision):
            self._announced_revision = revision
            self._announced.set()

    async def wait_for(self, revision: int = 1) -> None:
        """Wait until at least ``revision`` is installed."""
        while self._state.revision < revision:
            await self._installed.wait()

    async def run(self) -> None:
        """Follow the store's head until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_head)
            nursery.start_soon(self._follow_announcements)

    async def _follow_head(self) -> None:
        after = 0
        while True:
            head = await self._next_head(after)
            if head is None:
                await trio.sleep(PAUSE_S)
            elif await self._fetch(head.revision):
                after = head.version
            else:
                await trio.sleep(self._poll_s)

    async def _next_head(self, after: int) -> Head | None:
        watched = await self._revisions.watch_head(
            after=after, timeout_s=self._watch_timeout_s
        )
        if watched.is_ok():
            return watched.unwrap()
        await trio.sleep(self._poll_s)
        polled = await self._revisions.head()
        return polled.unwrap_or(None)

    async def _follow_announcements(self) -> None:
        while True:
            await self._announced.wait()
            self._announced = trio.Event()
            await self._fetch(self._announced_revision)

    async def _fetch(self, revision: int) -> bool:
        """Return whether the revision was loaded or needn't be."""
        if revision <= max(self._state.revision, self._unusable_revision):
            return True
        loaded = await self._revisions.load(revision)
        if loaded.is_err():
            cause = loaded.unwrap_err()
            log_event(logger, "config_fetch_failed", revision=revision, cause=cause)
            return False
        self._install(revision, loaded.unwrap(), "store")
        if self._state.revision < revision:
            self._unusable_revision = revision
        return True

    def _install(
        self, revision: int, text_by_name: dict[str, str], source: str
    ) -> bool:
        if revision <= self._state.revision:
            return False
        if not self._state.install(revision, text_by_name):
            cause = self._state.errors[0]
            log_event(
                logger, "config_rejected", revision=revision, source=source, cause=cause
            )
            return False
        log_event(logger, "config_installed", revision=revision, source=source)
        self._installed.set()
        self._installed = trio.Event()
        for subscriber in self._subscribers:
            subscriber(self._state)
        return True
