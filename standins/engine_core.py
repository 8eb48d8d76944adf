"""State of the fake model engine: batching, prefix cache, load and cache events.

The code is synchronous and does no I/O: callers pass the current time in seconds,
and each call of ``Engine.step`` advances every running stream by one step.
"""

import itertools
from collections import Counter, OrderedDict, deque

import msgspec

from standins.texts import answer_length, answer_words, count_tokens, prefix_blocks

EVENTS_LIMIT = 4096
SNAPSHOTS_LIMIT = 4096
RATE_WINDOW_S = 1.0


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity and speed of the engine.

    A step takes ``step_s`` seconds. In each step, a running stream either reads
    ``prefill_tokens_per_step`` tokens of its prompt or produces
    ``tokens_per_step`` tokens of its answer. Every ``event_gap``-th cache event
    is dropped; 0 drops none.
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
    """A change of the prefix cache.

    ``prefix`` is the hash of the prompt up to the end of the block.
    """

    sequence: int
    action: str
    prefix: int


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The engine's load at one point in time."""

    running: int
    queued: int
    slots: int
    tokens_per_s: float
    models: list[str]


class PrefixCache:
    """LRU cache of the hashes of prompt prefixes, with a log of its changes."""

    def __init__(self, *, blocks_limit: int, event_gap: int):
        self._blocks_limit = blocks_limit
        self._event_gap = event_gap
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = itertools.count(1)
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=EVENTS_LIMIT)
        self.hit_blocks = 0

    def use(self, hashes: list[int], *, now: float) -> int:
        """Store a prompt's blocks; return how many leading ones were already cached."""
        hits = sum(1 for _ in itertools.takewhile(self._blocks.__contains__, hashes))
        self.hit_blocks += hits
        for block_hash in hashes:
            if block_hash not in self._blocks:
                self._emit_event("stored", block_hash, now)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self._blocks_limit:
            evicted, _ = self._blocks.popitem(last=False)
            self._emit_event("evicted", evicted, now)
        return hits

    def events(self, *, after: int, until: float) -> list[CacheEvent]:
        """Return the events up to time ``until`` with a sequence above ``after``."""
        return [
            event
            for time, event in self._events
            if time <= until and event.sequence > after
        ]

    def _emit_event(self, action: str, prefix: int, now: float) -> None:
        sequence = next(self._sequence)
        if self._event_gap and sequence % self._event_gap == 0:
            return
        self._events.append((now, CacheEvent(sequence, action, prefix)))


class Stream:
    """One request at the engine: its answer so far and the work left.

    ``length`` is the number of tokens of the whole answer.
    """

    __slots__ = (
        "request_id",
        "prompt",
        "priority",
        "length",
        "prefill_tokens_left",
        "words",
        "ended_at",
        "cancelled",
    )

    def __init__(self, *, request_id: str, prompt: str, max_tokens: int, priority: int):
        self.request_id = request_id
        self.prompt = prompt
        self.priority = priority
        self.length = answer_length(prompt, max_tokens)
        self.prefill_tokens_left = 0
        self.words: list[str] = []
        self.ended_at: float | None = None
        self.cancelled = False

    def advance(self, *, tokens: int, prefill_tokens: int) -> int:
        """Do one step and return the number of answer tokens produced."""
        if self.prefill_tokens_left > 0:
            self.prefill_tokens_left -= prefill_tokens
            return 0
        stop = min(len(self.words) + tokens, self.length)
        new_words = answer_words(self.prompt, len(self.words), stop)
        self.words += new_words
        return len(new_words)

    def word_index_at(self, offset: int) -> int | None:
        """Return the index of the word that starts ``offset`` bytes into the answer.

        Returns None if the offset is inside a word or beyond the answer so far.
        """
        end = 0
        for count, word in enumerate([*self.words, ""]):
            if end >= offset:
                return count if end == offset else None
            end += len(word.encode())
        return None

    @property
    def is_complete(self) -> bool:
        return len(self.words) >= self.length


class Engine:
    """Runs streams with continuous batching in a fixed number of slots.

    Streams wait in order of priority, lowest number first, and within a priority
    in order of arrival.
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
        self._tokens_produced: deque[tuple[float, int]] = deque()
        self._snapshots: deque[tuple[float, Load]] = deque(maxlen=SNAPSHOTS_LIMIT)
        self._record_load(now)

    @property
    def is_busy(self) -> bool:
        return bool(self._waiting or self._running)

    def submit(self, stream: Stream, *, now: float) -> None:
        """Queue a new stream."""
        self.stream_by_id[stream.request_id] = stream
        self._waiting.append(stream)
        self._waiting.sort(key=lambda waiting: waiting.priority)
        self._record_load(now)

    def cancel(self, request_id: str, *, now: float) -> bool:
        """Stop a stream and return whether the engine knows it."""
        stream = self.stream_by_id.get(request_id)
        if stream is None:
            return False
        if stream.ended_at is None:
            stream.cancelled = True
            self._end_stream(stream, now)
        return True

    def step(self, *, now: float) -> None:
        """Fill the slots and advance each running stream."""
        self._fill_slots(now)
        options = self.options
        produced = 0
        for stream in list(self._running):
            count = stream.advance(
                tokens=options.tokens_per_step,
                prefill_tokens=options.prefill_tokens_per_step,
            )
            self.tokens_by_id[stream.request_id] += count
            produced += count
            if stream.is_complete:
                self._end_stream(stream, now)
        self._tokens_produced.append((now, produced))
        self._remove_old_streams(now)
        self._record_load(now)

    def apply_order(self, *, fencing_token: int, action: str, model: str) -> bool:
        """Load or unload a model; return False for a stale fencing token."""
        is_stale = fencing_token < self._fencing_token
        if is_stale and self.options.check_fencing:
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
        self._record_load(now)
        for time, load in reversed(self._snapshots):
            if time <= now - lag_s:
                return load
        return self._snapshots[0][1]

    def _fill_slots(self, now: float) -> None:
        while self._waiting and len(self._running) < self.options.slots:
            stream = self._waiting.pop(0)
            hashes = prefix_blocks(stream.prompt)
            hits = self.cache.use(hashes, now=now)
            uncached_share = 1.0 - hits / len(hashes) if hashes else 1.0
            stream.prefill_tokens_left = int(
                count_tokens(stream.prompt) * uncached_share
            )
            self._running.append(stream)

    def _end_stream(self, stream: Stream, now: float) -> None:
        stream.ended_at = now
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)
        self._record_load(now)

    def _remove_old_streams(self, now: float) -> None:
        ended_before = now - self.options.retention_s
        while self.stream_by_id:
            stream = next(iter(self.stream_by_id.values()))
            if stream.ended_at is None or stream.ended_at > ended_before:
                return
            del self.stream_by_id[stream.request_id]

    def _record_load(self, now: float) -> None:
        while (
            self._tokens_produced and self._tokens_produced[0][0] < now - RATE_WINDOW_S
        ):
            self._tokens_produced.popleft()
        load = Load(
            running=len(self._running),
            queued=len(self._waiting),
            slots=self.options.slots,
            tokens_per_s=sum(count for _, count in self._tokens_produced)
            / RATE_WINDOW_S,
            models=list(self.models),
        )
        self._snapshots.append((now, load))
