"""Merging of configuration files into one checked configuration.

Files merge in the order of their names and are checked against the structs of
the model while they merge, so that each error can name its file. The first
file that names an item must give all of its required fields. A later file may
override some fields, but not give them all again: that would be a second
definition.
"""

import enum
import re
import typing
from functools import cache

import msgspec
from result import Err, Ok, Result

from lavenderfold.config._checks import check_references
from lavenderfold.config._errors import ConfigError
from lavenderfold.config._model import FleetConfig
from lavenderfold.settings import (
    Address,
    SettingsError,
    convert,
    parse_address,
    parse_yaml,
)

FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.yaml")

# No dot, because a key's text is ORGANISATION.SECRET; no slash, because a
# budget is written as ORGANISATION/BUDGET.
ITEM_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,99}")
ITEM_NAME_EXPECTED = (
    "expected a name of letters, digits, '-' and '_', at most 100 characters"
)

Path = tuple[str, ...]


class _Merge:
    """The tree of values merged so far, and the file that set each of them."""

    def __init__(self):
        self.tree: dict = {}
        self.errors: list[ConfigError] = []
        self._name_by_path: dict[Path, str] = {}

    def add(self, name: str, text: str) -> None:
        """Merge one file."""
        document = _parse(name, text)
        if document.is_err():
            self.errors.append(document.unwrap_err())
            return
        value = document.unwrap()
        if value is not None:
            self._struct(FleetConfig, self.tree, value, (), name)

    def name_of(self, path: Path) -> str:
        """Return the file that last set a value, or its nearest parent."""
        while path and path not in self._name_by_path:
            path = path[:-1]
        return self._name_by_path.get(path, "configuration")

    def report(self, path: Path, name: str, expected: str) -> None:
        error = ConfigError(name=name, key=".".join(path), expected=expected)
        self.errors.append(error)

    def _struct(self, wanted, into: dict, value: object, path: Path, name: str):
        if not self._is_mapping(value, path, name):
            return
        fields = _fields(wanted)
        self._check_definition(wanted, value, path, name)
        for key, part in value.items():
            if key not in fields:
                known = ", ".join(fields)
                self.report((*path, key), name, f"unknown key; expected one of {known}")
                continue
            self._value(fields[key].type, into, key, part, (*path, key), name)

    def _mapping(self, wanted, into: dict, value: object, path: Path, name: str):
        if not self._is_mapping(value, path, name):
            return
        for key, part in value.items():
            part_path = (*path, key)
            if not ITEM_NAME.fullmatch(key):
                self.report(part_path, name, ITEM_NAME_EXPECTED)
            elif _is_leaf(wanted) and part_path in self._name_by_path:
                self._report_second(part_path, name, "another name")
            else:
                self._value(wanted, into, key, part, part_path, name)

    def _value(self, wanted, into: dict, key: str, value: object, path: Path, name):
        if _is_leaf(wanted):
            self._leaf(wanted, into, key, value, path, name)
        elif typing.get_origin(wanted) is dict:
            element = typing.get_args(wanted)[1]
            self._mapping(element, into.setdefault(key, {}), value, path, name)
        else:
            self._struct(wanted, into.setdefault(key, {}), value, path, name)
        self._name_by_path[path] = name

    def _leaf(self, wanted, into: dict, key: str, value: object, path: Path, name):
        converted = _convert_leaf(value, wanted, name)
        if converted.is_ok():
            into[key] = converted.unwrap()
            return
        fault = converted.unwrap_err()
        key_text = ".".join(path) + fault.key
        expected = fault.expected + _choices(wanted)
        self.errors.append(ConfigError(name=name, key=key_text, expected=expected))

    def _is_mapping(self, value: object, path: Path, name: str) -> bool:
        if isinstance(value, dict):
            return True
        self.report(path, name, f"expected a mapping, got {_describe(value)}")
        return False

    def _check_definition(self, wanted, value: dict, path: Path, name: str) -> None:
        fields = _fields(wanted)
        required = [key for key, field in fields.items() if field.required]
        if path not in self._name_by_path:
            for key in required:
                if key not in value:
                    self.report(path, name, f"expected the field {key}")
        elif _is_item(wanted) and all(key in value for key in required):
            self._report_second(path, name, "an override of some fields only")

    def _report_second(self, path: Path, name: str, expected: str) -> None:
        first = self.name_of(path)
        self.report(path, name, f"already defined in {first}; expected {expected}")


def _parse(name: str, text: str) -> Result[object, ConfigError]:
    if not FILE_NAME.fullmatch(name):
        expected = (
            "expected a file name of letters, digits and '._-' that ends in .yaml"
        )
        return Err(ConfigError(name=name, key="", expected=expected))
    try:
        parsed = parse_yaml(text, path=name)
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        # PyYAML lets these escape for an impossible date, a wrong explicit tag
        # or deep nesting.
        expected = f"expected YAML, got {type(error).__name__}: {error}"
        return Err(ConfigError(name=name, key="", expected=expected))
    return parsed.map_err(
        lambda fault: ConfigError(name=name, key=fault.key, expected=fault.expected)
    )


def _convert_leaf(value: object, wanted, name: str) -> Result[object, SettingsError]:
    if wanted is not Address:
        return convert(value, wanted, path=name)
    try:
        return Ok(parse_address(value))
    except (ValueError, AttributeError):
        expected = f"expected IP:PORT, got {value!r}"
        return Err(SettingsError(path=name, key="", expected=expected))


@cache
def _fields(wanted) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.encode_name: field for field in msgspec.structs.fields(wanted)}


@cache
def _is_leaf(wanted) -> bool:
    if wanted is Address:
        return True
    if typing.get_origin(wanted) is dict:
        return False
    return not (isinstance(wanted, type) and issubclass(wanted, msgspec.Struct))


@cache
def _is_item(wanted) -> bool:
    """Return whether a struct has required fields and all of them are leaves.

    Other structs only hold mappings; each file may add to these.
    """
    required = [field for field in _fields(wanted).values() if field.required]
    return bool(required) and all(_is_leaf(field.type) for field in required)


def _choices(wanted) -> str:
    if isinstance(wanted, type) and issubclass(wanted, enum.Enum):
        return "; expected one of " + ", ".join(member.value for member in wanted)
    return ""


def _describe(value: object) -> str:
    return "nothing" if value is None else type(value).__name__


def _build(wanted, tree):
    """Return the merged tree as the structs of the model."""
    if _is_leaf(wanted):
        return tree
    if typing.get_origin(wanted) is dict:
        element = typing.get_args(wanted)[1]
        return {key: _build(element, part) for key, part in tree.items()}
    fields = _fields(wanted)
    return wanted(**{key: _build(fields[key].type, tree[key]) for key in tree})


def merge_files(text_by_name: dict[str, str]) -> Result[FleetConfig, list[ConfigError]]:
    """Merge files in the order of their names and check the whole.

    Returns all errors found; those between items are looked for only when
    each file is good by itself.
    """
    merge = _Merge()
    for name in sorted(text_by_name):
        merge.add(name, text_by_name[name])
    if merge.errors:
        return Err(merge.errors)
    config = _build(FleetConfig, merge.tree)
    for fault in check_references(config):
        merge.report(fault.path, merge.name_of(fault.path), fault.expected)
    return Err(merge.errors) if merge.errors else Ok(config)
