"""Which prompt parts a series of crashes is explained by."""

from lavenderfold.quarantine import CrashKey, LostPrompt
from lavenderfold.quarantine._culprits import (
    EXPLAINED_RECORD_S,
    MAX_RECORDS,
    QUARANTINE_CRASHES,
    RECORD_S,
    SUSPECT_CRASHES,
    find_culprits,
    remove_stale_records,
)
from lavenderfold.quarantine._evidence import (
    CrashEvidence,
    CrashRecord,
    add_lost_prompt,
    remove_parts,
)
from tests.quarantine_support import EPOCH_S, evidence, record


def culprits(*records: CrashRecord, crashes: int = QUARANTINE_CRASHES) -> list[set]:
    found = find_culprits(evidence(*records), crashes=crashes)
    return [set(each.part_ids) for each in found]


def lost(
    number: int,
    prompt: str,
    *,
    is_begun: bool = False,
    earlier: tuple[int, ...] = (),
) -> LostPrompt:
    return LostPrompt(
        crash=CrashKey(f"t{number}", 1),
        at=EPOCH_S,
        part_ids=tuple(prompt.split()),
        is_begun=is_begun,
        earlier_crashes=frozenset(CrashKey(f"t{each}", 1) for each in earlier),
    )


def test_part_at_each_crash_is_told_from_what_was_lost_beside_it():
    """Guards against blaming a prompt that was only lost with its target."""
    records = (
        record(1, "a b bad", "a c"),
        record(2, "d e", "a b bad"),
        record(3, "a b bad", "a f"),
    )
    assert culprits(*records) == [{"a", "b", "bad"}]


def test_first_part_of_all_prompts_is_not_blamed_beside_a_more_specific_one():
    """Guards against refusing all requests that begin like the deadly ones."""
    records = [record(each, "a b bad", f"a c{each}") for each in range(5)]
    assert culprits(*records) == [{"a", "b", "bad"}]


def test_part_that_crashes_with_any_other_part_is_found_alone():
    records = [record(each, f"a{each} bad b{each}") for each in range(3)]
    assert culprits(*records) == [{"bad"}]


def test_two_parts_that_crash_targets_are_both_found():
    records = [record(each, "a bad") for each in range(3)]
    records += [record(each, "a worse") for each in range(3, 6)]
    assert sorted(map(sorted, culprits(*records))) == [["a", "bad"], ["a", "worse"]]


def test_quarantined_part_keeps_its_crashes_when_others_have_more():
    """Guards against releasing one deadly part when a second one is found."""
    records = [record(each, "a bad", "c d worse") for each in range(3)]
    records += [record(each, "c d worse") for each in range(3, 6)]
    known = [frozenset(("a", "bad"))]
    found = find_culprits(evidence(*records), crashes=3, known=known)
    assert [set(each.part_ids) for each in found] == [
        {"a", "bad"},
        {"c", "d", "worse"},
    ]


def test_crashes_long_apart_are_no_series():
    current = evidence()
    for number in range(4):
        now = EPOCH_S + number * RECORD_S
        current = remove_stale_records(current, now=now)
        crash = record(number, "rare", at=number * RECORD_S)
        current = evidence(*current.records, crash)
    assert culprits(*current.records, crashes=SUSPECT_CRASHES) == []


def test_prompt_whose_answer_had_begun_is_blamed_before_those_that_waited():
    """Guards against blaming prompts that the target hadn't come to."""
    current = add_lost_prompt(evidence(), lost(0, "waiting"))
    current = add_lost_prompt(current, lost(0, "bad", is_begun=True))
    current = add_lost_prompt(current, lost(0, "other"))
    assert current.records == (record(0, "bad", is_begun=True),)


def test_targets_that_lose_power_together_count_once():
    """Guards against blaming a popular prompt for the loss of a failure domain."""
    current = evidence()
    for number in range(5):
        current = add_lost_prompt(current, lost(number, "popular"))
    assert culprits(*current.records, crashes=SUSPECT_CRASHES) == []


def test_crash_after_an_earlier_one_was_known_counts():
    current = add_lost_prompt(evidence(), lost(0, "bad"))
    current = add_lost_prompt(current, lost(1, "bad", earlier=(0,)))
    current = add_lost_prompt(current, lost(2, "bad", earlier=(0, 1)))
    assert culprits(*current.records) == [{"bad"}]


def test_observations_of_several_routers_of_one_crash_are_one_record():
    first = add_lost_prompt(evidence(), lost(0, "a bad"))
    both = add_lost_prompt(first, lost(0, "c d"))
    assert len(both.records) == 1
    assert both.records[0].prompts == (("a", "bad"), ("c", "d"))
    assert add_lost_prompt(both, lost(0, "a bad")) == both


def test_answered_parts_leave_the_evidence():
    current = evidence(record(0, "a bad", "c"), record(1, "a"))
    assert remove_parts(current, frozenset("ac")) == evidence(record(0, "bad"))


def test_quarantine_outlasts_many_other_crashes():
    """Guards against forgetting a deadly part during a series of other crashes."""
    records = [record(each, "bad", at=each) for each in range(3)]
    records += [record(each, f"p{each}", at=10 + each) for each in range(10, 90)]
    kept = remove_stale_records(CrashEvidence(tuple(records)), now=EPOCH_S + 100)
    assert len(kept.records) <= MAX_RECORDS
    assert culprits(*kept.records) == [{"bad"}]


def test_stale_crashes_leave_the_evidence():
    records = [record(each, "bad", at=each) for each in range(3)]
    records.append(record(9, "other", at=5))
    later = EPOCH_S + RECORD_S + 10
    kept = remove_stale_records(evidence(*records), now=later)
    assert kept == evidence(*records[:3])
    much_later = EPOCH_S + EXPLAINED_RECORD_S + 10
    assert remove_stale_records(kept, now=much_later) == evidence()


def test_clock_that_is_far_ahead_does_not_prolong_a_quarantine():
    day_s = 86_400.0
    records = [record(each, "bad", at=day_s + each) for each in range(3)]
    assert remove_stale_records(evidence(*records), now=EPOCH_S) == evidence()
