"""Follows a prefix of the store once for all routers of a region.

A configuration is large. Fetched by each router it fills the link between regions,
and the calls that requests wait for queue behind it.
"""

import logging

import msgspec
import trio

from lavenderfold.fleet._follower import PrefixFollower
from lavenderfold.http import HttpResponse
from lavenderfold.shared import Item, SharedStore
from lavenderfold.timers import TimerService

HUB_PATH = "/hub/follow"
# A hub that hasn't heard of the store for this time refuses, so that routers that
# can reach the store don't act on what the hub knew.
FRESH_S = 2.0
LONGEST_WAIT_S = 10.0
# Together they bound how late a router learns that its hub is cut off.
WATCH_WAIT_S = 0.7
FRESH_CHECK_S = 0.25
# A call that comes before the first listing waits for it this long.
FIRST_LISTING_S = 0.4
# A prefix that nobody asked for in this time is followed no longer.
IDLE_S = 10.0

logger = logging.getLogger(__name__)


class FollowCall(msgspec.Struct, frozen=True):
    """Asks for the items under a prefix that changed after a revision."""

    prefix: str
    after: int
    wait_s: float


class FollowAnswer(msgspec.Struct, frozen=True):
    """Changed items, and the revision up to which none is missing."""

    items: list[Item]
    revision: int


class _Followed:
    """One prefix: its items and who waits for changes."""

    def __init__(self, *, now: float):
        self.item_by_key: dict[str, Item] = {}
        self.asked_at = now
        self.waiting = 0
        self.changed = trio.Event()
        self.follower: PrefixFollower | None = None

    def put(self, item: Item) -> None:
        known = self.item_by_key.get(item.key)
        if known is None or item.revision > known.revision:
            self.item_by_key[item.key] = item
            self.wake()

    def removed(self, key: str, *, revision: int, is_certain: bool) -> None:
        # Hubs serve prefixes whose keys are replaced and never removed.
        logger.warning("hub_removal_ignored", extra={"key": key, "revision": revision})

    def known_keys(self) -> list[str]:
        return []

    def wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def newer(self, revision: int) -> list[Item]:
        return [item for item in self.item_by_key.values() if item.revision > revision]


class PrefixHub:
    """Answers routers from what it follows itself."""

    def __init__(self, *, store: SharedStore, timers: TimerService):
        self._store = store
        self._timers = timers
        self._followed_by_prefix: dict[str, _Followed] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Follow what routers ask for until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def answer(self, body: bytes) -> HttpResponse:
        """Answer a router's call; 503 if the hub may have missed changes."""
        try:
            call = msgspec.msgpack.decode(body, type=FollowCall)
        except msgspec.DecodeError as error:
            logger.warning("hub_call_unreadable", extra={"cause": str(error)})
            return HttpResponse(status=400)
        followed = self._followed(call.prefix)
        if followed is None:
            return HttpResponse(status=503)
        followed.waiting += 1
        try:
            with trio.move_on_after(FIRST_LISTING_S):
                while not followed.follower.is_listed:
                    await self._wait_changed(followed)
            with trio.move_on_after(min(call.wait_s, LONGEST_WAIT_S)):
                while not followed.newer(call.after) and self._is_fresh(followed):
                    await self._wait_changed(followed)
        finally:
            followed.waiting -= 1
            followed.asked_at = self._timers.now()
        if not self._is_fresh(followed):
            return HttpResponse(status=503)
        answer = FollowAnswer(followed.newer(call.after), followed.follower.revision)
        return HttpResponse(status=200, body=msgspec.msgpack.encode(answer))

    def _followed(self, prefix: str) -> _Followed | None:
        followed = self._followed_by_prefix.get(prefix)
        if followed is None and self._nursery is not None:
            followed = _Followed(now=self._timers.now())
            followed.follower = PrefixFollower(
                store=self._store,
                timers=self._timers,
                prefix=prefix,
                sink=followed,
                wait_s=WATCH_WAIT_S,
                on_answer=followed.wake,
            )
            self._followed_by_prefix[prefix] = followed
            self._nursery.start_soon(self._follow, prefix, followed)
        return followed

    async def _follow(self, prefix: str, followed: _Followed) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(followed.follower.run)
            while True:
                await trio.sleep(IDLE_S / 2)
                idle_s = self._timers.now() - followed.asked_at
                if not followed.waiting and idle_s >= IDLE_S:
                    break
            nursery.cancel_scope.cancel()
        del self._followed_by_prefix[prefix]

    async def _wait_changed(self, followed: _Followed) -> None:
        with trio.move_on_after(FRESH_CHECK_S):
            changed = followed.changed
            await changed.wait()

    def _is_fresh(self, followed: _Followed) -> bool:
        follower = followed.follower
        if not follower.is_listed or not follower.is_reachable:
            return False
        return self._timers.now() - follower.answered_at < FRESH_S
