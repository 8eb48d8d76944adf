"""Registration of this router and its incarnation in the store."""

import logging
import uuid

import trio
from result import Ok, Result

from lavenderfold.logs import log_event
from lavenderfold.members import MemberRecord
from lavenderfold.router._settings import RouterSettings
from lavenderfold.store import ConflictError, Store, StoreError

MEMBERS_KEY = "members/routers"
STORE_RETRY_S = 0.5
CONFLICT_RETRY_S = 0.02

logger = logging.getLogger("lavenderfold.router.members")


class Membership:
    """Registers and retires incarnations in the member record by compare-and-swap."""

    def __init__(self, *, store: Store, settings: RouterSettings):
        self.incarnation = 0
        self._store = store
        self._settings = settings

    async def register(self) -> int:
        """Register a new incarnation and return it; wait while the store is down."""
        boot_id = uuid.uuid4().hex
        while True:
            registered = await self._register_once(boot_id)
            if registered.is_ok():
                self.incarnation = registered.unwrap()
                log_event(logger, "registered", incarnation=self.incarnation)
                return self.incarnation
            await self._wait_before_retry(registered.unwrap_err())

    async def retire(self, incarnation: int) -> None:
        """Move an incarnation from live to retired; wait while the store is down."""
        while True:
            retired = await self._retire_once(incarnation)
            if retired.is_ok():
                log_event(logger, "retired", incarnation=incarnation)
                return
            await self._wait_before_retry(retired.unwrap_err())

    async def drop_retired(self, incarnations: set[int]) -> Result[None, StoreError]:
        """Remove retired incarnations, which no longer hold grants, from the record."""
        current = await self.read()
        if current.is_err():
            return current
        record, version = current.unwrap()
        return await self._write(record, record.drop_retired(incarnations), version)

    async def read(self) -> Result[tuple[MemberRecord, int], StoreError]:
        """Return the member record and its version, or an empty one and 0."""
        current = await self._store.get(MEMBERS_KEY)
        return current.map(
            lambda versioned: (
                (MemberRecord(), 0)
                if versioned is None
                else (MemberRecord.decode(versioned.value), versioned.version)
            )
        )

    async def _register_once(self, boot_id: str) -> Result[int, StoreError]:
        current = await self.read()
        if current.is_err():
            return current
        record, version = current.unwrap()
        updated, incarnation = record.register(
            router=self._settings.router,
            boot_id=boot_id,
            region=self._settings.region,
            failure_domain=self._settings.failure_domain,
            previous=self.incarnation,
        )
        written = await self._write(record, updated, version)
        return written.map(lambda _: incarnation)

    async def _retire_once(self, incarnation: int) -> Result[None, StoreError]:
        current = await self.read()
        if current.is_err():
            return current
        record, version = current.unwrap()
        return await self._write(record, record.retire(incarnation), version)

    async def _write(
        self, record: MemberRecord, updated: MemberRecord, version: int
    ) -> Result[None, StoreError]:
        if updated == record:
            return Ok(None)
        written = await self._store.put(MEMBERS_KEY, updated.encode(), version=version)
        return written.map(lambda _: None)

    async def _wait_before_retry(self, error: StoreError) -> None:
        is_conflict = isinstance(error, ConflictError)
        if not is_conflict:
            log_event(logger, "members_unreachable", cause=str(error))
        await trio.sleep(CONFLICT_RETRY_S if is_conflict else STORE_RETRY_S)
