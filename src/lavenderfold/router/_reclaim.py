"""The duty to fence dead routers and to take their grants back.

One router at a time has the duty, under its lease. Two that act at once, after
a pause, do no harm: every step may be repeated.
"""

import logging
from collections.abc import Callable

import msgspec
import trio

from lavenderfold.budgets import LedgerClient, LedgerShard
from lavenderfold.config import FleetConfig
from lavenderfold.http import HttpClient, HttpClientError, HttpRequest
from lavenderfold.logs import log_event
from lavenderfold.members import MemberRecord, ReclaimPlan
from lavenderfold.messages import Fence, FenceReport
from lavenderfold.router._agents import AgentLinks
from lavenderfold.router._liveness_key import (
    LIVENESS_PREFIX,
    LivenessKey,
    incarnation_of_key,
)
from lavenderfold.router._members import Membership
from lavenderfold.router._removed_targets import RemovedTargets
from lavenderfold.router._settings import RouterSettings
from lavenderfold.store import Store
from lavenderfold.timers import TimerService

DUTY_KEY = "members/reclaimer"
REPORTS_WAIT_S = 2.0
REPORTS_POLL_S = 0.05
VM_LIST_WAIT_S = 2.0
RETIRE_WAIT_S = 2.0
GONE = "gone"

logger = logging.getLogger("lavenderfold.router.reclaim")


class _Vm(msgspec.Struct):
    name: str
    state: str


class _VmList(msgspec.Struct):
    vms: list[_Vm]


class Reclaimer:
    """Looks for dead routers while it has the duty."""

    def __init__(
        self,
        *,
        settings: RouterSettings,
        store: Store,
        ledger: LedgerClient,
        agents: AgentLinks,
        membership: Membership,
        liveness_key: LivenessKey,
        timers: TimerService,
        config: Callable[[], FleetConfig],
    ):
        self._settings = settings
        self._store = store
        self._ledger = ledger
        self._agents = agents
        self._membership = membership
        self._sign_of_life = liveness_key
        self._timers = timers
        self._config = config
        self._missing_since: dict[int, float] = {}
        self._plan_by_incarnation: dict[int, ReclaimPlan] = {}
        self._swept_at: float | None = None
        self._past_targets = RemovedTargets()

    async def run(self) -> None:
        """Take the duty when it's free and do it, until cancelled."""
        while True:
            await trio.sleep(self._settings.limits.reclaim_period_s)
            self._past_targets.note(self._config().targets)
            if not await self._has_duty() or not await self._do_round():
                # What was seen before a gap says nothing about the time after.
                self._missing_since.clear()
                self._swept_at = None

    def take_report(self, report: FenceReport) -> None:
        """Take in an agent's answer to a fence."""
        plan = self._plan_by_incarnation.get(report.incarnation)
        if plan is not None:
            plan.report(report)

    async def _has_duty(self) -> bool:
        name = str(self._membership.incarnation).encode()
        found = await self._store.get(DUTY_KEY)
        lease = self._sign_of_life.lease
        if found.is_err() or lease is None:
            return False
        if found.unwrap() is not None:
            return found.unwrap().value == name
        taken = await self._store.put(DUTY_KEY, name, version=0, lease=lease)
        return taken.is_ok()

    async def _do_round(self) -> bool:
        """Retire dead routers, then reclaim; returns whether the store answered."""
        read = await self._membership.read()
        listed = await self._store.list_versions(LIVENESS_PREFIX)
        if read.is_err() or listed.is_err():
            return False
        record, _ = read.unwrap()
        self._past_targets.note_members(record.next_incarnation)
        alive = {incarnation_of_key(key) for key in listed.unwrap()}
        dead = self._find_dead(record, alive)
        for incarnation in dead:
            log_event(logger, "router_dead", incarnation=incarnation)
            with trio.move_on_after(RETIRE_WAIT_S):
                await self._membership.retire(incarnation)
        if dead:
            read = await self._membership.read()
            if read.is_err():
                return False
            record, _ = read.unwrap()
        if not record.retired and not self._is_sweep_due():
            return True
        return await self._search(record)

    def _is_sweep_due(self) -> bool:
        sweep_s = self._settings.limits.reclaim_sweep_s
        return self._swept_at is None or self._timers.now() - self._swept_at >= sweep_s

    async def _search(self, record: MemberRecord) -> bool:
        """Reclaim the grants of retired incarnations in all shards."""
        started = self._timers.now()
        shards = await self._read_shards()
        if shards is None:
            return False
        self._swept_at = started
        # A router that registered after the record was read is not dead.
        holders = {
            holder for holder in _holders(shards) if holder < record.next_incarnation
        }
        stray = holders - record.live_by_incarnation.keys()
        for incarnation in sorted(stray):
            if incarnation not in record.retired:
                with trio.move_on_after(RETIRE_WAIT_S):
                    await self._membership.retire(incarnation)
            await self._reclaim(incarnation, shards)
        done = set(record.retired) - holders
        if done:
            # Tried again at the next round if it fails.
            await self._membership.drop_retired(done)
        return True

    def _find_dead(self, record: MemberRecord, alive: set[int | None]) -> list[int]:
        """Return the live incarnations without a sign of life for a whole lease.

        After an outage all leases have lapsed, so that each router gets the
        time of another lease to take a new one.
        """
        now = self._timers.now()
        missing = record.live_by_incarnation.keys() - alive
        missing.discard(self._membership.incarnation)
        self._missing_since = {
            incarnation: self._missing_since.get(incarnation, now)
            for incarnation in missing
        }
        grace_s = self._settings.limits.member_lease_s
        return [
            incarnation
            for incarnation, since in self._missing_since.items()
            if now - since >= grace_s
        ]

    async def _read_shards(self) -> list[LedgerShard] | None:
        shards = []
        for number in range(self._settings.shard_count):
            read = await self._ledger.read_shard(number)
            if read.is_err():
                return None
            shards.append(read.unwrap())
        return shards

    async def _reclaim(self, incarnation: int, shards: list[LedgerShard]) -> None:
        """Fence an incarnation at all agents and release what no run holds."""
        targets = self._config().targets
        self._past_targets.note(targets)
        # No link leads to the agent of a removed target, so that it counts as
        # missing until its VM is gone.
        past = self._past_targets.vm_by_target(incarnation)
        plan = ReclaimPlan(incarnation=incarnation, targets=[*targets, *past])
        for shard in shards:
            plan.add_shard(shard)
        self._plan_by_incarnation[incarnation] = plan
        try:
            await self._agents.open_all(targets)
            for target in targets:
                self._agents.post_if_connected(target, Fence(incarnation=incarnation))
            await self._wait_for_reports(plan)
            if plan.missing:
                vms = {name: target.vm for name, target in targets.items()}
                await self._strike_out_gone(plan, {**vms, **past})
        finally:
            del self._plan_by_incarnation[incarnation]
        operations = plan.decisions()
        log_event(
            logger,
            "reclaim",
            incarnation=incarnation,
            missing=",".join(sorted(plan.missing)),
            operations=len(operations),
        )
        for operation in operations:
            await self._ledger.submit(operation, timeout_s=REPORTS_WAIT_S)
            log_event(
                logger,
                "grant_reclaimed",
                incarnation=incarnation,
                operation=type(operation).__name__,
                budget=operation.budget,
                grant=operation.grant_id,
                keep=getattr(operation, "keep", None),
            )

    async def _wait_for_reports(self, plan: ReclaimPlan) -> None:
        for _ in range(int(REPORTS_WAIT_S / REPORTS_POLL_S)):
            if not plan.missing:
                return
            await trio.sleep(REPORTS_POLL_S)

    async def _strike_out_gone(
        self, plan: ReclaimPlan, vm_by_target: dict[str, str]
    ) -> None:
        """Leave out targets of which the platform says that their VM is gone."""
        gone = await self._gone_vms()
        for target in plan.missing:
            if vm_by_target[target] in gone:
                plan.target_gone(target)

    async def _gone_vms(self) -> set[str]:
        address = self._settings.vm_list_address
        if address is None:
            return set()
        client = HttpClient(address=address)
        request = HttpRequest(method="GET", target="/v1/vms")
        try:
            with trio.move_on_after(VM_LIST_WAIT_S):
                response = await client.request(request)
                listed = msgspec.json.decode(response.body, type=_VmList)
                return {vm.name for vm in listed.vms if vm.state == GONE}
        except (HttpClientError, msgspec.DecodeError) as error:
            log_event(logger, "vm_list_failed", cause=str(error))
        finally:
            await client.close()
        return set()


def _holders(shards: list[LedgerShard]) -> set[int]:
    return {
        grant.holder
        for shard in shards
        for record in shard.records_by_key.values()
        for grant in record.grants_by_id.values()
    }
