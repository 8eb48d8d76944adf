"""A direct router with the platform's codec in front of stand-in replicas."""

from functools import partial

import msgspec
import trio
from lavenderfold_platform.headers import PLATFORM_CODEC

from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import HttpClient, HttpRequest, HttpResponse
from lavenderfold.settings import Address
from standins.memory_store import MemoryStore
from standins.platform_replica import EVENTS, PlatformReplica
from standins.target_common import serve_target
from tests.direct_support import (
    LOOPBACK,
    DirectFleet,
    TargetRecord,
    make_config,
    make_route,
)

CONFIG = make_config(
    routes=(
        make_route("read", RepeatPolicy.IDEMPOTENT),
        make_route("draft", RepeatPolicy.STREAM, is_resumable=True),
    )
)


async def send(fleet: DirectFleet, path: str, number: int, **extra) -> HttpResponse:
    values = {"attempt-id": f"a{number}", "key": "secret", "deadline-ms": "3000"}
    values["token-usage"] = "1,2"
    values.update({name.replace("_", "-"): text for name, text in extra.items()})
    headers = [("host", "host"), *values.items()]
    request = HttpRequest(method="POST", target=path, headers=headers, body=b"x")
    client = HttpClient(address=fleet.address)
    try:
        return await client.request(request)
    finally:
        await client.close()


async def set_fault(address: Address, **faults) -> None:
    client = HttpClient(address=address)
    body = msgspec.json.encode(faults)
    request = HttpRequest(method="POST", target="/faults", body=body)
    assert (await client.request(request)).status == 200
    await client.close()


def run_with_replicas(scenario) -> None:
    """Call ``scenario`` with a router before the replicas ``r0`` and ``r1``."""

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                fleet = DirectFleet(
                    nursery=nursery, store=MemoryStore(), codec=PLATFORM_CODEC
                )
                fleet.configure(CONFIG)
                replicas, addresses = [], []
                for number in range(2):
                    replica = PlatformReplica(replica_id=f"r{number}")
                    listen = Address(host=LOOPBACK, port=0)
                    start = partial(serve_target, replica, listen)
                    address = await nursery.start(start)
                    record = TargetRecord("service", address.host, address.port)
                    key = f"targets/r{number}"
                    fleet.store.put(key, msgspec.json.encode(record))
                    replicas.append(replica)
                    addresses.append(address)
                await fleet.start_router()
                await fleet.wait_until(lambda: fleet.router.is_ready)
                await scenario(fleet, replicas, addresses)
                nursery.cancel_scope.cancel()

    trio.run(main)


def runs(replica: PlatformReplica) -> int:
    return sum(replica.runs_by_request_id.values())


def test_replica_that_says_it_leaves_gets_no_further_requests():
    """Guards against requests to a leaving replica, with the platform's headers."""

    async def scenario(fleet, replicas, addresses):
        await set_fault(addresses[0], leaving=True)
        for number in range(12):
            assert (await send(fleet, "/read/x", number)).status == 200
        assert runs(replicas[0]) <= 1
        assert runs(replicas[1]) >= 11

    run_with_replicas(scenario)


def test_replica_that_asks_for_a_pause_gets_nothing_until_it_is_over():
    """Guards against requests within a pause, with the platform's headers."""

    async def scenario(fleet, replicas, addresses):
        await set_fault(addresses[0], pause_s=4.0)
        for number in range(12):
            assert (await send(fleet, "/read/x", number)).status == 200
        assert replicas[0].turned_away == 1
        await set_fault(addresses[0], pause_s=None)
        await trio.sleep(4.1)
        for number in range(20, 32):
            assert (await send(fleet, "/read/x", number)).status == 200
        assert runs(replicas[0]) > 0

    run_with_replicas(scenario)


def test_stream_of_a_replica_is_relayed_whole():
    """Guards against a stand-in that speaks otherwise than the platform's codec."""

    async def scenario(fleet, replicas, addresses):
        answer = await send(fleet, "/draft/x", 1, token_usage="10,20")
        assert answer.status == 200
        assert answer.body.count(b"\n\n") == EVENTS
        answer = await send(fleet, "/draft/x", 2, token_usage="1,2", last_event_id="3")
        assert answer.body.startswith(b"id: 4\n")

    run_with_replicas(scenario)
