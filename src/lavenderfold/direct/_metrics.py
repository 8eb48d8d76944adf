"""Prometheus metrics of a router."""

import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from lavenderfold.escrow import LocalBalanceState
from lavenderfold.http import CloseReason, HttpRequest, HttpResponse, ResponseWriter
from lavenderfold.process_memory import MemoryUse, resident_bytes
from lavenderfold.quarantine import QuarantineSnapshot
from lavenderfold.shared import StoreCall

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


ROUTER_STATES = ("ready", "draining", "isolated", "overloaded", "link_saturated")


class AdmissionState(msgspec.Struct, frozen=True, kw_only=True):
    """The admission to one service. ``limit`` and ``used`` are in mean requests."""

    limit: float
    used: float
    queued: int


class RouterSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """State of a router at the time its metrics are read. Ages are in seconds.

    ``longest_turn_s`` is the duration of the event loop's longest turn.
    ``targets_by_state`` counts the listed targets that leave, pause, are
    evacuated or are cold.
    ``send_spread_by_service`` is the most own sends to a target over the mean.
    ``ledger_outage_s`` is 0 while the ledger is available, and ``refused_in_outages``
    counts the requests refused at once because it wasn't.
    """

    active: int
    admission_by_service: dict[str, AdmissionState]
    incomplete_answer_bytes: int
    ledger_outage_s: float
    refused_in_outages: int
    balances: list[LocalBalanceState]
    longest_turn_s: float
    log_lines_left_out: int
    memory: MemoryUse
    quarantine: QuarantineSnapshot
    states: frozenset[str]
    targets_by_state: dict[str, int]
    watch_age_by_prefix: dict[str, float]
    send_spread_by_service: dict[str, float] = {}


class RouterMetrics:
    """The metrics of a router. Latencies are in seconds, balances in tokens."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "lavenderfold_requests",
            "Requests by their end: delivered, a refusal's reason, or left.",
            ["end"],
            registry=self._registry,
        )
        self._answers = Counter(
            "lavenderfold_answers",
            "Requests by how much of an answer was written: whole, cut or none.",
            ["state"],
            registry=self._registry,
        )
        self._stream_ends = Counter(
            "lavenderfold_stream_ends",
            "Requests of callers that abandon silent streams, by what ended them: "
            "answer, caller, patience or router.",
            ["by"],
            registry=self._registry,
        )
        self._closed_connections = Counter(
            "lavenderfold_closed_connections",
            "Callers' connections that ended, by the reason.",
            ["reason"],
            registry=self._registry,
        )
        self._attempts = Counter(
            "lavenderfold_attempts",
            "Attempts at targets by outcome.",
            ["outcome"],
            registry=self._registry,
        )
        self._targets = Gauge(
            "lavenderfold_targets",
            "Listed targets that leave, pause, are evacuated or are cold.",
            ["state"],
            registry=self._registry,
        )
        self._send_spread = Gauge(
            "lavenderfold_send_spread",
            "Requests of this router to the target that got most, over the mean, where "
            "targets are chosen by cost.",
            ["service"],
            registry=self._registry,
        )
        self._target_pauses = Counter(
            "lavenderfold_target_pauses",
            "Pauses in targets' answers by their value: valid, too_long or invalid.",
            ["value"],
            registry=self._registry,
        )
        self._invalid_answers = Counter(
            "lavenderfold_invalid_answers",
            "Attempts whose target sent bytes that are no answer to them, by cause.",
            ["cause"],
            registry=self._registry,
        )
        self._first_byte_time = Histogram(
            "lavenderfold_first_byte_seconds",
            "Time to the first byte of an answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._request_time = Histogram(
            "lavenderfold_request_seconds",
            "Time to the end of a request.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._unread_time = Histogram(
            "lavenderfold_unread_seconds",
            "Upper bound of the time that a request waited before it was read.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._longest_turn = Gauge(
            "lavenderfold_longest_event_loop_turn_seconds",
            "Duration of the longest turn of the event loop.",
            registry=self._registry,
        )
        self._longest_pause = Histogram(
            "lavenderfold_longest_pause_seconds",
            "Longest pause between the events of a stream.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._store_calls = Counter(
            "lavenderfold_store_calls",
            "Calls to the shared store by kind, purpose and result.",
            ["kind", "purpose", "result"],
            registry=self._registry,
        )
        self._watch_age = Gauge(
            "lavenderfold_watch_age_seconds",
            "Time since the last answer to a watch.",
            ["prefix"],
            registry=self._registry,
        )
        self._change_delay = Histogram(
            "lavenderfold_change_delay_seconds",
            "Upper bound of the age of changes when they were read.",
            ["prefix"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._admission_waits = Histogram(
            "lavenderfold_admission_wait_seconds",
            "Wait of requests that weren't admitted at once, by service and result.",
            ["service", "result"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._admission_refusals = Counter(
            "lavenderfold_admission_refusals",
            "Requests that weren't admitted to a service.",
            ["service", "priority", "organisation"],
            registry=self._registry,
        )
        self._congestion = Counter(
            "lavenderfold_congestion_signals",
            "Attempts that show that a service lacks room: rejected or slow.",
            ["service", "cause"],
            registry=self._registry,
        )
        self._admission = Gauge(
            "lavenderfold_admission",
            "Limit and use of a service in mean requests, and queued requests.",
            ["service", "part"],
            registry=self._registry,
        )
        self._active = Gauge(
            "lavenderfold_active_requests",
            "Requests in progress.",
            registry=self._registry,
        )
        self._incomplete_answers = Gauge(
            "lavenderfold_incomplete_answer_bytes",
            "Bytes of all answers that are kept until they are complete.",
            registry=self._registry,
        )
        self._held_memory = Gauge(
            "lavenderfold_held_bytes",
            "Bytes held for callers and targets (held) and their bound (limit).",
            ["state"],
            registry=self._registry,
        )
        self._uncounted_memory = Gauge(
            "lavenderfold_uncounted_bytes",
            "Resident memory of the process beyond what is held for callers.",
            registry=self._registry,
        )
        self._evicted = Gauge(
            "lavenderfold_evicted",
            "Requests and answers given up for memory since the start, by kind.",
            ["kind"],
            registry=self._registry,
        )
        self._states = Gauge(
            "lavenderfold_router_state",
            "Whether the router is ready, draining, isolated or overloaded.",
            ["state"],
            registry=self._registry,
        )
        self._log_lines_left_out = Gauge(
            "lavenderfold_log_lines_left_out",
            "Log lines left out since the start, to bound their volume.",
            registry=self._registry,
        )
        self._prompts = Gauge(
            "lavenderfold_prompts",
            "Sets of prompt parts that are suspected or quarantined after crashes.",
            ["verdict"],
            registry=self._registry,
        )
        self._crashes_on_record = Gauge(
            "lavenderfold_crashes_on_record",
            "Crashes of targets that were about to answer, as all routers share them.",
            registry=self._registry,
        )
        self._balance = Gauge(
            "lavenderfold_balance_tokens",
            "Balances as this router knows them.",
            ["organisation", "part"],
            registry=self._registry,
        )
        self._ledger_outage = Gauge(
            "lavenderfold_ledger_outage_seconds",
            "How long this router has been unable to write the ledger; 0 if it can.",
            registry=self._registry,
        )
        self._refused_in_outages = Gauge(
            "lavenderfold_refused_in_ledger_outages",
            "Requests since the start that were refused in outages of the ledger.",
            registry=self._registry,
        )
        self._config_version = Gauge(
            "lavenderfold_config_version",
            "Version of the configuration in force.",
            registry=self._registry,
        )

    def record_unread(self, wait_s: float) -> None:
        """Record how long a request may have waited before it was read."""
        self._unread_time.observe(wait_s)

    def record_attempt(self, outcome: str) -> None:
        self._attempts.labels(outcome).inc()

    def record_pause(self, value: str) -> None:
        """Count a pause in a target's answer by the kind of its value."""
        self._target_pauses.labels(value).inc()

    def record_invalid_answer(self, cause: str) -> None:
        self._invalid_answers.labels(cause).inc()

    def record_admission_wait(
        self, service: str, wait_s: float, *, is_admitted: bool
    ) -> None:
        """Record how long a request waited that wasn't admitted at once."""
        result = "admitted" if is_admitted else "refused"
        self._admission_waits.labels(service, result).observe(wait_s)

    def record_admission_refusal(
        self, service: str, priority: int, organisation: str
    ) -> None:
        """Count a request that wasn't admitted to a service."""
        self._admission_refusals.labels(service, str(priority), organisation).inc()

    def record_congestion(self, service: str, cause: str) -> None:
        """Count an attempt that was rejected or slow."""
        self._congestion.labels(service, cause).inc()

    def record_store_call(self, call: StoreCall) -> None:
        self._store_calls.labels(call.kind, call.purpose, call.result).inc()

    def record_change_delay(self, prefix: str, delay_s: float) -> None:
        self._change_delay.labels(prefix).observe(delay_s)

    def record_closed_connection(self, reason: CloseReason) -> None:
        self._closed_connections.labels(reason.value).inc()

    def record_request(
        self,
        end: str,
        *,
        answer: str,
        stream_ended_by: str | None,
        first_s: float | None,
        pause_s: float,
        total_s: float,
    ) -> None:
        """Record a request.

        ``first_s`` is None if nothing was relayed, and ``stream_ended_by`` if the
        caller of the request doesn't abandon streams.
        """
        self._requests.labels(end).inc()
        self._answers.labels(answer).inc()
        if stream_ended_by is not None:
            self._stream_ends.labels(stream_ended_by).inc()
        self._request_time.observe(total_s)
        if first_s is not None:
            self._first_byte_time.observe(first_s)
        if pause_s:
            self._longest_pause.observe(pause_s)

    def set_config_version(self, version: int) -> None:
        self._config_version.set(version)

    def render(self, snapshot: RouterSnapshot) -> bytes:
        """Return the metrics in the Prometheus text format."""
        for state in snapshot.balances:
            self._balance.labels(state.organisation, "granted").set(state.granted)
            self._balance.labels(state.organisation, "spent").set(state.spent)
            self._balance.labels(state.organisation, "reserved").set(state.reserved)
            if state.rest is not None:
                self._balance.labels(state.organisation, "rest").set(state.rest)
                self._balance.labels(state.organisation, "written_off").set(
                    state.written_off
                )
        for service, admission in snapshot.admission_by_service.items():
            self._admission.labels(service, "limit").set(admission.limit)
            self._admission.labels(service, "used").set(admission.used)
            self._admission.labels(service, "queued").set(admission.queued)
        for prefix, age_s in snapshot.watch_age_by_prefix.items():
            self._watch_age.labels(prefix).set(age_s)
        for name in ROUTER_STATES:
            self._states.labels(name).set(name in snapshot.states)
        for state, count in snapshot.targets_by_state.items():
            self._targets.labels(state).set(count)
        for service, spread in snapshot.send_spread_by_service.items():
            self._send_spread.labels(service).set(spread)
        quarantine = snapshot.quarantine
        self._prompts.labels("suspected").set(quarantine.suspected)
        self._prompts.labels("quarantined").set(quarantine.quarantined)
        self._crashes_on_record.set(quarantine.crashes)
        self._ledger_outage.set(snapshot.ledger_outage_s)
        self._refused_in_outages.set(snapshot.refused_in_outages)
        self._active.set(snapshot.active)
        self._longest_turn.set(snapshot.longest_turn_s)
        self._incomplete_answers.set(snapshot.incomplete_answer_bytes)
        self._held_memory.labels("held").set(snapshot.memory.held_bytes)
        if snapshot.memory.limit_bytes is not None:
            self._held_memory.labels("limit").set(snapshot.memory.limit_bytes)
        resident = resident_bytes()
        if resident is not None:
            self._uncounted_memory.set(resident - snapshot.memory.held_bytes)
        for kind, count in snapshot.memory.evicted_by_kind.items():
            self._evicted.labels(kind).set(count)
        self._log_lines_left_out.set(snapshot.log_lines_left_out)
        return generate_latest(self._registry)

    async def answer(
        self, snapshot: RouterSnapshot, _: HttpRequest, writer: ResponseWriter
    ) -> None:
        """Answer an HTTP request for the metrics."""
        headers = [("content-type", CONTENT_TYPE_LATEST)]
        body = self.render(snapshot)
        await writer.send(HttpResponse(status=200, headers=headers, body=body))
