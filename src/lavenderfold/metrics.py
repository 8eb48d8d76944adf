"""Metrics client for statsd."""

import statsd

from lavenderfold.settings import Address


class NullMetrics:
    """Metrics client that discards everything, for use without a statsd address."""

    __slots__ = ()

    def incr(self, name: str, count: int = 1) -> None:
        """Increment a counter by ``count``."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""


Metrics = NullMetrics | statsd.StatsClient


def connect(*, address: Address | None, prefix: str) -> Metrics:
    """Return a client that sends metrics to ``address`` over UDP.

    Without an address the metrics are discarded.
    """
    if address is None:
        return NullMetrics()
    return statsd.StatsClient(host=address.host, port=address.port, prefix=prefix)
