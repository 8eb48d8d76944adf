"""LOST: a router ends a stream because its replica falls silent for a second."""

import asyncio
import os
import signal

from review.lib2.case import MODEL, Case, new_config, run_case

STREAMS = 16
# What each of the two replicas holds; the streams fill both.
ROOM = STREAMS // 2
USAGE = (200, 240)
EVENTS = 80
EVENT_S = 0.05
CONNECTIVITY_S = 4.0
# After the streams began: the router's SIGTERM, and the silences of both replicas.
TERM_AT_S, FIRST_AT_S, SECOND_AT_S = 1.0, 1.2, 1.8
FIRST_S, SECOND_S = 1.3, 1.2
DEADLINE_S = 12.0
# Another control: with ONLY_FIRST=1 the second replica doesn't fall silent.
ONLY_FIRST = os.environ.get("ONLY_FIRST") == "1"


async def play(case: Case) -> bool:
    router = case.fleet.add("router", "edge-1", "hobart-a")
    case.fleet.add("router", "edge-2", "hobart-a")
    for n in (1, 2, 3):
        case.fleet.add("relay", f"side-{n}", "hobart-a")
    first, second = (
        case.add_replica(MODEL, slots=6, room=ROOM, event_s=EVENT_S) for _ in range(2)
    )
    await case.start(new_config(reserved=10_000_000, resumes=True))
    await asyncio.sleep(CONNECTIVITY_S + 0.5)
    began_at = case.now
    streams = [
        asyncio.ensure_future(
            case.send(
                router.public,
                "/trend/2f",
                usage=USAGE,
                deadline_s=DEADLINE_S,
            )
        )
        for _ in range(STREAMS)
    ]
    await asyncio.sleep(began_at + TERM_AT_S - case.now)
    case.say(f"{first.running} and {second.running} streams run at the two replicas")
    case.write(f"SIGTERM to {router.name}")
    router.send(signal.SIGTERM)
    term_at = case.now
    if case.has_trouble:
        await asyncio.sleep(began_at + FIRST_AT_S - case.now)
        first.fall_silent(FIRST_S)
        if not ONLY_FIRST:
            await asyncio.sleep(began_at + SECOND_AT_S - case.now)
            second.fall_silent(SECOND_S)
    answers = await asyncio.gather(*streams)
    case.say(f"the last stream ended {case.now - term_at:.1f} s after the SIGTERM")
    served = [each for each in answers if each.status == 200]
    lost = [each for each in served if not each.is_complete]
    for each in lost:
        attempt_id, events = each.headers["attempt-id"], each.events
        case.say(
            f"{attempt_id}: cut after {events} of {EVENTS} events and "
            f"{each.elapsed_s:.1f} of {DEADLINE_S} s"
        )
    case.say(f"{len(served)} streams had been passed on, {len(lost)} were cut")
    return bool(lost)


run_case(__file__, play)
