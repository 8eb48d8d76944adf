"""A relay tells the ledger what routers have spent when the store goes back."""

import trio

from lavenderfold.escrow import LedgerPage, decode_page, page_key
from lavenderfold.escrow._witness import Statement, WitnessClient
from lavenderfold.relay import RelayOptions, StoreRelay
from lavenderfold.settings import Address
from lavenderfold.shared import RelayDirectory, StoreCallCounter, StoreEra
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore

LEDGER, RELAYS = "ledger/", "relays/"
ADDRESS = Address(host="127.0.0.1", port=0)


def test_relay_restates_the_spending_of_a_router_that_the_copy_lacks():
    """Guards against granting again what a router spent that died after the copy."""

    async def main():
        store, era = MemoryStore(), StoreEra()
        relay = StoreRelay(
            options=RelayOptions(
                name="relay",
                domain="domain",
                region="region",
                listen=ADDRESS,
                store_address=Address(host="127.0.0.1", port=1),
                prefix=RELAYS,
                ledger_prefix=LEDGER,
            ),
            store=store,
            timers=TimerService(),
            store_calls=StoreCallCounter(purpose_by_prefix={}),
            era=era,
        )
        directory = RelayDirectory(store=store, prefix=RELAYS, failure_domain="domain")
        async with trio.open_nursery() as nursery:
            address = await nursery.start(relay.run)
            with trio.fail_after(5):
                while not directory.relays:
                    await trio.sleep(0.02)
                    directory.install(await store.list_items(RELAYS))
                witness = directory.relays[0].incarnation
                statement = Statement(witness, "a/1", 1, {"org": 70})
                await WitnessClient().send_statement(address, statement)
                store.restore(store.copy())
                era.record(1)
                for _ in range(100):
                    if store.value(page_key(LEDGER, "org")) is not None:
                        break
                    await trio.sleep(0.02)
            page: LedgerPage = decode_page(store.value(page_key(LEDGER, "org")))
            balance = page.balance_by_organisation["org"]
            assert balance.charged == balance.grant_by_holder["a/1"].total == 70
            nursery.cancel_scope.cancel()

    trio.run(main)
