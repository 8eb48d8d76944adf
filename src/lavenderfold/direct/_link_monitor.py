"""Detection of a router whose network link is full."""

import logging
import math
import random

import trio

from lavenderfold.link_traffic import LinkTraffic, link_traffic

SAMPLE_PERIOD_S = 0.1
# Time constant of the moving averages. A large configuration fills a slow link for
# about half a second, which must not move callers to other routers.
AVERAGE_S = 1.0
# Above this part of its capacity a link delays what is sent by hundreds of
# milliseconds; the state ends below the second one.
SATURATED_SHARE = 0.75
RELIEVED_SHARE = 0.5
# A router leaves the rotation for at most this time. If its link is still full, that
# isn't due to callers who could go elsewhere.
ABSENCE_LIMIT_S = 2.0
# Then it stays for a random time between these. If all links of a failure domain are
# full, its routers would otherwise leave and return together, and callers find none.
STAY_MIN_S = 2.0
STAY_MAX_S = 6.0

logger = logging.getLogger("lavenderfold.router")


class LinkMonitor:
    """Compares the traffic of a router with the capacity of its link.

    A load balancer may send the callers of a busy organisation to one router. If its
    link is full, all its answers and store calls are late while other routers of its
    failure domain are idle. ``capacity_bytes_per_s`` is that of each direction; None
    is unknown. ``stay_left_s`` is how long the router stays in rotation even with a
    full link, because it has just returned.
    """

    def __init__(
        self, *, capacity_bytes_per_s: float | None, rng: random.Random | None = None
    ):
        self.is_saturated = False
        self.sent_share = 0.0
        self.received_share = 0.0
        self.stay_left_s = 0.0
        self._absent_s = 0.0
        self._capacity_bytes_per_s = capacity_bytes_per_s
        self._rng = rng or random.Random()

    @property
    def is_out_of_rotation(self) -> bool:
        """Whether callers should go to other routers."""
        return self.is_saturated and self.stay_left_s <= 0

    @property
    def used_share(self) -> float:
        """The part of the capacity that the busier direction uses, on average."""
        return max(self.sent_share, self.received_share)

    def record(self, *, sent_bytes: int, received_bytes: int, elapsed_s: float) -> None:
        """Record what was sent and received in the last ``elapsed_s`` seconds."""
        if not self._capacity_bytes_per_s or elapsed_s <= 0:
            return
        weight = 1 - math.exp(-elapsed_s / AVERAGE_S)
        possible_bytes = self._capacity_bytes_per_s * elapsed_s
        sent_share = sent_bytes / possible_bytes
        received_share = received_bytes / possible_bytes
        self.sent_share += (sent_share - self.sent_share) * weight
        self.received_share += (received_share - self.received_share) * weight
        was_absent = self.is_out_of_rotation
        self._update()
        self._update_stay(was_absent, elapsed_s)

    async def run(self) -> None:
        """Sample the traffic of the event loop until cancelled."""
        if not self._capacity_bytes_per_s:
            return
        traffic = link_traffic()
        last, sampled_at = _totals(traffic), trio.current_time()
        while True:
            await trio.sleep(SAMPLE_PERIOD_S)
            totals, now = _totals(traffic), trio.current_time()
            self.record(
                sent_bytes=totals[0] - last[0],
                received_bytes=totals[1] - last[1],
                elapsed_s=now - sampled_at,
            )
            last, sampled_at = totals, now

    def _update(self) -> None:
        limit = RELIEVED_SHARE if self.is_saturated else SATURATED_SHARE
        is_saturated = self.used_share > limit
        if is_saturated == self.is_saturated:
            return
        self.is_saturated = is_saturated
        fields = {
            "sent_percent": round(100 * self.sent_share),
            "received_percent": round(100 * self.received_share),
        }
        event = "link_saturated" if is_saturated else "link_relieved"
        logger.warning(event, extra=fields)

    def _update_stay(self, was_absent: bool, elapsed_s: float) -> None:
        """Bound an absence that has lasted for ``elapsed_s`` more."""
        self.stay_left_s = max(0.0, self.stay_left_s - elapsed_s)
        if not was_absent:
            self._absent_s = 0.0
            return
        self._absent_s += elapsed_s
        if not self.is_saturated or self._absent_s >= ABSENCE_LIMIT_S:
            self.stay_left_s = self._rng.uniform(STAY_MIN_S, STAY_MAX_S)


def _totals(traffic: LinkTraffic) -> tuple[int, int]:
    return traffic.sent_bytes, traffic.received_bytes
