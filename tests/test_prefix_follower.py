"""What a follower reports of the changes that it reads."""

import logging

import trio
import trio.testing

from lavenderfold.fleet import PrefixFollower
from lavenderfold.fleet._follower import LOGGED_READ_BYTES, LOGGED_READ_DELAY_S
from lavenderfold.shared import Change, Changes, Item, Listing
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore
from tests.test_hub import SeenKeys

KEY = "config"


def item(revision: int, size: int = 1) -> Item:
    return Item(KEY, b"x" * size, revision)


class ScriptedStore:
    """Lists one item, then answers watches with prepared changes after their delays."""

    def __init__(self, *answers: tuple[float, list[Item]]):
        self._answers = list(answers)

    async def list_items(self, prefix, *, wait=None):
        return Listing(items=[item(1)], revision=1)

    async def wait_changes(self, prefix, *, after, wait_s):
        if not self._answers:
            await trio.sleep_forever()
        delay_s, items = self._answers.pop(0)
        await trio.sleep(delay_s)
        changes = [Change(each.key, each.revision, each) for each in items]
        return Changes(changes=changes, revision=items[-1].revision)


def follow(*answers: tuple[float, list[Item]]) -> list[tuple[str, float]]:
    """Follow a scripted store; return what ``on_changed`` was called with."""
    reported = []

    async def main():
        follower = PrefixFollower(
            store=ScriptedStore(*answers),
            timers=TimerService(clock=trio.current_time),
            prefix=KEY,
            sink=SeenKeys(),
            on_changed=lambda *values: reported.append(values),
        )
        with trio.move_on_after(sum(delay_s for delay_s, _ in answers) + 0.5):
            await follower.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return reported


def reads(caplog) -> list[logging.LogRecord]:
    return [each for each in caplog.records if each.getMessage() == "prefix_read"]


def test_large_answer_with_superseded_versions_is_logged(caplog):
    """A follower that fetches versions nobody needs couldn't be told from others."""
    caplog.set_level(logging.INFO)
    versions = [item(2, LOGGED_READ_BYTES), item(3, LOGGED_READ_BYTES)]
    follow((0.2, versions))
    (line,) = reads(caplog)
    assert (line.source, line.items, line.superseded) == ("store", 2, 1)
    assert line.bytes == 2 * LOGGED_READ_BYTES
    assert (line.revision, line.delay_ms) == (3, 200)


def test_late_answer_is_logged_and_its_delay_is_reported(caplog):
    """A configuration that came late left no sign of how late it was."""
    caplog.set_level(logging.INFO)
    reported = follow((0.2, [item(2)]), (LOGGED_READ_DELAY_S, [item(3)]))
    assert [each.revision for each in reads(caplog)] == [3]
    assert [prefix for prefix, _ in reported] == [KEY, KEY]
    assert abs(reported[1][1] - LOGGED_READ_DELAY_S) < 0.01


def test_reads_of_a_store_that_fails_at_once_become_fewer():
    """Each router asked its hubs and the store six times a second in an outage."""
    store = MemoryStore()
    store.is_down = True
    sink = SeenKeys()
    outage_s, recovery_s = 6.0, 0.65

    async def main():
        follower = PrefixFollower(
            store=store,
            timers=TimerService(clock=trio.current_time),
            prefix=KEY,
            sink=sink,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(outage_s)
            assert store.calls <= 24
            store.is_down = False
            store.put(KEY, b"v1")
            await trio.sleep(recovery_s)
            assert sink.keys == {KEY}
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
