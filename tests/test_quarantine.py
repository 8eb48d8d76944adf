"""A router's verdicts on prompts, without network."""

from lavenderfold.quarantine import Verdict
from lavenderfold.quarantine._culprits import QUARANTINE_BASE_S, QUARANTINE_LIMIT_S
from lavenderfold.quarantine._quarantine import OBJECTION_S
from tests.quarantine_support import Router, evidence, record


def test_part_is_suspected_after_two_crashes_and_quarantined_after_three():
    router = Router()
    router.lose("a bad")
    assert router.verdict("a bad") is Verdict.SOUND
    router.lose("a bad")
    assert router.verdict("a bad") is Verdict.SUSPECTED
    router.lose("a bad")
    assert router.quarantine.decision_wait_s(("a", "bad")) > 0
    router.wait(OBJECTION_S)
    assert router.verdict("a bad") is Verdict.QUARANTINED
    assert router.quarantine.decision_wait_s(("a", "bad")) == 0
    assert router.quarantine.remaining_s(("a", "bad")) > QUARANTINE_BASE_S - 1
    assert router.verdict("a c") is Verdict.SOUND
    assert router.verdict("") is Verdict.SOUND


def test_held_request_is_refused_when_its_wait_ends():
    """Guards against letting it pass because its wait ended a moment early."""
    router = Router()
    router.wait(0.1)
    for _ in range(3):
        router.lose("bad")
    wait_s = router.quarantine.decision_wait_s(("bad",))
    router.wait(wait_s - 1e-9)
    assert router.verdict("bad") is Verdict.QUARANTINED


def test_first_guess_yields_to_what_other_routers_saw_of_the_same_crashes():
    """Guards against blaming a bystander that this router happened to lose itself."""
    router = Router()
    for _ in range(3):
        router.lose("popular rare")
    deadly = [record(each, f"popular rare{each} bad") for each in range(1, 4)]
    router.quarantine.drop_pending(router.quarantine.pending)
    bystanders = [record(4, "popular rare"), record(5, "popular rare")]
    router.quarantine.install(evidence(*deadly, *bystanders))
    router.wait(OBJECTION_S)
    assert router.verdict("popular x bad") is Verdict.QUARANTINED
    assert router.verdict("popular rare") is not Verdict.QUARANTINED


def test_part_that_was_answered_between_crashes_is_sound():
    """Guards against refusing a popular prompt while targets crash for other causes."""
    router = Router()
    for _ in range(5):
        router.lose("popular rare")
        router.answer("popular other")
    router.wait(OBJECTION_S)
    assert router.verdict("popular other") is Verdict.SOUND
    assert router.verdict("popular rare") is Verdict.QUARANTINED


def test_answer_from_before_the_first_crash_proves_nothing():
    """Guards against trusting a part that became deadly with a new release."""
    router = Router()
    router.answer("bad")
    for _ in range(3):
        router.lose("bad")
    router.wait(OBJECTION_S)
    assert router.verdict("bad") is Verdict.QUARANTINED


def test_other_routers_may_object_before_requests_are_refused():
    """Guards against refusing what another router has just seen answered."""
    router = Router()
    for _ in range(3):
        router.lose("popular")
    router.quarantine.install(evidence())
    router.quarantine.drop_pending(router.quarantine.pending)
    router.quarantine.install(evidence())
    router.wait(OBJECTION_S)
    assert router.verdict("popular") is Verdict.SOUND


def test_quarantine_known_at_a_start_holds_at_once():
    """Guards against a restarted router that lets the part pass once more."""
    router = Router()
    known = evidence(*[record(each, "a bad") for each in range(3)])
    router.quarantine.install(known, is_first=True)
    assert router.verdict("a bad") is Verdict.QUARANTINED


def test_quarantine_goes_on_when_the_set_of_parts_shrinks():
    router = Router()
    for _ in range(3):
        router.lose("a b bad")
    router.wait(OBJECTION_S)
    router.answer("a b")
    assert router.verdict("a b") is Verdict.SOUND
    assert router.verdict("c bad") is Verdict.QUARANTINED


def test_one_crash_after_a_quarantine_starts_a_longer_one():
    """Guards against a deadly part that crashes three targets after each quarantine."""
    router = Router()
    for _ in range(3):
        router.lose("bad")
    router.wait(QUARANTINE_BASE_S)
    assert router.verdict("bad") is Verdict.SUSPECTED
    assert router.quarantine.snapshot().suspected == 1
    assert router.quarantine.snapshot().quarantined == 0
    router.lose("bad")
    router.wait(OBJECTION_S)
    assert router.verdict("bad") is Verdict.QUARANTINED
    assert router.quarantine.snapshot().quarantined == 1
    assert router.quarantine.remaining_s(("bad",)) > 2 * QUARANTINE_BASE_S - 1
    for _ in range(9):
        router.lose("bad")
    assert router.quarantine.remaining_s(("bad",)) <= QUARANTINE_LIMIT_S


def test_answer_after_a_quarantine_ends_the_suspicion():
    """Guards against a fixed target whose callers stay refused."""
    router = Router()
    for _ in range(3):
        router.lose("bad")
    router.wait(QUARANTINE_BASE_S)
    router.answer("bad")
    assert router.verdict("bad") is Verdict.SOUND
    assert router.quarantine.snapshot().suspected == 0
