"""Tests of the bound on the memory of incomplete answers."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from lavenderfold.direct._answer_memory import AnswerMemory, AnswerTooLongError
from lavenderfold.direct._events import EventSplitter, InvalidEventError

LIMIT_BYTES = 100


def test_longest_answer_is_dropped_and_others_go_on():
    """An ordinary answer must not fail because of one without an end."""
    memory = AnswerMemory(limit_bytes=LIMIT_BYTES)
    endless, ordinary = memory.open_buffer(), memory.open_buffer()
    endless.append(b"x" * 60)
    ordinary.append(b"y" * 50)
    assert ordinary.take(50) == b"y" * 50
    with pytest.raises(AnswerTooLongError):
        endless.append(b"x")
    assert memory.held_bytes == 0


def test_dropped_answer_is_never_taken_for_a_complete_one():
    """Its end may arrive after it was dropped; an empty body would look complete."""
    memory = AnswerMemory(limit_bytes=LIMIT_BYTES)
    dropped, other = memory.open_buffer(), memory.open_buffer()
    dropped.append(b"x" * 60)
    other.append(b"y" * 50)
    with pytest.raises(AnswerTooLongError):
        dropped.take(len(dropped))


def test_event_without_an_end_counts_towards_the_same_limit():
    """Many streams with events just below their own limit would fill the memory."""
    memory = AnswerMemory(limit_bytes=LIMIT_BYTES)
    endless = EventSplitter(buffer=memory.open_buffer())
    ordinary = EventSplitter(buffer=memory.open_buffer())
    endless.feed(b"data: " + b"x" * 60)
    assert ordinary.feed(b"data: " + b"y" * 50) is None
    with pytest.raises(InvalidEventError):
        endless.feed(b"x")
    assert ordinary.feed(b"\n\n").count == 1


class AnswerMemoryMachine(RuleBasedStateMachine):
    """Answers that grow, end and fail in any order."""

    buffers = Bundle("buffers")

    def __init__(self):
        super().__init__()
        self.memory = AnswerMemory(limit_bytes=LIMIT_BYTES)
        self.open = []

    @rule(target=buffers)
    def begin(self):
        buffer = self.memory.open_buffer()
        self.open.append(buffer)
        return buffer

    @rule(buffer=buffers, size=st.integers(0, 2 * LIMIT_BYTES))
    def grow(self, buffer, size):
        try:
            buffer.append(b"x" * size)
        except AnswerTooLongError:
            assert not len(buffer)

    @rule(buffer=buffers, size=st.integers(0, LIMIT_BYTES))
    def take(self, buffer, size):
        expected = bytes(buffer.data[:size])
        try:
            assert buffer.take(size) == expected
        except AnswerTooLongError:
            assert not len(buffer)

    @rule(buffer=consumes(buffers))
    def end(self, buffer):
        buffer.close()
        self.open.remove(buffer)

    @invariant()
    def sum_is_counted_and_bounded(self):
        assert self.memory.held_bytes == sum(map(len, self.open)) <= LIMIT_BYTES


TestAnswerMemoryMachine = AnswerMemoryMachine.TestCase
