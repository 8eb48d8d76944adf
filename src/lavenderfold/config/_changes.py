"""Differences between two configurations, as files and as items."""

from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Ok, Result

from lavenderfold.config._model import Budget, FleetConfig, Organisation
from lavenderfold.identifiers import BudgetKey

Edits = dict[str, str | None]

# Returns the tokens in open grants of the given budgets, which belong to one
# organisation, or None when the ledger can't be read.
OpenGrantsReader = Callable[[list[BudgetKey]], Awaitable[int | None]]


def diff_files(old: dict[str, str], new: dict[str, str]) -> Edits:
    """Return the edits that turn ``old`` into ``new``; None removes a file."""
    edits: Edits = {name: None for name in old if name not in new}
    for name, text in new.items():
        if old.get(name) != text:
            edits[name] = text
    return edits


def rebase(
    wanted: dict[str, str | None], base: dict[str, str], head: dict[str, str]
) -> Result[dict[str, str | None], list[str]]:
    """Carry edits of ``base`` over to ``head``.

    All three map file names to content hashes. Returns the edits that still
    change something, or the names that others changed differently.
    """
    conflicts = []
    effective = {}
    for name, content in wanted.items():
        if head.get(name) == content:
            continue
        if head.get(name) != base.get(name):
            conflicts.append(name)
        effective[name] = content
    return Err(sorted(conflicts)) if conflicts else Ok(effective)


def removed_budgets(old: FleetConfig, new: FleetConfig) -> dict[str, list[BudgetKey]]:
    """Return the budgets that ``new`` no longer has, by organisation."""
    removed = {}
    for name, organisation in old.organisations.items():
        kept = new.organisations.get(name, Organisation()).budgets
        keys = [
            BudgetKey(name, budget)
            for budget in organisation.budgets
            if budget not in kept
        ]
        if keys or name not in new.organisations:
            removed[name] = keys
    return removed


async def grant_warnings(
    old: FleetConfig, new: FleetConfig, read_open_grants: OpenGrantsReader | None
) -> list[str]:
    """Return a warning for each removal of budgets that may have open grants."""
    warnings = []
    for name, keys in removed_budgets(old, new).items():
        if not keys:
            continue
        tokens = await read_open_grants(keys) if read_open_grants else None
        what = f"organisations.{name}: removes {', '.join(key.budget for key in keys)}"
        if tokens is None:
            warnings.append(f"{what}; open grants are unknown")
        elif tokens > 0:
            warnings.append(f"{what}, which has {tokens} tokens in open grants")
    return warnings


def describe_changes(old: FleetConfig, new: FleetConfig) -> list[str]:
    """Return a line for each item that differs, as ``+``, ``-`` or ``~``."""
    lines = []
    for section in FleetConfig.__struct_fields__:
        before, after = getattr(old, section), getattr(new, section)
        for name in sorted(before.keys() | after.keys()):
            path = f"{section}.{name}"
            if name not in after:
                lines.append(f"- {path}")
            elif name not in before:
                lines.append(f"+ {path}")
                lines += _describe_budgets(path, {}, _budgets(after[name]))
            elif before[name] != after[name]:
                lines += _describe_fields(path, before[name], after[name])
    return lines


def _describe_fields(path: str, old: msgspec.Struct, new: msgspec.Struct) -> list[str]:
    fields = [
        field
        for field in old.__struct_fields__
        if getattr(old, field) != getattr(new, field)
    ]
    lines = [f"~ {path}: {', '.join(fields)}"]
    return lines + _describe_budgets(path, _budgets(old), _budgets(new))


def _budgets(item: msgspec.Struct) -> dict[str, Budget]:
    return item.budgets if isinstance(item, Organisation) else {}


def _describe_budgets(
    path: str, old: dict[str, Budget], new: dict[str, Budget]
) -> list[str]:
    lines = []
    for name in sorted(old.keys() | new.keys()):
        before = old[name].limit if name in old else 0
        after = new[name].limit if name in new else 0
        if before != after:
            lines.append(f"~ {path}.budgets.{name}: limit {before} -> {after} tokens")
    return lines
