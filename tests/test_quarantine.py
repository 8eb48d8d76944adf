"""Decisions on which prompt parts crash targets, without network."""

import msgspec
import trio

from lavenderfold.quarantine import CrashKey, LostPrompt, PromptQuarantine, Verdict
from lavenderfold.quarantine._culprits import (
    EXPLAINED_RECORD_S,
    MAX_RECORDS,
    QUARANTINE_BASE_S,
    QUARANTINE_CRASHES,
    QUARANTINE_LIMIT_S,
    RECORD_S,
    SUSPECT_CRASHES,
    find_culprits,
    remove_stale_records,
)
from lavenderfold.quarantine._evidence import (
    CrashEvidence,
    CrashRecord,
    add_lost_prompt,
    decode_evidence,
    remove_parts,
)
from lavenderfold.quarantine._publisher import EvidencePublisher
from lavenderfold.quarantine._quarantine import OBJECTION_S, SAME_MOMENT_S
from lavenderfold.shared import SharedStoreError
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore, WriteFault

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


class SharedFleet:
    """Two quarantines that share a store."""

    def __init__(self, nursery):
        self.store = MemoryStore()
        self.routers = [Router(), Router()]
        self.publishers = [
            EvidencePublisher(
                store=self.store, quarantine=router.quarantine, key="crashes"
            )
            for router in self.routers
        ]
        for publisher in self.publishers:
            nursery.start_soon(publisher.run)

    async def settle(self) -> None:
        """Wait until all observations are written, and let both routers read them."""
        for _ in range(300):
            if not any(each.quarantine.pending for each in self.routers):
                break
            await trio.sleep(0.01)
        else:
            raise AssertionError("an observation wasn't written")
        listing = await self.store.list_items("crashes")
        for publisher in self.publishers:
            for item in listing.items:
                publisher.put(item)

    def written(self) -> CrashEvidence:
        return decode_evidence(self.store.value("crashes"))


def run_shared(scenario) -> None:
    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await scenario(SharedFleet(nursery))
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_routers_add_up_what_each_has_seen():
    """Guards against routers that each see too few crashes to act."""

    async def scenario(fleet):
        first, second = fleet.routers
        first.lose("a bad")
        await fleet.settle()
        second.crashes = 10
        second.lose("a bad")
        await fleet.settle()
        first.lose("a bad")
        await fleet.settle()
        for router in fleet.routers:
            router.wait(OBJECTION_S)
            assert router.verdict("a bad") is Verdict.QUARANTINED

    run_shared(scenario)


def test_concurrent_writers_lose_no_observation():
    async def scenario(fleet):
        first, second = fleet.routers
        first.lose("a")
        second.crashes = 10
        second.lose("b")
        await fleet.settle()
        assert {each.target for each in fleet.written().records} == {"t1", "t11"}

    run_shared(scenario)


def test_observation_is_written_once_although_answers_of_the_store_are_lost():
    async def scenario(fleet):
        fleet.store.write_fault = WriteFault.ANSWER_LOST
        fleet.routers[0].lose("a")
        await trio.sleep(0.2)
        fleet.store.write_fault = WriteFault.NONE
        await fleet.settle()
        assert [each.prompts for each in fleet.written().records] == [(("a",),)]

    run_shared(scenario)


def test_own_observations_count_while_the_store_is_down():
    async def scenario(fleet):
        fleet.store.is_down = True
        router = fleet.routers[0]
        for _ in range(3):
            router.lose("bad")
        router.wait(OBJECTION_S)
        assert router.verdict("bad") is Verdict.QUARANTINED
        await trio.sleep(0.2)
        fleet.store.is_down = False
        await fleet.settle()
        assert len(fleet.written().records) == 3

    run_shared(scenario)


def test_unreadable_evidence_is_replaced_and_stops_nothing():
    async def scenario(fleet):
        fleet.store.put("crashes", b"\xff{")
        await fleet.settle()
        fleet.routers[0].lose("bad")
        await fleet.settle()
        assert len(fleet.written().records) == 1

    run_shared(scenario)


def test_evidence_is_created_again_after_it_was_removed():
    """Guards against a router that repeats a conflicting write for ever."""

    async def scenario(fleet):
        fleet.routers[0].lose("bad")
        await fleet.settle()
        fleet.store.remove("crashes")
        fleet.routers[0].lose("bad")
        await fleet.settle()
        assert len(fleet.written().records) == 2

    run_shared(scenario)


def test_older_evidence_never_replaces_newer():
    async def scenario(fleet):
        fleet.routers[0].lose("bad")
        await fleet.settle()
        (old,) = (await fleet.store.list_items("crashes")).items
        fleet.routers[0].lose("bad")
        await fleet.settle()
        fleet.publishers[1].put(old)
        assert len(fleet.routers[1].quarantine.shared.records) == 2

    run_shared(scenario)


def test_refused_write_keeps_the_observation():
    async def scenario(fleet):
        fleet.store.write_fault = WriteFault.REFUSED
        fleet.routers[0].lose("bad")
        await trio.sleep(0.2)
        assert fleet.routers[0].quarantine.pending
        try:
            await fleet.store.write([])
        except SharedStoreError:
            fleet.store.write_fault = WriteFault.NONE
        await fleet.settle()
        assert msgspec.to_builtins(fleet.written())["records"]

    run_shared(scenario)
