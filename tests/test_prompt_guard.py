"""Evidence of crashing prompts that one agent-based router collects."""

from lavenderfold.quarantine._culprits import QUARANTINE_BASE_S, QUARANTINE_CRASHES
from lavenderfold.quarantine._quarantine import OBJECTION_S, SAME_MOMENT_S
from lavenderfold.router._prompt_guard import PromptGuard, prompt_part_ids
from lavenderfold.routing import PREFIX_BLOCKS_LIMIT, prefix_hashes
from tests.quarantine_support import FakeTimers

RUN_S = 0.05


def part_ids(text: str, *, model: str = "m") -> tuple[str, ...]:
    """Return the ids of a prompt whose words fill one block each."""
    words = [word for word in text.split() for _ in range(16)]
    return prompt_part_ids(model, prefix_hashes(" ".join(words)))


class Guarded:
    """A guard with its clock."""

    def __init__(self):
        self.timers = FakeTimers()
        self.guard = PromptGuard(timers=self.timers)

    def wait(self, seconds: float) -> None:
        self.timers.elapsed_s += seconds

    def lose(self, target: str, *prompts: str) -> None:
        """Lose runs that were sent together with the engine of a target."""
        self.wait(SAME_MOMENT_S + 0.01)
        sent_at = self.timers.now()
        self.wait(RUN_S)
        for prompt in prompts:
            self.guard.record_loss(part_ids(prompt), target=target, sent_at=sent_at)
            self.wait(0.001)

    def is_refused(self, prompt: str, **changes) -> bool:
        return self.guard.refusal(part_ids(prompt, **changes)) is not None


def test_repeated_crashes_of_one_engine_count_apart():
    """Guards against a fleet with few targets that crash for ever."""
    guarded = Guarded()
    for number in range(QUARANTINE_CRASHES):
        assert not guarded.is_refused("deadly x")
        guarded.lose("t0", f"deadly {number}")
    guarded.wait(OBJECTION_S + 0.01)
    assert guarded.is_refused("deadly x")
    assert not guarded.is_refused("sound x")


def test_runs_that_are_lost_with_one_engine_are_one_crash():
    """Guards against refusing a popular beginning because a full batch was lost."""
    guarded = Guarded()
    guarded.lose("t0", *[f"popular {number}" for number in range(8)])
    guarded.wait(OBJECTION_S + 0.01)
    assert not guarded.is_refused("popular x")
    assert guarded.guard.may_repeat(part_ids("popular x"))


def test_run_that_is_lost_late_belongs_to_the_crash_before():
    """Guards against two crashes for one if agents report its losses apart."""
    guarded = Guarded()
    sent_at = guarded.timers.now()
    for _ in range(QUARANTINE_CRASHES):
        guarded.wait(1.0)
        guarded.guard.record_loss(part_ids("slow x"), target="t0", sent_at=sent_at)
    guarded.wait(OBJECTION_S + 0.01)
    assert not guarded.is_refused("slow x")


def test_request_is_held_until_the_quarantine_is_decided():
    """Guards against a prompt that is refused before an answer to it can object."""
    guarded = Guarded()
    for number in range(QUARANTINE_CRASHES):
        guarded.lose(f"t{number}", f"deadly {number}")
    ids = part_ids("deadly x")
    assert guarded.guard.decision_wait_s(ids) > 0
    assert not guarded.guard.may_send(ids)
    assert not guarded.is_refused("deadly x")
    guarded.guard.record_answer(part_ids("deadly y"))
    assert guarded.guard.may_send(ids)


def test_prompt_of_another_model_is_not_refused():
    """Guards against refusing a model's prompts for the crashes of another one."""
    guarded = Guarded()
    for number in range(QUARANTINE_CRASHES):
        guarded.lose(f"t{number}", f"deadly {number}")
    guarded.wait(OBJECTION_S + 0.01)
    assert guarded.is_refused("deadly x")
    assert not guarded.is_refused("deadly x", model="other")


def test_quarantine_ends_and_one_more_crash_renews_it():
    """Guards against refusing prompts for ever, and against a new row of crashes."""
    guarded = Guarded()
    for number in range(QUARANTINE_CRASHES):
        guarded.lose(f"t{number}", f"deadly {number}")
    guarded.wait(QUARANTINE_BASE_S + 1.0)
    assert not guarded.is_refused("deadly x")
    assert not guarded.guard.may_repeat(part_ids("deadly x"))
    guarded.lose("t0", "deadly x")
    guarded.wait(OBJECTION_S + 0.01)
    assert guarded.is_refused("deadly x")


def test_answered_part_can_be_blamed_later():
    """Guards against an answer that protects a prompt for ever.

    Engines are replaced, and a prompt that was sound may crash the new version.
    """
    guarded = Guarded()
    for number in range(QUARANTINE_CRASHES):
        guarded.lose(f"t{number}", f"deadly {number}")
    guarded.guard.record_answer(part_ids("deadly x"))
    assert guarded.guard.may_repeat(part_ids("deadly x"))
    for number in range(QUARANTINE_CRASHES):
        guarded.lose(f"t{number}", f"deadly {number}")
    guarded.wait(OBJECTION_S + 0.01)
    assert guarded.is_refused("deadly x")


def test_long_prompts_have_few_parts_of_all_lengths():
    """Guards against crashes of long prompts that take a second to judge."""
    hashes = list(range(PREFIX_BLOCKS_LIMIT))
    ids = prompt_part_ids("m", hashes)
    lengths = [int(each.partition(":")[2], 16) + 1 for each in ids]
    assert len(lengths) < 30
    assert lengths[0] == 1
    assert lengths[-1] == PREFIX_BLOCKS_LIMIT
    for shorter, longer in zip(lengths, lengths[1:], strict=False):
        assert longer <= max(shorter + 1, shorter * 1.25)
    assert prompt_part_ids("m", []) == ()
