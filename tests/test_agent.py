"""The agent over a real link, in front of stand-ins of its target."""

import hashlib

import msgspec
import pytest
import trio
import trio.lowlevel

from lavenderfold import settings as settings_files
from lavenderfold.agent import AgentSettings, Limits, TargetKind
from lavenderfold.agent._fencing import DeferredGate
from lavenderfold.agent._target import build_app_caller
from lavenderfold.messages import (
    AgentHello,
    CancelRun,
    Fence,
    FenceReport,
    Frame,
    LoadReport,
    ResumeRun,
    RunAccepted,
    UsageRecord,
    UsageReport,
    UsageStored,
)
from lavenderfold.outcomes import MayHaveRun, NotRun, Ran, Reason
from lavenderfold.settings import Address
from standins.engine_core import EngineOptions
from standins.model_engine import ModelEngine
from standins.plain_service import PlainService
from standins.texts import answer_text
from tests.agent_support import (
    KEY,
    LIMITS,
    PausingEngine,
    make_model_order,
    make_sign_off_order,
    running_agent,
)

FAST = EngineOptions(step_s=0.0, report_lag_s=0.0)
PROMPT = "length:60 tell me about the night sky"
WHOLE = answer_text(PROMPT, 400).encode()
PROMPT_TOKENS = 7


def in_front_of_engine(check, *, pausing=False, **arguments):
    async def main():
        engine = PausingEngine() if pausing else ModelEngine(options=FAST)
        async with running_agent(engine, kind=TargetKind.MODEL, **arguments) as harness:
            await check(harness)

    trio.run(main)


def in_front_of_service(check, **arguments):
    async def main():
        async with running_agent(
            PlainService(), kind=TargetKind.APP, **arguments
        ) as harness:
            await check(harness)

    trio.run(main)


def usage_of(run_id):
    def accept(message):
        return isinstance(message, UsageReport) and any(
            record.run_id == run_id for record in message.records
        )

    return accept


def test_run_is_answered_whole_and_its_usage_kept_until_stored():
    async def check(harness):
        router = harness.connect()
        await router.ready()
        assert isinstance(router.messages[0], AgentHello)
        router.link.post(make_model_order("a", PROMPT))
        ended = await router.ended("a")
        assert router.answer("a") == WHOLE
        tokens = PROMPT_TOKENS + 60
        digest = hashlib.sha256(WHOLE).hexdigest()
        assert ended.outcome == Ran(tokens=tokens, length=len(WHOLE), digest=digest)
        assert ended.status == 200
        kinds = [type(message) for message in router.messages]
        assert kinds.index(RunAccepted) < kinds.index(Frame)
        # A router that didn't confirm the usage is told again.
        report = await router.wait_for(usage_of("a"))
        assert report.records == [UsageRecord("a", KEY, 1, "g", tokens)]
        router.link.post(UsageStored(run_ids=["a"]))
        router.link.post(Fence(incarnation=1))
        assert (await router.wait_for_type(FenceReport)).held_by_grant_id == {}

    in_front_of_engine(check)


def test_link_loss_stops_no_run_and_another_router_gets_the_rest():
    """A run cut with its link would lose an answer that is already paid for."""

    async def check(harness):
        first = harness.connect(1)
        await first.ready()
        first.link.post(make_model_order("a", PROMPT))
        await first.wait_for_type(Frame)
        first.link.close()
        second = harness.connect(2)
        offset = len(first.answer("a"))
        second.link.post(ResumeRun(subscription="s", key=KEY, offset=offset))
        harness.target.released = True
        ended = await second.ended("s")
        assert WHOLE[:offset] + second.answer("s", offset) == WHOLE
        assert isinstance(ended.outcome, Ran)
        # The router that ran it is gone, so this one is told the usage.
        await second.wait_for(usage_of("a"))
        assert list(harness.target.runs_by_request_id.values()) == [1]

    in_front_of_engine(check, pausing=True)


def test_drain_refuses_at_once_and_cuts_nothing():
    async def check(harness):
        router = harness.connect()
        await router.ready()
        router.link.post(make_model_order("a", PROMPT))
        await router.wait_for_type(Frame)
        harness.agent.drain(cause="test")
        router.link.post(make_model_order("b", PROMPT))
        refused = await router.ended("b")
        # The same request runs as "a", so its refusal must not say "not run".
        assert refused.outcome == MayHaveRun(Reason.DRAINING)
        other = msgspec.structs.replace(KEY, request_id="other")
        router.link.post(make_model_order("c", PROMPT, key=other))
        assert (await router.ended("c")).outcome == NotRun(Reason.DRAINING)
        await router.wait_for(
            lambda message: isinstance(message, LoadReport) and message.draining
        )
        harness.target.released = True
        assert isinstance((await router.ended("a")).outcome, Ran)
        assert router.answer("a") == WHOLE
        assert not harness.exited.is_set()
        router.link.post(UsageStored(run_ids=["a"]))
        await harness.exited.wait()

    in_front_of_engine(check, pausing=True)


def test_waiting_runs_are_refused_as_not_run_when_the_target_leaves():
    """P6: a waiting run that started later would be new work for the target."""
    limits = msgspec.structs.replace(LIMITS, slots=1)

    async def check(harness):
        router = harness.connect()
        await router.ready()
        router.link.post(make_model_order("a", PROMPT))
        await router.wait_for_type(Frame)
        other = msgspec.structs.replace(KEY, request_id="other")
        router.link.post(make_model_order("b", PROMPT, key=other))
        await router.wait_for(
            lambda message: isinstance(message, RunAccepted) and message.run_id == "b"
        )
        harness.agent.drain(cause="test")
        assert (await router.ended("b")).outcome == NotRun(Reason.DRAINING)
        harness.target.released = True
        assert isinstance((await router.ended("a")).outcome, Ran)
        assert len(harness.target.runs_by_request_id) == 1

    in_front_of_engine(check, pausing=True, limits=limits)


def test_agent_drains_when_its_vm_is_listed_as_leaving():
    async def check(harness):
        router = harness.connect()
        await router.ready()
        harness.store.vm_state = "leaving"
        await harness.exited.wait()
        assert any(getattr(message, "draining", False) for message in router.messages)

    in_front_of_engine(check)


def test_cancelled_run_stops_at_the_engine_and_is_billed_so_far():
    async def check(harness):
        router = harness.connect()
        await router.ready()
        router.link.post(make_model_order("a", PROMPT))
        await router.wait_for_type(Frame)
        router.link.post(CancelRun(run_id="a"))
        ended = await router.ended("a")
        assert ended.outcome == MayHaveRun(
            Reason.CONNECTION_LOST, "the run was cancelled"
        )
        report = await router.wait_for(usage_of("a"))
        words = len(router.answer("a").split())
        assert report.records[0].tokens == PROMPT_TOKENS + words
        await router.wait_for(lambda _: harness.target.stats()["cancelled"])

    in_front_of_engine(check, pausing=True)


def test_new_link_of_a_router_closes_its_older_one():
    """An order left in the older link must not run after a resume found nothing."""

    async def check(harness):
        older = harness.connect(1)
        await older.ready()
        newer = harness.connect(1)
        await newer.ready()
        await older.closed.wait()
        assert len(harness.agent._router_links.connected_routers()) == 1

    in_front_of_engine(check)


def test_fenced_payer_is_refused_and_what_it_holds_is_reported():
    async def check(harness):
        router = harness.connect(2)
        await router.ready()
        router.link.post(make_model_order("a", PROMPT))
        await router.wait_for_type(RunAccepted)
        router.link.post(Fence(incarnation=1))
        report = await router.wait_for_type(FenceReport)
        assert report.held_by_grant_id == {"g": PROMPT_TOKENS + 400}
        # Without this a reclaim writes the whole remainder of the grant off.
        assert report.complete_after == 0
        other = msgspec.structs.replace(KEY, request_id="other")
        router.link.post(make_model_order("b", PROMPT, key=other))
        refused = await router.ended("b")
        assert refused.outcome == NotRun(Reason.FENCED, "incarnation 1")
        harness.target.released = True
        await router.ended("a")
        router.link.post(Fence(incarnation=1))
        held = {"g": PROMPT_TOKENS + 60}
        await router.wait_for(
            lambda message: getattr(message, "held_by_grant_id", None) == held
        )

    in_front_of_engine(check, pausing=True)


def test_fence_that_precedes_the_member_record_holds():
    """A fence lost here would let a paused router spend reclaimed money."""

    class Everything:
        def __init__(self):
            self.fenced = []

        def admits(self, payer):
            return payer not in self.fenced

        def fence(self, incarnation):
            self.fenced.append(incarnation)

    gate = DeferredGate()
    gate.fence(4)
    assert not gate.admits(5)
    assert gate.complete_after(5) is None
    gate.set_gate(Everything())
    assert gate.admits(5)
    assert not gate.admits(4)


def test_nothing_is_run_before_the_member_record_is_read():
    async def check(harness):
        router = harness.connect()
        await router.wait_for_type(LoadReport)
        router.link.post(make_model_order("a", PROMPT))
        refused = await router.ended("a")
        assert isinstance(refused.outcome, NotRun)
        assert refused.outcome.reason is Reason.NOT_READY
        harness.store.up = True
        await router.ready()
        router.link.post(make_model_order("b", PROMPT))
        assert isinstance((await router.ended("b")).outcome, Ran)

    in_front_of_engine(check, store_up=False)


def test_cut_stream_is_resumed_at_the_engine():
    async def check(harness):
        router = harness.connect()
        await router.ready()
        harness.target.switches.faults.cut_after_tokens = 20
        router.link.post(make_model_order("a", PROMPT))
        assert isinstance((await router.ended("a")).outcome, Ran)
        assert router.answer("a") == WHOLE
        assert list(harness.target.runs_by_request_id.values()) == [1]

    in_front_of_engine(check)


def test_stream_cut_for_good_is_billed_for_what_it_produced():
    async def check(harness):
        router = harness.connect()
        await router.ready()
        harness.target.switches.faults.cut_after_tokens = 5
        router.link.post(make_model_order("a", PROMPT))
        ended = await router.ended("a")
        assert isinstance(ended.outcome, MayHaveRun)
        report = await router.wait_for(usage_of("a"))
        # Four connections, each cut after five tokens.
        assert report.records[0].tokens == PROMPT_TOKENS + 20
        # The router knows the usage by the time it learns of the end.
        assert router.messages.index(report) < router.messages.index(ended)

    in_front_of_engine(check)


def test_order_that_may_cost_more_than_reserved_is_refused():
    async def check(harness):
        router = harness.connect()
        await router.ready()
        router.link.post(make_model_order("a", PROMPT, reserved=406))
        refused = await router.ended("a")
        assert isinstance(refused.outcome, NotRun)
        assert refused.outcome.reason is Reason.INVALID
        assert not harness.target.runs_by_request_id

    in_front_of_engine(check)


def test_sign_off_whose_answer_is_lost_runs_once():
    async def check(harness):
        router = harness.connect()
        await router.ready()
        harness.target.switches.faults.lose_answers = 1
        router.link.post(make_sign_off_order("a"))
        ended = await router.ended("a")
        assert isinstance(ended.outcome, MayHaveRun)
        report = await router.wait_for(usage_of("a"))
        assert report.records[0].tokens == 7
        router.link.post(make_sign_off_order("b"))
        repeated = await router.ended("b")
        assert isinstance(repeated.outcome, MayHaveRun)
        assert harness.target.runs_by_request_id == {str(KEY): 1}

    in_front_of_service(check)


def test_sign_off_answer_has_status_and_content_type():
    async def check(harness):
        router = harness.connect()
        await router.ready()
        router.link.post(make_sign_off_order("a"))
        ended = await router.ended("a")
        assert ended.outcome.tokens == 7
        assert (ended.status, ended.content_type) == (200, "application/json")
        assert msgspec.json.decode(router.answer("a"))["counter"] == 1

    in_front_of_service(check)


@pytest.mark.parametrize(
    ("path", "reason"),
    [("/a", Reason.CONNECTION_FAILED), ("/a b\r\nx: y", Reason.INVALID)],
)
def test_call_of_which_no_byte_was_sent_is_not_run(path, reason):
    async def check():
        call = build_app_caller(address=Address(host="127.0.0.1", port=1))
        end = await call(make_sign_off_order("a", path=path), lambda data, tokens: None)
        assert isinstance(end, NotRun)
        assert end.reason is reason

    trio.run(check)


GOOD_SETTINGS = """
target: quick-regina-1
vm: vm-1
kind: model
region: saskatchewan
failure_domain: regina
models: [quick]
listen: 127.0.0.1:0
target_address: 127.0.0.1:8101
store_address: 127.0.0.1:9000
"""


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ("colour: red", "colour"),
        ("log_level: 5", "log_level"),
        ("vm: other", "vm"),
        ("vm_list_address: nowhere", "vm_list_address"),
        ("limits: {slots: 0}", "slots"),
        ("limits: {slots: 100}", "buffer_bytes"),
    ],
)
def test_bad_settings_are_refused_by_name(tmp_path, change, named):
    path = tmp_path / "agent.yaml"
    path.write_text(GOOD_SETTINGS)
    loaded = settings_files.load(path, AgentSettings)
    assert loaded.unwrap().limits == Limits()
    path.write_text(GOOD_SETTINGS + change)
    error = settings_files.load(path, AgentSettings).unwrap_err()
    assert named in str(error)
