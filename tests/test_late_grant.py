"""A grant that is opened only after its incarnation was fenced."""

import trio
import trio.testing
from result import Ok

from lavenderfold.budgets import Done, GrantOpened, GrantPool, HandBack, OpenGrant
from lavenderfold.config import Budget, FleetConfig, Organisation
from lavenderfold.identifiers import BudgetKey, RequestKey, make_request_id
from lavenderfold.metrics import NullMetrics
from lavenderfold.router._grants import GrantManager
from lavenderfold.timers import TimerService

KEY = BudgetKey("regina", "main")
FENCED, NEW = 1, 2


class SlowLedger:
    """Delays the grant of the fenced incarnation until ``released`` is set."""

    store_available = True

    def __init__(self):
        self.released = trio.Event()
        self.ordered = trio.Event()
        self.hand_backs = []

    async def submit(self, operation, *, timeout_s=None):
        if isinstance(operation, HandBack):
            self.hand_backs.append(operation)
        if not isinstance(operation, OpenGrant):
            return Ok(Done())
        if operation.holder == FENCED:
            self.ordered.set()
            await self.released.wait()
        return Ok(GrantOpened(operation.amount, 1000))


class NoPeers:
    async def request_loans(self, key, tokens, take):
        pass


def test_grant_that_opens_after_its_incarnation_was_fenced_is_handed_back():
    """The pool doesn't accept the grant, which would stay held until the next sweep."""

    async def check():
        ledger = SlowLedger()
        budget = Budget(prepaid={"first": 1000})
        organisation = Organisation(budgets={KEY.budget: budget})
        config = FleetConfig(organisations={KEY.organisation: organisation})
        async with trio.open_nursery() as nursery:
            manager = GrantManager(
                pool=GrantPool(incarnation=FENCED),
                ledger=ledger,
                peers=NoPeers(),
                timers=TimerService(clock=trio.current_time),
                metrics=NullMetrics(),
                nursery=nursery,
                config=lambda: config,
                revision=lambda: 1,
                on_own_fenced=lambda payer: manager.set_incarnation(NEW),
            )
            request = RequestKey(KEY, make_request_id(unix_time=1.0, random_bits=1))

            async def reserve():
                held = await manager.reserve(request, 100, deadline=60.0)
                assert held.payer == NEW

            nursery.start_soon(reserve)
            await ledger.ordered.wait()
            manager.payer_was_fenced(FENCED)
            ledger.released.set()
            await trio.sleep(10)
            (unused,) = ledger.hand_backs
            assert unused.grant_id.startswith(f"{FENCED}-")
            assert unused.tokens >= 100
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(check, clock=clock)
