"""The links to an agent and the routers at their other ends."""

from itertools import count

from lavenderfold.agent._observed_target import PREFIX_REPORT_PERIOD_S
from lavenderfold.agent._usage import ConnectedRouter
from lavenderfold.links import Link, LinkClosedError, exclude_own_delay
from lavenderfold.messages import Heartbeat, MessageToRouter, RouterHello

DEFAULT_REPORT_PERIOD_S = 0.25
# Heartbeat periods without a message after which a link is closed. A failed VM
# doesn't close its connections.
SILENT_HEARTBEATS = 3
# Prefixes make a report many times longer, so links with a long report period get
# them at most once in this many reports.
REPORTS_PER_PREFIX_REPORT = 20


class RouterLink:
    """One open link, its router's hello, and when the next reports are due."""

    __slots__ = (
        "number",
        "link",
        "hello",
        "last_received_at",
        "heartbeat_period_s",
        "report_due_at",
        "prefixes_due_at",
        "prefixes_changed",
    )

    def __init__(self, *, number: int, link: Link, now: float):
        self.number = number
        self.link = link
        self.hello: RouterHello | None = None
        self.last_received_at = now
        self.heartbeat_period_s = Heartbeat(revision=0).period_s
        self.report_due_at = now
        self.prefixes_due_at = now
        self.prefixes_changed = False

    @property
    def incarnation(self) -> int | None:
        return self.hello.incarnation if self.hello is not None else None

    @property
    def report_period_s(self) -> float:
        """The period of load reports that the router requested."""
        if self.hello is None:
            return DEFAULT_REPORT_PERIOD_S
        return self.hello.report_period_s

    def is_silent(self, now: float) -> bool:
        """Return whether the router has sent nothing for too many heartbeat periods."""
        return now - self.last_received_at > SILENT_HEARTBEATS * self.heartbeat_period_s

    def mark_reported(self, now: float) -> None:
        """Set the time of the next load report after one was sent."""
        self.report_due_at = now + self.report_period_s

    def claim_prefix_report(self, now: float) -> bool:
        """Return whether to report the prefixes now, and if so mark them reported."""
        if not self.prefixes_changed or now < self.prefixes_due_at:
            return False
        self.prefixes_changed = False
        self.prefixes_due_at = now + max(
            PREFIX_REPORT_PERIOD_S, REPORTS_PER_PREFIX_REPORT * self.report_period_s
        )
        return True


class RouterLinks:
    """The open links of an agent by number."""

    def __init__(self, *, region: str):
        self._region = region
        self._numbers = count(1)
        self._by_number: dict[int, RouterLink] = {}

    def add(self, link: Link, *, now: float) -> RouterLink:
        """Add a link under a new number."""
        router = RouterLink(number=next(self._numbers), link=link, now=now)
        self._by_number[router.number] = router
        return router

    def remove(self, router: RouterLink) -> None:
        self._by_number.pop(router.number, None)

    def record_hello(self, router: RouterLink, hello: RouterHello) -> None:
        """Record a router's hello and close older links of the same incarnation.

        Otherwise an order that is still buffered in an older link could run after
        the router asked for it on the new link and was told that it is unknown.
        """
        router.hello = hello
        # The router may have reduced its report timeout together with the report
        # period, so the next report is due at once.
        router.report_due_at = 0.0
        for other in self._by_number.values():
            if other is not router and other.incarnation == hello.incarnation:
                other.link.close()

    def connected_routers(self) -> list[ConnectedRouter]:
        """Return the routers to which usage can be reported."""
        return [
            ConnectedRouter(
                link=router.number,
                incarnation=router.hello.incarnation,
                same_region=router.hello.region == self._region,
            )
            for router in self._by_number.values()
            if router.hello is not None and not router.link.closed
        ]

    def is_connected(self, incarnation: int | None) -> bool:
        """Return whether an open link's router said that it has an incarnation."""
        return any(
            router.incarnation == incarnation for router in self.connected_routers()
        )

    def post(self, number: int, message: MessageToRouter) -> None:
        """Post a message to a link, or drop it if the link is closed."""
        router = self._by_number.get(number)
        if router is None:
            return
        try:
            router.link.post(message)
        except LinkClosedError:
            return  # The task that receives from this link removes it.

    def all(self) -> list[RouterLink]:
        """Return all open links."""
        return list(self._by_number.values())

    def close_silent(self, now: float, *, check_due_at: float | None = None) -> None:
        """Close the links whose routers have stopped sending heartbeats.

        If the check is due earlier than ``now``, the agent was suspended.
        """
        for router in self._by_number.values():
            if check_due_at is not None:
                router.last_received_at = exclude_own_delay(
                    router.last_received_at, check_due_at=check_due_at, now=now
                )
            if router.is_silent(now):
                router.link.close()

    def flush_all(self) -> None:
        """Send the queued messages of all links without waiting for a batch window."""
        for router in list(self._by_number.values()):
            router.link.flush()
