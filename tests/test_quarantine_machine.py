"""A fleet of routers under crashes of any cause, as a Hypothesis state machine."""

import math

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lavenderfold.quarantine import CrashKey, LostPrompt, PromptQuarantine, Verdict
from lavenderfold.quarantine._evidence import CrashEvidence
from lavenderfold.quarantine._quarantine import SAME_MOMENT_S
from tests.quarantine_support import FakeTimers

ROUTERS = 3
DEADLY = "deadly"
PREFIXES = ("a", "b")
SUBJECTS = tuple(f"s{number}" for number in range(8))
# How many requests with the part may reach targets after its fifth crash, sent by
# routers that are in touch: for CONNECTIVITY_S before, they ran, the store was up,
# and the fifth crash was over.
LATE_ARRIVALS_LIMIT = 3
CRASHES = 5
CONNECTIVITY_S = 4.0

routers = st.integers(0, ROUTERS - 1)
prompts = st.tuples(st.sampled_from(PREFIXES), st.sampled_from(SUBJECTS))


class QuarantineMachine(RuleBasedStateMachine):
    """Routers send sound and deadly prompts; the store carries their evidence.

    Sound requests are answered unless their target crashes.
    """

    @initialize()
    def start(self):
        self.timers = FakeTimers()
        self.shared = CrashEvidence()
        self.routers = [PromptQuarantine(timers=self.timers) for _ in range(ROUTERS)]
        self.crashes = 0
        self.deadly_crashes = 0
        self.late_arrivals = 0
        self.is_store_up = True
        self.fifth_crash_at = math.inf
        self.store_started_at = 0.0
        self.started_at = [0.0] * ROUTERS

    def advance(self, seconds: float) -> None:
        self.timers.elapsed_s += seconds

    def is_late(self, router: int) -> bool:
        """Return whether a router that is in touch knows of the fifth crash."""
        since = max(self.fifth_crash_at, self.store_started_at, self.started_at[router])
        return self.is_store_up and self.timers.now() - since >= CONNECTIVITY_S

    def share(self) -> None:
        """All routers write what they have seen and read what the others wrote."""
        if not self.is_store_up:
            return
        for quarantine in self.routers:
            self.shared = quarantine.merge_pending(self.shared)
            quarantine.drop_pending(quarantine.pending)
        for quarantine in self.routers:
            quarantine.install(self.shared)

    def crash(self, losses: list[tuple[int, tuple[str, ...], bool]]) -> None:
        """Crash a target; ``losses`` are router, prompt and whether it had begun."""
        self.crashes += 1
        for router, prompt, is_begun in losses:
            quarantine = self.routers[router]
            earlier = quarantine.earlier_crashes(age_s=0.1)
            quarantine.record_loss(
                LostPrompt(
                    crash=CrashKey(f"t{self.crashes}", 1),
                    at=self.timers.unix_time(),
                    part_ids=prompt,
                    is_begun=is_begun,
                    earlier_crashes=earlier,
                )
            )

    @rule(
        router=routers,
        prompt=prompts,
        is_begun=st.booleans(),
        bystanders=st.lists(prompts, max_size=3),
    )
    def send_deadly(self, router, prompt, is_begun, bystanders):
        """A deadly request crashes its target, beside sound ones of any router."""
        self.advance(SAME_MOMENT_S + 0.1)
        deadly = (*prompt, DEADLY)
        self.advance(self.routers[router].decision_wait_s(deadly))
        if self.routers[router].verdict(deadly) is Verdict.QUARANTINED:
            return
        self.late_arrivals += self.is_late(router)
        self.deadly_crashes += 1
        if self.deadly_crashes == CRASHES:
            self.fifth_crash_at = self.timers.now()
        losses = [
            ((router + offset) % ROUTERS, each, False)
            for offset, each in enumerate(bystanders)
        ]
        self.crash([(router, deadly, is_begun), *losses])
        self.share()

    @rule(router=routers, prompt=prompts)
    def send_sound(self, router, prompt):
        """A sound request is answered, unless it is refused."""
        self.advance(0.05)
        if self.routers[router].verdict(prompt) is not Verdict.QUARANTINED:
            self.routers[router].record_answer(prompt)
            self.share()

    @rule(losses=st.lists(st.tuples(routers, prompts), min_size=1, max_size=6))
    def lose_power(self, losses):
        """Several targets crash at the same moment, each with one sound prompt."""
        self.advance(SAME_MOMENT_S + 0.1)
        for router, prompt in losses:
            self.crash([(router, prompt, False)])
        self.share()

    @rule(seconds=st.floats(1, 5))
    def wait(self, seconds):
        self.advance(seconds)

    @rule()
    def stop_store(self):
        self.is_store_up = False

    @rule()
    def start_store(self):
        if not self.is_store_up:
            self.store_started_at = self.timers.now()
        self.is_store_up = True
        self.share()

    @rule(router=routers)
    def restart(self, router):
        """A router starts anew and lists the shared evidence."""
        self.started_at[router] = self.timers.now()
        self.routers[router] = PromptQuarantine(timers=self.timers)
        self.routers[router].install(self.shared, is_first=True)

    @invariant()
    def deadly_part_reaches_few_targets_after_its_fifth_crash(self):
        assert self.late_arrivals <= LATE_ARRIVALS_LIMIT


TestQuarantineMachine = QuarantineMachine.TestCase
TestQuarantineMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=50
)
