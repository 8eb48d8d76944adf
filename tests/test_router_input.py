"""Tests of invalid requests to the router and of invalid router settings."""

from functools import partial

import pytest

from lavenderfold.http import HttpClient, HttpRequest
from lavenderfold.router import RouterSettings
from lavenderfold.settings import load
from tests.router_fleet import (
    ANSWER_PATH,
    SIGNOFF_PATH,
    FakeAgent,
    Fleet,
    completion,
    new_id,
    response_error,
    run_fleet,
)

# Ids with a time are made when they are sent: in a long test run, one that lay in the
# future when this module was imported wouldn't any more.
BAD_REQUESTS = [
    # name, method, target, body, headers, key, expected status
    ("no key", "POST", "/v1/completions", completion(), {}, None, 401),
    ("wrong key", "POST", "/v1/completions", completion(), {}, "regina.x", 401),
    ("no dot", "POST", "/v1/completions", completion(), {}, "secret", 401),
    ("unknown organisation", "POST", "/v1/completions", completion(), {}, "x.x", 401),
    ("malformed JSON", "POST", "/v1/completions", b"{", {}, "", 400),
    ("not UTF-8", "POST", "/v1/completions", b'{"model": "\xff"}', {}, "", 400),
    ("unknown field", "POST", "/v1/completions", completion(x=1), {}, "", 400),
    ("wrong type", "POST", "/v1/completions", completion(prompt=1), {}, "", 400),
    ("empty prompt", "POST", "/v1/completions", completion(prompt=" "), {}, "", 400),
    ("no output", "POST", "/v1/completions", completion(max_tokens=0), {}, "", 400),
    ("tokens", "POST", "/v1/completions", completion(max_tokens=501), {}, "", 400),
    ("unknown route", "POST", "/v1/completions", completion(model="x"), {}, "", 404),
    (
        "other's route",
        "POST",
        "/v1/completions",
        completion(model="private"),
        {},
        "",
        404,
    ),
    (
        "app as model",
        "POST",
        "/v1/completions",
        completion(model="signoff"),
        {},
        "",
        404,
    ),
    ("method", "PUT", "/v1/completions", completion(), {}, "", 405),
    ("unknown app", "POST", "/v1/apps/x/y", b"", {}, "", 404),
    ("model as app", "POST", "/v1/apps/ask/y", b"", {}, "", 404),
    ("app method", "DELETE", "/v1/apps/readings/y", b"", {}, "", 405),
    ("parent in path", "GET", "/v1/apps/readings/a/%2e%2e/b", b"", {}, "", 400),
    ("missing id", "POST", SIGNOFF_PATH, b"", {}, "", 400),
    ("malformed id", "POST", SIGNOFF_PATH, b"", {"idempotency-key": "7"}, "", 400),
    (
        "old id",
        "POST",
        SIGNOFF_PATH,
        b"",
        {"idempotency-key": partial(new_id, 601)},
        "",
        400,
    ),
    (
        "future id",
        "POST",
        SIGNOFF_PATH,
        b"",
        {"idempotency-key": partial(new_id, -900)},
        "",
        400,
    ),
    ("unknown path", "GET", "/v2/x", b"", {}, "", 404),
    ("unknown request", "GET", ANSWER_PATH.format(new_id()), b"", {}, "", 404),
    ("no request id", "GET", "/v1/requests/x", b"", {}, "", 404),
    (
        "offset",
        "GET",
        ANSWER_PATH.format(new_id()),
        b"",
        {"last-event-id": "-1"},
        "",
        400,
    ),
    ("large body", "POST", SIGNOFF_PATH, b"x" * 70_000, {}, "", 413),
    (
        "long header",
        "POST",
        "/v1/completions",
        completion(),
        {"x": "y" * 70_000},
        "",
        431,
    ),
]


def test_invalid_input_gets_a_4xx_and_nothing_is_run_or_charged():
    """Input that isn't refused would be run and charged to a prepaid budget."""
    model, app = FakeAgent("t1"), FakeAgent("app1")

    async def check(fleet: Fleet):
        for name, method, target, body, headers, key, status in BAD_REQUESTS:
            response = await fleet.call(
                method,
                target,
                body,
                headers={
                    header: value() if callable(value) else value
                    for header, value in headers.items()
                },
                key="regina.secret" if key == "" else key,
            )
            assert response.status == status, name
            assert response_error(response)["outcome"] in ("not_run", "may_have_run"), (
                name
            )
        await check_duplicate_headers(fleet)
        assert model.runs == app.runs == []
        assert fleet.budget_record().charged == 0

    run_fleet(check, model, app, body_bytes=65_536)


async def check_duplicate_headers(fleet: Fleet) -> None:
    """Duplicate headers are refused.

    Otherwise the key that counts would depend on which program reads the header.
    """
    client = HttpClient(address=fleet.router.addresses["listen"])
    for name, value in (
        ("authorization", "Bearer regina.secret"),
        ("idempotency-key", new_id()),
    ):
        headers = [("authorization", "Bearer hobart.secret"), (name, value)]
        request = HttpRequest(
            method="POST",
            target="/v1/completions",
            headers=[*headers, (name, value)],
            body=completion(),
        )
        assert (await client.request(request)).status == 400
    await client.close()


SETTINGS = """\
router: r1
region: west
failure_domain: west-1
listen: 127.0.0.1:8080
operator_listen: 127.0.0.1:8081
peer_listen: 127.0.0.1:8082
store_address: 127.0.0.1:7100
"""


@pytest.mark.parametrize(
    ("line", "expected_error"),
    [
        ("", ""),
        ("limits: {queue_length: 10}", ""),
        ("limits: {queue: 1}", "limits: Object contains unknown field `queue`"),
        ("limits: {attempts: 0}", "limits: attempts must be more than 0"),
        ("peers: [127.0.0.1]", "peers[0]: expected IP:PORT, got '127.0.0.1'"),
        ("peers: [127.0.0.1:1, 127.0.0.1:1]", "file: peers must not name"),
        ("region: east", "line 8: key 'region' is given twice"),
        ("shard_count: many", "shard_count: Expected `int`, got `str`"),
    ],
)
def test_settings_file_is_read_strictly(tmp_path, line, expected_error):
    """A misspelt limit must be an error rather than silently use the default."""
    path = tmp_path / "router.yaml"
    path.write_text(SETTINGS + line, encoding="utf-8")
    settings_result = load(path, RouterSettings)
    if not expected_error:
        assert settings_result.is_ok()
    else:
        assert f"{path}: {expected_error}" in str(settings_result.unwrap_err())
