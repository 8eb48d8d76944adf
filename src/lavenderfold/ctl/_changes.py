"""The commands check, plan and apply."""

import uuid

from lavenderfold.config import (
    ApplyUncertainError,
    EditConflictError,
    Edits,
    InvalidConfigError,
    Plan,
    RevisionError,
    RevisionMissingError,
    Revisions,
    RevisionsUnavailableError,
    describe_changes,
    diff_files,
    find_warnings,
    merge_files,
)
from lavenderfold.ctl._errors import BadInputError, CommandError
from lavenderfold.ctl._folder import read_folder
from lavenderfold.ctl._ledger import open_grants_of
from lavenderfold.ctl._options import Options
from lavenderfold.store import Store

FOLDER = "the folder of configuration files"


async def check(options: Options) -> None:
    """Check a folder without a store."""
    text_by_name = read_folder(options.argument(FOLDER))
    merged = merge_files(text_by_name)
    if merged.is_err():
        raise BadInputError("\n".join(str(error) for error in merged.unwrap_err()))
    config = merged.unwrap()
    _print_warnings(find_warnings(config))
    print(
        f"good: {len(text_by_name)} files, {len(config.targets)} targets, "
        f"{len(config.routes)} routes, {len(config.organisations)} organisations"
    )


async def plan(options: Options) -> None:
    """Show what an apply of a folder would change; writes nothing."""
    text_by_name = read_folder(options.argument(FOLDER))
    store = Store(address=options.need_store())
    revisions = Revisions(store=store)
    head = _value(await revisions.head())
    base = head.revision if options.base is None else options.base
    edits = await _edits(revisions, text_by_name, base)
    planned = _value(
        await revisions.plan(
            edits, base_revision=base, read_open_grants=open_grants_of(store)
        )
    )
    _print_plan(planned)
    if planned.edits:
        folder = options.arguments[0]
        command = f"lavenderfoldctl apply {folder}"
        print(f"to apply: {command} --store {options.store} --base {base}")


async def apply(options: Options) -> None:
    """Apply a folder as the next revision."""
    text_by_name = read_folder(options.argument(FOLDER))
    store = Store(address=options.need_store())
    revisions = Revisions(store=store)
    base = await _base(revisions, options, text_by_name)
    edits = await _edits(revisions, text_by_name, base)
    applied = _value(
        await revisions.apply(
            edits,
            base_revision=base,
            token=options.token or str(uuid.uuid4()),
            read_open_grants=open_grants_of(store),
        )
    )
    _print_warnings(applied.warnings)
    _print_others(applied.changed_by_others)
    what = "applied" if applied.changed else "nothing to change at"
    print(f"{what} revision {applied.revision}")


async def _base(
    revisions: Revisions, options: Options, text_by_name: dict[str, str]
) -> int:
    """Return the revision that the folder was edited from.

    Nothing but the operator knows it, and a wrong guess would revert what
    others changed meanwhile.
    """
    if options.base is not None:
        return options.base
    head = _value(await revisions.head())
    if head.revision == 0:
        return 0
    if not await _edits(revisions, text_by_name, head.revision):
        return head.revision
    raise BadInputError(
        f"--base: expected the revision that the folder was edited from; "
        f"the current one is {head.revision}, plan shows the differences"
    )


async def _edits(
    revisions: Revisions, text_by_name: dict[str, str], base: int
) -> Edits:
    head = _value(await revisions.head())
    if base > head.revision:
        raise _failure(RevisionMissingError(base, head_revision=head.revision))
    return diff_files(_value(await revisions.load(base)), text_by_name)


def _value(result):
    if result.is_err():
        raise _failure(result.unwrap_err())
    return result.unwrap()


def _failure(error: RevisionError) -> CommandError:
    if isinstance(error, InvalidConfigError):
        return BadInputError(str(error))
    if isinstance(error, RevisionMissingError):
        return BadInputError(f"--base: {error}")
    if isinstance(error, ApplyUncertainError):
        return CommandError(f"{error}\nrepeat with --token {error.token}")
    if isinstance(error, RevisionsUnavailableError):
        return CommandError(
            f"{error}\nnothing was applied; check --store and repeat when it answers"
        )
    if isinstance(error, EditConflictError):
        return CommandError(
            f"{error}\nnothing was applied; carry your edit over to the others' files "
            f"and repeat with --base {error.revision}"
        )
    return CommandError(str(error))


def _print_plan(planned: Plan) -> None:
    print(f"current revision {planned.head.revision}")
    _print_others(planned.changed_by_others)
    for name, text in sorted(planned.edits.items()):
        print(f"{'remove' if text is None else 'write'} {name}")
    for line in describe_changes(planned.old, planned.new):
        print(f"  {line}")
    _print_warnings(planned.warnings + find_warnings(planned.new))
    if not planned.edits:
        print("nothing to change")


def _print_others(others: list[str]) -> None:
    if others:
        print(f"changed by others since the base: {', '.join(others)}")


def _print_warnings(warnings: list[str]) -> None:
    for warning in warnings:
        print(f"warning: {warning}")
