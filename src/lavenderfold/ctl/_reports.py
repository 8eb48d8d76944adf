"""The commands status, budget and explain."""

import sys
from datetime import UTC, datetime

from lavenderfold.budgets import BudgetRecord
from lavenderfold.config import FleetConfig, Revisions, merge_files
from lavenderfold.ctl._errors import BadInputError, CommandError
from lavenderfold.ctl._ledger import STORE_ADVICE, read_ledger, request_entries
from lavenderfold.ctl._log_lines import explain_files
from lavenderfold.ctl._options import Options
from lavenderfold.ctl._routers import (
    RouterStatus,
    TargetStatus,
    read_decisions,
    read_statuses,
)
from lavenderfold.identifiers import BudgetKey, request_id_time
from lavenderfold.logs import format_pairs
from lavenderfold.store import Store

NO_SOURCE = "expected --store IP:PORT or --routers IP:PORT,..."


async def status(options: Options) -> None:
    """Show the revision of every process, and the load of the targets."""
    if options.arguments:
        raise BadInputError(
            f"status: expected no argument, got {options.arguments[0]!r}"
        )
    if options.store is None and not options.routers:
        raise BadInputError(f"status: {NO_SOURCE}")
    faults = []
    newest = 0
    if options.store is not None:
        head = await Revisions(store=Store(address=options.store)).head()
        if head.is_err():
            faults.append(f"{head.unwrap_err()}; {STORE_ADVICE}")
        else:
            newest = head.unwrap().revision
            _print_pairs(store=options.store, revision=newest)
    answers = await read_statuses(options.routers)
    faults += [str(answer.unwrap_err()) for answer in answers if answer.is_err()]
    statuses = [answer.unwrap() for answer in answers if answer.is_ok()]
    for router in statuses:
        _print_pairs(
            router=router.router,
            incarnation=router.incarnation,
            revision=router.revision,
            behind=_behind(router.revision, newest),
            draining=_yes(router.draining),
        )
    for target, seen in sorted(_by_target(statuses).items()):
        _print_target(target, seen, newest)
    _fail_if(faults)


async def budget(options: Options) -> None:
    """Show limits, spending and open grants of the budgets."""
    if len(options.arguments) > 1:
        raise BadInputError("budget: expected at most one organisation")
    wanted = options.arguments[0] if options.arguments else None
    store = Store(address=options.require_store())
    config = await _current_config(store)
    ledger = await read_ledger(store)
    record_by_key = ledger.unwrap_or({})
    limit_by_key = {
        BudgetKey(name, budget_name): item.limit
        for name, organisation in config.organisations.items()
        for budget_name, item in organisation.budgets.items()
    }
    keys = [
        key
        for key in sorted(limit_by_key.keys() | record_by_key.keys())
        if wanted in (None, key.organisation)
    ]
    if wanted is not None and not keys and wanted not in config.organisations:
        known = ", ".join(sorted(config.organisations))
        raise BadInputError(f"budget: expected one of {known}, got {wanted!r}")
    for key in keys:
        record = record_by_key.get(key)
        _print_budget(key, limit_by_key.get(key), record, known=ledger.is_ok())
    _fail_if([str(ledger.unwrap_err())] if ledger.is_err() else [])


async def explain(options: Options) -> None:
    """Show each decision about a request, in the order of time."""
    request_id = options.argument("the request's id")
    if options.logs:
        explain_files(options.logs, request_id)
        return
    if request_id_time(request_id).is_err():
        raise BadInputError(f"explain: expected a UUIDv7, got {request_id!r}")
    if options.store is None and not options.routers:
        raise BadInputError(f"explain: {NO_SOURCE}")
    answers = await read_decisions(options.routers, request_id)
    faults = [str(answer.unwrap_err()) for answer in answers if answer.is_err()]
    events = [
        {**event, "router": address}
        for address, answer in zip(options.routers, answers, strict=True)
        for event in answer.unwrap_or([])
    ]
    for event in sorted(events, key=_event_time):
        _print_pairs(**{**event, "time": _time_text(event.get("time"))})
    found = len(events)
    if options.store is not None:
        ledger = await read_ledger(Store(address=options.store))
        found += _print_ledger_entries(request_id, ledger.unwrap_or({}))
        faults += [str(ledger.unwrap_err())] if ledger.is_err() else []
    if not found:
        faults.append(_not_found(options, request_id, is_partial=bool(faults)))
    _fail_if(faults)


async def _current_config(store: Store) -> FleetConfig:
    revisions = Revisions(store=store)
    head = await revisions.head()
    texts = head
    if head.is_ok():
        texts = await revisions.load(head.unwrap().revision)
    if texts.is_err():
        raise CommandError(f"{texts.unwrap_err()}; {STORE_ADVICE}")
    merged = merge_files(texts.unwrap())
    if merged.is_err():
        raise CommandError("\n".join(str(error) for error in merged.unwrap_err()))
    return merged.unwrap()


def _by_target(statuses: list[RouterStatus]) -> dict[str, list[TargetStatus]]:
    seen_by_target: dict[str, list[TargetStatus]] = {}
    for router in statuses:
        for target in router.targets:
            seen_by_target.setdefault(target.target, []).append(target)
    return seen_by_target


def _print_target(name: str, seen: list[TargetStatus], newest: int) -> None:
    """Print a target in one line; counts tell how many routers see it so."""
    connected = [target for target in seen if target.connected]
    if not connected:
        _print_pairs(target=name, connected=f"0/{len(seen)}")
        return
    # The newest report is the nearest to the agent's own state.
    revision = max(target.revision for target in connected)
    _print_pairs(
        target=name,
        connected=f"{len(connected)}/{len(seen)}",
        ready=f"{sum(target.ready for target in connected)}/{len(seen)}",
        draining=_yes(any(target.draining for target in connected)),
        revision=revision,
        behind=_behind(revision, newest),
        running=max(target.running for target in connected),
        queued=max(target.queued for target in connected),
    )


def _print_budget(
    key: BudgetKey, limit: int | None, record: BudgetRecord | None, *, known: bool
) -> None:
    if record is None:
        _print_pairs(budget=key, limit=limit, ledger="empty" if known else "unknown")
        return
    # Both limits show when they differ: the ledger takes a new one over soon.
    _print_pairs(
        budget=key,
        limit="removed" if limit is None else limit,
        ledger_limit=record.limit if record.limit != limit else None,
        settled=record.settled,
        unexplained=record.unexplained,
        open_grants=record.granted,
        holders=",".join(map(str, record.holders)) or None,
        available=record.available,
    )


def _print_ledger_entries(
    request_id: str, record_by_key: dict[BudgetKey, BudgetRecord]
) -> int:
    found = 0
    for key in sorted(record_by_key):
        for fields in request_entries(request_id, record_by_key[key]):
            _print_pairs(ledger=key, **fields)
            found += 1
    return found


def _not_found(options: Options, request_id: str, *, is_partial: bool) -> str:
    """Return what to do about a request that left no trace where it was sought."""
    if is_partial:
        advice = "repeat this when all that is named above answers"
    elif options.store is None:
        advice = "add --store to see whether it was billed or claimed"
    elif not options.routers:
        advice = "add --routers with all routers to see their decisions"
    else:
        advice = (
            "routers keep decisions since their start and of a bounded number of "
            "requests; search their logs for the id"
        )
    return f"request {request_id}: not found; {advice}"


def _time_text(time: object) -> object:
    """Return a time in seconds since the epoch as UTC in milliseconds."""
    if not isinstance(time, int | float):
        return time
    moment = datetime.fromtimestamp(time, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _event_time(event: dict[str, object]) -> tuple[bool, object]:
    """Return a sort key; numbers can't be compared with text."""
    time = event.get("time", 0)
    if isinstance(time, int | float):
        return (False, time)
    return (True, str(time))


def _behind(revision: int, newest: int) -> int | None:
    """Return how many revisions a process lacks, or None."""
    return newest - revision if revision < newest else None


def _yes(value: bool) -> str:
    return "yes" if value else "no"


def _print_pairs(**fields: object) -> None:
    print(format_pairs(fields))


def _fail_if(faults: list[str]) -> None:
    sys.stdout.flush()
    if faults:
        raise CommandError("\n".join(faults))
