"""The command ``explain-route``: where a router would send a request now, and why."""

from urllib.parse import urlencode

import msgspec
import trio

from lavenderfold.ctl._errors import BadInputError, CommandError
from lavenderfold.ctl._options import Options
from lavenderfold.http import HttpClient, HttpClientError, HttpRequest, HttpResponse
from lavenderfold.settings import Address

REQUEST_TIMEOUT_S = 3.0
# Statuses with which a router says that the question is wrong.
BAD_QUESTION_STATUSES = (400, 404)
COLUMNS = (
    "target",
    "domain",
    "slots",
    "outstanding",
    "cost_ms",
    "evidence",
    "age_ms",
    "unread_tokens",
    "excluded",
    "",
)


class _Target(msgspec.Struct, kw_only=True):
    target: str
    domain: str
    slots: int
    outstanding: int
    is_chosen: bool
    excluded: list[str] = []
    cost_ms: float | None = None
    evidence: str | None = None
    age_ms: float | None = None
    unread_tokens: int | None = None


class _Explanation(msgspec.Struct, kw_only=True):
    route: str
    organisation: str | None
    service: str
    config_version: int
    target: str | None
    reason: str
    targets: list[_Target]


class _ErrorDetail(msgspec.Struct):
    type: str
    message: str


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


async def explain_route(options: Options) -> None:
    """Print a router's explanation as a table, or as JSON with --json."""
    host, slash, path = options.argument("HOST/PATH").partition("/")
    if not host or not slash:
        raise BadInputError("explain-route: expected HOST/PATH")
    if len(options.routers) != 1:
        raise BadInputError(
            "explain-route: expected --routers with one router's metrics address"
        )
    address = options.routers[0]
    query = {"host": host, "path": f"/{path}"}
    if options.organisation:
        query["organisation"] = options.organisation
    if options.parts:
        query["parts"] = options.parts
    response = await _ask(address, f"/explain-route?{urlencode(query)}")
    if response.status != 200:
        raise _failure(address, response)
    try:
        explanation = msgspec.json.decode(response.body, type=_Explanation)
    except msgspec.DecodeError as error:
        raise _wrong_address(address, error) from error
    if options.json:
        print(response.body.decode())
        return
    _print_table(explanation)


async def _ask(address: Address, target: str) -> HttpResponse:
    client = HttpClient(address=address)
    try:
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            return await client.request(HttpRequest(method="GET", target=target))
    except HttpClientError as error:
        raise CommandError(f"router {address}: {error}") from error
    finally:
        await client.close()
    raise CommandError(f"router {address}: no answer within {REQUEST_TIMEOUT_S:g} s")


def _failure(address: Address, response: HttpResponse) -> CommandError:
    try:
        error = msgspec.json.decode(response.body, type=_ErrorBody).error
    except msgspec.DecodeError:
        return _wrong_address(address, f"status {response.status}")
    text = f"router {address}: {error.message}"
    if response.status in BAD_QUESTION_STATUSES:
        return BadInputError(text)
    return CommandError(text)


def _wrong_address(address: Address, cause: object) -> CommandError:
    return CommandError(
        f"router {address}: {cause}; expected the router's metrics address"
    )


def _print_table(explanation: _Explanation) -> None:
    print(
        f"route={explanation.route} service={explanation.service}"
        f" organisation={explanation.organisation or '-'}"
        f" config_version={explanation.config_version}"
        f" target={explanation.target or '-'} reason={explanation.reason}"
    )
    rows = [COLUMNS, *(_row(each) for each in explanation.targets)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = zip(row, widths, strict=True)
        print("  ".join(text.ljust(width) for text, width in cells).rstrip())


def _row(target: _Target) -> tuple[str, ...]:
    values = [getattr(target, name) for name in COLUMNS[:-2]]
    return (
        *("-" if value is None else str(value) for value in values),
        ",".join(target.excluded) or "-",
        "chosen" if target.is_chosen else "",
    )
