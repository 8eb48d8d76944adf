"""Listings of processes that start: long waits, and other paths while they last.

After a restart of all processes their listings share the links to the store, so the
answers arrive late although nothing is broken. A listing that is given up and asked
again makes it worse: the answer that nobody reads still passes the link.
"""

import random
from collections.abc import Awaitable, Callable

import trio

from lavenderfold.shared._store import Listing, ListingWait, SharedStoreError

# How long a process that starts waits for data of a listing. In this time a link can
# send the listings of all processes, which start together after a loss of all power.
FIRST_LISTING_WAIT_S = 8.0
# A wait is lengthened by a random part up to this, so that processes that gave up
# together don't ask again together.
WAIT_SPREAD = 0.25
MAX_WAIT_S = 30.0

ListCall = Callable[[ListingWait], Awaitable[Listing]]


class ListingWaits:
    """The waits of consecutive attempts at one listing.

    The wait doubles after each attempt that used it up. An attempt that was refused
    at once doesn't lengthen it: the link wasn't full.
    """

    def __init__(self):
        self._wait_s = FIRST_LISTING_WAIT_S
        self._started_at = 0.0

    def begin_attempt(self) -> ListingWait:
        """Return the wait of the attempt that starts now."""
        self._started_at = trio.current_time()
        spread = random.uniform(1.0, 1.0 + WAIT_SPREAD)
        return ListingWait(timeout_s=self._wait_s * spread)

    def record_failure(self) -> None:
        """Record that the attempt failed or was given up."""
        if trio.current_time() - self._started_at >= self._wait_s:
            self._wait_s = min(MAX_WAIT_S, self._wait_s * 2)


class FirstListing:
    """Calls several paths for a listing, one after the other, until one has answered.

    Earlier calls stay open while a later one runs, because their answers may still
    arrive. A path is called when no call has received data for the delay before it,
    or at once when all earlier calls have failed.
    """

    def __init__(self, *, calls: list[ListCall], delays_s: list[float]):
        self._calls = calls
        self._delays_s = delays_s
        self._waits: list[ListingWait] = []
        self._listings: list[Listing] = []
        self._errors: list[SharedStoreError] = []
        self._failed = trio.Event()

    async def run(self, timeout_s: float) -> Listing:
        """Return the first listing; each call waits ``timeout_s`` for data.

        Raises the last call's SharedStoreError if all calls failed.
        """
        async with trio.open_nursery() as nursery:
            for index, call in enumerate(self._calls):
                if index:
                    await self._wait_for_silence(self._delays_s[index - 1])
                wait = ListingWait(timeout_s=timeout_s)
                self._waits.append(wait)
                nursery.start_soon(self._run_call, call, wait, nursery.cancel_scope)
        if self._listings:
            return self._listings[0]
        raise self._errors[-1]

    async def _run_call(
        self, call: ListCall, wait: ListingWait, scope: trio.CancelScope
    ) -> None:
        try:
            self._listings.append(await call(wait))
        except SharedStoreError as error:
            self._errors.append(error)
            self._failed.set()
            self._failed = trio.Event()
        else:
            scope.cancel()

    async def _wait_for_silence(self, delay_s: float) -> None:
        """Wait until no call has received data for ``delay_s``, or all have failed."""
        started_at = trio.current_time()
        while len(self._errors) < len(self._waits):
            silent_since = max(started_at, *(each.data_at for each in self._waits))
            deadline = silent_since + delay_s
            if trio.current_time() >= deadline:
                return
            failed = self._failed
            with trio.CancelScope(deadline=deadline):
                await failed.wait()
