"""End-to-end tests with a small fleet of real processes.

The fleet has a router, two agents, a model engine, a plain service and a store.
"""

import hashlib
import socket
import time

import msgspec
import pytest
import trio

from lavenderfold.identifiers import make_request_id
from lavenderfold.replay import (
    EvidenceReader,
    Player,
    PlayOptions,
    RequestKind,
    Router,
    TraceRequest,
    format_results,
    run_checks,
    select_checks,
)
from lavenderfold.settings import parse_address
from lavenderfold.store import Store
from lavenderfold.timers import TimerService
from scripts.configured_fleet import ConfiguredFleet
from standins.texts import answer_text

SECRET = "test-key"
KEY = f"north.{SECRET}"
CONFIGURATION = f"""\
failure_domains:
  west-1: {{region: west}}
request_classes:
  quick: {{priority: 0, wait_s: 15}}
  record: {{priority: 1, wait_s: 15}}
targets:
  writer-1:
    kind: model
    agent: 127.0.0.1:1
    vm: vm-1
    failure_domain: west-1
    models: [writer]
  log-1:
    kind: app
    agent: 127.0.0.1:2
    vm: vm-2
    failure_domain: west-1
    service: log
routes:
  ask: {{kind: model, request_class: quick, model: writer, max_tokens: 100}}
  sign:
    kind: app
    request_class: record
    idempotent: false
    service: log
    cost_tokens: 7
  read:
    kind: app
    request_class: record
    service: log
    cost_tokens: 2
    methods: [GET]
  closed: {{kind: app, request_class: record, service: log, organisations: [south]}}
organisations:
  north:
    keys:
      k: {{sha256: {hashlib.sha256(KEY.encode()).hexdigest()}, budget: main}}
    budgets: {{main: {{prepaid: {{first: 5000}}}}}}
  south: {{}}
"""
PROMPT = "what changed length:20"
ANSWER_DIGEST = hashlib.sha256(answer_text(PROMPT, 30).encode()).hexdigest()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("configuration")
    (folder / "10-all.yaml").write_text(CONFIGURATION)
    options = {"step_s": 0.005}
    with ConfiguredFleet(
        folder=folder, routers_per_region=1, engine_options=options
    ) as fleet:
        yield fleet


COMMON_FIELDS = {"offset_s": 0.0, "organisation": "north", "region": "west"}
ASK_REQUEST = TraceRequest(
    **COMMON_FIELDS,
    route="ask",
    kind=RequestKind.QUICK,
    size=len(PROMPT),
    prompt=PROMPT,
    max_tokens=30,
    worst_case=33,
    answer_digest=ANSWER_DIGEST,
)
SIGN_REQUEST = TraceRequest(
    **COMMON_FIELDS,
    route="sign",
    kind=RequestKind.SIGN_OFF,
    size=40,
    idempotent=False,
    worst_case=7,
)
READ_REQUEST = TraceRequest(
    **COMMON_FIELDS,
    route="read",
    kind=RequestKind.FETCH,
    size=0,
    method="GET",
    worst_case=2,
)


def make_trace() -> list[TraceRequest]:
    """Return two requests of each route."""
    completions = [
        msgspec.structs.replace(ASK_REQUEST, stream=stream) for stream in (True, False)
    ]
    app_calls = [
        msgspec.structs.replace(request, path=path, answer_part=path)
        for request in (SIGN_REQUEST, READ_REQUEST)
        for path in ("lamp/1", "lamp/2")
    ]
    return completions + app_calls


def make_reader(fleet) -> EvidenceReader:
    return EvidenceReader(
        store=Store(address=parse_address(fleet.store.address)),
        targets=[parse_address(target.address) for target in fleet.stand_in_targets],
        settle_s=15.0,
    )


def read_state(fleet) -> tuple:
    """Return the runs at the targets and the charges to the budgets so far."""

    async def read():
        return await make_reader(fleet).read([], {})

    evidence = trio.run(read)
    charged = {
        str(key): (budget.settled, budget.unexplained, budget.tokens_by_request_id)
        for key, budget in evidence.after.items()
    }
    return sorted((run.target, run.request_id) for run in evidence.runs), charged


def test_each_route_is_served_and_billed_once(fleet):
    """Components that pass their own tests may disagree on messages, ids or amounts."""
    (spec,) = fleet.router_specs

    async def play():
        reader = make_reader(fleet)
        before = await reader.read_budgets()
        options = PlayOptions(
            routers=[Router(spec.region, parse_address(spec.listen))],
            key_secret=SECRET,
            time_scale=0.0,
        )
        player = Player(options=options, timers=TimerService())
        records = await player.play(make_trace())
        return records, await reader.read(records, before)

    records, evidence = trio.run(play)
    results = run_checks(
        records, evidence, check_by_name=select_checks(faults_injected=False)
    )
    assert results.all_passed, format_results(records, results)
    (budget,) = evidence.after.values()
    completion_tokens = sum(record.stated_tokens or 0 for record in records)
    assert budget.settled == completion_tokens + 2 * 7 + 2 * 2
    ran = sorted(run.request_id for run in evidence.runs)
    assert ran == sorted(record.request_id for record in records)


def request_id(age_s: float = 0.0) -> str:
    return make_request_id(unix_time=time.time() - age_s, random_bits=1)


def raw_request(
    line: str,
    body: bytes = b"",
    *,
    key: str | None = KEY,
    headers: tuple[str, ...] = (),
) -> bytes:
    """Return the bytes of an HTTP request, valid or not."""
    lines = [f"{line} HTTP/1.1", "host: router", f"content-length: {len(body)}"]
    if key is not None:
        lines.append(f"authorization: Bearer {key}")
    return "\r\n".join([*lines, *headers, "", ""]).encode("latin-1") + body


def raw_completion(body: bytes, **options) -> bytes:
    return raw_request("POST /v1/completions", body, **options)


VALID_BODY = b'{"model": "ask", "prompt": "hello", "max_tokens": 5}'
CHUNKED_BODY = b"%x\r\n%b\r\n0\r\n\r\n" % (len(VALID_BODY), VALID_BODY)
BODY_BYTES_LIMIT = 4 * 1024 * 1024
ID_HEADER = "idempotency-key: "
INVALID_INPUT = {
    "malformed JSON": raw_completion(b'{"model": '),
    "JSON of another shape": raw_completion(b"[1, 2]"),
    "text that is not UTF-8": raw_completion(VALID_BODY.replace(b"hello", b"\xff\xfe")),
    "unknown field": raw_completion(VALID_BODY.replace(b"{", b'{"priority": 0, ', 1)),
    "missing max_tokens": raw_completion(b'{"model": "ask", "prompt": "hello"}'),
    "max_tokens of 0": raw_completion(VALID_BODY.replace(b"5", b"0")),
    "negative max_tokens": raw_completion(VALID_BODY.replace(b"5", b"-5")),
    "max_tokens above the route's": raw_completion(VALID_BODY.replace(b"5", b"101")),
    "max_tokens beyond 64 bits": raw_completion(VALID_BODY.replace(b"5", b"9" * 30)),
    "empty prompt": raw_completion(VALID_BODY.replace(b"hello", b" ")),
    "unknown route": raw_completion(VALID_BODY.replace(b'"ask"', b'"nothing"')),
    "application route as model": raw_completion(
        VALID_BODY.replace(b'"ask"', b'"sign"')
    ),
    # Only one byte over the limit: with more, the client could see the router close
    # the connection before it has read the answer.
    "body too large": raw_completion(b"x" * (BODY_BYTES_LIMIT + 1)),
    "no key": raw_completion(VALID_BODY, key=None),
    "wrong key": raw_completion(VALID_BODY, key="north.wrong"),
    "unknown organisation": raw_completion(VALID_BODY, key=f"west.{SECRET}"),
    "key without a secret": raw_completion(VALID_BODY, key="north"),
    "two keys": raw_completion(VALID_BODY, headers=(f"authorization: Bearer {KEY}",)),
    "another scheme": raw_completion(
        VALID_BODY, key=None, headers=("authorization: Basic eA==",)
    ),
    "id that is no UUID": raw_completion(VALID_BODY, headers=(ID_HEADER + "1",)),
    "id of version 4": raw_completion(
        VALID_BODY, headers=(ID_HEADER + "5f0c9c58-3b0e-4c39-9f5e-0d3f6b3f7a11",)
    ),
    "id too old": raw_completion(VALID_BODY, headers=(ID_HEADER + request_id(3600.0),)),
    "id from the future": raw_completion(
        VALID_BODY, headers=(ID_HEADER + request_id(-3600.0),)
    ),
    "two ids": raw_completion(VALID_BODY, headers=(ID_HEADER + request_id(),) * 2),
    "wrong method": raw_request("GET /v1/completions"),
    "wrong method of a route": raw_request("POST /v1/apps/read/station/1"),
    "sign-off without an id": raw_request("POST /v1/apps/sign/lamp/1"),
    "model route as application": raw_request("POST /v1/apps/ask/lamp/1"),
    "route of another organisation": raw_request("POST /v1/apps/closed/lamp/1"),
    "path with a parent segment": raw_request("GET /v1/apps/read/../sign/lamp/1"),
    "path with an encoded parent segment": raw_request(
        "GET /v1/apps/read/%2e%2e/sign/lamp/1"
    ),
    "unknown path": raw_request("POST /v2/completions", VALID_BODY),
    "unknown request": raw_request(f"GET /v1/requests/{request_id()}"),
    "answer of an unknown request": raw_request(
        f"GET /v1/requests/{request_id()}/answer"
    ),
    "malformed Last-Event-ID": raw_request(
        f"GET /v1/requests/{request_id()}/answer", headers=("last-event-id: -1",)
    ),
    "not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "header too long": raw_completion(VALID_BODY, headers=("x: " + "y" * 40_000,)),
    "header without a colon": raw_completion(VALID_BODY, headers=("nonsense",)),
    "two lengths": raw_completion(VALID_BODY, headers=("content-length: 3",)),
    "length and chunks": raw_completion(
        CHUNKED_BODY, headers=("transfer-encoding: chunked",)
    ),
    "no host": raw_completion(VALID_BODY).replace(b"host: router\r\n", b""),
}


def send(address: str, data: bytes) -> bytes:
    """Send bytes and return the start of the answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=15) as connection:
        connection.sendall(data)
        return connection.recv(65536)


def test_bad_input_is_refused_and_neither_run_nor_charged(fleet):
    """Invalid input from callers must neither cost tokens nor reach a target."""
    (spec,) = fleet.router_specs
    before = read_state(fleet)
    unexpected_answers = {}
    for name, data in INVALID_INPUT.items():
        answer = send(spec.listen, data)
        status = answer.split(b" ")[1][:3] if answer.startswith(b"HTTP/1.1 ") else b""
        if not status.startswith(b"4"):
            unexpected_answers[name] = answer[:200]
    assert unexpected_answers == {}
    assert read_state(fleet) == before
    # The router still answers a valid request. This shows that the requests of the
    # table were refused for their defects and not for a mistake that all share.
    assert send(spec.listen, raw_completion(VALID_BODY)).startswith(b"HTTP/1.1 200 ")
