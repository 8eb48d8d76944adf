"""Fences dead routers and reclaims their grants.

One router at a time holds the reclaimer role, under its lease. After a pause, two
routers may act at once. This does no harm, because every step is idempotent.
"""

import logging
from collections.abc import Callable

import msgspec
import trio

from lavenderfold.budgets import LedgerClient, LedgerShard
from lavenderfold.config import FleetConfig
from lavenderfold.decoding import decode_json
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

RECLAIMER_KEY = "members/reclaimer"
REPORTS_WAIT_S = 2.0
REPORTS_POLL_S = 0.05
VM_LIST_WAIT_S = 2.0
RETIRE_WAIT_S = 2.0
VM_GONE = "gone"

logger = logging.getLogger("lavenderfold.router.reclaim")


class _Vm(msgspec.Struct):
    name: str
    state: str


class _VmList(msgspec.Struct):
    vms: list[_Vm]


class Reclaimer:
    """Retires dead routers and reclaims grants while it holds the reclaimer role."""

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
        self._liveness_key = liveness_key
        self._timers = timers
        self._config = config
        self._missing_since_by_incarnation: dict[int, float] = {}
        self._plan_by_incarnation: dict[int, ReclaimPlan] = {}
        self._swept_at: float | None = None
        self._removed_targets = RemovedTargets()

    async def run(self) -> None:
        """Take the reclaimer role when it's free and run its rounds until cancelled."""
        while True:
            await trio.sleep(self._settings.limits.reclaim_period_s)
            self._removed_targets.set_current_targets(self._config().targets)
            if not await self._acquire_reclaimer_role() or not await self._run_round():
                # After a gap, earlier observations don't show whether a router was
                # missing or the shards were searched in the meantime.
                self._missing_since_by_incarnation.clear()
                self._swept_at = None

    def add_fence_report(self, report: FenceReport) -> None:
        """Add an agent's answer to a fence to the plan for that incarnation."""
        plan = self._plan_by_incarnation.get(report.incarnation)
        if plan is not None:
            plan.report(report)

    async def _acquire_reclaimer_role(self) -> bool:
        name = str(self._membership.incarnation).encode()
        current = await self._store.get(RECLAIMER_KEY)
        lease = self._liveness_key.lease
        if current.is_err() or lease is None:
            return False
        if current.unwrap() is not None:
            return current.unwrap().value == name
        written = await self._store.put(RECLAIMER_KEY, name, version=0, lease=lease)
        return written.is_ok()

    async def _run_round(self) -> bool:
        """Retire dead routers, then reclaim; return whether the store answered."""
        read = await self._membership.read()
        listed = await self._store.list_versions(LIVENESS_PREFIX)
        if read.is_err() or listed.is_err():
            return False
        record, _ = read.unwrap()
        self._removed_targets.set_next_incarnation(record.next_incarnation)
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
        return await self._reclaim_non_live(record)

    def _is_sweep_due(self) -> bool:
        sweep_s = self._settings.limits.reclaim_sweep_s
        return self._swept_at is None or self._timers.now() - self._swept_at >= sweep_s

    async def _reclaim_non_live(self, record: MemberRecord) -> bool:
        """Reclaim the grants of all incarnations that aren't live, in all shards.

        Returns whether the ledger could be read.
        """
        read_began_at = self._timers.now()
        shards = await self._read_shards()
        if shards is None:
            return False
        self._swept_at = read_began_at
        # A router that registered after the record was read isn't in it, but isn't
        # dead.
        holders = {
            holder
            for holder in _grant_holders(shards)
            if holder < record.next_incarnation
        }
        non_live = holders - record.live_by_incarnation.keys()
        for incarnation in sorted(non_live):
            if incarnation not in record.retired:
                with trio.move_on_after(RETIRE_WAIT_S):
                    await self._membership.retire(incarnation)
            await self._reclaim(incarnation, shards)
        without_grants = set(record.retired) - holders
        if without_grants:
            # If this fails, the next round repeats it.
            await self._membership.drop_retired(without_grants)
        return True

    def _find_dead(self, record: MemberRecord, alive: set[int | None]) -> list[int]:
        """Return the live incarnations without a liveness key for a whole lease.

        After a store outage all leases have lapsed, so that each router gets the
        duration of a lease to take a new one.
        """
        now = self._timers.now()
        missing = record.live_by_incarnation.keys() - alive
        missing.discard(self._membership.incarnation)
        self._missing_since_by_incarnation = {
            incarnation: self._missing_since_by_incarnation.get(incarnation, now)
            for incarnation in missing
        }
        grace_s = self._settings.limits.member_lease_s
        return [
            incarnation
            for incarnation, since in self._missing_since_by_incarnation.items()
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
        """Fence an incarnation at all agents and reclaim the tokens no run holds."""
        targets = self._config().targets
        self._removed_targets.set_current_targets(targets)
        # The router has no link to the agent of a removed target, so that the
        # target's report counts as missing until its VM is gone.
        vm_by_removed_target = self._removed_targets.vm_by_target(incarnation)
        plan = ReclaimPlan(
            incarnation=incarnation, targets=[*targets, *vm_by_removed_target]
        )
        for shard in shards:
            plan.add_shard(shard)
        self._plan_by_incarnation[incarnation] = plan
        try:
            await self._agents.open_all(targets)
            for target in targets:
                self._agents.post_if_connected(target, Fence(incarnation=incarnation))
            await self._wait_for_reports(plan)
            if plan.missing:
                vm_by_target = {name: target.vm for name, target in targets.items()}
                await self._exclude_gone_vms(
                    plan, {**vm_by_target, **vm_by_removed_target}
                )
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

    async def _exclude_gone_vms(
        self, plan: ReclaimPlan, vm_by_target: dict[str, str]
    ) -> None:
        """Stop waiting for targets whose VM is gone according to the platform."""
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
                listed = decode_json(response.body, _VmList)
                return {vm.name for vm in listed.vms if vm.state == VM_GONE}
        except (HttpClientError, msgspec.DecodeError) as error:
            log_event(logger, "vm_list_failed", cause=str(error))
        finally:
            await client.close()
        return set()


def _grant_holders(shards: list[LedgerShard]) -> set[int]:
    return {
        grant.holder
        for shard in shards
        for record in shard.records_by_key.values()
        for grant in record.grants_by_id.values()
    }
