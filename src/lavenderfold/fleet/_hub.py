"""Follows prefixes of the store on behalf of all routers of a region.

A configuration is large. If each router fetched it, the copies would fill the link
between the regions and delay the store calls that requests wait for. Watches of the
targets cost the store a call per router and wait.
"""

import itertools
import logging

import msgspec
import trio

from lavenderfold.fleet._follower import RETRY_PAUSE_S, PrefixFollower
from lavenderfold.http import HttpResponse
from lavenderfold.shared import Item, SharedStore
from lavenderfold.timers import TimerService

HUB_PATH = "/hub/follow"
# The source of answers that come from a hub, for log lines.
HUB_SOURCE = "hub"
# Status of the answer while the first listing of the prefix is in progress.
LISTING_STATUS = 202
# Status of the answer of a hub that may have missed changes.
REFUSED_STATUS = 503
# A hub that has had no answer from the store for this time refuses calls, so that
# routers that can reach the store don't use outdated items.
MAX_STALENESS_S = 2.0
MAX_WAIT_S = 10.0
# Their sum limits how late a router learns that its hub is cut off.
WATCH_WAIT_S = 0.7
# The same while no router waits for changes, as at a standby.
STANDBY_WATCH_WAIT_S = 1.4
STALENESS_CHECK_S = 0.25
# How long a call waits for the first listing of its prefix.
FIRST_LISTING_TIMEOUT_S = 0.4
# A prefix is no longer followed after this time without calls.
IDLE_TIMEOUT_S = 10.0

# Removals that a hub remembers for routers that haven't seen them yet.
MAX_REMOVALS = 1000

logger = logging.getLogger(__name__)


class FollowCall(msgspec.Struct, frozen=True):
    """Requests the items under a prefix that changed after a revision."""

    prefix: str
    after: int
    wait_s: float


class Removal(msgspec.Struct, frozen=True):
    """A key that was removed; see ``Change`` for ``is_certain``."""

    key: str
    revision: int
    is_certain: bool


class FollowAnswer(msgspec.Struct, frozen=True):
    """Changed items and removals, and the revision up to which they are complete.

    ``keys`` are all keys that exist, if the hub doesn't know all removals since the
    revision that the call named.
    """

    items: list[Item]
    revision: int
    removals: list[Removal] = msgspec.field(default_factory=list)
    keys: list[str] | None = None


class _FollowedPrefix:
    """A followed prefix: its items, its removals and the calls that wait for changes.

    Only the last MAX_REMOVALS are kept; ``forgotten_revision`` is that of the newest
    removal that was dropped.
    """

    def __init__(self, *, now: float):
        self.item_by_key: dict[str, Item] = {}
        self.removal_by_key: dict[str, Removal] = {}
        self.forgotten_revision = 0
        self.last_call_at = now
        self.waiting_calls = 0
        self.changed = trio.Event()
        self.follower: PrefixFollower | None = None

    def put(self, item: Item) -> None:
        known = self.item_by_key.get(item.key)
        if known is None or item.revision > known.revision:
            self.item_by_key[item.key] = item
            self.removal_by_key.pop(item.key, None)
            self.notify_changed()

    def handle_removal(self, key: str, *, revision: int, is_certain: bool) -> None:
        known = self.item_by_key.get(key)
        if known is None or known.revision > revision:
            return
        del self.item_by_key[key]
        self.removal_by_key[key] = Removal(key, revision, is_certain)
        if len(self.removal_by_key) > MAX_REMOVALS:
            oldest = min(self.removal_by_key.values(), key=lambda each: each.revision)
            del self.removal_by_key[oldest.key]
            self.forgotten_revision = oldest.revision
        self.notify_changed()

    def known_keys(self) -> list[str]:
        return list(self.item_by_key)

    def notify_changed(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def has_changes_after(self, revision: int) -> bool:
        entries = itertools.chain(
            self.item_by_key.values(), self.removal_by_key.values()
        )
        return any(each.revision > revision for each in entries)

    def knows_removals_after(self, revision: int) -> bool:
        return revision >= max(self.follower.listed_revision, self.forgotten_revision)

    def answer(self, after: int) -> FollowAnswer:
        """Return what changed after a revision."""
        is_complete = self.knows_removals_after(after)
        return FollowAnswer(
            items=[each for each in self.item_by_key.values() if each.revision > after],
            revision=self.follower.revision,
            removals=[
                each for each in self.removal_by_key.values() if each.revision > after
            ],
            keys=None if is_complete else list(self.item_by_key),
        )


class PrefixHub:
    """Answers routers' calls from its own copy of the followed prefixes."""

    def __init__(self, *, store: SharedStore, timers: TimerService):
        self._store = store
        self._timers = timers
        self._followed_by_prefix: dict[str, _FollowedPrefix] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Follow the prefixes that routers ask for until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def answer(self, body: bytes) -> HttpResponse:
        """Answer a router's call.

        The status is REFUSED_STATUS if the hub may have missed changes, and
        LISTING_STATUS while its first listing is in progress and no attempt at it has
        failed.
        """
        try:
            call = msgspec.msgpack.decode(body, type=FollowCall)
        except msgspec.DecodeError as error:
            logger.warning("hub_call_unreadable", extra={"cause": str(error)})
            return HttpResponse(status=400)
        followed = self._ensure_followed(call.prefix)
        if followed is None:
            return HttpResponse(status=REFUSED_STATUS)
        if call.wait_s:
            followed.follower.wait_s = WATCH_WAIT_S
            if call.after > followed.follower.revision:
                # The router was served by another process that read the store later.
                followed.follower.refresh()
        followed.waiting_calls += 1
        try:
            with trio.move_on_after(FIRST_LISTING_TIMEOUT_S):
                while not followed.follower.is_listed:
                    await self._wait_for_change(followed)
            with trio.move_on_after(min(call.wait_s, MAX_WAIT_S)):
                while (
                    self._is_up_to_date(followed)
                    and followed.knows_removals_after(call.after)
                    and not followed.has_changes_after(call.after)
                ):
                    await self._wait_for_change(followed)
        finally:
            followed.waiting_calls -= 1
            followed.last_call_at = self._timers.now()
        follower = followed.follower
        if not follower.is_listed and follower.is_reachable:
            return HttpResponse(status=LISTING_STATUS)
        if not self._is_up_to_date(followed):
            return HttpResponse(status=REFUSED_STATUS)
        answer = followed.answer(call.after)
        return HttpResponse(status=200, body=msgspec.msgpack.encode(answer))

    def _ensure_followed(self, prefix: str) -> _FollowedPrefix | None:
        followed = self._followed_by_prefix.get(prefix)
        if followed is None and self._nursery is not None:
            followed = _FollowedPrefix(now=self._timers.now())
            followed.follower = PrefixFollower(
                store=self._store,
                timers=self._timers,
                prefix=prefix,
                sink=followed,
                wait_s=WATCH_WAIT_S,
                on_answer=followed.notify_changed,
                # All routers of the region wait for this hub after an outage.
                retry_limit_s=RETRY_PAUSE_S,
            )
            self._followed_by_prefix[prefix] = followed
            self._nursery.start_soon(self._follow, prefix, followed)
        return followed

    async def _follow(self, prefix: str, followed: _FollowedPrefix) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(followed.follower.run)
            while True:
                await trio.sleep(IDLE_TIMEOUT_S / 2)
                if followed.waiting_calls:
                    continue
                followed.follower.wait_s = STANDBY_WATCH_WAIT_S
                if self._timers.now() - followed.last_call_at >= IDLE_TIMEOUT_S:
                    break
            nursery.cancel_scope.cancel()
        del self._followed_by_prefix[prefix]

    async def _wait_for_change(self, followed: _FollowedPrefix) -> None:
        with trio.move_on_after(STALENESS_CHECK_S):
            changed = followed.changed
            await changed.wait()

    def _is_up_to_date(self, followed: _FollowedPrefix) -> bool:
        follower = followed.follower
        if not follower.is_listed or not follower.is_reachable:
            return False
        return self._timers.now() - follower.answered_at < MAX_STALENESS_S
