"""Differences between two configurations, by file and by configured item."""

from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Ok, Result

from lavenderfold.config._model import Budget, FleetConfig, Organisation
from lavenderfold.identifiers import BudgetKey

# Maps a file's name to its new text, or to None to remove the file.
Edits = dict[str, str | None]

# Returns the number of tokens in the open grants of the given budgets, or None
# when the ledger can't be read. All the budgets belong to one organisation.
OpenGrantsReader = Callable[[list[BudgetKey]], Awaitable[int | None]]


def diff_files(old: dict[str, str], new: dict[str, str]) -> Edits:
    """Return the edits that turn the files ``old`` into the files ``new``.

    Both map file names to texts.
    """
    edits: Edits = {name: None for name in old if name not in new}
    for name, text in new.items():
        if old.get(name) != text:
            edits[name] = text
    return edits


def rebase_edits(
    edited: dict[str, str | None], base: dict[str, str], head: dict[str, str]
) -> Result[dict[str, str | None], list[str]]:
    """Rebase edits that were made to ``base`` onto ``head``.

    All three arguments map file names to content hashes; in ``edited``, None
    removes a file. Returns the edits that still change a file of ``head``, or
    the names of files that other operators changed to something else.
    """
    conflicts = []
    effective = {}
    for name, content in edited.items():
        if head.get(name) == content:
            continue
        if head.get(name) != base.get(name):
            conflicts.append(name)
        effective[name] = content
    return Err(sorted(conflicts)) if conflicts else Ok(effective)


def removed_budgets(old: FleetConfig, new: FleetConfig) -> dict[str, list[BudgetKey]]:
    """Return the keys of the budgets that ``new`` no longer has, by organisation.

    A removed organisation is included even when it had no budgets.
    """
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


async def find_grant_warnings(
    old: FleetConfig, new: FleetConfig, read_open_grants: OpenGrantsReader | None
) -> list[str]:
    """Return a warning for each organisation whose removed budgets may have grants.

    Open grants are unknown when there is no reader or it can't read the ledger.
    """
    warnings = []
    for name, keys in removed_budgets(old, new).items():
        if not keys:
            continue
        tokens = await read_open_grants(keys) if read_open_grants else None
        removal = (
            f"organisations.{name}: removes {', '.join(key.budget for key in keys)}"
        )
        if tokens is None:
            warnings.append(f"{removal}; open grants are unknown")
        elif tokens > 0:
            warnings.append(f"{removal}, which has {tokens} tokens in open grants")
    return warnings


def describe_changes(old: FleetConfig, new: FleetConfig) -> list[str]:
    """Return a line for each item or budget limit that differs.

    ``+`` marks an added item, ``-`` a removed and ``~`` a changed one.
    """
    lines = []
    for section in FleetConfig.__struct_fields__:
        old_items, new_items = getattr(old, section), getattr(new, section)
        for name in sorted(old_items.keys() | new_items.keys()):
            path = f"{section}.{name}"
            if name not in new_items:
                lines.append(f"- {path}")
            elif name not in old_items:
                lines.append(f"+ {path}")
                lines += _describe_budgets(path, {}, _budgets_of(new_items[name]))
            elif old_items[name] != new_items[name]:
                lines += _describe_changed_fields(
                    path, old_items[name], new_items[name]
                )
    return lines


def _describe_changed_fields(
    path: str, old: msgspec.Struct, new: msgspec.Struct
) -> list[str]:
    fields = [
        field
        for field in old.__struct_fields__
        if getattr(old, field) != getattr(new, field)
    ]
    lines = [f"~ {path}: {', '.join(fields)}"]
    return lines + _describe_budgets(path, _budgets_of(old), _budgets_of(new))


def _budgets_of(item: msgspec.Struct) -> dict[str, Budget]:
    return item.budgets if isinstance(item, Organisation) else {}


def _describe_budgets(
    path: str, old: dict[str, Budget], new: dict[str, Budget]
) -> list[str]:
    lines = []
    for name in sorted(old.keys() | new.keys()):
        old_limit = old[name].limit if name in old else 0
        new_limit = new[name].limit if name in new else 0
        if old_limit != new_limit:
            lines.append(
                f"~ {path}.budgets.{name}: limit {old_limit} -> {new_limit} tokens"
            )
    return lines
