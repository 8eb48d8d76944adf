"""The commands ``check``, ``plan`` and ``apply``."""

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
from lavenderfold.ctl._ledger import open_grants_reader
from lavenderfold.ctl._options import Options
from lavenderfold.store import Store

FOLDER_ARGUMENT = "the folder of configuration files"


async def check(options: Options) -> None:
    """Check a folder of configuration files without contacting the store."""
    text_by_name = read_folder(options.argument(FOLDER_ARGUMENT))
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
    """Print what applying a folder would change, without writing anything."""
    text_by_name = read_folder(options.argument(FOLDER_ARGUMENT))
    store = Store(address=options.require_store())
    revisions = Revisions(store=store)
    head = _unwrap(await revisions.head())
    base = head.revision if options.base is None else options.base
    edits = await _edits_since(revisions, text_by_name, base)
    planned = _unwrap(
        await revisions.plan(
            edits, base_revision=base, read_open_grants=open_grants_reader(store)
        )
    )
    _print_plan(planned)
    if planned.edits:
        folder = options.arguments[0]
        command = f"lavenderfoldctl apply {folder}"
        print(f"to apply: {command} --store {options.store} --base {base}")


async def apply(options: Options) -> None:
    """Write a folder to the store as the next configuration revision."""
    text_by_name = read_folder(options.argument(FOLDER_ARGUMENT))
    store = Store(address=options.require_store())
    revisions = Revisions(store=store)
    base = await _base_revision(revisions, options, text_by_name)
    edits = await _edits_since(revisions, text_by_name, base)
    applied = _unwrap(
        await revisions.apply(
            edits,
            base_revision=base,
            token=options.token or str(uuid.uuid4()),
            read_open_grants=open_grants_reader(store),
        )
    )
    _print_warnings(applied.warnings)
    _print_changed_by_others(applied.changed_by_others)
    outcome = "applied" if applied.changed else "nothing to change at"
    print(f"{outcome} revision {applied.revision}")


async def _base_revision(
    revisions: Revisions, options: Options, text_by_name: dict[str, str]
) -> int:
    """Return the revision that the folder was edited from.

    Only the operator knows it. A wrong guess would revert changes that others
    applied in the meantime, so ``--base`` may only be omitted if there is no
    revision yet or the folder equals the current one.
    """
    if options.base is not None:
        return options.base
    head = _unwrap(await revisions.head())
    if head.revision == 0:
        return 0
    if not await _edits_since(revisions, text_by_name, head.revision):
        return head.revision
    raise BadInputError(
        f"--base: expected the revision that the folder was edited from; "
        f"the current one is {head.revision}; run plan to see the differences"
    )


async def _edits_since(
    revisions: Revisions, text_by_name: dict[str, str], base: int
) -> Edits:
    """Return the differences between revision ``base`` and the folder's files."""
    head = _unwrap(await revisions.head())
    if base > head.revision:
        raise _command_error(RevisionMissingError(base, head_revision=head.revision))
    return diff_files(_unwrap(await revisions.load(base)), text_by_name)


def _unwrap(result):
    """Return the value of a result, or raise its error as a CommandError."""
    if result.is_err():
        raise _command_error(result.unwrap_err())
    return result.unwrap()


def _command_error(error: RevisionError) -> CommandError:
    """Return the error to show for ``error``, with advice on how to proceed."""
    if isinstance(error, InvalidConfigError):
        return BadInputError(str(error))
    if isinstance(error, RevisionMissingError):
        return BadInputError(f"--base: {error}")
    if isinstance(error, ApplyUncertainError):
        return CommandError(f"{error}\nrepeat the command with --token {error.token}")
    if isinstance(error, RevisionsUnavailableError):
        return CommandError(
            f"{error}\nnothing was applied; check --store and repeat once it answers"
        )
    if isinstance(error, EditConflictError):
        return CommandError(
            f"{error}\nnothing was applied; merge your edit into the current files "
            f"and repeat with --base {error.revision}"
        )
    return CommandError(str(error))


def _print_plan(planned: Plan) -> None:
    print(f"current revision {planned.head.revision}")
    _print_changed_by_others(planned.changed_by_others)
    for name, text in sorted(planned.edits.items()):
        print(f"{'remove' if text is None else 'write'} {name}")
    for line in describe_changes(planned.old, planned.new):
        print(f"  {line}")
    _print_warnings(planned.warnings + find_warnings(planned.new))
    if not planned.edits:
        print("nothing to change")


def _print_changed_by_others(others: list[str]) -> None:
    if others:
        print(f"changed by others since the base: {', '.join(others)}")


def _print_warnings(warnings: list[str]) -> None:
    for warning in warnings:
        print(f"warning: {warning}")
