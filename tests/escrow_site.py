"""A store, a relay and balance managers that work together, for tests."""

import trio

from lavenderfold.escrow import Balance, BalanceManager, decode_page, page_key
from lavenderfold.relay import RelayOptions, StoreRelay
from lavenderfold.settings import Address
from lavenderfold.shared import RelayDirectory, StoreCallCounter
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore

LEDGER = "ledger/"
ANY_PORT = Address(host="127.0.0.1", port=0)
RELAYS = "relays/"


class Site:
    """A store, a relay on the loopback interface and managers that use both."""

    def __init__(self, nursery: trio.Nursery, *, limit: int):
        self.nursery = nursery
        self.limit = limit
        self.store = MemoryStore()
        self.directory = RelayDirectory(
            store=self.store, prefix=RELAYS, failure_domain="domain"
        )
        self.relay_scope = trio.CancelScope()

    async def start_relay(
        self,
        address: Address = ANY_PORT,
        *,
        name: str = "relay",
        domain: str = "domain",
    ) -> None:
        """Start a relay and wait until the directory knows it."""
        known = {each.incarnation for each in self.directory.relays}
        self.relay_scope = scope = trio.CancelScope()
        relay = StoreRelay(
            options=RelayOptions(
                name=name,
                domain=domain,
                region="region",
                listen=address,
                store_address=Address(host="127.0.0.1", port=1),
                prefix=RELAYS,
                ledger_prefix=LEDGER,
            ),
            store=self.store,
            timers=TimerService(),
            store_calls=StoreCallCounter(purpose_by_prefix={}),
        )

        async def run(task_status=trio.TASK_STATUS_IGNORED):
            with scope:
                await relay.run(task_status=task_status)

        await self.nursery.start(run)
        for _ in range(100):
            self.directory.install(await self.store.list_items(RELAYS))
            if any(each.incarnation not in known for each in self.directory.relays):
                break
            await trio.sleep(0.02)

    async def start_manager(
        self, holder: str, scope: trio.CancelScope
    ) -> BalanceManager:
        manager = BalanceManager(
            store=self.store,
            timers=TimerService(),
            holder=holder,
            prefix=LEDGER,
            relays=self.directory,
        )
        manager.set_limits({"org": self.limit}, version=1)

        async def run():
            with scope:
                await manager.run()

        self.nursery.start_soon(run)
        await manager.loaded.wait()
        return manager

    def balance(self) -> Balance:
        page = decode_page(self.store.value(page_key(LEDGER, "org")))
        return page.balance_by_organisation["org"]

    def witness(self, holder: str) -> str:
        """Return the incarnation of the witness that a holder's grant names."""
        return self.balance().grant_by_holder[holder].witness

    def charged(self) -> int:
        return self.balance().charged

    async def grant_ends(self, holder: str, *, within_s: float) -> bool:
        for _ in range(int(within_s / 0.05)):
            if holder not in self.balance().grant_by_holder:
                return True
            await trio.sleep(0.05)
        return False

    async def charged_becomes(self, tokens: int) -> bool:
        for _ in range(60):
            if self.charged() == tokens:
                return True
            await trio.sleep(0.05)
        return False


def run_site(scenario, *, limit: int) -> None:
    """Run a scenario with a site whose organisation has prepaid ``limit`` tokens."""

    async def main():
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                site = Site(nursery, limit=limit)
                await site.start_relay()
                await scenario(site)
                nursery.cancel_scope.cancel()

    trio.run(main)
