"""The target's health, models, token rate and cached prefixes, as probes report."""

from collections import OrderedDict

import msgspec

# A single lost probe is common under load; two in a row indicate a fault.
UNHEALTHY_AFTER_FAILURES = 2
MAX_PREFIXES = 4096
MAX_REPORTED_PREFIXES = 256
PREFIX_REPORT_PERIOD_S = 5.0


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """The engine's own load report, which lags behind its actual load."""

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
    """What the probes of a target have shown so far.

    The cached prefixes are hints and may be stale.
    """

    def __init__(self, *, models: list[str]):
        self.is_healthy = False
        self.models = list(models)
        self.tokens_per_s = 0.0
        self.last_sequence = 0
        self._configured_models = list(models)
        self._consecutive_failures = 0
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._prefixes_changed = False
        self._prefixes_reported_at = float("-inf")

    def probe_succeeded(self, load: EngineLoad | None) -> None:
        self._consecutive_failures = 0
        self.is_healthy = True
        if load is not None:
            self.models = load.models
            self.tokens_per_s = load.tokens_per_s

    def probe_failed(self) -> None:
        self._consecutive_failures += 1
        if self._consecutive_failures < UNHEALTHY_AFTER_FAILURES:
            return
        self.is_healthy = False
        # The engine may have restarted. It then numbers its events from the start
        # again and its cache is empty.
        self.last_sequence = 0
        self._prefixes_changed = bool(self._prefixes)
        self._prefixes.clear()

    def serves(self, model: str) -> bool:
        """Return whether the target serves a model.

        Configured models count too, because the engine's report may lag.
        """
        return model in self.models or model in self._configured_models

    def apply_cache_events(self, events: list[CacheEvent]) -> None:
        """Apply changes of the engine's prefix cache."""
        for event in events:
            self.last_sequence = max(self.last_sequence, event.sequence)
            self._prefixes.pop(event.prefix, None)
            if event.action == "stored":
                self._prefixes[event.prefix] = None
            self._prefixes_changed = True
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def prefixes_to_report(self, *, now: float) -> list[int] | None:
        """Return the newest prefixes if they changed and a report of them is due."""
        is_due = now >= self._prefixes_reported_at + PREFIX_REPORT_PERIOD_S
        if not (self._prefixes_changed and is_due):
            return None
        self._prefixes_reported_at = now
        self._prefixes_changed = False
        return self.newest_prefixes()

    def newest_prefixes(self) -> list[int]:
        """Return up to ``MAX_REPORTED_PREFIXES`` prefixes, those stored last."""
        return list(self._prefixes)[-MAX_REPORTED_PREFIXES:]
