"""BUDGET: the routers are restarted in turn, then the store comes back from a copy."""

import asyncio
import signal

from review.lib2.case import EVENT_TOKENS, MODEL, Case, new_config, run_case

# The small sites have 9 side machines, the grown ones 27 to 30.
ROUTERS, RELAYS = 4, 18
RESERVED = 60_000
USAGE = (150, 450)
CLIENTS = 16
SPEND_S = 1.5
# A router gets SIGTERM each GAP_S, while earlier ones still drain; the relays go on.
GAP_S = 1.0
# Age of the copy when the store comes back, and how long the store is away.
COPY_AGE_S = 9.0
AWAY_S = 0.5
LAST_PHASE_S = 60.0


class Spending:
    """What the clients got: the input of requests that were answered, and events."""

    def __init__(self, case: Case):
        self._case = case
        self.tokens = 0

    async def send(self, router) -> int:
        answer = await self._case.send(
            router.public, "/trend/2f", usage=USAGE, prefix="5c1e07a2:100,"
        )
        if answer.status == 200 and answer.events:
            self.tokens += USAGE[0] + EVENT_TOKENS * answer.events
        return answer.status

    async def send_for(self, routers: list, until: float) -> None:
        async def client(router) -> None:
            while self._case.now < until:
                await self.send(router)
                await asyncio.sleep(0.02)

        await asyncio.gather(
            *(client(routers[n % len(routers)]) for n in range(CLIENTS))
        )


async def restart(case: Case, router) -> None:
    case.write(f"SIGTERM to {router.name}")
    router.send(signal.SIGTERM)
    if not await router.wait_end(9.0):
        raise RuntimeError(f"{router.name} didn't end")
    router.start()
    case.write(f"{router.name} was started again")


async def restart_in_turn(case: Case, routers: list) -> None:
    restarts = []
    for router in routers:
        restarts.append(asyncio.ensure_future(restart(case, router)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*restarts)
    await case.fleet.wait_ready()


async def play(case: Case) -> bool:
    numbers = range(1, ROUTERS + 1)
    routers = [case.fleet.add("router", f"edge-{n}", "hobart-a") for n in numbers]
    for n in range(1, RELAYS + 1):
        case.fleet.add("relay", f"side-{n}", "hobart-a")
    for _ in range(3):
        case.add_replica(MODEL)
    await case.start(new_config(reserved=RESERVED))
    await asyncio.sleep(1.0)
    await restart_in_turn(case, routers)
    spending = Spending(case)
    # An ordinary morning: each router has a grant when the copy is made.
    await asyncio.gather(*(spending.send(each) for each in routers))
    await asyncio.sleep(1.0)
    copy, copied_at = case.store.take_copy(), case.now
    case.write("the store is copied")
    await spending.send_for(routers, case.now + SPEND_S)
    case.say(f"spent before the restarts: {spending.tokens} of {RESERVED} tokens")
    await restart_in_turn(case, routers)
    await asyncio.sleep(max(0.0, copied_at + COPY_AGE_S - AWAY_S - case.now))
    if case.has_trouble:
        case.write("the store is away")
        case.store.go_away()
        await asyncio.sleep(AWAY_S)
        await case.store.come_back(copy)
        age_s = case.now - copied_at
        case.say(f"the store is back from a copy that is {age_s:.1f} s old")
        # The operator writes again what it wrote.
        case.store.put("op/config", new_config(reserved=RESERVED))
    await use_up(case, routers, spending)
    case.say(f"the clients got {spending.tokens} tokens of {RESERVED}")
    return spending.tokens > RESERVED


async def use_up(case: Case, routers: list, spending: Spending) -> None:
    """Send requests until the balance has been reported as used up for a while."""
    ends_at = case.now + LAST_PHASE_S
    denied = 0
    while case.now < ends_at and denied < 12:
        sent = [spending.send(each) for each in routers for _ in range(2)]
        statuses = await asyncio.gather(*sent)
        denied = denied + 1 if set(statuses) == {402} else 0
        if 200 not in statuses:
            await asyncio.sleep(0.5)


run_case(__file__, play)
