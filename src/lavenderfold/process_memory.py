"""The bytes that a process holds for its callers and targets together.

They are counted before they are kept. Beyond the bound, shares that make no progress
are evicted first, so that many unfinished requests leave memory for ordinary ones.
"""

import ctypes
import resource
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec

MIB = 1024 * 1024
# Reserved for the rest of the process: 36 to 39 MB without callers, and large tables.
REST_BYTES = 48 * MIB
# The part of the remaining memory that may be held. The allocator keeps some of what
# is freed, bytes are copied in parts, and the system queues some. With 0.6, a router
# with a limit of 300 MB reaches 267 MB with 1,000 unfinished requests.
HELD_FRACTION = 0.5
SMALLEST_LIMIT_BYTES = 4 * MIB
# Requests and answers up to this size may use the whole bound, longer ones only a part.
SMALL_BYTES = 64 * 1024
LARGE_FRACTION = 0.85
# A share that has made no progress for this long goes first if it holds this much.
STALLED_S = 0.25
STALLED_BYTES = 16 * 1024
ALL_ANSWERS_BYTES_LIMIT = 48 * MIB
# glibc's parameter for the mmap threshold, and its initial value. glibc raises it up to
# 32 MB when long buffers are freed. It then allocates such buffers in its heap, where
# the memory of freed ones can't always be returned to the system.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 128 * 1024


# Sizes of this process in pages, the resident one second (proc(5)).
STATM_PATH = Path("/proc/self/statm")


class OutOfMemoryError(Exception):
    """A share was given up, or more than its memory allows was asked for."""


class MemoryUse(msgspec.Struct, frozen=True, kw_only=True):
    """The bytes held, their bound (None without one), and the shares given up.

    ``evicted_by_kind`` counts these by their kind.
    """

    held_bytes: int
    limit_bytes: int | None
    evicted_by_kind: dict[str, int]


class MemoryShare:
    """The bytes held for one connection or one answer.

    While ``is_evictable`` is set, ``on_evicted`` may be called, once; it frees all but
    ``rest_bytes`` of the bytes and must not block. The rest is counted until the share
    is closed. ``progressed_at`` is when the share last changed.
    """

    __slots__ = (
        "kind",
        "held_bytes",
        "rest_bytes",
        "progressed_at",
        "is_evictable",
        "is_evicted",
        "on_evicted",
        "_memory",
    )

    def __init__(
        self,
        *,
        memory: "ProcessMemory",
        kind: str,
        on_evicted: Callable[[], None],
        rest_bytes: int,
    ):
        self.kind = kind
        self.held_bytes = 0
        self.rest_bytes = rest_bytes
        self.progressed_at = 0.0
        self.is_evictable = True
        self.is_evicted = False
        self.on_evicted = on_evicted
        self._memory = memory

    def add(self, added_bytes: int, *, now: float) -> None:
        """Count bytes that are about to be kept.

        Raises OutOfMemoryError if the share was or is given up, or nothing can be
        given up for it.
        """
        if self.is_evicted:
            raise OutOfMemoryError(f"{self.kind} was given up")
        self.progressed_at = now
        self._memory._add(self, added_bytes, now=now)

    def set(self, held_bytes: int) -> None:
        """Replace the count by a lower one."""
        if not self.is_evicted:
            self._memory._remove(self, self.held_bytes - held_bytes)

    def close(self) -> None:
        """Count the share's bytes as freed."""
        self._memory._remove(self, self.held_bytes)
        self._memory._shares.discard(self)
        # A callback of the owner would keep it alive until the garbage collector runs.
        self.on_evicted = _ignore_eviction


class ProcessMemory:
    """The sum of all shares, kept within ``limit_bytes``; None bounds only answers.

    Answers together are also bounded by ``answers_limit_bytes``. Times are
    arguments, in seconds of a monotonic clock.
    """

    def __init__(
        self,
        *,
        limit_bytes: int | None = None,
        answers_limit_bytes: int = ALL_ANSWERS_BYTES_LIMIT,
    ):
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._answers_limit_bytes = answers_limit_bytes
        self._shares: set[MemoryShare] = set()
        self._held_by_kind: Counter[str] = Counter()
        self._evicted_by_kind: Counter[str] = Counter()

    @property
    def is_bounded(self) -> bool:
        """Whether there is a bound for requests as well."""
        return self._limit_bytes is not None

    def held_by(self, kind: str) -> int:
        """Return the bytes of all shares of a kind."""
        return self._held_by_kind[kind]

    def use(self) -> MemoryUse:
        """Return the current use."""
        return MemoryUse(
            held_bytes=self.held_bytes,
            limit_bytes=self._limit_bytes,
            evicted_by_kind=dict(self._evicted_by_kind),
        )

    def open_share(
        self, kind: str, on_evicted: Callable[[], None], *, rest_bytes: int = 0
    ) -> MemoryShare:
        """Return an empty share, to be closed when its bytes have been freed."""
        share = MemoryShare(
            memory=self, kind=kind, on_evicted=on_evicted, rest_bytes=rest_bytes
        )
        self._shares.add(share)
        return share

    def _add(self, share: MemoryShare, added_bytes: int, *, now: float) -> None:
        share.held_bytes += added_bytes
        self.held_bytes += added_bytes
        self._held_by_kind[share.kind] += added_bytes
        if share.kind == "answer":
            self._bound_answers()
        if self._limit_bytes is not None:
            self._bound_all(share, now)
        if share.is_evicted:
            raise OutOfMemoryError(f"{share.kind} took too much memory")

    def _remove(self, share: MemoryShare, removed_bytes: int) -> None:
        share.held_bytes -= removed_bytes
        self.held_bytes -= removed_bytes
        self._held_by_kind[share.kind] -= removed_bytes

    def _bound_answers(self) -> None:
        while self._held_by_kind["answer"] > self._answers_limit_bytes:
            answers = (
                each
                for each in self._shares
                if each.kind == "answer" and not each.is_evicted
            )
            self._evict(max(answers, key=_held_bytes))

    def _bound_all(self, share: MemoryShare, now: float) -> None:
        is_large = share.held_bytes > SMALL_BYTES
        limit_bytes = self._limit_bytes * (LARGE_FRACTION if is_large else 1.0)
        while self.held_bytes > limit_bytes and not share.is_evicted:
            victim = choose_victim(self._shares, now=now)
            self._evict(share if victim is None else victim)

    def _evict(self, share: MemoryShare) -> None:
        share.is_evicted = True
        self._evicted_by_kind[share.kind] += 1
        share.on_evicted()
        self._remove(share, max(0, share.held_bytes - share.rest_bytes))


def _ignore_eviction() -> None:
    """Free nothing: the share is closed."""


def _held_bytes(share: MemoryShare) -> int:
    return share.held_bytes


def choose_victim(shares: set[MemoryShare], *, now: float) -> MemoryShare | None:
    """Return the share to give up: the longest stalled one, else the largest."""
    evictable = [
        each
        for each in shares
        if each.is_evictable
        and not each.is_evicted
        and each.held_bytes > each.rest_bytes
    ]
    stalled = [
        each
        for each in evictable
        if each.held_bytes >= STALLED_BYTES and now - each.progressed_at >= STALLED_S
    ]
    if stalled:
        return min(stalled, key=lambda each: each.progressed_at)
    return max(evictable, key=_held_bytes, default=None)


def return_freed_buffers() -> bool:
    """Have the allocator return long buffers to the system when they are freed.

    Returns False if the system's allocator has no such setting.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) == 1


def resident_bytes() -> int | None:
    """Return the resident memory of this process, None where the system tells none."""
    try:
        _, resident_pages, _ = STATM_PATH.read_text().split(maxsplit=2)
    except OSError:
        return None
    return int(resident_pages) * resource.getpagesize()


def held_limit(memory_limit_bytes: int | None) -> int | None:
    """Return how much a process with this limit may hold; None is no bound."""
    if memory_limit_bytes is None:
        return None
    held_bytes = int(HELD_FRACTION * (memory_limit_bytes - REST_BYTES))
    return max(SMALLEST_LIMIT_BYTES, held_bytes)
