"""Tests of the replay's outcome checks, retry decisions, traces and player."""

import hashlib
from functools import partial
from pathlib import Path

import msgspec
import pytest
import trio

from lavenderfold.budgets import (
    BudgetRecord,
    LedgerShard,
    OpenedGrant,
    UsageEntry,
    pack_request_id,
)
from lavenderfold.config import merge_files
from lavenderfold.http import json_response, serve
from lavenderfold.identifiers import BudgetKey
from lavenderfold.replay import (
    Attempt,
    BudgetEvidence,
    CallOutcome,
    CallRecord,
    Evidence,
    Expected,
    Player,
    PlayOptions,
    PromptParameters,
    RequestKind,
    Router,
    RunEvidence,
    Step,
    TraceRequest,
    decode_trace,
    encode_trace,
    run_checks,
    select_checks,
)
from lavenderfold.replay._ledger import read_ledger
from lavenderfold.replay._steps import final_outcome, next_step
from lavenderfold.settings import Address
from lavenderfold.store import Store
from lavenderfold.timers import TimerService
from standins.config_store import ConfigStore
from standins.trace_generator import PROFILE_BY_USER, TraceGenerator

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
ANY_PORT = Address(host="127.0.0.1", port=0)
ANSWER_TEXT = b"amber-dusk bright-sky "
ANSWER_DIGEST = hashlib.sha256(ANSWER_TEXT).hexdigest()
BUDGET_KEY = BudgetKey("regina", "main")
MODEL_REQUEST = TraceRequest(
    offset_s=0.0,
    organisation="regina",
    route="quick-answer",
    kind=RequestKind.QUICK,
    region="west",
    size=5,
    prompt="hello",
    max_tokens=10,
    stream=True,
    answer_digest=ANSWER_DIGEST,
)
SIGN_OFF = TraceRequest(
    offset_s=0.0,
    organisation="regina",
    route="sign-off",
    kind=RequestKind.SIGN_OFF,
    region="west",
    size=20,
    path="lamp/7",
    idempotent=False,
    answer_part="lamp/7",
)
FETCH = msgspec.structs.replace(
    SIGN_OFF, kind=RequestKind.FETCH, method="GET", idempotent=True
)
LOST_ANSWER = Attempt(step=Step.POST, router="r")
STILL_ACTIVE = Attempt(step=Step.GET_STATE, router="r", status=200, active=True)
RESUME_NOT_FOUND = Attempt(step=Step.RESUME, router="r", status=404)
NOT_SENT = Attempt(step=Step.POST, router="r", sent=False, outcome=CallOutcome.NOT_RUN)


def refusal(reason: str, status: int = 503, step: Step = Step.POST) -> Attempt:
    return Attempt(
        step=step,
        router="r",
        status=status,
        outcome=CallOutcome.NOT_RUN,
        reason=reason,
    )


BUDGET_UNAVAILABLE = refusal("budget_unavailable")


def consistent_records() -> list[CallRecord]:
    """Return the records of a model answer, a sign-off and a refusal without faults."""
    answer = CallRecord(
        request=MODEL_REQUEST,
        request_id="a",
        due_s=0.0,
        outcome=CallOutcome.RAN,
        answered=True,
        length=len(ANSWER_TEXT),
        digest=ANSWER_DIGEST,
        head=ANSWER_TEXT,
        stated_length=len(ANSWER_TEXT),
        stated_digest=ANSWER_DIGEST,
        stated_request_id="a",
        stated_tokens=3,
    )
    sign_off = CallRecord(
        request=SIGN_OFF,
        request_id="s",
        due_s=0.0,
        outcome=CallOutcome.RAN,
        answered=True,
        digest=ANSWER_DIGEST,
        head=b'{"path": "/lamp/7"}',
        stated_digest=ANSWER_DIGEST,
        stated_request_id="s",
    )
    refused = CallRecord(
        request=msgspec.structs.replace(
            MODEL_REQUEST, expected=Expected.NOT_RUN, worst_case=90
        ),
        request_id="n",
        due_s=0.0,
        outcome=CallOutcome.NOT_RUN,
        attempts=[refusal("budget_spent", 402)],
    )
    return [answer, sign_off, refused]


def consistent_case() -> tuple[list[CallRecord], Evidence]:
    """Return the consistent records with matching evidence."""
    before = BudgetEvidence(limit=100, settled=4, tokens_by_request_id={"old": 4})
    after = BudgetEvidence(
        limit=100,
        settled=12,
        granted=50,
        tokens_by_request_id={"old": 4, "a": 3, "s": 5},
    )
    runs = [
        RunEvidence(target="engine", request_id="a", tokens=2),
        RunEvidence(target="plain", request_id="s"),
    ]
    evidence = Evidence(
        before={BUDGET_KEY: before}, after={BUDGET_KEY: after}, runs=runs
    )
    return consistent_records(), evidence


def failed_checks(records: list[CallRecord], evidence: Evidence) -> set[str]:
    checks = select_checks(faults_injected=False)
    results = run_checks(records, evidence, check_by_name=checks)
    return {name for name, findings in results.findings_by_check.items() if findings}


def changed_budget(**changes) -> dict:
    return {
        "after": {
            BUDGET_KEY: msgspec.structs.replace(
                consistent_case()[1].after[BUDGET_KEY], **changes
            )
        }
    }


def changed_usage(settled: int, **tokens_by_request_id: int) -> dict:
    return changed_budget(settled=settled, tokens_by_request_id=tokens_by_request_id)


def added_runs(request_id: str, count: int = 2) -> dict:
    extra_run = RunEvidence(target="other", request_id=request_id)
    return {"runs": consistent_case()[1].runs + [extra_run] * (count - 1)}


def test_consistent_records_pass_all_checks():
    assert failed_checks(*consistent_case()) == set()


@pytest.mark.parametrize(
    ("check", "index", "record_changes", "evidence_changes"),
    [
        ("whole answers", 0, {"length": 3}, {}),
        ("whole answers", 0, {"stated_digest": "0"}, {}),
        ("whole answers", 1, {"stated_digest": ""}, {}),
        ("own answers", 0, {"stated_request_id": "b"}, {}),
        ("own answers", 0, {"digest": "0", "stated_digest": "0"}, {}),
        ("own answers", 1, {"head": b'{"path": "/lamp/8"}'}, {}),
        ("refused means not run", 2, {}, added_runs("n")),
        ("billed once", 0, {}, changed_usage(9, old=4, s=5)),
        ("billed once", 0, {}, changed_usage(16, old=4, a=7, s=5)),
        ("billed once", 0, {}, changed_usage(15, old=4, a=3, s=5)),
        ("billed once", 2, {}, changed_usage(13, old=4, a=3, s=5, n=1)),
        ("billed once", 0, {"stated_tokens": 1}, changed_usage(10, old=4, a=1, s=5)),
        ("no overspend", 0, {}, changed_budget(granted=89)),
        ("no overspend", 0, {"stated_tokens": 97}, {}),
        ("no double sign-off", 1, {}, added_runs("s")),
        ("no false refusal", 2, {}, changed_budget(limit=102)),
        (
            "no false refusal",
            2,
            {"attempts": [BUDGET_UNAVAILABLE]},
            changed_budget(limit=102),
        ),
        ("as expected", 0, {"answered": False}, {}),
        ("as expected", 0, {}, {"runs": []}),
        ("as expected", 0, {"outcome": CallOutcome.MAY_HAVE_RUN}, {}),
        ("as expected", 1, {"fault": "the caller's time ran out"}, {}),
    ],
)
def test_each_fault_fails_its_check(check, index, record_changes, evidence_changes):
    """Guards against a check that passes although its outcome is wrong.

    Such a check would report outcomes as verified that nothing verified.
    """
    records, evidence = consistent_case()
    records[index] = msgspec.structs.replace(records[index], **record_changes)
    evidence = msgspec.structs.replace(evidence, **evidence_changes)
    if check == "no false refusal":
        evidence.before = {}
    assert check in failed_checks(records, evidence)


def test_bill_to_another_organisation_is_detected():
    records, evidence = consistent_case()
    other_budget = BudgetEvidence(limit=9, settled=3, tokens_by_request_id={"a": 3})
    evidence.after[BudgetKey("saskatoon", "main")] = other_budget
    assert failed_checks(records, evidence) == {"billed once"}


def test_unknown_outcome_of_a_sign_off_passes_only_while_faults_are_injected():
    records, evidence = consistent_case()
    records[1].outcome = CallOutcome.MAY_HAVE_RUN
    checks = select_checks(faults_injected=True)
    assert run_checks(records, evidence, check_by_name=checks).all_passed
    records[0].outcome = CallOutcome.MAY_HAVE_RUN
    assert not run_checks(records, evidence, check_by_name=checks).all_passed


@pytest.mark.parametrize(
    ("request_", "attempts", "step"),
    [
        (SIGN_OFF, [LOST_ANSWER], Step.RESUME),
        (SIGN_OFF, [LOST_ANSWER, RESUME_NOT_FOUND], Step.GET_STATE),
        (SIGN_OFF, [NOT_SENT], Step.POST),
        (SIGN_OFF, [refusal("draining")], Step.POST),
        (SIGN_OFF, [LOST_ANSWER, refusal("", 200, Step.GET_STATE)], Step.POST),
        (SIGN_OFF, [STILL_ACTIVE], Step.RESUME),
        (
            SIGN_OFF,
            [LOST_ANSWER, Attempt(step=Step.GET_STATE, router="r", status=404)],
            Step.STOP,
        ),
        (SIGN_OFF, [Attempt(step=Step.POST, router="r", status=502)], Step.STOP),
        (FETCH, [LOST_ANSWER], Step.POST),
        (MODEL_REQUEST, [LOST_ANSWER], Step.RESUME),
        (MODEL_REQUEST, [RESUME_NOT_FOUND], Step.POST),
        (MODEL_REQUEST, [refusal("budget_spent", 503)], Step.STOP),
        (MODEL_REQUEST, [refusal("invalid", 400)], Step.STOP),
        (MODEL_REQUEST, [LOST_ANSWER] * 12, Step.STOP),
    ],
)
def test_non_idempotent_request_is_posted_again_only_if_it_was_not_run(
    request_, attempts, step
):
    assert next_step(request_, attempts).step is step


def test_caller_changes_router_only_if_it_fails_or_shuts_down():
    """Guards against changing router after every refusal.

    Callers would then use routers of other regions across the inter-region link.
    """
    for attempt, changes_router in (
        (LOST_ANSWER, True),
        (NOT_SENT, True),
        (refusal("draining"), True),
        (refusal("overloaded"), False),
        (RESUME_NOT_FOUND, False),
    ):
        assert next_step(MODEL_REQUEST, [attempt]).change_router is changes_router


def test_outcome_stays_unknown_if_a_refusal_follows_a_lost_answer():
    attempts = [LOST_ANSWER, refusal("overloaded")]
    assert final_outcome(MODEL_REQUEST, attempts) is CallOutcome.MAY_HAVE_RUN
    assert final_outcome(MODEL_REQUEST, attempts[1:]) is CallOutcome.NOT_RUN


def test_trace_error_names_the_faulty_line():
    prompt = PromptParameters("shared", 20, "own", 3)
    size = len(prompt.text())
    valid = msgspec.structs.replace(MODEL_REQUEST, prompt=prompt, size=size)
    invalid = msgspec.structs.replace(valid, size=size + 1)
    assert decode_trace(encode_trace([valid])).unwrap() == [valid]
    for text in (
        encode_trace([valid, invalid]),
        encode_trace([valid]) + '{"speed": 1}\n',
    ):
        assert str(decode_trace(text, path="t").unwrap_err()).startswith("t:2: ")


class FakeRouter:
    """Fakes a router that breaks off the first answer to each request.

    It resumes a stream after the last event that the caller received and does not
    find the state or answer of a sign-off.
    """

    def __init__(self):
        self.calls = []

    async def handle(self, request, writer):
        headers = dict(request.headers)
        self.calls.append((request.method, request.path))
        if request.path.startswith("/v1/apps"):
            if len(self.calls) == 1:
                return
            await writer.send(json_response(200, {"path": request.path}))
            return
        if request.method == "GET" and "last-event-id" not in headers:
            # The caller asks for the sign-off's answer or state. The outcome in this
            # error is that of the GET, not that of the sign-off.
            error = {"type": "unknown_request", "outcome": "not_run"}
            await writer.send(json_response(404, {"error": error}))
            return
        await writer.start(200, [("content-type", "text/event-stream")])
        if request.method == "POST":
            await writer.write(b'id: 11\ndata: {"text": "amber-dusk "}\n\n')
            return
        # The resumed stream repeats an event that the caller already received.
        assert headers["last-event-id"] == "11"
        await writer.write(b'id: 11\ndata: {"text": "amber-dusk "}\n\nid: 22\n')
        await writer.write(b'data: {"text": "bright-sky "}\n\n')
        request_id = request.path.split("/")[3]
        done = {
            "length": 22,
            "digest": ANSWER_DIGEST,
            "tokens": 3,
            "request_id": request_id,
        }
        await writer.write(b"event: done\ndata: " + msgspec.json.encode(done) + b"\n\n")
        await writer.finish()


async def replay_against_fake_routers(request):
    fake_routers = [FakeRouter(), FakeRouter()]
    async with trio.open_nursery() as nursery:
        routers = []
        for fake_router in fake_routers:
            start_server = partial(serve, fake_router.handle, address=ANY_PORT)
            routers.append(Router("west", await nursery.start(start_server)))
        unreachable = Router("west", Address(host="127.0.0.1", port=1))
        options = PlayOptions(routers=[unreachable, *routers], key_secret="k")
        with trio.fail_after(30):
            player = Player(options=options, timers=TimerService())
            (record,) = await player.play([request])
        nursery.cancel_scope.cancel()
    return record, [call for fake_router in fake_routers for call in fake_router.calls]


def test_broken_stream_is_resumed_at_another_router():
    """Guards against posting the request again, which would bill a second run."""
    record, calls = trio.run(replay_against_fake_routers, MODEL_REQUEST)
    assert (record.outcome, record.digest) == (CallOutcome.RAN, ANSWER_DIGEST)
    assert sorted(method for method, _ in calls) == ["GET", "POST"]


def test_state_of_a_broken_sign_off_is_queried_instead_of_posting_it_again():
    record, calls = trio.run(replay_against_fake_routers, SIGN_OFF)
    assert record.outcome is CallOutcome.MAY_HAVE_RUN
    assert sorted(method for method, _ in calls) == ["GET", "GET", "POST"]


def test_ledger_is_read_as_routers_write_it():
    """Guards against usage entries that the reader misses.

    Their requests would appear to have run without a bill.
    """
    request_id = "01957a00-0000-7000-8000-000000000001"
    record = BudgetRecord(
        limit=100,
        settled=7,
        grants_by_id={"g": OpenedGrant(1, 20), "h": OpenedGrant(2, 3)},
        usage_by_id={pack_request_id(request_id): UsageEntry(7, 0)},
    )

    async def check():
        async with trio.open_nursery() as nursery:
            start_server = partial(serve, ConfigStore().handle, address=ANY_PORT)
            store = Store(address=await nursery.start(start_server))
            shard = LedgerShard({BUDGET_KEY: record})
            assert (await store.put("ledger/0003", shard.encode(), version=0)).is_ok()
            assert (await read_ledger(store)).unwrap() == {
                BUDGET_KEY: BudgetEvidence(
                    limit=100,
                    settled=7,
                    granted=23,
                    tokens_by_request_id={request_id: 7},
                )
            }
            assert (await store.put("ledger/0004", b"x", version=0)).is_ok()
            assert (await read_ledger(store)).is_err()
            nursery.cancel_scope.cancel()

    trio.run(check)


@pytest.mark.parametrize("user", list(PROFILE_BY_USER))
def test_committed_trace_equals_the_generated_one_and_fits_the_example(user):
    """Guards against a trace whose routes are not configured.

    Its replay would consist of refusals only.
    """
    text = (EXAMPLES / "traces" / f"{user}.jsonl").read_text(encoding="utf-8")
    assert encode_trace(TraceGenerator(user=user, seed=1).make()) == text
    folder = EXAMPLES / user
    text_by_name = {path.name: path.read_text() for path in folder.glob("*.yaml")}
    config = merge_files(text_by_name).unwrap()
    regions = {domain.region for domain in config.failure_domains.values()}
    for request in decode_trace(text).unwrap():
        assert request.region in regions
        assert request.organisation in config.organisations
        route = config.routes.get(request.route)
        assert (route is not None) == (request.expected is Expected.RAN)
        if route is not None and route.kind == "app":
            assert request.method in route.methods
            assert (request.worst_case, request.idempotent) == (
                route.cost_tokens,
                route.idempotent,
            )
