"""Which arrivals of bytes show that a target never completes its answer."""

from lavenderfold.direct._part_progress import PARTS_LIMIT_S, PartProgress


def test_parts_that_go_on_arriving_are_stalled_until_they_are_complete():
    """Guards against an answer that was completed in the end and counts as a fault."""
    progress = PartProgress()
    progress.record_part(now=1.0)
    assert not progress.is_stalled
    progress.record_part(now=1.0 + PARTS_LIMIT_S)
    assert progress.is_stalled
    progress.record_whole()
    assert not progress.is_stalled


def test_each_head_or_event_has_the_whole_limit():
    """Guards against faults of long streams whose events arrive in parts."""
    progress = PartProgress()
    for number in range(10):
        start = number * PARTS_LIMIT_S
        progress.record_part(now=start)
        progress.record_part(now=start + 0.9 * PARTS_LIMIT_S)
        assert not progress.is_stalled
        progress.record_whole()


def test_pause_after_one_part_is_not_stalled():
    """Guards against ejecting targets that fall silent for a moment and go on."""
    progress = PartProgress()
    progress.record_part(now=1.0)
    progress.record_part(now=1.01)
    assert not progress.is_stalled
