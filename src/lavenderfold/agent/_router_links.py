"""The agent's links: which router is at the other end of each."""

from itertools import count

from lavenderfold.agent._observed_target import PREFIX_REPORT_PERIOD_S
from lavenderfold.agent._usage import Reader
from lavenderfold.links import Link, LinkClosedError
from lavenderfold.messages import Heartbeat, MessageToRouter, RouterHello

DEFAULT_REPORT_PERIOD_S = 0.25
# A link is closed after this many heartbeats of its router are missing: a VM
# that failed closes no connection.
SILENT_HEARTBEATS = 3
# Prefixes make a report many times longer, so that they are rarer on links
# with a long period.
REPORTS_PER_PREFIX_REPORT = 20


class RouterLink:
    """One open link and what its router said about itself."""

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
        """The period of load reports that the router asked for."""
        if self.hello is None:
            return DEFAULT_REPORT_PERIOD_S
        return self.hello.report_period_s

    def is_silent(self, now: float) -> bool:
        """Return whether the router's heartbeats have stopped."""
        return now - self.last_received_at > SILENT_HEARTBEATS * self.heartbeat_period_s

    def reported(self, now: float) -> None:
        """Note that a load report was sent."""
        self.report_due_at = now + self.report_period_s

    def take_prefixes_due(self, now: float) -> bool:
        """Return whether the next report must name the prefixes."""
        if not self.prefixes_changed or now < self.prefixes_due_at:
            return False
        self.prefixes_changed = False
        self.prefixes_due_at = now + max(
            PREFIX_REPORT_PERIOD_S, REPORTS_PER_PREFIX_REPORT * self.report_period_s
        )
        return True


class RouterLinks:
    """All open links by number."""

    def __init__(self, *, region: str):
        self._region = region
        self._numbers = count(1)
        self._by_number: dict[int, RouterLink] = {}

    def add(self, link: Link, *, now: float) -> RouterLink:
        """Give a new link its number."""
        router = RouterLink(number=next(self._numbers), link=link, now=now)
        self._by_number[router.number] = router
        return router

    def remove(self, router: RouterLink) -> None:
        self._by_number.pop(router.number, None)

    def record_hello(self, router: RouterLink, hello: RouterHello) -> None:
        """Note who is at the other end; close older links of the same router.

        An order that still waits in an older link would otherwise be run after
        the router has asked about it on the new link.
        """
        router.hello = hello
        # The router may have shortened its time limit along with the period.
        router.report_due_at = 0.0
        for other in self._by_number.values():
            if other is not router and other.incarnation == hello.incarnation:
                other.link.close()

    def readers(self) -> list[Reader]:
        """Return the routers that usage may be reported to."""
        return [
            Reader(
                link=router.number,
                incarnation=router.hello.incarnation,
                same_region=router.hello.region == self._region,
            )
            for router in self._by_number.values()
            if router.hello is not None and not router.link.closed
        ]

    def post(self, number: int, message: MessageToRouter) -> None:
        """Send a message if its link is still open."""
        router = self._by_number.get(number)
        if router is None:
            return
        try:
            router.link.post(message)
        except LinkClosedError:
            return  # The reader of this link removes it.

    def all(self) -> list[RouterLink]:
        """Return every link."""
        return list(self._by_number.values())

    def close_silent(self, now: float) -> None:
        """Close the links whose routers' heartbeats have stopped."""
        for router in self._by_number.values():
            if router.is_silent(now):
                router.link.close()

    def flush_all(self) -> None:
        """Hand all queued messages to the transport."""
        for router in list(self._by_number.values()):
            router.link.flush()
