"""Implements ``refusals``: why requests were refused for money, from routers' logs."""

import enum
from collections import Counter
from collections.abc import Iterable

import msgspec

from lavenderfold.ctl._log_lines import LogLine
from lavenderfold.outcomes import Reason

MONEY_REFUSALS = frozenset((Reason.BUDGET_SPENT.value, Reason.BUDGET_UNAVAILABLE.value))


class Cause(enum.Enum):
    """Where the tokens were that a refused request needed, as its router knew."""

    NO_VIEW = "the router had no state of the balance yet"
    FREE_IN_LEDGER = "the ledger had enough, the grant came too late"
    HELD_ELSEWHERE = "other routers held enough"
    WRITTEN_OFF = "enough stayed charged for dead routers that may not have spent it"
    SPENT = "less was left than the request needed"


class _BalanceFields(msgspec.Struct):
    granted: int
    spent: int
    reserved: int
    rest: int | None = None
    rest_of_others: int = 0
    written_off: int = 0


class _RefusalFields(msgspec.Struct):
    organisation: str
    needed: int
    balance: _BalanceFields


class _BalanceLine(msgspec.Struct):
    organisation: str
    spent: int
    granted: int
    limit: int | None = None


class _WriteOffLine(msgspec.Struct):
    organisation: str
    unspent: int


class BalanceTruth(msgspec.Struct):
    """What the logs say of one balance, in tokens.

    ``spent`` and ``held`` are sums over the routers; ``written_off`` are tokens of
    dead routers that nobody can prove unspent.
    """

    limit: int = 0
    spent: int = 0
    held: int = 0
    written_off: int = 0


def cause_of(line: LogLine) -> Cause | None:
    """Return the cause of a refusal for money, or None for any other line."""
    if line.event != "request" or line.fields.get("refusal") not in MONEY_REFUSALS:
        return None
    try:
        refusal = msgspec.convert(line.fields, _RefusalFields)
    except msgspec.ValidationError:
        return None
    balance = refusal.balance
    if balance.rest is None:
        return Cause.NO_VIEW
    own = max(0, balance.granted - balance.spent - balance.reserved)
    missing = refusal.needed - balance.rest - own
    if missing <= 0:
        return Cause.FREE_IN_LEDGER
    if missing <= balance.rest_of_others:
        return Cause.HELD_ELSEWHERE
    if missing <= balance.rest_of_others + balance.written_off:
        return Cause.WRITTEN_OFF
    return Cause.SPENT


def describe_cause(line: LogLine) -> str | None:
    """Return a sentence on the cause of a refusal for money; None for other lines."""
    cause = cause_of(line)
    return None if cause is None else f"refused for money: {cause.value}"


def count_causes(lines: Iterable[LogLine]) -> Counter[Cause]:
    """Return the number of refusals for money by cause."""
    return Counter(cause for line in lines if (cause := cause_of(line)) is not None)


def balance_truths(lines: Iterable[LogLine]) -> dict[str, BalanceTruth]:
    """Return what the lines, ordered by time, say of each organisation's balance."""
    truth_by_organisation: dict[str, BalanceTruth] = {}
    last_by_router: dict[tuple[str, str], _BalanceLine] = {}
    for line in lines:
        if line.event == "balance":
            _add_balance(truth_by_organisation, last_by_router, line)
        elif line.event == "grant_written_off":
            _add_write_off(truth_by_organisation, line)
    for (_, organisation), last in last_by_router.items():
        truth = truth_by_organisation[organisation]
        truth.spent += last.spent
        truth.held += last.granted - last.spent
    return truth_by_organisation


def _add_balance(
    truth_by_organisation: dict[str, BalanceTruth],
    last_by_router: dict[tuple[str, str], _BalanceLine],
    line: LogLine,
) -> None:
    try:
        current = msgspec.convert(line.fields, _BalanceLine)
    except msgspec.ValidationError:
        return
    truth = truth_by_organisation.setdefault(current.organisation, BalanceTruth())
    truth.limit = current.limit or truth.limit
    key = (line.process, current.organisation)
    last = last_by_router.get(key)
    if last is not None and current.spent < last.spent:
        # The router has restarted, and counts from zero again.
        truth.spent += last.spent
    last_by_router[key] = current


def _add_write_off(
    truth_by_organisation: dict[str, BalanceTruth], line: LogLine
) -> None:
    try:
        written_off = msgspec.convert(line.fields, _WriteOffLine)
    except msgspec.ValidationError:
        return
    truth = truth_by_organisation.setdefault(written_off.organisation, BalanceTruth())
    truth.written_off += written_off.unspent


def print_refusals(lines: list[LogLine]) -> None:
    """Print refusals for money by cause, then each balance."""
    count_by_cause = count_causes(lines)
    print(f"refused for money: {count_by_cause.total()}")
    for cause in Cause:
        print(f"{count_by_cause[cause]:8d}  {cause.value}")
    print("organisation          limit      spent       held  written off")
    for organisation, truth in sorted(balance_truths(lines).items()):
        print(
            f"{organisation:16s} {truth.limit:10d} {truth.spent:10d}"
            f" {truth.held:10d} {truth.written_off:12d}"
        )
