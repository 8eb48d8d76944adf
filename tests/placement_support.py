"""A router's choice of targets without a network, and a store that answers badly."""

from types import SimpleNamespace

import msgspec
import trio

from lavenderfold.direct._load import LoadTracker
from lavenderfold.direct._sinks import ConfigSink, EvacuationSink, OperatorSink
from lavenderfold.direct._target_selection import TargetSelection
from lavenderfold.fleet import Organisation, RepeatPolicy, Target, TargetDirectory
from lavenderfold.placement import Placement
from lavenderfold.shared import Item, SharedStoreError
from standins.memory_store import MemoryStore
from tests.direct_support import READER, make_route
from tests.quarantine_support import FakeTimers
from tests.test_direct_decisions import make_request

PREFIX = "op/evacuate/"


def make_target(id: str, domain: str, **changes) -> Target:
    values = {"service": "service", "host": "127.0.0.1", "port": 1, "slots": 8}
    return Target(**{**values, "id": id, "domain": domain, **changes})


class Selector:
    """The parts of a router that choose targets, with its clock set by the test."""

    def __init__(self, *, region_by_domain: dict[str, str] | None = None):
        self.timers = FakeTimers()
        self.placement = Placement(region_by_domain=region_by_domain)
        self.directory = TargetDirectory()
        self.load_tracker = LoadTracker()
        self.services = SimpleNamespace(
            timers=self.timers,
            placement=self.placement,
            directory=self.directory,
            load_tracker=self.load_tracker,
            domain="d0",
            balancing=None,
        )
        evacuations = EvacuationSink(
            prefix=PREFIX,
            evacuations=self.placement.evacuations,
            timers=self.timers,
            is_known=lambda _: True,
            on_ended=self._record_return,
        )
        self.evacuations = evacuations
        self.sink = OperatorSink(
            config_key="op/config",
            config=ConfigSink(
                key="op/config", reader=READER, on_installed=lambda _: None
            ),
            evacuations_prefix=PREFIX,
            evacuations=evacuations,
        )

    def _record_return(self, domain: str) -> None:
        targets = [each for each in self.directory.targets() if each.domain == domain]
        self.placement.cold.record_return(targets, now=self.timers.now())

    def wait(self, seconds: float) -> None:
        self.timers.elapsed_s += seconds
        self.evacuations.expire(self.timers.now())

    def evacuate(self, domain: str, revision: int, value: bytes = b"{}") -> None:
        self.sink.put(Item(PREFIX + domain, value, revision))

    def selection(
        self, route_regions=frozenset(), organisation_regions=frozenset(), **request
    ) -> TargetSelection:
        """Return the choice for one request."""
        route = make_route(
            "read", RepeatPolicy.IDEMPOTENT, allowed_regions=frozenset(route_regions)
        )
        organisation = Organisation(
            name="o", keys=(), allowed_regions=frozenset(organisation_regions)
        )
        caller_request = msgspec.structs.replace(make_request(), **request)
        return TargetSelection(
            services=self.services,
            service_name="service",
            service=None,
            request=caller_request,
            route=route,
            organisation=organisation,
        )


class BadStore(MemoryStore):
    """A store that answers after ``delay_s``, or whose answers are lost."""

    def __init__(self):
        super().__init__()
        self.delay_s = 0.0
        self.loses_answers = False

    async def list_items(self, prefix, *, wait=None):
        return await self._answer(await super().list_items(prefix, wait=wait))

    async def wait_changes(self, prefix, *, after, wait_s):
        changes = await super().wait_changes(prefix, after=after, wait_s=wait_s)
        return await self._answer(changes)

    async def _answer(self, answer):
        await trio.sleep(self.delay_s)
        if self.loses_answers:
            raise SharedStoreError("the answer was lost")
        return answer
