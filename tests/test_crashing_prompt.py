"""Direct routers while one prompt part crashes each target that begins to answer it."""

from functools import partial

import pytest
import trio

from lavenderfold.http import HttpRequest, ResponseWriter
from tests.direct_support import (
    FakeTarget,
    make_config,
    run_scenario,
    stream,
    valid_headers,
)

TARGETS = 6
CRASHES = 5
# How long routers have to learn of the fifth crash.
PROPAGATION_S = 1.0
# How many requests with the part may still reach targets after that.
LATE_ARRIVALS_LIMIT = 3
PAUSE_S = 0.05


def is_deadly(request: HttpRequest) -> bool:
    return request.header("x-attempt").startswith("deadly")


def crash_on_deadly(target: FakeTarget):
    """Return a script that crashes the target at the first byte of its answer."""
    answer = stream()

    async def script(request: HttpRequest, writer: ResponseWriter) -> None:
        if is_deadly(request):
            target.crash()
            await trio.sleep_forever()
        await answer(request, writer)

    return script


class CrashingFleet:
    """Sends sound and deadly requests to a fleet and counts what becomes of them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = 0
        for target in fleet.target_by_id.values():
            target.script = crash_on_deadly(target)

    @property
    def crashes(self) -> int:
        return sum(target.crashes for target in self.fleet.target_by_id.values())

    @property
    def deadly_arrivals(self) -> int:
        targets = self.fleet.target_by_id.values()
        return sum(is_deadly(each) for target in targets for each in target.received)

    async def send_deadly(self) -> int:
        """Send a request that shares all but the deadly part with sound ones."""
        self.sent += 1
        parts = f"common,subject,deadly,own-{self.sent}"
        answer = await self.fleet.send_request(
            "/draft/x", attempt=f"deadly-{self.sent}", parts=parts
        )
        return answer.status

    async def send_sound(self) -> int:
        self.sent += 1
        answer = await self.fleet.send_request(
            "/draft/x",
            attempt=f"sound-{self.sent}",
            parts=f"common,subject,own-{self.sent}",
        )
        return answer.status

    async def crash_targets(self) -> None:
        """Send deadly requests until the targets have crashed CRASHES times."""
        for _ in range(4 * CRASHES):
            await self.send_deadly()
            await trio.sleep(PAUSE_S)
            if self.crashes >= CRASHES:
                return


async def stay(fleet) -> None:
    """The router that saw the crashes goes on."""


async def add_router(fleet) -> None:
    """Another router, which saw no crash, takes the callers."""
    await fleet.start_router("other")


async def restart_router(fleet) -> None:
    """The router that saw the crashes stops, and a new one takes the callers."""
    fleet.router.drain()
    await fleet.start_router("router")


@pytest.mark.parametrize("change", [stay, add_router, restart_router])
def test_part_that_crashed_five_targets_reaches_no_more_targets(change):
    """Guards against requests that crash one target after the other.

    Neither retries nor callers that come to another or a restarted router may carry
    the part on, and sound requests that share all its other parts are still served.
    """

    async def scenario(fleet):
        sender = CrashingFleet(fleet)
        await sender.crash_targets()
        await change(fleet)
        await fleet.wait_until(lambda: fleet.router.is_ready)
        await trio.sleep(PROPAGATION_S)
        arrivals_before = sender.deadly_arrivals
        sound_statuses = []
        for _ in range(10):
            await sender.send_deadly()
            sound_statuses.append(await sender.send_sound())
        assert sender.deadly_arrivals - arrivals_before <= LATE_ARRIVALS_LIMIT
        assert sound_statuses.count(200) >= 9

    run_scenario(scenario, *[stream()] * TARGETS, config=make_config(limit=1_000_000))


def test_lost_answer_is_not_carried_to_target_after_target_by_one_caller():
    """Guards against one caller whose repeats alone crash more than a few targets.

    A caller repeats under a new attempt id whenever a router answers 502.
    """

    async def scenario(fleet):
        sender = CrashingFleet(fleet)
        for _ in range(8):
            await sender.send_deadly()
            await trio.sleep(PAUSE_S)
        assert sender.crashes <= CRASHES

    run_scenario(scenario, *[stream()] * TARGETS, config=make_config(limit=1_000_000))


def test_prompt_that_was_lost_with_several_targets_at_once_is_still_served():
    """Guards against blaming a popular prompt when a failure domain loses power."""

    async def wait_for_crash(request: HttpRequest, writer: ResponseWriter) -> None:
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        await writer.start(200, headers)
        await trio.sleep_forever()

    async def scenario(fleet):
        targets = list(fleet.target_by_id.values())
        for target in targets:
            target.script = wait_for_crash
        async with trio.open_nursery() as nursery:
            for number in range(4 * TARGETS):
                send = partial(
                    fleet.send_request,
                    "/chat/x",
                    attempt=f"popular-{number}",
                    parts=f"popular,own-{number}",
                )
                nursery.start_soon(send)
            await fleet.wait_until(
                lambda: sum(len(each.received) for each in targets) == 4 * TARGETS
            )
            assert sum(bool(target.received) for target in targets) >= 4
            for target in targets:
                target.script = stream()
                target.crash()
                # Connections don't break at exactly the same time.
                await trio.sleep(PAUSE_S)
        await trio.sleep(1.0)
        for number in range(3):
            answer = await fleet.send_request("/chat/x", parts=f"popular,{number}")
            assert answer.status == 200

    run_scenario(scenario, *[stream()] * TARGETS, config=make_config(limit=1_000_000))
