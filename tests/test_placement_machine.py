"""Regions and evacuations together, as a Hypothesis state machine.

Each attempt of each request must follow both rules, whatever the store lists.
"""

import random

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lavenderfold.placement._evacuations import REMOVAL_GRACE_S
from tests.placement_support import PREFIX, Selector, make_target

REGION_BY_DOMAIN = {"d0": "north", "d1": "north", "d2": "south", "d3": "south"}
DOMAINS = (*REGION_BY_DOMAIN, "unknown")
REGIONS = ("north", "south", "empty")

domains = st.sampled_from(DOMAINS)
regions = st.sets(st.sampled_from(REGIONS), max_size=2)


class PlacementMachine(RuleBasedStateMachine):
    """Compares the chosen targets with the rules as the design page states them."""

    @initialize()
    def start(self):
        self.selector = Selector(region_by_domain=REGION_BY_DOMAIN)
        self.revision = 10
        self.stored = set()
        # Domains whose key was missing after an outage, and until when they stay out.
        self.kept_until = {}
        self.target_by_id = {}
        for number, domain in enumerate(DOMAINS * 2):
            target = make_target(f"t{number}", domain)
            self.target_by_id[target.id] = target
            self.selector.directory.put(target.id, target, revision=1)

    def is_allowed(self, target, *restrictions) -> bool:
        region = REGION_BY_DOMAIN.get(target.domain)
        if target.domain in self.stored | self.kept_until.keys():
            return False
        return all(not each or region in each for each in restrictions)

    @rule(domain=domains, value=st.sampled_from((b"{}", b"", b"\xff", b"[")))
    def evacuate(self, domain, value):
        self.revision += 1
        self.stored.add(domain)
        self.kept_until.pop(domain, None)
        self.selector.evacuate(domain, self.revision, value)

    @rule(domain=domains, is_certain=st.booleans())
    def end_evacuation(self, domain, is_certain):
        """The key is removed, or a listing after an outage lacks it."""
        self.revision += 1
        if domain in self.stored and not is_certain:
            until = self.selector.timers.now() + REMOVAL_GRACE_S
            self.kept_until.setdefault(domain, until)
        elif is_certain:
            self.kept_until.pop(domain, None)
        self.stored.discard(domain)
        self.selector.sink.handle_removal(
            PREFIX + domain, revision=self.revision, is_certain=is_certain
        )

    @rule(domain=domains)
    def report_old_removal(self, domain):
        """A listing may hold a key that was removed and put again after it began."""
        if domain in self.stored:
            self.selector.sink.handle_removal(
                PREFIX + domain, revision=1, is_certain=True
            )

    @rule()
    def list_again(self):
        for domain in sorted(self.stored):
            self.selector.evacuate(domain, self.revision)

    @rule(key=st.sampled_from(("op/evacuate", "op/other", "op/evacuated/d0")))
    def write_other_key(self, key):
        self.selector.sink.handle_removal(key, revision=self.revision, is_certain=True)

    @rule(seconds=st.sampled_from((0.5, 1.0, 2.0, 12.0)))
    def wait(self, seconds):
        self.selector.wait(seconds)
        now = self.selector.timers.now()
        self.kept_until = {k: v for k, v in self.kept_until.items() if v > now}

    @rule(route_regions=regions, organisation_regions=regions, seed=st.integers(0, 99))
    def send_request(self, route_regions, organisation_regions, seed):
        """All attempts of a request: each target is tried until none is left."""
        restrictions = (route_regions, organisation_regions)
        allowed = {
            each.id
            for each in self.target_by_id.values()
            if self.is_allowed(each, *restrictions)
        }
        selection = self.selector.selection(*restrictions)
        assert selection.has_no_place() == (not allowed)
        tried = set()
        instead_of = None
        rng = random.Random(seed)
        while (choice := selection.choose(instead_of=instead_of)) is not None:
            assert choice.target.id in allowed - tried
            if instead_of is None and rng.random() < 0.5:
                instead_of = choice.target
                continue
            instead_of = None
            tried.add(choice.target.id)
            selection.record_failure(choice.target)
        assert tried == allowed or (instead_of and len(allowed - tried) == 1)

    @invariant()
    def known_keys_are_those_evacuated(self):
        if hasattr(self, "stored"):
            known = set(self.selector.sink.known_keys())
            assert known == {
                PREFIX + domain for domain in self.stored | self.kept_until.keys()
            }


def test_no_attempt_breaks_a_rule_of_regions_and_evacuations():
    run_state_machine_as_test(
        PlacementMachine, settings=settings(max_examples=150, deadline=None)
    )
