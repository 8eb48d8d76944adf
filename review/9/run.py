"""DRAIN: a replica has left, then the store comes back from a copy that names it."""

import asyncio

from review.lib2.case import MODEL, Case, new_config, run_case

# Streams of 4 s, a few each second, as of long quick questions.
USAGE = (150, 300)
EVENT_S = 0.04
PERIOD_S = 0.25
DRAIN_TIMEOUT_S = 2.5
# How long the replica goes on serving once it has left.
SERVES_ON_S = 8.0
COPY_AGE_S = 6.0
AWAY_S = 0.5
# The platform removes the entry again by the time of the next heartbeat.
REMOVED_AGAIN_S = 1.2


async def send_streams(case: Case, routers: list, answers: list) -> None:
    async def one(number: int) -> None:
        answers.append(
            await case.send(
                routers[number % len(routers)].public,
                "/trend/2f",
                usage=USAGE,
                prefix=f"5c1e07a2:100,{number:x}:20,",
                deadline_s=12.0,
            )
        )

    async with asyncio.TaskGroup() as group:
        for number in range(10_000):
            group.create_task(one(number))
            await asyncio.sleep(PERIOD_S)


async def play(case: Case) -> bool:
    routers = [case.fleet.add("router", f"edge-{n}", "hobart-a") for n in (1, 2)]
    for n in (1, 2, 3):
        case.fleet.add("relay", f"side-{n}", "hobart-a")
    models = [case.add_replica(MODEL, event_s=EVENT_S) for _ in range(3)]
    leaving = models[0]
    await case.start(new_config(reserved=10_000_000))
    await asyncio.sleep(4.0)
    answers: list = []
    sending = asyncio.ensure_future(send_streams(case, routers, answers))
    await asyncio.sleep(2.0)
    copy, copied_at = case.store.take_copy(), case.now
    case.write("the store is copied")
    await asyncio.sleep(0.9)
    # It never reports that it drains; all its answers from now on say that it leaves.
    leaving.is_listed, leaving.says_leaving = False, True
    case.store.remove(leaving.key)
    left_at = case.now
    case.write(f"{leaving.id} has left: its entry is removed")
    await asyncio.sleep(copied_at + COPY_AGE_S - AWAY_S - case.now)
    if case.has_trouble:
        case.write("the store is away")
        case.store.go_away()
        await asyncio.sleep(AWAY_S)
        await case.store.come_back(copy)
        case.say(
            f"the store is back from a copy that is {case.now - copied_at:.1f} s old"
        )
        case.store.put("op/config", new_config(reserved=10_000_000))
        for replica in models:
            replica.register()
        await asyncio.sleep(REMOVED_AGAIN_S)
        case.store.remove(leaving.key)
        case.write(f"the entry of {leaving.id} is removed again")
    await asyncio.sleep(left_at + SERVES_ON_S - case.now)
    case.write(f"{leaving.id} exits")
    cut_before = cut(answers)
    leaving.crash()
    await asyncio.sleep(0.5)
    lost = cut(answers) - cut_before
    sending.cancel()
    late = [
        at - left_at
        for at, replica, _ in case.runs
        if replica is leaving and at > left_at + DRAIN_TIMEOUT_S
    ]
    times = ", ".join(f"{each:.1f}" for each in late)
    case.say(f"{len(late)} requests reached it, seconds after it had left: {times}")
    case.say(f"{lost} streams were cut when it exited")
    return bool(late)


def cut(answers: list) -> int:
    return sum(not each.is_complete or each.status == 502 for each in answers)


run_case(__file__, play)
