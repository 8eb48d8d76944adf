"""Tests of ``lavenderfoldctl`` against the store stand-in and fake routers."""

import shutil
import threading
from contextlib import ExitStack, contextmanager
from functools import partial
from pathlib import Path

import pytest
import trio
from result import Err, Ok

from lavenderfold.budgets import (
    BudgetRecord,
    ClaimEntry,
    OpenedGrant,
    UsageEntry,
    pack_request_id,
)
from lavenderfold.ctl import _changes, _reports
from lavenderfold.ctl.__main__ import main
from lavenderfold.ctl._ledger import LedgerReadError, read_ledger
from lavenderfold.http import json_response, serve
from lavenderfold.identifiers import BudgetKey
from lavenderfold.outcomes import Ran
from lavenderfold.settings import Address, parse_address
from lavenderfold.store import Store
from standins.config_store import ConfigStore

EXAMPLE = Path(__file__).parent.parent / "examples" / "prairie-dark-sky"
ANY_PORT = Address(host="127.0.0.1", port=0)
REQUEST_ID = "019b0000-0000-7000-8000-000000000001"
BUDGET_KEY = BudgetKey("big-coulee-park", "main")
RAN = Ran(tokens=90, length=1, digest="")
RECORD = BudgetRecord(
    limit=40_000_000,
    settled=100,
    unexplained=1,
    grants_by_id={"4-1": OpenedGrant(4, 500)},
    usage_by_id={pack_request_id(REQUEST_ID): UsageEntry(90, 0)},
    claims_by_id={
        pack_request_id(REQUEST_ID): ClaimEntry(
            "run", Ran(tokens=90, length=1, digest="")
        )
    },
)


@contextmanager
def served(handler):
    """Serve HTTP in another thread, because the command line runs its own trio loop.

    Yields the address of the server.
    """
    ready = threading.Event()
    server = {}

    async def run():
        async with trio.open_nursery() as nursery:
            server["address"] = await nursery.start(
                partial(serve, handler, address=ANY_PORT)
            )
            server["stop"] = nursery.cancel_scope.cancel
            server["token"] = trio.lowlevel.current_trio_token()
            ready.set()

    thread = threading.Thread(target=trio.run, args=(run,))
    thread.start()
    assert ready.wait(10)
    try:
        yield str(server["address"])
    finally:
        server["token"].run_sync_soon(server["stop"])
        thread.join()


@pytest.fixture
def store():
    store_standin = ConfigStore()
    with served(store_standin.handle) as address:
        store_standin.address = address
        yield store_standin


@pytest.fixture
def folder(tmp_path):
    shutil.copytree(EXAMPLE, tmp_path / "fleet")
    return tmp_path / "fleet"


@pytest.fixture
def ctl(capsys):
    def run(*words):
        capsys.readouterr()
        code = main(["lavenderfoldctl", *(str(word) for word in words)])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


@pytest.fixture
def ledger(monkeypatch):
    """Return a function that replaces the result of ``read_ledger``."""

    def replace(result):
        async def read_replacement(store):
            return result

        monkeypatch.setattr(_reports, "read_ledger", read_replacement)

    return replace


def test_check(ctl, folder):
    code, out, _ = ctl("check", folder)
    assert (code, out) == (
        0,
        "good: 9 files, 12 targets, 4 routes, 10 organisations\n",
    )
    (folder / "60-bad.yaml").write_text("targets: {x: {vm: 1}}")
    code, _, err = ctl("check", folder)
    assert code == 2
    assert "60-bad.yaml: targets.x.vm: Expected `str`, got `int`" in err


@pytest.mark.parametrize("name", ["50-topup.yml", "60.yaml~", "sub"])
def test_unexpected_file_in_the_folder_is_an_error(ctl, folder, name):
    """Skipping a top-up file with a wrong name would silently lose the top-up."""
    (folder / name).mkdir() if name == "sub" else (folder / name).write_text("")
    code, _, err = ctl("check", folder)
    assert code == 2
    assert err.startswith(f"{name}: file: expected")


def test_readme_and_hidden_files_are_skipped(ctl, folder):
    (folder / "README.md").write_text("text")
    (folder / ".swp").write_text("text")
    assert ctl("check", folder)[0] == 0


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        ([], "expected a command, one of check"),
        (["aply"], "expected a command"),
        (["check"], "expected one argument"),
        (["check", "a", "b"], "expected one argument"),
        (["check", "/nonexistent"], "expected a folder"),
        (["apply", EXAMPLE], "--store: expected IP:PORT"),
        (["apply", EXAMPLE, "--store", "localhost:1"], "--store: expected IP:PORT"),
        (["apply", EXAMPLE, "--store=127.0.0.1:1", "--base=-1"], "base"),
        (["apply", EXAMPLE, "--bse=1"], "bse"),
        (["status"], "expected --store"),
        (["explain", "no-uuid", "--store=127.0.0.1:1"], "expected a UUIDv7"),
        (["budget", "a", "b", "--store=127.0.0.1:1"], "at most one organisation"),
    ],
)
def test_bad_input_has_exit_code_2(ctl, words, expected):
    """Scripts must be able to tell invalid input from an outage."""
    code, out, err = ctl(*words)
    assert (code, out) == (2, "")
    assert expected in err


@pytest.mark.parametrize(
    "words", [["apply", EXAMPLE], ["plan", EXAMPLE], ["status"], ["budget"]]
)
def test_outage_has_exit_code_1(ctl, words):
    code, _, err = ctl(*words, "--store=127.0.0.1:1")
    assert code == 1
    assert "config" in err


def test_plan_and_apply(ctl, folder, store):
    store_flag = f"--store={store.address}"
    assert ctl("apply", folder, store_flag) == (0, "applied revision 1\n", "")
    assert ctl("apply", folder, store_flag) == (
        0,
        "nothing to change at revision 1\n",
        "",
    )
    (folder / "60-topup.yaml").write_text(
        "organisations: {big-coulee-park: {budgets: {main: {prepaid: {x: 5}}}}}"
    )
    code, out, _ = ctl("plan", folder, store_flag)
    assert code == 0
    assert "write 60-topup.yaml" in out
    assert "budgets.main: limit 40000000 -> 40000005 tokens" in out
    assert "--base 1" in out
    assert ctl("apply", folder, store_flag, "--base=1")[1] == "applied revision 2\n"
    assert "revision=2" in ctl("status", store_flag)[1]


def test_apply_without_base_does_not_revert_others(ctl, folder, tmp_path, store):
    """Applying a folder must not remove files that another operator added.

    A folder that was edited from an older revision lacks these files.
    """
    store_flag = f"--store={store.address}"
    ctl("apply", folder, store_flag)
    shutil.copytree(folder, tmp_path / "other")
    (tmp_path / "other" / "60-x.yaml").write_text("")
    assert ctl("apply", tmp_path / "other", store_flag, "--base=1")[0] == 0
    (folder / "70-y.yaml").write_text("")
    code, _, err = ctl("apply", folder, store_flag)
    assert code == 2
    assert "the current one is 2" in err
    code, out, _ = ctl("apply", folder, store_flag, "--base=1")
    assert code == 0
    assert "changed by others since the base: 60-x.yaml" in out
    (folder / "60-x.yaml").write_text("# mine")
    code, _, err = ctl("apply", folder, store_flag, "--base=1")
    assert code == 1
    assert "60-x.yaml: changed since revision 1" in err
    code, _, err = ctl("apply", folder, store_flag, "--base=9")
    assert code == 2
    assert "--base: revision 9 does not exist" in err


def test_apply_survives_the_loss_of_every_response(ctl, folder, store):
    store.faults.lose_answers = 1000
    code, out, _ = ctl("apply", folder, f"--store={store.address}")
    assert (code, out) == (0, "applied revision 1\n")


def test_uncertain_apply_is_resolved_with_its_token(ctl, folder):
    """An apply whose result is unknown can be repeated with its token.

    Under a new token the repetition would conflict with the first attempt.
    """
    store_standin = ConfigStore()

    async def fail_after_manifest_write(request, writer):
        await store_standin.handle(request, writer)
        if request.method == "PUT" and "manifest" in request.path:
            store_standin.faults.down = True

    with served(fail_after_manifest_write) as address:
        store_flag = f"--store={address}"
        code, _, err = ctl("apply", folder, store_flag, "--token=t")
        assert code == 1
        assert "may have been applied" in err
        assert "--token t" in err
        store_standin.faults.down = False
        code, out, _ = ctl("apply", folder, store_flag, "--base=0", "--token=t")
        assert (code, out) == (0, "applied revision 1\n")


@pytest.mark.parametrize(
    ("tokens", "expected"), [(500, "500 tokens in open grants"), (None, "are unknown")]
)
def test_removal_of_a_budget_warns_about_open_grants(
    ctl, folder, store, monkeypatch, tokens, expected
):
    async def open_grants(keys):
        assert keys == [BUDGET_KEY]
        return tokens

    monkeypatch.setattr(_changes, "open_grants_reader", lambda store: open_grants)
    store_flag = f"--store={store.address}"
    ctl("apply", folder, store_flag)
    parks = folder / "41-organisations-parks.yaml"
    yaml_text = parks.read_text()
    removed_span = (
        yaml_text.index("  big-coulee-park"),
        yaml_text.index("  tamarack-lake-park"),
    )
    parks.write_text(yaml_text[: removed_span[0]] + yaml_text[removed_span[1] :])
    for words in (["plan"], ["apply"]):
        _, out, _ = ctl(*words, folder, store_flag, "--base=1")
        assert "warning: organisations.big-coulee-park: removes main" in out
        assert expected in out


def test_budget(ctl, folder, store, ledger):
    store_flag = f"--store={store.address}"
    ctl("apply", folder, store_flag)
    ledger(Ok({BUDGET_KEY: RECORD, BudgetKey("gone", "main"): RECORD}))
    assert ctl("budget", "big-coulee-park", store_flag) == (
        0,
        "budget=big-coulee-park/main limit=40000000 settled=100 unexplained=1 "
        "open_grants=500 holders=4 available=39999399\n",
        "",
    )
    code, out, _ = ctl("budget", store_flag)
    assert code == 0
    assert "budget=gone/main limit=removed ledger_limit=40000000" in out
    assert "budget=silver-marsh-park/main limit=2500000 ledger=empty" in out
    assert ctl("budget", "nobody", store_flag)[0] == 2
    ledger(Err(LedgerReadError("the ledger can't be read: down")))
    code, out, err = ctl("budget", "big-coulee-park", store_flag)
    assert (code, out) == (
        1,
        "budget=big-coulee-park/main limit=40000000 ledger=unknown\n",
    )
    assert "can't be read" in err


def test_unreadable_shard_is_named(store):
    """A ledger that can't be decoded must not look like one without open grants."""

    async def read():
        client = Store(address=parse_address(store.address))
        empty = await read_ledger(client)
        await client.put("ledger/0000", b"\xc1", version=0)
        return empty, await read_ledger(client)

    empty, broken = trio.run(read)
    assert empty.unwrap() == {}
    assert "ledger/0000" in str(broken.unwrap_err())


def fake_router(name, revision, events):
    target = {
        "target": "prairie-model-1",
        "connected": True,
        "ready": name == "r1",
        "draining": False,
        "revision": revision,
        "running": 3,
        "queued": 1,
    }
    status = {
        "router": name,
        "incarnation": 4,
        "revision": revision,
        "draining": False,
        "targets": [target],
    }

    async def handle(request, writer):
        if request.target == "/v1/status":
            await writer.send(json_response(200, status))
        elif events and request.target == f"/v1/decisions/{REQUEST_ID}":
            await writer.send(json_response(200, {"events": events}))
        else:
            unknown = {"error": {"type": "unknown"}}
            await writer.send(json_response(404, unknown))

    return handle


@pytest.fixture
def routers():
    first_events = [{"time": 2.0, "event": "sent", "target": "prairie-model-1"}]
    second_events = [
        {"time": 10.0, "event": "ended"},
        {"time": 1.0, "event": "admitted"},
    ]
    with ExitStack() as stack:
        handlers = [
            fake_router("r1", 1, first_events),
            fake_router("r2", 0, second_events),
        ]
        yield [stack.enter_context(served(handler)) for handler in handlers]


def test_status_shows_every_process(ctl, folder, store, routers):
    store_flag = f"--store={store.address}"
    ctl("apply", folder, store_flag)
    code, out, _ = ctl("status", store_flag, f"--routers={','.join(routers)}")
    assert code == 0
    assert out.splitlines()[1:] == [
        "router=r1 incarnation=4 revision=1 draining=no",
        "router=r2 incarnation=4 revision=0 behind=1 draining=no",
        "target=prairie-model-1 connected=2/2 ready=1/2 draining=no revision=1 "
        "running=3 queued=1",
    ]
    code, out, err = ctl("status", f"--routers={routers[0]},127.0.0.1:1")
    assert code == 1
    assert "router=r1" in out
    assert "router 127.0.0.1:1" in err


def test_explain_merges_the_events_of_all_routers(ctl, store, routers, ledger):
    ledger(Ok({BUDGET_KEY: RECORD}))
    words = [f"--store={store.address}", f"--routers={','.join(routers)}"]
    code, out, _ = ctl("explain", REQUEST_ID, *words)
    assert code == 0
    assert out.splitlines() == [
        f"time=1970-01-01T00:00:01.000Z event=admitted router={routers[1]}",
        "time=1970-01-01T00:00:02.000Z event=sent target=prairie-model-1 "
        f"router={routers[0]}",
        f"time=1970-01-01T00:00:10.000Z event=ended router={routers[1]}",
        "ledger=big-coulee-park/main billed=90",
        "ledger=big-coulee-park/main claim=ran tokens=90",
    ]
    ledger(Ok({}))
    unknown = REQUEST_ID[:-1] + "2"
    code, _, err = ctl("explain", unknown, *words)
    assert code == 1
    assert f"request {unknown}: not found" in err
    assert "search their logs" in err
