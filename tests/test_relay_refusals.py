"""Relays that refuse calls because they can't reach the store."""

from lavenderfold.settings import Address
from lavenderfold.shared import Relay, RelayDirectory, RelayRefusals, RelaySelector
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore

SUBJECT = "config"


class Choice:
    """Three relays, and what a router knows of their refusals."""

    def __init__(self):
        relays = RelayDirectory(
            store=MemoryStore(), prefix="relays/", failure_domain="d"
        )
        relays.relays = [
            Relay(Address(host=f"10.0.0.{each}", port=1), f"d{each}", str(each))
            for each in range(1, 4)
        ]
        timers = TimerService(clock=lambda: 0.0)
        self.selector = RelaySelector(directory=relays, timers=timers, purpose="hub")
        self.refusals = RelayRefusals(relays=self.selector)


def test_relays_that_refuse_while_the_store_is_away_are_kept():
    """Each outage of the store left no relay to ask after it."""
    choice = Choice()
    ranked = choice.selector.ranked()
    for _ in range(20):
        for relay in ranked:
            choice.refusals.record_refusal(SUBJECT, relay)
        choice.refusals.record_store_failure(SUBJECT)
    assert choice.selector.ranked() == ranked


def test_relay_that_refuses_again_although_the_store_was_reached_is_left_out():
    """Routers would go on asking a relay that is cut off from the store."""
    choice = Choice()
    cut_off, *others = choice.selector.ranked()
    assert not choice.refusals.record_refusal(SUBJECT, cut_off)
    choice.refusals.record_other_path(SUBJECT)
    assert choice.selector.ranked() == [cut_off, *others]
    assert choice.refusals.record_refusal(SUBJECT, cut_off)
    assert choice.selector.ranked() == others


def test_relay_that_refused_once_at_the_end_of_an_outage_is_kept():
    """It reaches the store a moment after the router."""
    choice = Choice()
    ranked = choice.selector.ranked()
    choice.refusals.record_refusal(SUBJECT, ranked[0])
    choice.refusals.record_other_path(SUBJECT)
    choice.refusals.record_answer(SUBJECT, ranked[0])
    choice.refusals.record_refusal(SUBJECT, ranked[0])
    assert choice.selector.ranked() == ranked
