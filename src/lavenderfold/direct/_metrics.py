"""Counters and histograms of a router, served as text."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from lavenderfold.escrow import Bank
from lavenderfold.http import HttpRequest, HttpResponse, ResponseWriter

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class RouterMetrics:
    """What a router counts. Latencies are in seconds, balances in tokens."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "lavenderfold_requests",
            "Requests by their end: delivered, a refusal's reason, or left.",
            ["end"],
            registry=self._registry,
        )
        self._attempts = Counter(
            "lavenderfold_attempts",
            "Attempts at targets by outcome.",
            ["outcome"],
            registry=self._registry,
        )
        self._first_byte = Histogram(
            "lavenderfold_first_byte_seconds",
            "Time to the first byte of an answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._total = Histogram(
            "lavenderfold_request_seconds",
            "Time to the end of a request.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._balance = Gauge(
            "lavenderfold_balance_tokens",
            "Balances as this router knows them.",
            ["organisation", "part"],
            registry=self._registry,
        )
        self._version = Gauge(
            "lavenderfold_config_version",
            "Version of the configuration in force.",
            registry=self._registry,
        )

    def attempt_ended(self, outcome: str) -> None:
        self._attempts.labels(outcome).inc()

    def request_ended(self, end: str, *, first_s: float | None, total_s: float) -> None:
        """Count a request; ``first_s`` is None if nothing was answered."""
        self._requests.labels(end).inc()
        self._total.observe(total_s)
        if first_s is not None:
            self._first_byte.observe(first_s)

    def config_installed(self, version: int) -> None:
        self._version.set(version)

    def page(self, bank: Bank) -> bytes:
        """Return the metrics as text, with the balances of the moment."""
        for organisation in bank.wallet.purse_by_organisation:
            state = bank.purse_state(organisation)
            self._balance.labels(organisation, "granted").set(state.granted)
            self._balance.labels(organisation, "spent").set(state.spent)
            self._balance.labels(organisation, "reserved").set(state.reserved)
            self._balance.labels(organisation, "rest").set(state.rest or 0)
        return generate_latest(self._registry)

    async def answer(self, bank: Bank, _: HttpRequest, writer: ResponseWriter) -> None:
        """Answer a request for the metrics."""
        headers = [("content-type", CONTENT_TYPE_LATEST)]
        response = HttpResponse(status=200, headers=headers, body=self.page(bank))
        await writer.send(response)
