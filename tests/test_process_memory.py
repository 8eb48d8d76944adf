"""Tests of what is given up when a process holds as much as it may."""

import pytest

from lavenderfold.process_memory import (
    MIB,
    REST_BYTES,
    OutOfMemoryError,
    ProcessMemory,
    held_limit,
)

LIMIT_BYTES = 10 * MIB


class Holder:
    """A share whose eviction is noted."""

    def __init__(self, memory: ProcessMemory, *, is_evictable: bool = True):
        self.is_evicted = False
        self.share = memory.open_share("request", self.evict)
        self.share.is_evictable = is_evictable

    def evict(self) -> None:
        self.is_evicted = True


def test_stalled_request_goes_before_a_larger_one_that_goes_on():
    """A crowd that stops short must not cost those that still send."""
    memory = ProcessMemory(limit_bytes=LIMIT_BYTES)
    stalled, larger, ordinary = (Holder(memory) for _ in range(3))
    stalled.share.add(2 * MIB, now=0.0)
    larger.share.add(6 * MIB, now=5.0)
    ordinary.share.add(1000, now=5.0)
    larger.share.add(MIB, now=5.0)
    assert (stalled.is_evicted, larger.is_evicted) == (True, False)
    assert memory.held_bytes == 7 * MIB + 1000


def test_small_request_is_admitted_beside_large_ones_that_are_served():
    """Bodies of requests in progress can't be given up, and must leave some room."""
    memory = ProcessMemory(limit_bytes=LIMIT_BYTES)
    served = Holder(memory, is_evictable=False)
    served.share.add(8 * MIB, now=0.0)
    large, small = Holder(memory), Holder(memory)
    with pytest.raises(OutOfMemoryError):
        large.share.add(MIB, now=1.0)
    small.share.add(1000, now=1.0)
    assert not (served.is_evicted or small.is_evicted)


def test_evicted_share_counts_nothing_more():
    """Bytes counted twice as freed would let others exceed the bound."""
    memory = ProcessMemory(limit_bytes=LIMIT_BYTES)
    holder = Holder(memory)
    with pytest.raises(OutOfMemoryError):
        holder.share.add(2 * LIMIT_BYTES, now=0.0)
    with pytest.raises(OutOfMemoryError):
        holder.share.add(1, now=0.0)
    holder.share.close()
    assert memory.held_bytes == 0


def test_bound_leaves_what_the_process_needs_at_rest():
    """Without a limit in the settings nothing may change."""
    assert held_limit(None) is None
    assert held_limit(300 * MIB) < 300 * MIB - REST_BYTES
    unbounded = ProcessMemory()
    Holder(unbounded).share.add(1000 * MIB, now=0.0)
    assert unbounded.held_bytes == 1000 * MIB
