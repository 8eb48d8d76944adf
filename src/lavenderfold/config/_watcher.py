"""Keeps the configuration of a process at the highest revision."""

import logging
from collections.abc import Callable

import trio

from lavenderfold.config._revisions import Revisions
from lavenderfold.config._state import ConfigState
from lavenderfold.config._stored_revisions import Head
from lavenderfold.logs import log_event
from lavenderfold.messages import Snapshot

# A watch on a connection that died unnoticed returns nothing. This timeout bounds
# how long it delays the installation of a new revision.
WATCH_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 2.0

# Limits the rate of calls to a store that ends each watch immediately.
WATCH_RETRY_PAUSE_S = 0.05

Subscriber = Callable[[ConfigState], None]

logger = logging.getLogger(__name__)


class ConfigWatcher:
    """Installs higher revisions from the store and from peers.

    Watches the head in the store, and polls it every ``poll_interval_s`` seconds
    while watching fails. Calls its subscribers with the state after each
    installation.
    """

    def __init__(
        self,
        *,
        state: ConfigState,
        revisions: Revisions,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
        poll_interval_s: float = POLL_INTERVAL_S,
    ):
        self._state = state
        self._revisions = revisions
        self._watch_timeout_s = watch_timeout_s
        self._poll_interval_s = poll_interval_s
        self._subscribers: list[Subscriber] = []
        self._announced_revision = 0
        self._invalid_revision = 0
        self._has_announcement = trio.Event()
        self._has_new_config = trio.Event()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber(state)`` after each installation from now on."""
        self._subscribers.append(subscriber)

    def offer(self, snapshot: Snapshot, *, source: str) -> bool:
        """Install a peer's snapshot if it's valid and higher than the installed one.

        Returns whether it was installed.
        """
        return self._install(snapshot.revision, snapshot.text_by_name, source)

    def announce(self, revision: int) -> None:
        """Fetch ``revision``, which a peer has, if it's higher than the known ones."""
        if revision > max(self._announced_revision, self._state.revision):
            self._announced_revision = revision
            self._has_announcement.set()

    async def wait_for(self, revision: int = 1) -> None:
        """Wait until at least ``revision`` is installed."""
        while self._state.revision < revision:
            await self._has_new_config.wait()

    async def run(self) -> None:
        """Install new revisions from the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_head)
            nursery.start_soon(self._follow_announcements)

    async def _follow_head(self) -> None:
        after = 0
        while True:
            head = await self._next_head(after)
            if head is None:
                await trio.sleep(WATCH_RETRY_PAUSE_S)
            elif await self._fetch(head.revision):
                after = head.version
            else:
                await trio.sleep(self._poll_interval_s)

    async def _next_head(self, after: int) -> Head | None:
        watched = await self._revisions.watch_head(
            after=after, timeout_s=self._watch_timeout_s
        )
        if watched.is_ok():
            return watched.unwrap()
        await trio.sleep(self._poll_interval_s)
        polled = await self._revisions.head()
        return polled.unwrap_or(None)

    async def _follow_announcements(self) -> None:
        while True:
            await self._has_announcement.wait()
            self._has_announcement = trio.Event()
            await self._fetch(self._announced_revision)

    async def _fetch(self, revision: int) -> bool:
        """Load and install a revision from the store if it's needed.

        Returns False if it couldn't be loaded. A revision that was loaded but isn't
        valid is not fetched again.
        """
        if revision <= max(self._state.revision, self._invalid_revision):
            return True
        loaded = await self._revisions.load(revision)
        if loaded.is_err():
            cause = loaded.unwrap_err()
            log_event(logger, "config_fetch_failed", revision=revision, cause=cause)
            return False
        self._install(revision, loaded.unwrap(), "store")
        if self._state.revision < revision:
            self._invalid_revision = revision
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
        self._has_new_config.set()
        self._has_new_config = trio.Event()
        for subscriber in self._subscribers:
            subscriber(self._state)
        return True
