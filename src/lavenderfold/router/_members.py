"""Registration of this router's incarnation in the store."""

import logging
import uuid

import trio
from result import Ok, Result

from lavenderfold.logs import log_event
from lavenderfold.members import MemberRecord
from lavenderfold.router._settings import RouterSettings
from lavenderfold.store import ConflictError, Store, StoreError

MEMBERS_KEY = "members/routers"
RETRY_S = 0.5
CONFLICT_RETRY_S = 0.02

logger = logging.getLogger("lavenderfold.router.members")


class Membership:
    """Takes and gives up incarnation numbers by compare-and-swap."""

    def __init__(self, *, store: Store, settings: RouterSettings):
        self.incarnation = 0
        self._store = store
        self._settings = settings

    async def register(self) -> int:
        """Take a new incarnation; waits while the store is down."""
        boot_id = uuid.uuid4().hex
        while True:
            registered = await self._register_once(boot_id)
            if registered.is_ok():
                self.incarnation = registered.unwrap()
                log_event(logger, "registered", incarnation=self.incarnation)
                return self.incarnation
            await self._pause(registered.unwrap_err())

    async def retire(self, incarnation: int) -> None:
        """Remove an incarnation from the live set; waits while the store is down."""
        while True:
            retired = await self._retire_once(incarnation)
            if retired.is_ok():
                log_event(logger, "retired", incarnation=incarnation)
                return
            await self._pause(retired.unwrap_err())

    async def drop_retired(self, incarnations: set[int]) -> Result[None, StoreError]:
        """Forget retired incarnations that hold no grant any more."""
        found = await self.read()
        if found.is_err():
            return found
        record, version = found.unwrap()
        return await self._write(record, record.drop_retired(incarnations), version)

    async def read(self) -> Result[tuple[MemberRecord, int], StoreError]:
        """Return the member record and its version."""
        found = await self._store.get(MEMBERS_KEY)
        return found.map(
            lambda versioned: (
                (MemberRecord(), 0)
                if versioned is None
                else (MemberRecord.decode(versioned.value), versioned.version)
            )
        )

    async def _register_once(self, boot_id: str) -> Result[int, StoreError]:
        found = await self.read()
        if found.is_err():
            return found
        record, version = found.unwrap()
        changed, incarnation = record.register(
            router=self._settings.router,
            boot_id=boot_id,
            region=self._settings.region,
            failure_domain=self._settings.failure_domain,
            previous=self.incarnation,
        )
        written = await self._write(record, changed, version)
        return written.map(lambda _: incarnation)

    async def _retire_once(self, incarnation: int) -> Result[None, StoreError]:
        found = await self.read()
        if found.is_err():
            return found
        record, version = found.unwrap()
        return await self._write(record, record.retire(incarnation), version)

    async def _write(
        self, record: MemberRecord, changed: MemberRecord, version: int
    ) -> Result[None, StoreError]:
        if changed == record:
            return Ok(None)
        written = await self._store.put(MEMBERS_KEY, changed.encode(), version=version)
        return written.map(lambda _: None)

    async def _pause(self, error: StoreError) -> None:
        is_race = isinstance(error, ConflictError)
        if not is_race:
            log_event(logger, "members_unreachable", cause=str(error))
        await trio.sleep(CONFLICT_RETRY_S if is_race else RETRY_S)
