"""The replay's outcome checks, steps and player."""

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
TEXT = b"amber-dusk bright-sky "
DIGEST = hashlib.sha256(TEXT).hexdigest()
KEY = BudgetKey("regina", "main")
ASK = TraceRequest(
    offset_s=0.0,
    organisation="regina",
    route="quick-answer",
    kind=RequestKind.QUICK,
    region="west",
    size=5,
    prompt="hello",
    max_tokens=10,
    stream=True,
    answer_digest=DIGEST,
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
LOST = Attempt(step=Step.POST, router="r")
ACTIVE = Attempt(step=Step.GET_STATE, router="r", status=200, active=True)
MISSED = Attempt(step=Step.RESUME, router="r", status=404)
UNSENT = Attempt(step=Step.POST, router="r", sent=False, outcome=CallOutcome.NOT_RUN)


def refusal(reason: str, status: int = 503, step: Step = Step.POST) -> Attempt:
    return Attempt(
        step=step,
        router="r",
        status=status,
        outcome=CallOutcome.NOT_RUN,
        reason=reason,
    )


UNREACHED = refusal("budget_unavailable")


def good_records() -> list[CallRecord]:
    """Return a model answer, a sign-off and a refusal, all in order."""
    answer = CallRecord(
        request=ASK,
        request_id="a",
        due_s=0.0,
        outcome=CallOutcome.RAN,
        answered=True,
        length=len(TEXT),
        digest=DIGEST,
        head=TEXT,
        stated_length=len(TEXT),
        stated_digest=DIGEST,
        stated_request_id="a",
        stated_tokens=3,
    )
    signed = CallRecord(
        request=SIGN_OFF,
        request_id="s",
        due_s=0.0,
        outcome=CallOutcome.RAN,
        answered=True,
        digest=DIGEST,
        head=b'{"path": "/lamp/7"}',
        stated_digest=DIGEST,
        stated_request_id="s",
    )
    refused = CallRecord(
        request=msgspec.structs.replace(ASK, expected=Expected.NOT_RUN, worst_case=90),
        request_id="n",
        due_s=0.0,
        outcome=CallOutcome.NOT_RUN,
        attempts=[refusal("budget_spent", 402)],
    )
    return [answer, signed, refused]


def good_case() -> tuple[list[CallRecord], Evidence]:
    """Return the good records with the evidence that fits them."""
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
    evidence = Evidence(before={KEY: before}, after={KEY: after}, runs=runs)
    return good_records(), evidence


def failed_checks(records: list[CallRecord], evidence: Evidence) -> set[str]:
    checks = select_checks(faults_injected=False)
    verdict = run_checks(records, evidence, check_by_name=checks)
    return {name for name, found in verdict.findings_by_check.items() if found}


def budget(**changes) -> dict:
    return {
        "after": {KEY: msgspec.structs.replace(good_case()[1].after[KEY], **changes)}
    }


def usage(settled: int, **tokens_by_request_id: int) -> dict:
    return budget(settled=settled, tokens_by_request_id=tokens_by_request_id)


def run_twice(request_id: str, times: int = 2) -> dict:
    extra = RunEvidence(target="other", request_id=request_id)
    return {"runs": good_case()[1].runs + [extra] * (times - 1)}


def test_all_outcomes_hold_for_a_good_record():
    assert failed_checks(*good_case()) == set()


@pytest.mark.parametrize(
    ("check", "index", "record_changes", "evidence_changes"),
    [
        ("whole answers", 0, {"length": 3}, {}),
        ("whole answers", 0, {"stated_digest": "0"}, {}),
        ("whole answers", 1, {"stated_digest": ""}, {}),
        ("own answers", 0, {"stated_request_id": "b"}, {}),
        ("own answers", 0, {"digest": "0", "stated_digest": "0"}, {}),
        ("own answers", 1, {"head": b'{"path": "/lamp/8"}'}, {}),
        ("refused means not run", 2, {}, run_twice("n")),
        ("billed once", 0, {}, usage(9, old=4, s=5)),
        ("billed once", 0, {}, usage(16, old=4, a=7, s=5)),
        ("billed once", 0, {}, usage(15, old=4, a=3, s=5)),
        ("billed once", 2, {}, usage(13, old=4, a=3, s=5, n=1)),
        ("billed once", 0, {"stated_tokens": 1}, usage(10, old=4, a=1, s=5)),
        ("no overspend", 0, {}, budget(granted=89)),
        ("no overspend", 0, {"stated_tokens": 97}, {}),
        ("no double sign-off", 1, {}, run_twice("s")),
        ("no false refusal", 2, {}, budget(limit=102)),
        ("no false refusal", 2, {"attempts": [UNREACHED]}, budget(limit=102)),
        ("as expected", 0, {"answered": False}, {}),
        ("as expected", 0, {}, {"runs": []}),
        ("as expected", 0, {"outcome": CallOutcome.MAY_HAVE_RUN}, {}),
        ("as expected", 1, {"fault": "the caller's time ran out"}, {}),
    ],
)
def test_faulty_record_fails_its_check(check, index, record_changes, evidence_changes):
    """A check that can't fail would report outcomes that nobody verified."""
    records, evidence = good_case()
    records[index] = msgspec.structs.replace(records[index], **record_changes)
    evidence = msgspec.structs.replace(evidence, **evidence_changes)
    if check == "no false refusal":
        evidence.before = {}
    assert check in failed_checks(records, evidence)


def test_bill_of_another_organisation_is_found():
    records, evidence = good_case()
    other = BudgetEvidence(limit=9, settled=3, tokens_by_request_id={"a": 3})
    evidence.after[BudgetKey("saskatoon", "main")] = other
    assert failed_checks(records, evidence) == {"billed once"}


def test_unknown_sign_off_is_excused_only_while_faults_are_injected():
    records, evidence = good_case()
    records[1].outcome = CallOutcome.MAY_HAVE_RUN
    checks = select_checks(faults_injected=True)
    assert run_checks(records, evidence, check_by_name=checks).all_passed
    records[0].outcome = CallOutcome.MAY_HAVE_RUN
    assert not run_checks(records, evidence, check_by_name=checks).all_passed


@pytest.mark.parametrize(
    ("request_", "attempts", "step"),
    [
        (SIGN_OFF, [LOST], Step.RESUME),
        (SIGN_OFF, [LOST, MISSED], Step.GET_STATE),
        (SIGN_OFF, [UNSENT], Step.POST),
        (SIGN_OFF, [refusal("draining")], Step.POST),
        (SIGN_OFF, [LOST, refusal("", 200, Step.GET_STATE)], Step.POST),
        (SIGN_OFF, [ACTIVE], Step.RESUME),
        (
            SIGN_OFF,
            [LOST, Attempt(step=Step.GET_STATE, router="r", status=404)],
            Step.STOP,
        ),
        (SIGN_OFF, [Attempt(step=Step.POST, router="r", status=502)], Step.STOP),
        (FETCH, [LOST], Step.POST),
        (ASK, [LOST], Step.RESUME),
        (ASK, [MISSED], Step.POST),
        (ASK, [refusal("budget_spent", 503)], Step.STOP),
        (ASK, [refusal("invalid", 400)], Step.STOP),
        (ASK, [LOST] * 12, Step.STOP),
    ],
)
def test_request_that_must_not_repeat_is_posted_again_only_if_not_run(
    request_, attempts, step
):
    assert next_step(request_, attempts).step is step


def test_caller_leaves_a_router_only_if_it_fails_or_shuts_down():
    """Callers that move for every refusal would cross the link between regions."""
    for attempt, moves in (
        (LOST, True),
        (UNSENT, True),
        (refusal("draining"), True),
        (refusal("overloaded"), False),
        (MISSED, False),
    ):
        assert next_step(ASK, [attempt]).change_router is moves


def test_refusal_after_a_lost_answer_does_not_prove_that_nothing_ran():
    attempts = [LOST, refusal("overloaded")]
    assert final_outcome(ASK, attempts) is CallOutcome.MAY_HAVE_RUN
    assert final_outcome(ASK, attempts[1:]) is CallOutcome.NOT_RUN


def test_trace_names_the_line_of_a_fault():
    prompt = PromptParameters("shared", 20, "own", 3)
    size = len(prompt.text())
    good = msgspec.structs.replace(ASK, prompt=prompt, size=size)
    bad = msgspec.structs.replace(good, size=size + 1)
    assert decode_trace(encode_trace([good])).unwrap() == [good]
    for text in (encode_trace([good, bad]), encode_trace([good]) + '{"speed": 1}\n'):
        assert str(decode_trace(text, path="t").unwrap_err()).startswith("t:2: ")


class FakeRouter:
    """Breaks the first answer of each request; resumes from the last event."""

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
            # Look-ups of the sign-off; their outcome isn't that of the request.
            error = {"type": "unknown_request", "outcome": "not_run"}
            await writer.send(json_response(404, {"error": error}))
            return
        await writer.start(200, [("content-type", "text/event-stream")])
        if request.method == "POST":
            await writer.write(b'id: 11\ndata: {"text": "amber-dusk "}\n\n')
            return
        # The resumed stream repeats the event that the caller has already.
        assert headers["last-event-id"] == "11"
        await writer.write(b'id: 11\ndata: {"text": "amber-dusk "}\n\nid: 22\n')
        await writer.write(b'data: {"text": "bright-sky "}\n\n')
        request_id = request.path.split("/")[3]
        done = {"length": 22, "digest": DIGEST, "tokens": 3, "request_id": request_id}
        await writer.write(b"event: done\ndata: " + msgspec.json.encode(done) + b"\n\n")
        await writer.finish()


async def play_against_fakes(request):
    fakes = [FakeRouter(), FakeRouter()]
    async with trio.open_nursery() as nursery:
        routers = []
        for fake in fakes:
            start = partial(serve, fake.handle, address=ANY_PORT)
            routers.append(Router("west", await nursery.start(start)))
        dead = Router("west", Address(host="127.0.0.1", port=1))
        options = PlayOptions(routers=[dead, *routers], key_secret="k")
        with trio.fail_after(30):
            player = Player(options=options, timers=TimerService())
            (record,) = await player.play([request])
        nursery.cancel_scope.cancel()
    return record, [call for fake in fakes for call in fake.calls]


def test_broken_stream_is_resumed_at_another_router():
    """A caller that posts again would pay for a second run."""
    record, calls = trio.run(play_against_fakes, ASK)
    assert (record.outcome, record.digest) == (CallOutcome.RAN, DIGEST)
    assert sorted(method for method, _ in calls) == ["GET", "POST"]


def test_broken_sign_off_is_asked_about_and_not_posted_again():
    record, calls = trio.run(play_against_fakes, SIGN_OFF)
    assert record.outcome is CallOutcome.MAY_HAVE_RUN
    assert sorted(method for method, _ in calls) == ["GET", "GET", "POST"]


def test_ledger_is_read_as_routers_write_it():
    """Unread usage would look like requests that ran without a bill."""
    request_id = "01957a00-0000-7000-8000-000000000001"
    record = BudgetRecord(
        limit=100,
        settled=7,
        grants_by_id={"g": OpenedGrant(1, 20), "h": OpenedGrant(2, 3)},
        usage_by_id={pack_request_id(request_id): UsageEntry(7, 0)},
    )

    async def check():
        async with trio.open_nursery() as nursery:
            start = partial(serve, ConfigStore().handle, address=ANY_PORT)
            store = Store(address=await nursery.start(start))
            shard = LedgerShard({KEY: record})
            assert (await store.put("ledger/0003", shard.encode(), version=0)).is_ok()
            assert (await read_ledger(store)).unwrap() == {
                KEY: BudgetEvidence(
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
def test_committed_trace_is_the_generated_one_and_fits_the_example(user):
    """A trace that names no configured route would replay nothing but refusals."""
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
