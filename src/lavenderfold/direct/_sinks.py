"""Sinks for the configuration and targets that a router follows in the store."""

import logging
from collections.abc import Callable

import msgspec
import trio

from lavenderfold.fleet import FleetConfig, RouteTable, Target, TargetDirectory
from lavenderfold.shared import Item
from lavenderfold.timers import TimerService

logger = logging.getLogger(__name__)


class UnreadableItemError(Exception):
    """The value of an item in the store can't be decoded."""


class RecordReader(msgspec.Struct, frozen=True, kw_only=True):
    """Functions that decode a platform's records; they raise UnreadableItemError.

    ``read_target`` returns None for an entry without a usable target.
    """

    read_config: Callable[[Item], FleetConfig]
    read_target: Callable[[Item], Target | None]


class ConfigSink:
    """Keeps the configuration with the highest version.

    ``key`` is that of the configuration. A follower also reads the longer keys that
    begin with it, which are ignored.
    """

    def __init__(
        self,
        *,
        key: str,
        reader: RecordReader,
        on_installed: Callable[[RouteTable], None],
    ):
        self.table: RouteTable | None = None
        self._key = key
        self._reader = reader
        self._on_installed = on_installed
        self._installed = trio.Event()

    async def wait_installed(self, timeout_s: float) -> RouteTable | None:
        """Wait for a configuration; return None if none arrives in time."""
        with trio.move_on_after(timeout_s):
            await self._installed.wait()
        return self.table

    def put(self, item: Item) -> None:
        if item.key != self._key:
            fields = {"key": item.key, "revision": item.revision}
            logger.warning("config_key_ignored", extra=fields)
            return
        try:
            config = self._reader.read_config(item)
        except UnreadableItemError as error:
            fields = {"key": item.key, "revision": item.revision, "cause": str(error)}
            logger.error("config_unreadable", extra=fields)
            return
        if self.table is not None and config.version <= self.table.version:
            return
        self.table = RouteTable(config)
        fields = {
            "version": config.version,
            "revision": item.revision,
            "routes": len(config.routes),
            "organisations": len(config.organisations),
        }
        logger.info("config_installed", extra=fields)
        self._on_installed(self.table)
        self._installed.set()

    def handle_removal(self, key: str, *, revision: int, is_certain: bool) -> None:
        # Operators replace a configuration and never remove it, so the current one
        # stays in use.
        fields = {"key": key, "revision": revision, "certain": is_certain}
        logger.warning("config_removal_ignored", extra=fields)

    def known_keys(self) -> list[str]:
        return []


class TargetSink:
    """Applies changes of target entries to the directory of targets."""

    def __init__(self, *, reader: RecordReader, timers: TimerService):
        self.directory = TargetDirectory()
        self._reader = reader
        self._timers = timers

    def put(self, item: Item) -> None:
        try:
            target = self._reader.read_target(item)
        except UnreadableItemError as error:
            fields = {"key": item.key, "revision": item.revision, "cause": str(error)}
            logger.warning("target_unreadable", extra=fields)
            target = None
        if not self.directory.put(item.key, target, revision=item.revision):
            return
        state = "unusable"
        if target is not None:
            state = "draining" if target.is_draining else "ready"
        fields = {"key": item.key, "revision": item.revision, "state": state}
        logger.info("target_changed", extra=fields)

    def handle_removal(self, key: str, *, revision: int, is_certain: bool) -> None:
        if is_certain:
            self.directory.remove(key, revision=revision)
        else:
            self.directory.remove_after_grace(key, now=self._timers.now())
        fields = {"key": key, "revision": revision, "certain": is_certain}
        logger.info("target_removed", extra=fields)

    def known_keys(self) -> list[str]:
        return self.directory.keys()

    def expire(self, now: float) -> None:
        for key in self.directory.expire(now=now):
            logger.info("target_lapsed", extra={"key": key})
