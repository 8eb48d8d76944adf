"""Shares a router's observations of crashes with all routers through the store."""

import logging
import random

import msgspec
import trio

from lavenderfold.quarantine._evidence import decode_evidence, encode_evidence
from lavenderfold.quarantine._quarantine import PromptQuarantine
from lavenderfold.shared import (
    ConditionalWrite,
    Item,
    SharedStore,
    SharedStoreError,
    WriteConflictError,
)

# Spreads the writes of routers that saw the same crash, up to this time.
WRITE_SPREAD_S = 0.1
RETRY_PAUSE_S = 0.3

logger = logging.getLogger("lavenderfold.quarantine")


class EvidencePublisher:
    """Writes pending observations, and installs what a ``PrefixFollower`` reads.

    ``key`` is the key of the shared evidence in the store.
    """

    def __init__(self, *, store: SharedStore, quarantine: PromptQuarantine, key: str):
        self._store = store
        self._quarantine = quarantine
        self._key = key
        self._revision = 0
        self._has_pending = trio.Event()
        quarantine.on_pending = self._notify

    async def run(self) -> None:
        """Write observations until cancelled."""
        while True:
            await self._has_pending.wait()
            self._has_pending = trio.Event()
            await trio.sleep(random.uniform(0, WRITE_SPREAD_S))
            while self._quarantine.pending:
                await self._publish()

    def _notify(self) -> None:
        self._has_pending.set()

    async def _publish(self) -> None:
        observations = self._quarantine.pending
        shared = self._quarantine.shared
        merged = self._quarantine.merge_pending(shared)
        if merged == shared:
            self._quarantine.drop_pending(observations)
            return
        write = ConditionalWrite(self._key, encode_evidence(merged), self._revision)
        try:
            revision = await self._store.write([write])
        except WriteConflictError as error:
            await self._handle_conflict(error)
        except SharedStoreError as error:
            # Also after an uncertain write: merging the same observations again
            # changes nothing if it took effect.
            logger.info("crash_evidence_not_written", extra={"cause": str(error)})
            await trio.sleep(RETRY_PAUSE_S)
            await self._read()
        else:
            self._quarantine.drop_pending(observations)
            if revision > self._revision:
                self._revision = revision
                self._quarantine.install(merged)

    async def _handle_conflict(self, error: WriteConflictError) -> None:
        if not any(item.key == self._key for item in error.items):
            # The key was removed, so the next write has to create it.
            self._revision = 0
        for item in error.items:
            self.put(item)
        await trio.sleep(random.uniform(0, WRITE_SPREAD_S))

    async def _read(self) -> None:
        try:
            listing = await self._store.list_items(self._key)
        except SharedStoreError as error:
            logger.info("crash_evidence_not_read", extra={"cause": str(error)})
            return
        for item in listing.items:
            self.put(item)

    def put(self, item: Item) -> None:
        """Install the evidence in ``item`` unless newer evidence is known."""
        if item.key != self._key or item.revision <= self._revision:
            return
        is_first = self._revision == 0
        self._revision = item.revision
        try:
            evidence = decode_evidence(item.value)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            fields = {"revision": item.revision, "cause": str(error)}
            logger.error("crash_evidence_unreadable", extra=fields)
            return
        self._quarantine.install(evidence, is_first=is_first)

    def handle_removal(self, key: str, *, revision: int, is_certain: bool) -> None:
        """Keep what is known: routers never remove the evidence."""

    def known_keys(self) -> list[str]:
        return []
