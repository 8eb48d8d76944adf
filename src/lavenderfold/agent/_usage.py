"""Usage that no router has confirmed as durable, and whom to tell about it."""

import heapq
from collections import defaultdict
from itertools import count

import msgspec

from lavenderfold.agent._settings import Limits
from lavenderfold.messages import UsageRecord, UsageReport

REPORT_RECORDS_LIMIT = 500
RESEND_LIMIT_S = 30.0
# 2 ** 4 times the usual resend time already exceeds the limit above.
LARGEST_BACKOFF_EXPONENT = 4


class Reader(msgspec.Struct, frozen=True):
    """A connected router: its link, its incarnation, and whether it's near."""

    link: int
    incarnation: int
    same_region: bool


class _Unsettled:
    __slots__ = ("usage", "owner", "link", "attempts", "due")

    def __init__(self, *, usage: UsageRecord, owner: int | None, due: float):
        self.usage = usage
        self.owner = owner
        self.link: int | None = None
        self.attempts = 0
        self.due = due


class UnsettledUsage:
    """Keeps each usage record until ``stored`` names its run.

    A record is reported to the router that ran it while that is connected,
    else to one other router after another.
    """

    def __init__(self, *, limits: Limits):
        self._limits = limits
        self._unsettled_by_id: dict[str, _Unsettled] = {}
        self._order = count()
        self._due: list[tuple[float, int, str]] = []

    def __len__(self) -> int:
        return len(self._unsettled_by_id)

    @property
    def is_full(self) -> bool:
        return len(self) >= self._limits.unsettled_usage

    def add(
        self, usage: UsageRecord, *, owner: int | None, at_once: bool, now: float
    ) -> None:
        """Keep a record; unless ``at_once``, the run's end tells its owner."""
        due = now if at_once else now + self._limits.usage_resend_s
        unsettled = _Unsettled(usage=usage, owner=owner, due=due)
        self._unsettled_by_id[usage.run_id] = unsettled
        self._push(unsettled)

    def stored(self, run_ids: list[str]) -> None:
        """Forget records that are durable."""
        for run_id in run_ids:
            self._unsettled_by_id.pop(run_id, None)

    def router_gone(self, *, link: int, incarnation: int | None, now: float) -> None:
        """Report at once what was the duty of a router that is gone."""
        for unsettled in self._unsettled_by_id.values():
            if unsettled.link == link or unsettled.owner == incarnation:
                unsettled.link = None
                unsettled.due = now
                self._push(unsettled)

    def held(self, payer: int) -> dict[str, int]:
        """Return the unsettled tokens by grant that ``payer`` pays for."""
        held: dict[str, int] = defaultdict(int)
        for unsettled in self._unsettled_by_id.values():
            if unsettled.usage.payer == payer:
                held[unsettled.usage.grant_id] += unsettled.usage.tokens
        return dict(held)

    def due_reports(
        self, routers: list[Reader], *, now: float
    ) -> list[tuple[int, UsageReport]]:
        """Return the reports to send now, each with its link."""
        if not routers:
            return []
        records_by_link: dict[int, list[UsageRecord]] = defaultdict(list)
        while self._due and self._due[0][0] <= now:
            due, _, run_id = heapq.heappop(self._due)
            unsettled = self._unsettled_by_id.get(run_id)
            if unsettled is None or unsettled.due != due:
                continue
            unsettled.link = _choose(unsettled, routers)
            records_by_link[unsettled.link].append(unsettled.usage)
            self._postpone(unsettled, now)
        return [
            (link, UsageReport(records[start : start + REPORT_RECORDS_LIMIT]))
            for link, records in records_by_link.items()
            for start in range(0, len(records), REPORT_RECORDS_LIMIT)
        ]

    def _postpone(self, unsettled: _Unsettled, now: float) -> None:
        exponent = min(unsettled.attempts, LARGEST_BACKOFF_EXPONENT)
        wait = min(RESEND_LIMIT_S, self._limits.usage_resend_s * 2**exponent)
        unsettled.attempts += 1
        unsettled.due = now + wait
        self._push(unsettled)

    def _push(self, unsettled: _Unsettled) -> None:
        entry = (unsettled.due, next(self._order), unsettled.usage.run_id)
        heapq.heappush(self._due, entry)


def _choose(unsettled: _Unsettled, routers: list[Reader]) -> int:
    for router in routers:
        if router.incarnation == unsettled.owner:
            return router.link
    near_first = sorted(routers, key=lambda router: not router.same_region)
    return near_first[unsettled.attempts % len(near_first)].link
