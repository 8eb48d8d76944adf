"""The commands ``status``, ``budget``, ``explain`` and ``apply`` of lavenderfoldctl."""

import pytest
import trio

from lavenderfold.config import EditConflictError
from lavenderfold.ctl import _changes, _reports, _routers
from lavenderfold.ctl._errors import BadInputError, CommandError
from lavenderfold.ctl._options import Options
from lavenderfold.messages import Run
from lavenderfold.outcomes import MayHaveRun, NotRun, Reason
from lavenderfold.router import _decision_log
from lavenderfold.settings import Address
from tests.router_fleet import (
    SIGNOFF_PATH,
    FakeAgent,
    Fleet,
    answer_at_once,
    completion,
    config_text,
    new_id,
    run_ended,
    run_fleet,
    wait_until,
)

NOWHERE = Address(host="127.0.0.1", port=1)


def options_of(fleet: Fleet, *arguments: str, **changes) -> Options:
    given = {
        "store": fleet.store_address,
        "routers": [router.addresses["operator_listen"] for router in fleet.routers],
    }
    return Options(arguments=list(arguments), **{**given, **changes})


async def explain(fleet: Fleet, request_id: str, capsys, **changes) -> list[str]:
    """Return the lines that the command ``explain`` prints."""
    capsys.readouterr()
    await _reports.explain(options_of(fleet, request_id, **changes))
    return capsys.readouterr().out.splitlines()


async def error_message_of(command, options: Options) -> str:
    with pytest.raises(CommandError) as raised:
        await command(options)
    return str(raised.value)


def test_explain_shows_the_bill_and_readable_times(capsys):
    """The ledger stores bills under packed ids, so that a search by text finds none."""

    async def check(fleet: Fleet):
        request_id = new_id()
        headers = {"idempotency-key": request_id}
        await fleet.call("POST", "/v1/completions", completion(), headers=headers)
        await wait_until(lambda: fleet.budget_record().usage(request_id) is not None)
        lines = await explain(fleet, request_id, capsys)
        assert lines[-1] == "ledger=regina/main billed=20"
        assert "budget=regina/main" in lines[0]
        assert "event=ended target=t1 outcome=Ran tokens=20" in lines[2]
        for line in lines[:-1]:
            assert line[:7] == "time=20"
            assert line.split()[0].endswith("Z")

    run_fleet(check, FakeAgent("t1"))


def test_explain_shows_why_a_request_was_retried(capsys):
    """Two ``routed`` events alone don't show what failed at the first target."""
    failed: list[str] = []

    def answer(agent: FakeAgent, run: Run) -> list:
        if failed:
            return answer_at_once(agent, run)
        failed.append(agent.name)
        return [
            run_ended(run.run_id, NotRun(Reason.CONNECTION_FAILED, "engine is gone"))
        ]

    async def check(fleet: Fleet):
        headers = {"idempotency-key": new_id()}
        await fleet.call("POST", "/v1/completions", completion(), headers=headers)
        lines = await explain(fleet, headers["idempotency-key"], capsys)
        [line] = [line for line in lines if "event=attempt_failed" in line]
        assert f"target={failed[0]} attempt=1 outcome=NotRun" in line
        assert 'reason=connection_failed detail="engine is gone"' in line

    agents = [FakeAgent(name, answer_run=answer) for name in ("t1", "t2")]
    run_fleet(check, *agents)


def test_explain_shows_a_refusal_for_a_spent_budget(capsys):
    """An operator must see which budget lacked the tokens."""

    async def check(fleet: Fleet):
        headers = {"idempotency-key": new_id()}
        response = await fleet.call(
            "POST", "/v1/completions", completion(), headers=headers
        )
        assert response.status == 402
        lines = await explain(fleet, headers["idempotency-key"], capsys)
        assert "budget=regina/main worst_case=" in lines[0]
        assert "event=refused reason=budget_spent" in lines[-1]
        assert "left in the budget" in lines[-1]

    run_fleet(check, FakeAgent("t1"), prepaid=10, wait_s=0.5)


def test_explain_shows_a_claim_that_may_have_run(capsys):
    """The state of the claim determines if the caller may retry under a new id."""

    def answer(_: FakeAgent, run: Run) -> list:
        return [run_ended(run.run_id, MayHaveRun(Reason.TARGET_FAILED, "no answer"))]

    async def check(fleet: Fleet):
        headers = {"idempotency-key": new_id()}
        await fleet.call("POST", SIGNOFF_PATH, b"{}", headers=headers)
        lines = await explain(fleet, headers["idempotency-key"], capsys)
        assert any("outcome=MayHaveRun reason=target_failed" in line for line in lines)
        assert "ledger=regina/main claim=" in lines[-1]

    run_fleet(check, FakeAgent("app1", answer_run=answer))


def test_explain_merges_the_decisions_of_two_routers(capsys):
    """The events of a request that moved to another router are shown as one list."""

    async def check(fleet: Fleet):
        second = await fleet.start_router()
        await fleet.install(fleet.router.state.config, second)
        headers = {"idempotency-key": new_id()}
        for router in (second, fleet.router):
            await fleet.call(
                "POST", SIGNOFF_PATH, b"{}", headers=headers, router=router
            )
        lines = await explain(fleet, headers["idempotency-key"], capsys)
        events = [line for line in lines if line.startswith("time=")]
        assert [line.split()[0] for line in events] == sorted(
            line.split()[0] for line in events
        )
        assert f"router={second.addresses['operator_listen']}" in events[0]
        first = f"router={fleet.router.addresses['operator_listen']}"
        assert any(first in line for line in events)

    run_fleet(check, FakeAgent("app1"))


def test_explain_of_an_unknown_id_says_where_to_look(capsys):
    """No record of a request differs from records that couldn't be read."""

    async def check(fleet: Fleet):
        options = options_of(fleet, new_id())
        assert "search their logs" in await error_message_of(_reports.explain, options)
        options = options_of(fleet, new_id(), store=None)
        assert "add --store" in await error_message_of(_reports.explain, options)
        options = options_of(fleet, new_id(), routers=[])
        assert "add --routers" in await error_message_of(_reports.explain, options)
        options = options_of(fleet, new_id(), routers=[NOWHERE])
        message = await error_message_of(_reports.explain, options)
        assert f"router {NOWHERE}: all attempts to connect" in message
        assert "operator_listen" in message
        assert "repeat this when" in message

    run_fleet(check, FakeAgent("t1"))


def test_listen_address_is_not_taken_for_a_router_without_events():
    """A 404 from it would wrongly mean that the router doesn't know the request."""

    async def check(fleet: Fleet):
        callers = fleet.router.addresses["listen"]
        [answer] = await _routers.read_decisions([callers], new_id())
        assert "expected the router's operator_listen" in str(answer.unwrap_err())
        [status] = await _routers.read_statuses([callers])
        assert "expected the router's operator_listen" in str(status.unwrap_err())

    run_fleet(check, FakeAgent("t1"))


def test_status_shows_what_answers_and_names_what_does_not(capsys):
    """A dead router or store must not prevent the status of the rest of the fleet."""

    async def check(fleet: Fleet):
        operator = fleet.router.addresses["operator_listen"]
        options = options_of(fleet, store=NOWHERE, routers=[operator, NOWHERE])
        message = await error_message_of(_reports.status, options)
        assert "the configuration store can't be used" in message
        assert "routers spend from their grants" in message
        assert f"router {NOWHERE}: " in message
        out = capsys.readouterr().out
        assert "router=r1 " in out
        assert "target=t1 connected=1/1" in out
        with pytest.raises(BadInputError, match="expected no argument"):
            await _reports.status(options_of(fleet, "regina"))

    run_fleet(check, FakeAgent("t1"))


def test_budget_shows_holders_and_a_store_that_is_down(capsys):
    """Without their holders, open grants can't be attributed to a dead router."""

    async def check(fleet: Fleet):
        texts = config_text(fleet.router.state.config)
        revisions = _reports.Revisions(
            store=_reports.Store(address=fleet.store_address)
        )
        applied = await revisions.apply(texts, base_revision=0, token="t")
        assert applied.is_ok()
        await fleet.call("POST", "/v1/completions", completion())
        capsys.readouterr()
        await _reports.budget(options_of(fleet, "regina"))
        [line] = capsys.readouterr().out.splitlines()
        assert f" holders={fleet.router.incarnation} " in line
        message = await error_message_of(
            _reports.budget, options_of(fleet, store=NOWHERE)
        )
        assert "check --store" in message

    run_fleet(check, FakeAgent("t1"))


def test_unreadable_ledger_is_an_error_that_names_the_key(capsys):
    """Reading a shard of another version used to end the command with a traceback."""

    async def check(fleet: Fleet):
        store = _reports.Store(address=fleet.store_address)
        assert (await store.put("ledger/0009", b"no shard", version=0)).is_ok()
        message = await error_message_of(_reports.explain, options_of(fleet, new_id()))
        assert "key 'ledger/0009'" in message
        assert "routers' version" in message

    run_fleet(check, FakeAgent("t1"))


def test_apply_without_the_store_says_that_nothing_was_applied(tmp_path):
    """An operator who doesn't know this could apply a payment a second time."""
    (tmp_path / "10.yaml").write_text("failure_domains: {}\n")
    options = Options(arguments=[str(tmp_path)], store=NOWHERE, base=0)
    message = trio.run(error_message_of, _changes.apply, options)
    assert "nothing was applied; check --store" in message


def test_conflict_says_how_to_continue():
    error = EditConflictError(names=["50.yaml"], base_revision=1, revision=4)
    message = str(_changes._command_error(error))
    assert "nothing was applied" in message
    assert "--base 4" in message


def test_decisions_keep_the_first_and_the_last_events():
    """The end of a request that waited for long must still be recorded."""
    decisions = _decision_log.DecisionLog(limit=2)
    request_id = new_id()
    decisions.record(request_id, "admitted")
    for number in range(200):
        decisions.record(request_id, "routed", attempt=number)
    decisions.record(request_id, "ended")
    names = [event["event"] for event in decisions.events(request_id)]
    assert len(names) == _decision_log.EVENTS_PER_REQUEST_LIMIT
    assert (names[0], names[-1]) == ("admitted", "ended")
