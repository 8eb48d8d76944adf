"""Builders of crash evidence, and a router's quarantine with a clock of its own."""

from lavenderfold.quarantine import CrashKey, LostPrompt, PromptQuarantine, Verdict
from lavenderfold.quarantine._evidence import CrashEvidence, CrashRecord
from lavenderfold.quarantine._quarantine import SAME_MOMENT_S
from lavenderfold.timers import TimerService

EPOCH_S = 1_000_000.0


class FakeTimers(TimerService):
    """Timers whose two clocks are set by the test."""

    def __init__(self):
        self.elapsed_s = 0.0
        super().__init__(clock=lambda: self.elapsed_s)

    def unix_time(self) -> float:
        return EPOCH_S + self.elapsed_s


def record(
    number: int, *prompts: str, at: float = 0.0, is_begun: bool = False
) -> CrashRecord:
    """Return the crash of target ``number``; a prompt is a text such as "a b"."""
    return CrashRecord(
        target=f"t{number}",
        born=1,
        at=EPOCH_S + at,
        prompts=tuple(tuple(each.split()) for each in prompts),
        is_begun=is_begun,
    )


def evidence(*records: CrashRecord) -> CrashEvidence:
    return CrashEvidence(records)


class Router:
    """A quarantine with its clock, as one router has it."""

    def __init__(self):
        self.timers = FakeTimers()
        self.quarantine = PromptQuarantine(timers=self.timers)
        self.crashes = 0

    def wait(self, seconds: float) -> None:
        self.timers.elapsed_s += seconds

    def lose(self, *prompts: str) -> None:
        """Observe a crash, after all that was observed before."""
        self.wait(SAME_MOMENT_S + 0.01)
        earlier = self.quarantine.earlier_crashes(age_s=0.1)
        self.crashes += 1
        for prompt in prompts:
            self.quarantine.record_loss(
                LostPrompt(
                    crash=CrashKey(f"t{self.crashes}", 1),
                    at=self.timers.unix_time(),
                    part_ids=tuple(prompt.split()),
                    earlier_crashes=earlier,
                )
            )

    def answer(self, prompt: str) -> None:
        self.wait(0.01)
        self.quarantine.record_answer(tuple(prompt.split()))

    def verdict(self, prompt: str) -> Verdict:
        return self.quarantine.verdict(tuple(prompt.split()))
