"""The commands ``status``, ``budget`` and ``explain``."""

import sys
from datetime import UTC, datetime

from lavenderfold.budgets import BudgetRecord
from lavenderfold.config import FleetConfig, Revisions, merge_files
from lavenderfold.ctl._crashes import print_crashes
from lavenderfold.ctl._errors import BadInputError, CommandError
from lavenderfold.ctl._ledger import STORE_ADVICE, read_ledger, request_entries
from lavenderfold.ctl._log_lines import LogLine, explain_files, read_lines
from lavenderfold.ctl._options import Options
from lavenderfold.ctl._refusals import describe_cause, print_refusals
from lavenderfold.ctl._routers import (
    RouterStatus,
    TargetStatus,
    read_decisions,
    read_statuses,
)
from lavenderfold.identifiers import BudgetKey, request_id_time
from lavenderfold.logs import format_pairs
from lavenderfold.store import Store

SOURCE_EXPECTED = "expected --store IP:PORT or --routers IP:PORT,..."


async def status(options: Options) -> None:
    """Print the configuration revision of each process and the targets' load."""
    if options.arguments:
        raise BadInputError(
            f"status: expected no argument, got {options.arguments[0]!r}"
        )
    if options.store is None and not options.routers:
        raise BadInputError(f"status: {SOURCE_EXPECTED}")
    failures = []
    newest_revision = 0
    if options.store is not None:
        head = await Revisions(store=Store(address=options.store)).head()
        if head.is_err():
            failures.append(f"{head.unwrap_err()}; {STORE_ADVICE}")
        else:
            newest_revision = head.unwrap().revision
            _print_pairs(store=options.store, revision=newest_revision)
    results = await read_statuses(options.routers)
    failures += [str(result.unwrap_err()) for result in results if result.is_err()]
    statuses = [result.unwrap() for result in results if result.is_ok()]
    for router in statuses:
        _print_pairs(
            router=router.router,
            incarnation=router.incarnation,
            revision=router.revision,
            behind=_revisions_behind(router.revision, newest_revision),
            draining=_yes_or_no(router.draining),
        )
    for target, reports in sorted(_group_by_target(statuses).items()):
        _print_target(target, reports, newest_revision)
    _raise_if_any(failures)


async def budget(options: Options) -> None:
    """Print the limit, spending and open grants of each budget."""
    if len(options.arguments) > 1:
        raise BadInputError("budget: expected at most one organisation")
    wanted_organisation = options.arguments[0] if options.arguments else None
    store = Store(address=options.require_store())
    config = await _current_config(store)
    ledger = await read_ledger(store)
    record_by_key = ledger.unwrap_or({})
    limit_by_key = {
        BudgetKey(name, budget_name): budget_config.limit
        for name, organisation in config.organisations.items()
        for budget_name, budget_config in organisation.budgets.items()
    }
    keys = [
        key
        for key in sorted(limit_by_key.keys() | record_by_key.keys())
        if wanted_organisation in (None, key.organisation)
    ]
    if (
        wanted_organisation is not None
        and not keys
        and wanted_organisation not in config.organisations
    ):
        known_names = ", ".join(sorted(config.organisations))
        raise BadInputError(
            f"budget: expected one of {known_names}, got {wanted_organisation!r}"
        )
    for key in keys:
        record = record_by_key.get(key)
        _print_budget(
            key, limit_by_key.get(key), record, is_ledger_readable=ledger.is_ok()
        )
    _raise_if_any([str(ledger.unwrap_err())] if ledger.is_err() else [])


async def refusals(options: Options) -> None:
    """Print why requests were refused for money, from the logs of --logs."""
    print_refusals(_read_logs(options))


async def crashes(options: Options) -> None:
    """Print which prompt parts were lost at targets, from the logs of --logs."""
    print_crashes(_read_logs(options))


async def explain(options: Options) -> None:
    """Print the routers' decisions about a request by time, then its ledger entries.

    With --logs, print the routers' log lines about the request instead.
    """
    request_id = options.argument("the request's id")
    if options.logs:
        explain_files(options.logs, request_id, conclude=describe_cause)
        return
    if request_id_time(request_id).is_err():
        raise BadInputError(f"explain: expected a UUIDv7, got {request_id!r}")
    if options.store is None and not options.routers:
        raise BadInputError(f"explain: {SOURCE_EXPECTED}")
    results = await read_decisions(options.routers, request_id)
    failures = [str(result.unwrap_err()) for result in results if result.is_err()]
    events = [
        {**event, "router": address}
        for address, result in zip(options.routers, results, strict=True)
        for event in result.unwrap_or([])
    ]
    for event in sorted(events, key=_event_sort_key):
        _print_pairs(**{**event, "time": _format_time(event.get("time"))})
    entry_count = len(events)
    if options.store is not None:
        ledger = await read_ledger(Store(address=options.store))
        entry_count += _print_ledger_entries(request_id, ledger.unwrap_or({}))
        failures += [str(ledger.unwrap_err())] if ledger.is_err() else []
    if not entry_count:
        failures.append(_not_found(options, request_id, is_partial=bool(failures)))
    _raise_if_any(failures)


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


def _group_by_target(statuses: list[RouterStatus]) -> dict[str, list[TargetStatus]]:
    reports_by_target: dict[str, list[TargetStatus]] = {}
    for router in statuses:
        for target in router.targets:
            reports_by_target.setdefault(target.target, []).append(target)
    return reports_by_target


def _print_target(name: str, reports: list[TargetStatus], newest_revision: int) -> None:
    """Print one line about a target, from the reports of all routers about it.

    ``connected`` and ``ready`` show how many of these routers report that state.
    """
    connected = [target for target in reports if target.connected]
    if not connected:
        _print_pairs(target=name, connected=f"0/{len(reports)}")
        return
    # The highest reported revision is the closest to the agent's current one.
    revision = max(target.revision for target in connected)
    _print_pairs(
        target=name,
        connected=f"{len(connected)}/{len(reports)}",
        ready=f"{sum(target.ready for target in connected)}/{len(reports)}",
        draining=_yes_or_no(any(target.draining for target in connected)),
        revision=revision,
        behind=_revisions_behind(revision, newest_revision),
        running=max(target.running for target in connected),
        queued=max(target.queued for target in connected),
    )


def _print_budget(
    key: BudgetKey,
    limit: int | None,
    record: BudgetRecord | None,
    *,
    is_ledger_readable: bool,
) -> None:
    if record is None:
        _print_pairs(
            budget=key, limit=limit, ledger="empty" if is_ledger_readable else "unknown"
        )
        return
    # Print both limits while they differ: the ledger adopts a changed limit only
    # after a short delay.
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
    entry_count = 0
    for key in sorted(record_by_key):
        for fields in request_entries(request_id, record_by_key[key]):
            _print_pairs(ledger=key, **fields)
            entry_count += 1
    return entry_count


def _not_found(options: Options, request_id: str, *, is_partial: bool) -> str:
    """Return an error message with advice for a request that was not found.

    ``is_partial`` is true if some of the sources could not be read.
    """
    if is_partial:
        advice = "repeat this when all routers and services named above answer"
    elif options.store is None:
        advice = "add --store to see whether it was billed or claimed"
    elif not options.routers:
        advice = "add --routers with all routers to see their decisions"
    else:
        advice = (
            "routers keep the decisions since their start, for a limited number of "
            "requests; search their logs for the id"
        )
    return f"request {request_id}: not found; {advice}"


def _format_time(time: object) -> object:
    """Format seconds since the epoch as ISO 8601 in UTC with milliseconds.

    Values that aren't numbers are returned unchanged.
    """
    if not isinstance(time, int | float):
        return time
    utc_time = datetime.fromtimestamp(time, UTC)
    return utc_time.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _event_sort_key(event: dict[str, object]) -> tuple[bool, object]:
    """Return a key that sorts events by time.

    Times that aren't numbers sort last, as text, because Python can't compare
    numbers with strings.
    """
    time = event.get("time", 0)
    if isinstance(time, int | float):
        return (False, time)
    return (True, str(time))


def _revisions_behind(revision: int, newest_revision: int) -> int | None:
    """Return how many revisions a process is behind, or None if it is current."""
    return newest_revision - revision if revision < newest_revision else None


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"


def _print_pairs(**fields: object) -> None:
    print(format_pairs(fields))


def _raise_if_any(failures: list[str]) -> None:
    """Raise CommandError with all messages in ``failures``, if there are any.

    Standard output is flushed first, so that it appears before the error.
    """
    sys.stdout.flush()
    if failures:
        raise CommandError("\n".join(failures))


def _read_logs(options: Options) -> list[LogLine]:
    """Return all lines of --logs by time; raises BadInputError without it."""
    if options.arguments or not options.logs:
        raise BadInputError(
            f"{options.command}: expected no argument, and --logs FILE,..."
        )
    return sorted(read_lines(options.logs), key=lambda line: line.time)
