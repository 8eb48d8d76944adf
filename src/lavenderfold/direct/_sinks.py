"""Sinks for the configuration and targets that a router follows in the store."""

import logging
from collections.abc import Callable

import msgspec
import trio

from lavenderfold.fleet import FleetConfig, RouteTable, Target, TargetDirectory
from lavenderfold.placement import Evacuations
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


class EvacuationSink:
    """Applies the keys under ``prefix`` to the evacuations.

    The rest of a key names the failure domain; the value isn't read. A domain for which
    ``is_known`` is false is logged once. ``on_ended`` is called with a domain whose
    evacuation has ended.
    """

    def __init__(
        self,
        *,
        prefix: str,
        evacuations: Evacuations,
        timers: TimerService,
        is_known: Callable[[str], bool],
        on_ended: Callable[[str], None],
    ):
        self._prefix = prefix
        self._evacuations = evacuations
        self._timers = timers
        self._is_known = is_known
        self._on_ended = on_ended
        self._unknown_domains: set[str] = set()

    def put(self, item: Item) -> None:
        domain = item.key.removeprefix(self._prefix)
        if not self._evacuations.put(domain, revision=item.revision):
            return
        fields = {"failure_domain": domain, "revision": item.revision}
        logger.info("evacuation_began", extra=fields)
        if domain not in self._unknown_domains and not self._is_known(domain):
            self._unknown_domains.add(domain)
            logger.warning("evacuation_domain_unknown", extra=fields)

    def handle_removal(self, key: str, *, revision: int, is_certain: bool) -> None:
        domain = key.removeprefix(self._prefix)
        if self._evacuations.remove(
            domain, revision=revision, is_certain=is_certain, now=self._timers.now()
        ):
            fields = {"failure_domain": domain, "revision": revision}
            logger.info("evacuation_ended", extra=fields)
            self._on_ended(domain)

    def known_keys(self) -> list[str]:
        return [self._prefix + domain for domain in self._evacuations.domains()]

    def expire(self, now: float) -> None:
        for domain in self._evacuations.expire(now=now):
            logger.info("evacuation_lapsed", extra={"failure_domain": domain})
            self._on_ended(domain)


class OperatorSink:
    """Passes the operator's keys to the sinks of configuration and evacuations.

    Other keys are ignored.
    """

    def __init__(
        self,
        *,
        config_key: str,
        config: ConfigSink,
        evacuations_prefix: str,
        evacuations: EvacuationSink,
    ):
        self._config_key = config_key
        self._config = config
        self._evacuations_prefix = evacuations_prefix
        self._evacuations = evacuations

    def put(self, item: Item) -> None:
        sink = self._sink(item.key)
        if sink is not None:
            sink.put(item)

    def handle_removal(self, key: str, *, revision: int, is_certain: bool) -> None:
        sink = self._sink(key)
        if sink is not None:
            sink.handle_removal(key, revision=revision, is_certain=is_certain)

    def known_keys(self) -> list[str]:
        return [*self._config.known_keys(), *self._evacuations.known_keys()]

    def _sink(self, key: str) -> ConfigSink | EvacuationSink | None:
        if key == self._config_key:
            return self._config
        if key.startswith(self._evacuations_prefix):
            return self._evacuations
        return None


class TargetSink:
    """Applies changes of target entries to the directory of targets.

    ``on_entry`` is called with each usable entry and its revision.
    """

    def __init__(
        self,
        *,
        reader: RecordReader,
        timers: TimerService,
        on_entry: Callable[[Target, int], None] | None = None,
    ):
        self.directory = TargetDirectory()
        self._reader = reader
        self._timers = timers
        self._on_entry = on_entry

    def put(self, item: Item) -> None:
        try:
            target = self._reader.read_target(item)
        except UnreadableItemError as error:
            fields = {"key": item.key, "revision": item.revision, "cause": str(error)}
            logger.warning("target_unreadable", extra=fields)
            target = None
        if not self.directory.put(item.key, target, revision=item.revision):
            return
        if target is not None and self._on_entry is not None:
            self._on_entry(target, item.revision)
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
