"""What the agent knows about its target: health, models, rate and prefixes."""

from collections import OrderedDict

import msgspec

# A single lost probe is common under load; two in a row mean a fault.
FAILURES_FOR_UNHEALTHY = 2
PREFIXES_KEPT = 4096
PREFIXES_REPORTED = 256
PREFIX_REPORT_PERIOD_S = 5.0


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """The engine's own report, which lags."""

    tokens_per_s: float = 0.0
    models: list[str] = msgspec.field(default_factory=list)


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the engine's prefix cache."""

    sequence: int
    action: str
    prefix: int


class CacheEvents(msgspec.Struct, frozen=True):
    """The answer to a request for cache events."""

    events: list[CacheEvent]


class ObservedTarget:
    """The target as its probes show it. Prefixes are hints and may be stale."""

    def __init__(self, *, models: list[str]):
        self.healthy = False
        self.models = list(models)
        self.tokens_per_s = 0.0
        self.last_sequence = 0
        self._configured = list(models)
        self._failures = 0
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._prefixes_changed = False
        self._reported_at = float("-inf")

    def probe_succeeded(self, load: EngineLoad | None) -> None:
        self._failures = 0
        self.healthy = True
        if load is not None:
            self.models = load.models
            self.tokens_per_s = load.tokens_per_s

    def probe_failed(self) -> None:
        self._failures += 1
        if self._failures < FAILURES_FOR_UNHEALTHY:
            return
        self.healthy = False
        # A restarted engine numbers its events anew and has an empty cache.
        self.last_sequence = 0
        self._prefixes_changed = bool(self._prefixes)
        self._prefixes.clear()

    def serves(self, model: str) -> bool:
        """Return whether the target has a model; the engine's report may lag."""
        return model in self.models or model in self._configured

    def apply_cache_events(self, events: list[CacheEvent]) -> None:
        """Follow the engine's prefix cache."""
        for event in events:
            self.last_sequence = max(self.last_sequence, event.sequence)
            self._prefixes.pop(event.prefix, None)
            if event.action == "stored":
                self._prefixes[event.prefix] = None
            self._prefixes_changed = True
        while len(self._prefixes) > PREFIXES_KEPT:
            self._prefixes.popitem(last=False)

    def prefixes_to_report(self, *, now: float) -> list[int] | None:
        """Return the newest prefixes if they changed and a report is due."""
        due = now >= self._reported_at + PREFIX_REPORT_PERIOD_S
        if not (self._prefixes_changed and due):
            return None
        self._reported_at = now
        self._prefixes_changed = False
        return self.newest_prefixes()

    def newest_prefixes(self) -> list[int]:
        """Return the prefixes that were stored last."""
        return list(self._prefixes)[-PREFIXES_REPORTED:]
