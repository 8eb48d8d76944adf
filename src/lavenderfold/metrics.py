"""Metrics through statsd."""

import statsd

from lavenderfold.settings import Address


class NullMetrics:
    """Accepts metrics and drops them; used when no statsd address is set."""

    __slots__ = ()

    def incr(self, name: str, count: int = 1) -> None:
        """Count an event."""

    def gauge(self, name: str, value: float) -> None:
        """Record a current value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""


Metrics = NullMetrics | statsd.StatsClient


def connect(*, address: Address | None, prefix: str) -> Metrics:
    """Return a client that sends to ``address`` over UDP."""
    if address is None:
        return NullMetrics()
    return statsd.StatsClient(host=address.host, port=address.port, prefix=prefix)
