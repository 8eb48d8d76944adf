"""Usage records that no router has confirmed as durable, and their reports."""

import heapq
from collections import defaultdict
from itertools import count

import msgspec

from lavenderfold.agent._settings import Limits
from lavenderfold.messages import UsageRecord, UsageReport

REPORT_RECORDS_LIMIT = 500
RESEND_LIMIT_S = 30.0
# 2 ** 4 times the default resend period already exceeds RESEND_LIMIT_S.
LARGEST_BACKOFF_EXPONENT = 4


class ConnectedRouter(msgspec.Struct, frozen=True):
    """A router with an open link, and whether it's in the agent's region."""

    link: int
    incarnation: int
    same_region: bool


class _UnsettledRecord:
    __slots__ = ("usage", "sender_incarnation", "link", "attempts", "due_at")

    def __init__(
        self, *, usage: UsageRecord, sender_incarnation: int | None, due_at: float
    ):
        self.usage = usage
        self.sender_incarnation = sender_incarnation
        self.link: int | None = None
        self.attempts = 0
        self.due_at = due_at


class UnsettledUsage:
    """Keeps and resends each usage record until ``mark_stored`` names its run.

    A record is reported to the router that sent the order while it's connected,
    otherwise to each of the other routers in turn.
    """

    def __init__(self, *, limits: Limits):
        self._limits = limits
        self._unsettled_by_id: dict[str, _UnsettledRecord] = {}
        self._tie_breaker = count()
        self._due_heap: list[tuple[float, int, str]] = []

    def __len__(self) -> int:
        return len(self._unsettled_by_id)

    @property
    def is_full(self) -> bool:
        return len(self) >= self._limits.unsettled_usage

    def add(
        self,
        usage: UsageRecord,
        *,
        sender_incarnation: int | None,
        report_immediately: bool,
        now: float,
    ) -> None:
        """Add a usage record.

        Without ``report_immediately`` its first report is delayed, because the
        message of the run's end carries the tokens to the router.
        """
        due_at = now if report_immediately else now + self._limits.usage_resend_s
        unsettled = _UnsettledRecord(
            usage=usage, sender_incarnation=sender_incarnation, due_at=due_at
        )
        self._unsettled_by_id[usage.run_id] = unsettled
        self._schedule(unsettled)

    def mark_stored(self, run_ids: list[str]) -> None:
        """Remove the records of runs whose usage is durable."""
        for run_id in run_ids:
            self._unsettled_by_id.pop(run_id, None)

    def handle_router_loss(
        self, *, link_number: int, incarnation: int | None, now: float
    ) -> None:
        """Make the records that a lost router had to store due immediately."""
        for unsettled in self._unsettled_by_id.values():
            if (
                unsettled.link == link_number
                or unsettled.sender_incarnation == incarnation
            ):
                unsettled.link = None
                unsettled.due_at = now
                self._schedule(unsettled)

    def held_tokens_by_grant(self, payer: int) -> dict[str, int]:
        """Return the unsettled tokens by grant id of runs that ``payer`` pays for."""
        held: dict[str, int] = defaultdict(int)
        for unsettled in self._unsettled_by_id.values():
            if unsettled.usage.payer == payer:
                held[unsettled.usage.grant_id] += unsettled.usage.tokens
        return dict(held)

    def due_reports(
        self, routers: list[ConnectedRouter], *, now: float
    ) -> list[tuple[int, UsageReport]]:
        """Return the reports to send now, each with the number of its link."""
        if not routers:
            return []
        records_by_link_number: dict[int, list[UsageRecord]] = defaultdict(list)
        while self._due_heap and self._due_heap[0][0] <= now:
            due_at, _, run_id = heapq.heappop(self._due_heap)
            unsettled = self._unsettled_by_id.get(run_id)
            if unsettled is None or unsettled.due_at != due_at:
                continue
            unsettled.link = _choose_link(unsettled, routers)
            records_by_link_number[unsettled.link].append(unsettled.usage)
            self._postpone(unsettled, now)
        return [
            (link_number, UsageReport(records[start : start + REPORT_RECORDS_LIMIT]))
            for link_number, records in records_by_link_number.items()
            for start in range(0, len(records), REPORT_RECORDS_LIMIT)
        ]

    def _postpone(self, unsettled: _UnsettledRecord, now: float) -> None:
        exponent = min(unsettled.attempts, LARGEST_BACKOFF_EXPONENT)
        delay_s = min(RESEND_LIMIT_S, self._limits.usage_resend_s * 2**exponent)
        unsettled.attempts += 1
        unsettled.due_at = now + delay_s
        self._schedule(unsettled)

    def _schedule(self, unsettled: _UnsettledRecord) -> None:
        entry = (unsettled.due_at, next(self._tie_breaker), unsettled.usage.run_id)
        heapq.heappush(self._due_heap, entry)


def _choose_link(unsettled: _UnsettledRecord, routers: list[ConnectedRouter]) -> int:
    for router in routers:
        if router.incarnation == unsettled.sender_incarnation:
            return router.link
    same_region_first = sorted(routers, key=lambda router: not router.same_region)
    return same_region_first[unsettled.attempts % len(same_region_first)].link
