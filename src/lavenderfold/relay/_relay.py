"""The relay process: forwards store calls and hosts services that routers share."""

import logging
import secrets

import msgspec
import trio

from lavenderfold.escrow import (
    ORDER_PATH,
    WITNESS_PREFIX,
    LedgerOrder,
    LedgerPages,
    LedgerUnavailableError,
    LedgerWriter,
    OrderCombiner,
    WitnessRecords,
    answer_call,
)
from lavenderfold.fleet import HUB_PATH, PrefixHub
from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
    ResponseWriter,
    ServerOptions,
    connections_limit,
    serve,
)
from lavenderfold.process_memory import OutOfMemoryError, ProcessMemory, held_limit
from lavenderfold.settings import Address
from lavenderfold.shared import (
    ConditionalWrite,
    RelayRecord,
    SharedStore,
    SharedStoreError,
    StoreCallCounter,
    StoreEra,
    WriteConflictError,
)
from lavenderfold.timers import TimerService

CONNECT_TIMEOUT_S = 0.5
REGISTER_RETRY_S = 0.5
INCARNATION_BYTES = 8
MS_PER_S = 1000
REPORT_PERIOD_S = 4.0
# Combiners that may write at the same time, because routers fail over one by one.
OTHER_COMBINERS = 2
# The kind of memory share that the store's answers have.
STORE_ANSWER_KIND = "store_answer"
FORWARDED_HEADERS = frozenset(("content-type",))

logger = logging.getLogger("lavenderfold.relay")


class RelayOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a relay. The prefixes are those of keys in the store.

    ``domain`` is the failure domain of the relay. ``forwarded_answer_headers`` are
    those of the store's answers that routers need, in lower case.
    ``memory_limit_bytes`` and ``descriptor_limit`` bound the process; None is no bound.
    """

    name: str
    domain: str
    region: str
    listen: Address
    store_address: Address
    prefix: str
    ledger_prefix: str
    forwarded_answer_headers: frozenset[str] = frozenset()
    memory_limit_bytes: int | None = None
    descriptor_limit: int | None = None


class StoreRelay:
    """Forwards calls to the store and relays its answers.

    ``era`` is that of ``store``; the relay registers again when a new one begins.

    It also serves routers as a witness, combines their ledger orders and hosts a
    hub; ``_answer`` dispatches by path.
    """

    def __init__(
        self,
        *,
        options: RelayOptions,
        store: SharedStore,
        timers: TimerService,
        store_calls: StoreCallCounter,
        era: StoreEra | None = None,
    ):
        self._hub = PrefixHub(store=store, timers=timers)
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._witness = WitnessRecords(incarnation=self._incarnation)
        pages = LedgerPages(store=store, prefix=options.ledger_prefix)
        self._combiner = OrderCombiner(
            writer=LedgerWriter(pages=pages, competitors=OTHER_COMBINERS)
        )
        self._options = options
        self._timers = timers
        self._store = store
        self._era = era or StoreEra()
        self._store_calls = store_calls
        self._memory = ProcessMemory(limit_bytes=held_limit(options.memory_limit_bytes))
        self._client = HttpClient(
            address=options.store_address, connect_timeout_s=CONNECT_TIMEOUT_S
        )

    async def run(
        self, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the bound address through ``task_status``."""
        logger.info("relay_started", extra={"relay": self._options.name})
        self._timers.every(
            REPORT_PERIOD_S, self._store_calls.report, delay=REPORT_PERIOD_S
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._timers.run)
            address = await nursery.start(self._serve)
            nursery.start_soon(self._combiner.run)
            nursery.start_soon(self._hub.run)
            nursery.start_soon(self._stay_registered, address)
            nursery.start_soon(self._restate_spending)
            task_status.started(address)

    async def _stay_registered(self, address: Address) -> None:
        while True:
            era = self._era.current
            await self._register(address)
            # Before the first call the era isn't known.
            await self._era.wait_for_later(era or self._era.current)

    async def _serve(self, task_status: trio.TaskStatus[Address]) -> None:
        options = ServerOptions(
            memory=self._memory,
            connections_limit=connections_limit(self._options.descriptor_limit),
        )
        await serve(
            self._answer,
            address=self._options.listen,
            options=options,
            task_status=task_status,
        )

    async def _restate_spending(self) -> None:
        """Restate in the ledger what routers have spent, at each new era."""
        era = 0
        while True:
            era = await self._era.wait_for_later(era)
            order = LedgerOrder(
                holder=self._incarnation,
                witnessed=self._witness.recent_spending(now=self._timers.now()),
                era=era,
            )
            while order.witnessed:
                try:
                    await self._combiner.submit(order)
                    break
                except LedgerUnavailableError as error:
                    fields = {"era": era, "cause": str(error)}
                    logger.info("spending_not_restated", extra=fields)
                    await trio.sleep(REGISTER_RETRY_S)

    async def _register(self, address: Address) -> None:
        key = f"{self._options.prefix}{self._options.name}"
        while True:
            try:
                # The first call opens the connection, so only the second one shows
                # how far the store is.
                await self._store.list_items(key)
                started_at = self._timers.now()
                listing = await self._store.list_items(key)
                store_ms = round((self._timers.now() - started_at) * MS_PER_S)
                current = {item.key: item for item in listing.items}.get(key)
                value = self._encode_record(address, store_ms)
                revision = current.revision if current else 0
                await self._store.write([ConditionalWrite(key, value, revision)])
                return
            except (SharedStoreError, WriteConflictError) as error:
                logger.info("relay_not_registered", extra={"cause": str(error)})
                await trio.sleep(REGISTER_RETRY_S)

    def _encode_record(self, address: Address, store_ms: int) -> bytes:
        record = RelayRecord(
            address=str(address),
            domain=self._options.domain,
            incarnation=self._incarnation,
            region=self._options.region,
            store_ms=store_ms,
        )
        return msgspec.json.encode(record)

    async def _answer(self, request: HttpRequest, writer: ResponseWriter) -> None:
        if request.path.startswith(WITNESS_PREFIX):
            status, body = answer_call(
                self._witness, request.path, request.body, now=self._timers.now()
            )
            await writer.send(HttpResponse(status=status, body=body))
            return
        if request.path == ORDER_PATH:
            await writer.send(await self._combiner.answer(request.body))
            return
        if request.path == HUB_PATH:
            await writer.send(await self._hub.answer(request.body))
            return
        call = HttpRequest(
            method=request.method,
            target=request.target,
            headers=[item for item in request.headers if item[0] in FORWARDED_HEADERS],
            body=request.body,
        )
        try:
            answer = await self._forward(call)
        except RequestNotSentError as error:
            logger.info("store_unreachable", extra={"cause": str(error)})
            await writer.send(HttpResponse(status=503))
            return
        except (ResponseLostError, OutOfMemoryError) as error:
            # The store may have executed the call. Unlike 503, status 502 doesn't
            # guarantee that it hasn't.
            logger.info("store_answer_lost", extra={"cause": str(error)})
            await writer.send(HttpResponse(status=502))
            return
        names = self._options.forwarded_answer_headers
        headers = [item for item in answer.headers if item[0] in names]
        await writer.send(
            HttpResponse(status=answer.status, headers=headers, body=answer.body)
        )

    async def _forward(self, call: HttpRequest) -> HttpResponse:
        """Return the store's answer, which the process's memory bounds as well.

        Raises HttpClientError, or OutOfMemoryError if there is no memory for it.
        """
        with trio.CancelScope() as scope:
            share = self._memory.open_share(STORE_ANSWER_KIND, scope.cancel)
            try:
                return await self._client.request(call, share=share)
            finally:
                # What the caller doesn't take at once is counted for its connection.
                share.close()
        raise OutOfMemoryError("the answer of the store was given up")
