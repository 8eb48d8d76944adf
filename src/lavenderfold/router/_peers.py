"""Links to other routers, for loans, hand-backs, ledger writes and configuration."""

import logging
import random
import uuid
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any

import trio

from lavenderfold.identifiers import BudgetKey
from lavenderfold.links import (
    Link,
    LinkClosedError,
    Listener,
    connect,
    exclude_own_delay,
)
from lavenderfold.logs import log_event
from lavenderfold.messages import (
    HandBackDone,
    HandBackRequest,
    Heartbeat,
    LedgerAnswer,
    LedgerRequest,
    Loan,
    LoanRequest,
    LoanReturn,
    MessageToPeer,
    PeerHello,
    Snapshot,
    SnapshotRequest,
)
from lavenderfold.router._link_timing import peer_heartbeat_s, peer_silence_limit_s
from lavenderfold.router._loan_returns import LoanReturns
from lavenderfold.router._peer import Peer
from lavenderfold.router._settings import RouterSettings
from lavenderfold.routing import backoff_s
from lavenderfold.settings import Address
from lavenderfold.timers import TimerService

LOAN_ANSWER_WAIT_S = 0.4
# Peers are asked one after another while a request waits; each costs a round trip.
LENDERS_ASKED_LIMIT = 8

logger = logging.getLogger("lavenderfold.router.peers")


class PeerHandlers:
    """Functions of the router that handle messages and lost links of its peers."""

    def __init__(
        self,
        *,
        lend: Callable[[LoanRequest], Loan],
        accept_loan_return: Callable[[LoanReturn], None],
        hand_back_for_peer: Callable[[BudgetKey, Callable[[int], None]], None],
        tokens_returned: Callable[[BudgetKey], None],
        snapshot: Callable[[], Snapshot],
        take_snapshot: Callable[[Snapshot], None],
        commit: Callable[[Peer, LedgerRequest], Awaitable[None]],
        handle_answer: Callable[[int | None, LedgerAnswer], None],
        link_lost: Callable[[int], None],
    ):
        self.lend = lend
        self.accept_loan_return = accept_loan_return
        self.hand_back_for_peer = hand_back_for_peer
        self.tokens_returned = tokens_returned
        self.snapshot = snapshot
        self.take_snapshot = take_snapshot
        self.commit = commit
        self.handle_answer = handle_answer
        self.link_lost = link_lost


class PeerLinks:
    """The links to other routers, opened by either side."""

    def __init__(
        self,
        *,
        settings: RouterSettings,
        timers: TimerService,
        hello: Callable[[], PeerHello],
        handlers: PeerHandlers,
    ):
        self._settings = settings
        self._timers = timers
        self._hello = hello
        self._handlers = handlers
        self._peers: list[Peer] = []
        self._take_answer_by_id: dict[object, Callable[[Any], None]] = {}
        self._loan_returns = LoanReturns()

    async def run(
        self, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept and open links until cancelled; report the bound address."""
        window_s = self._settings.limits.link_batch_s
        listener = Listener(
            address=self._settings.peer_listen,
            message_type=MessageToPeer,
            batch_window_s=window_s,
        )
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(listener.run, self._serve)
            for address in self._settings.peers:
                if address not in (bound, self._settings.peer_listen):
                    nursery.start_soon(self._keep_open, address)
            task_status.started(bound)

    def connected(self) -> list[Peer]:
        """Return one peer for each connected router, nearest first.

        Routers in this region come first, and in this failure domain among those.
        """
        by_router = {
            peer.hello.incarnation: peer
            for peer in self._peers
            if peer.hello is not None
            and not peer.link.closed
            and peer.hello.incarnation != self._hello().incarnation
        }
        return sorted(by_router.values(), key=self._distance)

    async def request_hand_backs(self, key: BudgetKey, holders: Iterable[int]) -> int:
        """Ask holders to hand back free tokens; return how many they handed back."""
        holder_incarnations = set(holders)
        asked_peers = [
            peer
            for peer in self.connected()
            if peer.hello.incarnation in holder_incarnations
            and peer.post(HandBackRequest(key=key))
        ]
        returned = 0

        def count(answer: HandBackDone) -> None:
            nonlocal returned
            returned += answer.tokens

        await self._take_answers(
            [(peer.hello.incarnation, key) for peer in asked_peers],
            count,
            wait_s=self._settings.limits.hand_back_wait_s,
        )
        return returned

    async def request_loans(
        self, key: BudgetKey, tokens: int, take: Callable[[Loan], None]
    ) -> None:
        """Borrow up to ``tokens`` in total from peers, asking the nearest first.

        ``take`` is called with each loan when it arrives, so that it isn't lost if
        the caller is cancelled.
        """
        for peer in self.connected()[:LENDERS_ASKED_LIMIT]:
            if tokens <= 0:
                break
            tokens -= await self._ask_loan(peer, key, tokens, take)

    def return_loans(self, returned: list[LoanReturn]) -> None:
        """Return unused parts of loans, and those that may not have arrived."""
        self._loan_returns.send(
            returned,
            connected=self.connected,
            own_heartbeat_s=peer_heartbeat_s(len(self._peers)),
            now=self._timers.now(),
        )

    def announce(self) -> None:
        """Send all peers this router's current revision and incarnation."""
        for peer in self.connected():
            peer.post(self._hello())

    def _distance(self, peer: Peer) -> tuple[bool, bool]:
        return (
            peer.hello.region != self._settings.region,
            peer.hello.failure_domain != self._settings.failure_domain,
        )

    async def _ask_loan(
        self, peer: Peer, key: BudgetKey, tokens: int, take: Callable[[Loan], None]
    ) -> int:
        """Ask a peer for a loan; return how many tokens it lent."""
        loan_id = uuid.uuid4().hex
        request = LoanRequest(loan_id=loan_id, key=key, tokens=tokens)
        if not peer.post(request):
            return 0
        lent: int | None = None

        def take_loan(loan: Loan) -> None:
            nonlocal lent
            lent = loan.tokens
            log_event(
                logger,
                "loan_received",
                budget=key,
                lender=peer.hello.router,
                loan=loan_id,
                tokens=lent,
            )
            if lent > 0:
                self._loan_returns.lender_by_loan_id[loan_id] = loan.payer
                take(loan)

        lender = peer.hello.incarnation
        try:
            await self._take_answers([loan_id], take_loan, wait_s=LOAN_ANSWER_WAIT_S)
        finally:
            if lent is None:
                # The answer may be lost with the link, and the lender would keep the
                # tokens set aside. A loan that comes later isn't used either.
                self._return_loan(loan_id, lender, tokens)
        return lent or 0

    def _return_loan(self, loan_id: str, lender: int, tokens: int) -> None:
        """Return a whole loan that doesn't get into the pool."""
        self._loan_returns.lender_by_loan_id[loan_id] = lender
        self.return_loans([LoanReturn(loan_id=loan_id, tokens=tokens)])

    async def _take_answers(
        self, answer_ids: list[object], take: Callable[[Any], None], *, wait_s: float
    ) -> None:
        """Call ``take`` with each answer at its arrival; wait until all have arrived.

        An answer is taken while its message is handled. If it were passed on to this
        task, the time limit or a cancellation could drop it in between.
        """
        missing = set(answer_ids)
        all_arrived = trio.Event()

        def take_one(answer_id: object, answer: Any) -> None:
            take(answer)
            missing.discard(answer_id)
            if not missing:
                all_arrived.set()

        take_by_id = {each: partial(take_one, each) for each in answer_ids}
        self._take_answer_by_id |= take_by_id
        try:
            with trio.move_on_after(wait_s):
                if missing:
                    await all_arrived.wait()
        finally:
            for answer_id, own in take_by_id.items():
                if self._take_answer_by_id.get(answer_id) is own:
                    del self._take_answer_by_id[answer_id]

    def _resolve(self, answer_id: object, answer: Any) -> bool:
        take = self._take_answer_by_id.pop(answer_id, None)
        if take is None:
            return False
        take(answer)
        return True

    async def _keep_open(self, address: Address) -> None:
        failures = 0
        while True:
            link = connect(
                address=address,
                message_type=MessageToPeer,
                batch_window_s=self._settings.limits.link_batch_s,
            )
            was_connected = False
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(link.run)
                    was_connected = await self._serve(link)
                    nursery.cancel_scope.cancel()
            finally:
                link.close()
            failures = 1 if was_connected else failures + 1
            await trio.sleep(backoff_s(failures, random.random()))

    async def _serve(self, link: Link) -> bool:
        """Exchange messages until the link closes; return whether a hello arrived."""
        peer = Peer(link=link, now=self._timers.now())
        self._peers.append(peer)
        try:
            async with trio.open_nursery() as nursery:
                peer.post(self._hello())
                nursery.start_soon(self._send_heartbeats, peer)
                await self._receive(peer, nursery)
                nursery.cancel_scope.cancel()
        finally:
            self._peers.remove(peer)
            # The lender may have another link, whose hello came before this one closed.
            self.return_loans([])
            if peer.hello is not None:
                self._handlers.link_lost(peer.hello.incarnation)
        return peer.hello is not None

    async def _receive(self, peer: Peer, nursery: trio.Nursery) -> None:
        try:
            while True:
                for message in await peer.link.receive():
                    peer.last_message_at = self._timers.now()
                    if isinstance(message, LedgerRequest):
                        nursery.start_soon(self._handlers.commit, peer, message)
                    else:
                        self._handle(peer, message)
        except LinkClosedError:
            return

    async def _send_heartbeats(self, peer: Peer) -> None:
        due_at = self._timers.now()
        while True:
            now = self._timers.now()
            peer.last_message_at = exclude_own_delay(
                peer.last_message_at, check_due_at=due_at, now=now
            )
            if now - peer.last_message_at > peer_silence_limit_s(peer.heartbeat_s):
                peer.link.close()
                return
            period_s = peer_heartbeat_s(len(self._peers))
            peer.post(Heartbeat(self._hello().revision, period_s=period_s))
            due_at = now + period_s
            await trio.sleep(period_s)

    def _handle(self, peer: Peer, message: Any) -> None:
        match message:
            case PeerHello():
                peer.hello = message
                self._request_newer_snapshot(peer, message.revision)
                self.return_loans([])
            case Heartbeat(revision=revision, period_s=period_s):
                peer.heartbeat_s = period_s
                self._request_newer_snapshot(peer, revision)
            case LoanRequest():
                peer.post(self._handlers.lend(message))
            case Loan(loan_id=loan_id, tokens=tokens):
                if not self._resolve(loan_id, message) and tokens > 0:
                    # The answer came too late: the request no longer waits for it.
                    self._return_loan(loan_id, message.payer, tokens)
            case LoanReturn():
                self._handlers.accept_loan_return(message)
            case HandBackRequest(key=key):
                self._handlers.hand_back_for_peer(
                    key, partial(_report_hand_back, peer, key)
                )
            case HandBackDone(key=key, tokens=tokens) if peer.hello is not None:
                is_awaited = self._resolve((peer.hello.incarnation, key), message)
                if tokens > 0 and not is_awaited:
                    self._handlers.tokens_returned(key)
            case LedgerAnswer():
                writer = peer.hello.incarnation if peer.hello is not None else None
                self._handlers.handle_answer(writer, message)
            case SnapshotRequest(revision=revision):
                snapshot = self._handlers.snapshot()
                if snapshot.revision > revision:
                    peer.post(snapshot)
            case Snapshot():
                self._handlers.take_snapshot(message)

    def _request_newer_snapshot(self, peer: Peer, revision: int) -> None:
        """Request the peer's configuration if it's newer than this router's."""
        own = self._hello().revision
        if revision > own:
            peer.post(SnapshotRequest(revision=own))


def _report_hand_back(peer: Peer, key: BudgetKey, tokens: int) -> None:
    peer.post(HandBackDone(key=key, tokens=tokens))
