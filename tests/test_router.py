"""Tests of a router with fake agents: answers, retries, claims and drain."""

import hashlib

import msgspec
import pytest
import trio
from hypothesis import given, settings, strategies as st

from lavenderfold.http import HttpClient, HttpRequest, ResponseLostError
from lavenderfold.messages import Frame, RunAccepted
from lavenderfold.outcomes import MayHaveRun, NotRun, Reason
from lavenderfold.router._answers import AnswerAssembler, RelayProgress
from tests.router_fleet import (
    ANSWER,
    ANSWER_PATH,
    SIGNOFF_PATH,
    FakeAgent,
    Fleet,
    completion,
    make_frames,
    new_id,
    ran_outcome,
    response_error,
    run_ended,
    run_fleet,
    wait_until,
)

property_test = settings(derandomize=True, deadline=None, max_examples=100)


def parse_stream(body: bytes) -> tuple[str, list[int], dict]:
    """Return the text, the event ids and the final event of an event stream."""
    texts, ids, end = [], [], {}
    for event in body.decode().split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        data = msgspec.json.decode(fields["data"])
        if fields.get("event") == "done":
            end = data
        else:
            texts.append(data["text"])
            ids.append(int(fields["id"]))
    return "".join(texts), ids, end


def test_complete_answer_is_delivered_and_charged():
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        response = await fleet.call("POST", "/v1/completions", completion())
        assert response.status == 200
        answer = msgspec.json.decode(response.body)
        assert answer["text"] == ANSWER.decode()
        assert answer["digest"] == ran_outcome(ANSWER).digest
        assert answer["usage"] == {"tokens": 20}
        await wait_until(lambda: agent.stored == [agent.runs[0].run_id])
        assert fleet.budget_record().settled == 20
        assert fleet.budget_record().usage(answer["id"]) == 20
        status = msgspec.json.decode((await fleet.call_operator_api("/v1/status")).body)
        assert status["targets"][0]["connected"]
        events = await fleet.call_operator_api(f"/v1/decisions/{answer['id']}")
        names = [each["event"] for each in msgspec.json.decode(events.body)["events"]]
        assert names == ["admitted", "routed", "ended"]

    run_fleet(check, agent)


def test_streamed_answer_has_byte_offsets_and_a_final_event():
    """Callers resume at the id of an event, so event ids must be byte offsets."""
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        body = completion(stream=True)
        response = await fleet.call("POST", "/v1/completions", body)
        text, ids, end = parse_stream(response.body)
        assert text.encode() == ANSWER
        assert ids[-1] == len(ANSWER) == end["length"]
        assert end["digest"] == hashlib.sha256(ANSWER).hexdigest()
        target = f"/v1/requests/{end['request_id']}/answer"
        for offset in (0, ids[3], len(ANSWER)):
            headers = {"last-event-id": str(offset)}
            response = await fleet.call("GET", target, headers=headers)
            text, _, resumed_end = parse_stream(response.body)
            assert text.encode() == ANSWER[offset:]
            assert resumed_end == end

    run_fleet(check, agent)


@st.composite
def frame_deliveries(draw):
    """Return the frames of ANSWER, and the same with duplicates and in any order."""
    cuts = sorted(draw(st.sets(st.integers(1, len(ANSWER) - 1), max_size=8)))
    bounds = list(zip([0, *cuts], [*cuts, len(ANSWER)], strict=True))
    frames = [Frame("r", start, ANSWER[start:end], 1) for start, end in bounds]
    extra = draw(st.lists(st.sampled_from(frames), max_size=6))
    return frames, draw(st.permutations(frames + extra))


@property_test
@given(frame_deliveries(), st.integers(0, len(ANSWER)))
def test_frames_in_any_order_give_the_exact_answer(delivery, relayed_length):
    """A late, duplicate or early frame must not change the caller's bytes."""
    frames, order = delivery
    digest = hashlib.sha256(ANSWER[:relayed_length]).hexdigest()
    assembler = AnswerAssembler(
        relay_progress=RelayProgress(length=relayed_length, digest=digest)
    )
    received = b""
    for frame in order:
        received += assembler.accept(frame)
        assert (
            received == ANSWER[relayed_length : max(relayed_length, assembler.offset)]
        )
    for frame in frames:
        # The agent sends the frames again after a gap.
        received += assembler.accept(frame)
    assert received == ANSWER[relayed_length:]
    assert assembler.is_exact(ran_outcome(ANSWER))
    assert not assembler.is_exact(ran_outcome(ANSWER[:-1]))


def test_retry_with_a_different_answer_is_detected():
    """The parts of two different answers must never be joined."""
    relay_progress = RelayProgress(
        length=10, digest=hashlib.sha256(b"0123456789").hexdigest()
    )
    assembler = AnswerAssembler(relay_progress=relay_progress)
    assert assembler.accept(Frame("r", 0, b"012345678X rest", 1)) == b""
    assert assembler.has_diverged


def answer_out_of_order(agent: FakeAgent, run) -> list:
    frames = make_frames(run.run_id, ANSWER)
    reordered = [frames[1], frames[0], frames[0], *frames[3:], frames[2]]
    return [
        RunAccepted(run.run_id),
        *reordered,
        run_ended(run.run_id, ran_outcome(ANSWER)),
    ]


def test_gap_in_frames_is_resumed():
    agent = FakeAgent("t1", answer_run=answer_out_of_order)

    async def check(fleet: Fleet):
        response = await fleet.call("POST", "/v1/completions", completion(stream=True))
        text, _, end = parse_stream(response.body)
        assert text.encode() == ANSWER
        assert end["digest"] == ran_outcome(ANSWER).digest
        assert agent.resumes

    run_fleet(check, agent)


def test_stream_with_wrong_digest_has_no_final_event():
    """An answer with a wrong digest must not look complete to the caller."""
    release_event = trio.Event()

    def answer_wrongly(agent: FakeAgent, run) -> list:
        first, *rest = make_frames(run.run_id, ANSWER)
        return [
            first,
            release_event,
            *rest,
            run_ended(run.run_id, ran_outcome(ANSWER[::-1])),
        ]

    async def check(fleet: Fleet):
        client = HttpClient(address=fleet.router.addresses["listen"])
        request = HttpRequest(
            method="POST",
            target="/v1/completions",
            headers=[("authorization", "Bearer regina.secret")],
            body=completion(stream=True),
        )
        received = b""
        with pytest.raises(ResponseLostError):
            async with client.stream(request) as response:
                async for part in response.chunks():
                    release_event.set()
                    received += part
        assert b"event: done" not in received

    run_fleet(check, FakeAgent("t1", answer_run=answer_wrongly))


def test_caller_of_another_organisation_gets_404():
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        response = await fleet.call("POST", "/v1/completions", completion())
        request_id = msgspec.json.decode(response.body)["id"]
        for target in (f"/v1/requests/{request_id}", ANSWER_PATH.format(request_id)):
            assert (await fleet.call("GET", target)).status == 200
            other_response = await fleet.call("GET", target, key="hobart.secret")
            assert other_response.status == 404
            assert ANSWER[:20] not in other_response.body

    run_fleet(check, agent)


def refuse_with(outcome):
    def answer(agent: FakeAgent, run) -> list:
        return [run_ended(run.run_id, outcome)]

    return answer


def test_refused_run_is_retried_only_at_other_targets():
    refuse_overloaded = refuse_with(NotRun(Reason.OVERLOADED))
    agents = [
        FakeAgent("t1", answer_run=refuse_overloaded),
        FakeAgent("t2", answer_run=refuse_overloaded),
    ]
    agents.append(FakeAgent("t3"))

    async def check(fleet: Fleet):
        for _ in range(5):
            response = await fleet.call("POST", "/v1/completions", completion())
            assert response.status == 200
        for agent in agents[:2]:
            ids = [run.key.request_id for run in agent.runs]
            assert len(ids) == len(set(ids))
        attempts = [run.attempt for agent in agents for run in agent.runs]
        assert max(attempts) > 1

    run_fleet(check, *agents)


def test_overload_everywhere_is_refused_as_not_run():
    agent = FakeAgent("t1", answer_run=refuse_with(NotRun(Reason.OVERLOADED)))

    async def check(fleet: Fleet):
        response = await fleet.call("POST", "/v1/completions", completion())
        assert response.status == 503
        assert response.header("retry-after")
        assert response_error(response)["outcome"] == "not_run"
        await wait_until(lambda: fleet.router.is_idle)
        assert fleet.budget_record().settled == 0

    run_fleet(check, agent)


@pytest.mark.parametrize("outcome", ["lost link", "may have run"])
def test_only_idempotent_requests_are_retried_after_an_unknown_outcome(outcome):
    """A non-idempotent request that may have run is never sent again.

    Otherwise it could run twice.
    """

    def answer(agent: FakeAgent, run) -> list:
        if outcome == "lost link":
            agent.answer_resume = lambda message: [None]
            return [RunAccepted(run.run_id), None]
        return [run_ended(run.run_id, MayHaveRun(Reason.TARGET_FAILED))]

    agents = [
        FakeAgent("app1", answer_run=answer),
        FakeAgent("app2", answer_run=answer),
    ]

    async def check(fleet: Fleet):
        headers = {"idempotency-key": new_id()}
        response = await fleet.call("POST", SIGNOFF_PATH, b"{}", headers=headers)
        assert response.status == 502
        assert response_error(response)["outcome"] == "may_have_run"
        assert sum(len(agent.runs) for agent in agents) == 1
        again = await fleet.call("POST", SIGNOFF_PATH, b"{}", headers=headers)
        assert response_error(again)["outcome"] == "may_have_run"
        assert sum(len(agent.runs) for agent in agents) == 1
        for agent in agents:
            agent.runs.clear()
        await fleet.call("GET", "/v1/apps/readings/x")
        assert sum(len(agent.runs) for agent in agents) > 1

    run_fleet(check, *agents)


def test_signoff_runs_once_and_its_answer_is_replayed():
    agent = FakeAgent("app1")

    async def check(fleet: Fleet):
        second = await fleet.start_router()
        await fleet.install(fleet.router.state.config, second)
        headers = {"idempotency-key": new_id()}
        for router in (fleet.router, fleet.router, second):
            response = await fleet.call(
                "POST", SIGNOFF_PATH, b"{}", headers=headers, router=router
            )
            assert (response.status, response.body) == (201, ANSWER)
            assert response.header("content-type") == "text/plain"
            assert response.header("x-answer-digest") == ran_outcome(ANSWER).digest
        assert len(agent.runs) == 1
        other = await fleet.call("POST", SIGNOFF_PATH, b"[]", headers=headers)
        assert other.status == 409
        assert fleet.budget_record().settled == 10

    run_fleet(check, agent)


def test_signoff_without_the_store_is_refused_as_not_run():
    """Without a durable claim, a retry at another router could run it twice."""
    agent = FakeAgent("app1")

    async def check(fleet: Fleet):
        await fleet.call("GET", "/v1/apps/readings/x")
        fleet.config_store.faults.down = True
        headers = {"idempotency-key": new_id()}
        response = await fleet.call("POST", SIGNOFF_PATH, b"{}", headers=headers)
        assert response.status == 503
        assert response_error(response)["type"] == "claim_unavailable"
        readings = await fleet.call("GET", "/v1/apps/readings/x")
        assert readings.status == 201
        assert [run.method for run in agent.runs] == ["GET", "GET"]

    run_fleet(check, agent, wait_s=0.5)


def hold_answer(release_event: trio.Event):
    def answer(agent: FakeAgent, run) -> list:
        first, *rest = make_frames(run.run_id, ANSWER)
        return [first, release_event, *rest, run_ended(run.run_id, ran_outcome(ANSWER))]

    return answer


def test_drain_completes_answers_and_hands_back_grants():
    """A drain completes answers in flight and hands back unused tokens.

    Otherwise a SIGTERM would cut answers off and leave tokens charged for grants.
    """
    release_event = trio.Event()
    agent = FakeAgent("t1", answer_run=hold_answer(release_event))

    async def check(fleet: Fleet):
        bodies = []

        async def stream():
            body = completion(stream=True)
            bodies.append((await fleet.call("POST", "/v1/completions", body)).body)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await wait_until(lambda: agent.runs)
            fleet.router.drain()
            refused = await fleet.call("POST", "/v1/completions", completion())
            assert (refused.status, response_error(refused)["type"]) == (
                503,
                "draining",
            )
            assert (await fleet.call("GET", "/healthz")).status == 503
            assert not fleet.router.finished.is_set()
            release_event.set()
        text, _, end = parse_stream(bodies[0])
        assert text.encode() == ANSWER
        assert end["length"] == len(ANSWER)
        with trio.fail_after(10):
            await fleet.router.finished.wait()
        assert fleet.budget_record().settled == fleet.budget_record().charged == 20
        assert len(agent.runs) == 1

    run_fleet(check, agent)


def test_disconnected_caller_resumes_at_another_router():
    release_event = trio.Event()
    agent = FakeAgent("t1", answer_run=hold_answer(release_event))

    async def check(fleet: Fleet):
        second = await fleet.start_router()
        await fleet.install(fleet.router.state.config, second)
        request_id = new_id()
        with trio.move_on_after(0.3):
            headers = {"idempotency-key": request_id}
            body = completion(stream=True)
            await fleet.call("POST", "/v1/completions", body, headers=headers)
        assert len(agent.runs) == 1
        release_event.set()
        response = await fleet.call(
            "GET",
            ANSWER_PATH.format(request_id),
            headers={"last-event-id": "8"},
            router=second,
        )
        text, _, _ = parse_stream(response.body)
        assert text.encode() == ANSWER[8:]
        await wait_until(lambda: fleet.budget_record().usage(request_id) == 20)

    run_fleet(check, agent)


def test_repeated_call_joins_the_run_in_progress():
    """A caller that retries too early must not be run or charged a second time."""
    release_event = trio.Event()
    agent = FakeAgent("t1", answer_run=hold_answer(release_event))

    async def check(fleet: Fleet):
        answers = []
        headers = {"idempotency-key": new_id()}

        async def call():
            body = completion()
            answers.append(
                await fleet.call("POST", "/v1/completions", body, headers=headers)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: agent.runs)
            nursery.start_soon(call)
            await wait_until(lambda: agent.resumes)
            release_event.set()
        texts = [msgspec.json.decode(answer.body)["text"] for answer in answers]
        assert texts == [ANSWER.decode()] * 2
        assert len(agent.runs) == 1

    run_fleet(check, agent)
