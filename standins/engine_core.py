"""The fake model engine's decisions: batching, prefix cache, load, events.

Plain synchronous code: the time is an argument, and ``step`` advances every
running stream by one step.
"""

import itertools
from collections import Counter, OrderedDict, deque

import msgspec

from standins.texts import answer_length, answer_words, count_tokens, prefix_blocks

EVENTS_KEPT = 4096
SNAPSHOTS_KEPT = 4096
RATE_WINDOW_S = 1.0


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How large and how fast the engine is.

    A step takes ``step_s`` and gives each running stream ``tokens_per_step``
    tokens or ``prefill_tokens_per_step`` tokens of its prompt. Every
    ``event_gap``-th cache event is lost; 0 loses none.
    """

    models: tuple[str, ...] = ("quick", "summary")
    slots: int = 8
    step_s: float = 0.02
    tokens_per_step: int = 1
    prefill_tokens_per_step: int = 400
    cache_blocks: int = 512
    report_lag_s: float = 0.5
    event_lag_s: float = 1.0
    event_gap: int = 7
    check_fencing: bool = True
    retention_s: float = 600.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the prefix cache; ``prefix`` is the hash of leading blocks."""

    sequence: int
    action: str
    prefix: int


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The engine's load at one moment."""

    running: int
    queued: int
    slots: int
    tokens_per_s: float
    models: list[str]


class PrefixCache:
    """Hashes of leading prompt blocks under a limit, least recently used first."""

    def __init__(self, *, blocks_limit: int, event_gap: int):
        self._blocks_limit = blocks_limit
        self._event_gap = event_gap
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = itertools.count(1)
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=EVENTS_KEPT)
        self.hit_blocks = 0

    def use(self, hashes: list[int], *, now: float) -> int:
        """Store a prompt's blocks; return how many leading ones were cached."""
        hits = sum(1 for _ in itertools.takewhile(self._blocks.__contains__, hashes))
        self.hit_blocks += hits
        for value in hashes:
            if value not in self._blocks:
                self._emit("stored", value, now)
            self._blocks[value] = None
            self._blocks.move_to_end(value)
        while len(self._blocks) > self._blocks_limit:
            evicted, _ = self._blocks.popitem(last=False)
            self._emit("evicted", evicted, now)
        return hits

    def events(self, *, after: int, until: float) -> list[CacheEvent]:
        """Return the events up to a time whose sequence exceeds ``after``."""
        return [
            event
            for time, event in self._events
            if time <= until and event.sequence > after
        ]

    def _emit(self, action: str, prefix: int, now: float) -> None:
        sequence = next(self._sequence)
        if self._event_gap and sequence % self._event_gap == 0:
            return
        self._events.append((now, CacheEvent(sequence, action, prefix)))


class Stream:
    """One request at the engine: its answer so far and what remains to do."""

    __slots__ = (
        "request_id",
        "prompt",
        "priority",
        "length",
        "prefill",
        "words",
        "ended_at",
        "cancelled",
    )

    def __init__(self, *, request_id: str, prompt: str, max_tokens: int, priority: int):
        self.request_id = request_id
        self.prompt = prompt
        self.priority = priority
        self.length = answer_length(prompt, max_tokens)
        self.prefill = 0
        self.words: list[str] = []
        self.ended_at: float | None = None
        self.cancelled = False

    def advance(self, *, tokens: int, prefill: int) -> int:
        """Do one step; return the number of tokens produced."""
        if self.prefill > 0:
            self.prefill -= prefill
            return 0
        stop = min(len(self.words) + tokens, self.length)
        new_words = answer_words(self.prompt, len(self.words), stop)
        self.words += new_words
        return len(new_words)

    def position(self, offset: int) -> int | None:
        """Return how many words end at ``offset`` bytes; None inside a word."""
        end = 0
        for count, word in enumerate([*self.words, ""]):
            if end >= offset:
                return count if end == offset else None
            end += len(word.encode())
        return None

    @property
    def complete(self) -> bool:
        return len(self.words) >= self.length


class Engine:
    """Continuous batching over a fixed number of slots.

    Streams wait by priority, lowest number first, then by age.
    """

    def __init__(self, *, options: EngineOptions, now: float):
        self.options = options
        self.models = list(options.models)
        self.cache = PrefixCache(
            blocks_limit=options.cache_blocks, event_gap=options.event_gap
        )
        self.stream_by_id: dict[str, Stream] = {}
        self.tokens_by_id: Counter[str] = Counter()
        self.orders: list[dict] = []
        self._waiting: list[Stream] = []
        self._running: list[Stream] = []
        self._fencing_token = 0
        self._produced: deque[tuple[float, int]] = deque()
        self._snapshots: deque[tuple[float, Load]] = deque(maxlen=SNAPSHOTS_KEPT)
        self._record(now)

    @property
    def busy(self) -> bool:
        return bool(self._waiting or self._running)

    def submit(self, stream: Stream, *, now: float) -> None:
        """Queue a new stream."""
        self.stream_by_id[stream.request_id] = stream
        self._waiting.append(stream)
        self._waiting.sort(key=lambda waiting: waiting.priority)
        self._record(now)

    def cancel(self, request_id: str, *, now: float) -> bool:
        """Stop a stream; return whether it was known."""
        stream = self.stream_by_id.get(request_id)
        if stream is None:
            return False
        if stream.ended_at is None:
            stream.cancelled = True
            self._end(stream, now)
        return True

    def step(self, *, now: float) -> None:
        """Fill the slots and advance each running stream."""
        self._fill_slots(now)
        options = self.options
        produced = 0
        for stream in list(self._running):
            count = stream.advance(
                tokens=options.tokens_per_step, prefill=options.prefill_tokens_per_step
            )
            self.tokens_by_id[stream.request_id] += count
            produced += count
            if stream.complete:
                self._end(stream, now)
        self._produced.append((now, produced))
        self._forget(now)
        self._record(now)

    def order(self, *, fencing_token: int, action: str, model: str) -> bool:
        """Load or unload a model; return False for a stale fencing token."""
        stale = fencing_token < self._fencing_token
        if stale and self.options.check_fencing:
            return False
        self._fencing_token = max(self._fencing_token, fencing_token)
        self.orders.append(
            {"fencing_token": fencing_token, "action": action, "model": model}
        )
        if action == "load" and model not in self.models:
            self.models.append(model)
        if action == "unload" and model in self.models:
            self.models.remove(model)
        return True

    def load(self, *, now: float, lag_s: float) -> Load:
        """Return the newest load that is at least ``lag_s`` old."""
        self._record(now)
        for time, load in reversed(self._snapshots):
            if time <= now - lag_s:
                return load
        return self._snapshots[0][1]

    def _fill_slots(self, now: float) -> None:
        while self._waiting and len(self._running) < self.options.slots:
            stream = self._waiting.pop(0)
            hashes = prefix_blocks(stream.prompt)
            hits = self.cache.use(hashes, now=now)
            share = 1.0 - hits / len(hashes) if hashes else 1.0
            stream.prefill = int(count_tokens(stream.prompt) * share)
            self._running.append(stream)

    def _end(self, stream: Stream, now: float) -> None:
        stream.ended_at = now
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)
        self._record(now)

    def _forget(self, now: float) -> None:
        oldest = now - self.options.retention_s
        while self.stream_by_id:
            stream = next(iter(self.stream_by_id.values()))
            if stream.ended_at is None or stream.ended_at > oldest:
                return
            del self.stream_by_id[stream.request_id]

    def _record(self, now: float) -> None:
        while self._produced and self._produced[0][0] < now - RATE_WINDOW_S:
            self._produced.popleft()
        load = Load(
            running=len(self._running),
            queued=len(self._waiting),
            slots=self.options.slots,
            tokens_per_s=sum(count for _, count in self._produced) / RATE_WINDOW_S,
            models=list(self.models),
        )
        self._snapshots.append((now, load))
