"""The agent's links: which router is at the other end of each."""

from itertools import count

from lavenderfold.agent._usage import Reader
from lavenderfold.links import Link, LinkClosedError
from lavenderfold.messages import RouterHello, ToRouter


class RouterLink:
    """One open link and what its router said about itself."""

    __slots__ = ("number", "link", "hello")

    def __init__(self, *, number: int, link: Link):
        self.number = number
        self.link = link
        self.hello: RouterHello | None = None

    @property
    def incarnation(self) -> int | None:
        return self.hello.incarnation if self.hello is not None else None


class RouterLinks:
    """All open links by number."""

    def __init__(self, *, region: str):
        self._region = region
        self._numbers = count(1)
        self._by_number: dict[int, RouterLink] = {}

    def add(self, link: Link) -> RouterLink:
        """Give a new link its number."""
        router = RouterLink(number=next(self._numbers), link=link)
        self._by_number[router.number] = router
        return router

    def remove(self, router: RouterLink) -> None:
        self._by_number.pop(router.number, None)

    def greet(self, router: RouterLink, hello: RouterHello) -> None:
        """Note who is at the other end; close older links of the same router.

        An order that still waits in an older link would otherwise be run after
        the router has asked about it on the new link.
        """
        router.hello = hello
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

    def post(self, number: int, message: ToRouter) -> None:
        """Send a message if its link is still open."""
        router = self._by_number.get(number)
        if router is None:
            return
        try:
            router.link.post(message)
        except LinkClosedError:
            return  # The reader of this link removes it.

    def post_all(self, message: ToRouter) -> None:
        """Send a message on every open link."""
        for number in list(self._by_number):
            self.post(number, message)

    def flush_all(self) -> None:
        """Hand all queued messages to the transport."""
        for router in list(self._by_number.values()):
            router.link.flush()
