"""Prepaid tokens are lost when all processes are killed at once. See claim.txt."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lib.case import run_case  # noqa: E402
from review.lib.client import Client  # noqa: E402
from review.lib.config import configuration  # noqa: E402
from review.lib.fleet import Process, machine_ip  # noqa: E402
from review.lib.replica import ModelReplica, Replica  # noqa: E402
from review.lib.store import Store  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RESERVED = 1_000_000
PROMPT, OUTPUT = 2000, 30
MOST = PROMPT + OUTPUT
# A request is sent only if it fits, at its most, into this part of what is prepaid,
# with all earlier ones at their most that ran or may have run. The page of rules
# counts a request as owed up to 97 in 100.
ASKED_SHARE = 0.96
MAX_DENIED = 20
LAST_S = 90.0
PER_S = 12
KILL_AFTER_S = 8.0
DOWN_S = 0.7
CONNECTIVITY_S = 4.0
SETTLE_S = 1.5


async def main():
    record = (FOLDER / "record.txt").open("w")

    def note(text):
        record.write(f"{time.monotonic():.3f} {text}\n")

    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        await store.start()
        models = [ModelReplica(replica_id=f"i-m{n}") for n in range(3)]
        ledger = Replica(replica_id="i-l0")
        for each in [*models, ledger]:
            await each.start()
        store.put_json("op/config", configuration(reserved=RESERVED))
        for each in models:
            store.put_json(f"servers/{each.id}", each.entry("writer"))
        store.put_json(f"servers/{ledger.id}", ledger.entry("ledger"))
        relays = [
            Process(
                role="relay",
                name=f"side-{n}",
                ip=machine_ip(21 + n),
                store_port=store.port,
                folder=folder,
            )
            for n in range(3)
        ]
        routers = [
            Process(
                role="router",
                name=f"edge-{n}",
                ip=machine_ip(11 + n),
                store_port=store.port,
                folder=folder,
            )
            for n in range(4)
        ]
        processes = relays + routers
        try:
            return await play(processes, routers, models, note)
        finally:
            for each in processes:
                each.end()
            for each in models:
                for line in each.records:
                    record.write(line + "\n")
            record.close()


async def play(processes, routers, models, note):
    for each in processes:
        each.start()
    ready = await asyncio.gather(*(each.wait_ready() for each in routers))
    if not all(ready):
        note("a router didn't become ready")
        return 2
    await asyncio.sleep(2)
    in_touch_from = 0.0
    results = []

    async def kill_all():
        nonlocal in_touch_from
        await asyncio.sleep(KILL_AFTER_S)
        in_touch_from = float("inf")
        note("all processes are killed")
        for each in processes:
            each.signal(signal.SIGKILL)
        for each in processes:
            each.child.wait()
        await asyncio.sleep(DOWN_S)
        for each in processes:
            each.start()
        note("all processes are started again")
        in_touch_from = time.monotonic() + CONNECTIVITY_S

    async def ask(number):
        router = routers[number % len(routers)]
        client = Client(
            (router.ip, router.public), host="ficu95.example", key="key-of-tenant-1"
        )
        result = await client.request(
            f"a{number:05d}",
            kind="trend",
            path="/trend/1",
            deadline_ms=6000,
            body=b"q" * 1700,
            headers=[
                ("Model", "m"),
                ("Token-Usage", f"{PROMPT},{OUTPUT}"),
                ("Prompt-Prefix", f"5c1e07a2:198,{number:x}:{PROMPT - 198}"),
            ],
        )
        client.close()
        # In touch when it was sent, and until it was answered.
        result.is_in_touch = (result.sent_at or 0) >= in_touch_from
        results.append(result)
        note(result.line())

    trouble = asyncio.create_task(kill_all()) if HAS_TROUBLE else None
    tasks = []
    end = time.monotonic() + LAST_S
    number = 0
    while time.monotonic() < end:
        open_requests = number - len(results)
        if (most_used(results) + (open_requests + 1) * MOST) > ASKED_SHARE * RESERVED:
            if open_requests == 0:
                break
        elif sum(is_denied(each) for each in results) >= MAX_DENIED:
            break
        else:
            tasks.append(asyncio.create_task(ask(number)))
            number += 1
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    if trouble is not None:
        await trouble
    return judge(results, models, note)


def is_denied(result):
    """Whether it got a 3xx or 4xx, other than the ones that the rule leaves out."""
    is_own = result.header("replica-signature") is None
    status = result.status
    return (
        is_own
        and status is not None
        and 300 <= status < 500
        and (status not in (408, 421, 429))
    )


def most_used(results):
    """The most that the tenant can have got: all that ran or may have run, at most.

    A denied or refused request didn't run, and one whose bytes weren't sent neither.
    """
    may_have_run = [
        each
        for each in results
        if not is_denied(each)
        and each.status not in (408, 421, 429, 503)
        and each.sent_at is not None
    ]
    return len(may_have_run) * MOST


def judge(results, models, note):
    ran = {each for model in models for each in model.ran}
    denied = [each for each in results if is_denied(each)]
    in_touch = [each for each in denied if each.is_in_touch]
    served = sum(each.status == 200 and each.is_whole for each in results)
    limit = 5 + len(results) / 500
    note(f"prepaid {RESERVED}; the tenant used at most {most_used(results)} tokens")
    note(f"requests {len(results)}; served {served}; run by a replica {len(ran)}")
    note(f"denied {len(denied)}, of them by machines in touch {len(in_touch)}")
    if len(in_touch) > limit:
        note(f"DENIED is broken: {len(in_touch)} is more than {limit:.1f}")
        return 1
    note("DENIED held")
    return 0


if __name__ == "__main__":
    run_case(main)
