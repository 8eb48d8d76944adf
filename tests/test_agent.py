"""Tests of the agent over real links, with stand-ins for its target."""

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

FAST_ENGINE = EngineOptions(step_s=0.0, report_lag_s=0.0)
PROMPT = "length:60 tell me about the night sky"
WHOLE_ANSWER = answer_text(PROMPT, 400).encode()
PROMPT_TOKENS = 7


def run_with_engine(check, *, pausing=False, **options):
    async def main():
        engine = PausingEngine() if pausing else ModelEngine(options=FAST_ENGINE)
        async with running_agent(engine, kind=TargetKind.MODEL, **options) as harness:
            await check(harness)

    trio.run(main)


def run_with_service(check, **options):
    async def main():
        async with running_agent(
            PlainService(), kind=TargetKind.APP, **options
        ) as harness:
            await check(harness)

    trio.run(main)


def reports_usage_of(run_id):
    def matches(message):
        return isinstance(message, UsageReport) and any(
            record.run_id == run_id for record in message.records
        )

    return matches


def test_answer_is_complete_and_usage_is_resent_until_stored():
    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
        assert isinstance(router.messages[0], AgentHello)
        router.link.post(make_model_order("a", PROMPT))
        ended = await router.ended("a")
        assert router.received_answer("a") == WHOLE_ANSWER
        tokens = PROMPT_TOKENS + 60
        digest = hashlib.sha256(WHOLE_ANSWER).hexdigest()
        assert ended.outcome == Ran(
            tokens=tokens, length=len(WHOLE_ANSWER), digest=digest
        )
        assert ended.status == 200
        kinds = [type(message) for message in router.messages]
        assert kinds.index(RunAccepted) < kinds.index(Frame)
        # Usage that the router hasn't confirmed is reported again.
        report = await router.wait_for(reports_usage_of("a"))
        assert report.records == [UsageRecord("a", KEY, 1, "g", tokens)]
        router.link.post(UsageStored(run_ids=["a"]))
        router.link.post(Fence(incarnation=1))
        assert (await router.wait_for_type(FenceReport)).held_by_grant_id == {}

    run_with_engine(check)


def test_run_survives_link_loss_and_another_router_resumes_it():
    """A run that ends with its link would lose an answer that is already paid for."""

    async def check(harness):
        first = harness.connect(1)
        await first.wait_ready()
        first.link.post(make_model_order("a", PROMPT))
        await first.wait_for_type(Frame)
        first.link.close()
        second = harness.connect(2)
        offset = len(first.received_answer("a"))
        second.link.post(ResumeRun(subscription="s", key=KEY, offset=offset))
        harness.target.released = True
        ended = await second.ended("s")
        assert (
            WHOLE_ANSWER[:offset] + second.received_answer("s", offset) == WHOLE_ANSWER
        )
        assert isinstance(ended.outcome, Ran)
        # The router that sent the order has disconnected, so the usage is reported to
        # the second one.
        await second.wait_for(reports_usage_of("a"))
        assert list(harness.target.runs_by_request_id.values()) == [1]

    run_with_engine(check, pausing=True)


def test_drain_refuses_new_runs_and_completes_running_ones():
    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
        router.link.post(make_model_order("a", PROMPT))
        await router.wait_for_type(Frame)
        harness.agent.drain(cause="test")
        router.link.post(make_model_order("b", PROMPT))
        refused = await router.ended("b")
        # The same request already runs as "a", so its refusal must not be NotRun.
        assert refused.outcome == MayHaveRun(Reason.DRAINING)
        other = msgspec.structs.replace(KEY, request_id="other")
        router.link.post(make_model_order("c", PROMPT, key=other))
        assert (await router.ended("c")).outcome == NotRun(Reason.DRAINING)
        await router.wait_for(
            lambda message: isinstance(message, LoadReport) and message.draining
        )
        harness.target.released = True
        assert isinstance((await router.ended("a")).outcome, Ran)
        assert router.received_answer("a") == WHOLE_ANSWER
        assert not harness.exited.is_set()
        router.link.post(UsageStored(run_ids=["a"]))
        await harness.exited.wait()

    run_with_engine(check, pausing=True)


def test_drain_refuses_queued_runs_as_not_run():
    """A draining agent refuses its queued runs as not run.

    Otherwise a queued run would start at a target that is being removed.
    """
    limits = msgspec.structs.replace(LIMITS, slots=1)

    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
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

    run_with_engine(check, pausing=True, limits=limits)


def test_agent_drains_when_its_vm_is_listed_as_leaving():
    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
        harness.platform.vm_state = "leaving"
        await harness.exited.wait()
        assert any(getattr(message, "draining", False) for message in router.messages)

    run_with_engine(check)


def test_cancelled_run_stops_at_the_engine_and_is_billed_for_its_output():
    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
        router.link.post(make_model_order("a", PROMPT))
        await router.wait_for_type(Frame)
        router.link.post(CancelRun(run_id="a"))
        ended = await router.ended("a")
        assert ended.outcome == MayHaveRun(Reason.CONNECTION_LOST, "cancelled")
        report = await router.wait_for(reports_usage_of("a"))
        words = len(router.received_answer("a").split())
        assert report.records[0].tokens == PROMPT_TOKENS + words
        await router.wait_for(lambda _: harness.target.stats()["cancelled"])

    run_with_engine(check, pausing=True)


def test_new_link_of_a_router_closes_its_older_link():
    """An order buffered in the older link must not run after a resume.

    The router learnt from the resume on the new link that the request is unknown.
    """

    async def check(harness):
        older = harness.connect(1)
        await older.wait_ready()
        newer = harness.connect(1)
        await newer.wait_ready()
        await older.closed.wait()
        assert len(harness.agent._router_links.connected_routers()) == 1

    run_with_engine(check)


def test_fenced_payer_is_refused_and_its_held_tokens_are_reported():
    async def check(harness):
        router = harness.connect(2)
        await router.wait_ready()
        router.link.post(make_model_order("a", PROMPT))
        await router.wait_for_type(RunAccepted)
        router.link.post(Fence(incarnation=1))
        report = await router.wait_for_type(FenceReport)
        assert report.held_by_grant_id == {"g": PROMPT_TOKENS + 400}
        # Without this a reclaim writes off all remaining tokens of the grant.
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

    run_with_engine(check, pausing=True)


def test_fence_received_before_the_member_record_is_applied():
    """A lost fence would let a paused router spend reclaimed tokens."""

    class AdmittingGate:
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
    gate.set_gate(AdmittingGate())
    assert gate.admits(5)
    assert not gate.admits(4)


def test_runs_are_refused_before_the_member_record_is_read():
    async def check(harness):
        router = harness.connect()
        await router.wait_for_type(LoadReport)
        router.link.post(make_model_order("a", PROMPT))
        refused = await router.ended("a")
        assert isinstance(refused.outcome, NotRun)
        assert refused.outcome.reason is Reason.NOT_READY
        harness.platform.is_up = True
        await router.wait_ready()
        router.link.post(make_model_order("b", PROMPT))
        assert isinstance((await router.ended("b")).outcome, Ran)

    run_with_engine(check, is_store_up=False)


def test_broken_stream_is_resumed_at_the_engine():
    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
        harness.target.switches.faults.cut_after_tokens = 20
        router.link.post(make_model_order("a", PROMPT))
        assert isinstance((await router.ended("a")).outcome, Ran)
        assert router.received_answer("a") == WHOLE_ANSWER
        assert list(harness.target.runs_by_request_id.values()) == [1]

    run_with_engine(check)


def test_stream_that_cannot_be_resumed_is_billed_for_its_output():
    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
        harness.target.switches.faults.cut_after_tokens = 5
        router.link.post(make_model_order("a", PROMPT))
        ended = await router.ended("a")
        assert isinstance(ended.outcome, MayHaveRun)
        report = await router.wait_for(reports_usage_of("a"))
        # Four connections, each broken after five tokens.
        assert report.records[0].tokens == PROMPT_TOKENS + 20
        # The router must receive the usage before the end of the run.
        assert router.messages.index(report) < router.messages.index(ended)

    run_with_engine(check)


def test_order_whose_worst_case_exceeds_its_reservation_is_refused():
    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
        router.link.post(make_model_order("a", PROMPT, reserved=406))
        refused = await router.ended("a")
        assert isinstance(refused.outcome, NotRun)
        assert refused.outcome.reason is Reason.INVALID
        assert not harness.target.runs_by_request_id

    run_with_engine(check)


def test_sign_off_whose_answer_is_lost_runs_once():
    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
        harness.target.switches.faults.lose_answers = 1
        router.link.post(make_sign_off_order("a"))
        ended = await router.ended("a")
        assert isinstance(ended.outcome, MayHaveRun)
        report = await router.wait_for(reports_usage_of("a"))
        assert report.records[0].tokens == 7
        router.link.post(make_sign_off_order("b"))
        repeated = await router.ended("b")
        assert isinstance(repeated.outcome, MayHaveRun)
        assert harness.target.runs_by_request_id == {str(KEY): 1}

    run_with_service(check)


def test_sign_off_answer_has_status_and_content_type():
    async def check(harness):
        router = harness.connect()
        await router.wait_ready()
        router.link.post(make_sign_off_order("a"))
        ended = await router.ended("a")
        assert ended.outcome.tokens == 7
        assert (ended.status, ended.content_type) == (200, "application/json")
        assert msgspec.json.decode(router.received_answer("a"))["counter"] == 1

    run_with_service(check)


@pytest.mark.parametrize(
    ("path", "reason"),
    [("/a", Reason.CONNECTION_FAILED), ("/a b\r\nx: y", Reason.INVALID)],
)
def test_call_that_fails_before_any_byte_is_sent_is_not_run(path, reason):
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
    ("added_line", "faulty_key"),
    [
        ("colour: red", "colour"),
        ("log_level: 5", "log_level"),
        ("vm: other", "vm"),
        ("vm_list_address: nowhere", "vm_list_address"),
        ("limits: {slots: 0}", "slots"),
        ("limits: {slots: 100}", "buffer_bytes"),
    ],
)
def test_settings_error_names_the_faulty_key(tmp_path, added_line, faulty_key):
    path = tmp_path / "agent.yaml"
    path.write_text(GOOD_SETTINGS)
    loaded = settings_files.load(path, AgentSettings)
    assert loaded.unwrap().limits == Limits()
    path.write_text(GOOD_SETTINGS + added_line)
    error = settings_files.load(path, AgentSettings).unwrap_err()
    assert faulty_key in str(error)
