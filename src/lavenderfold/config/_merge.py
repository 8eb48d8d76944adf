"""Merging of configuration files into one checked configuration.

Files are merged in the order of their names. Each value is checked against the
structs of the model during the merge, so that an error can name the file. The
first file that defines an item must set all of its required fields. A later
file may override some fields, but is an error if it sets all required fields
again, because that defines the item a second time.
"""

import enum
import re
import typing
from functools import cache

import msgspec
from result import Err, Ok, Result

from lavenderfold.config._checks import check_config
from lavenderfold.config._errors import ConfigError
from lavenderfold.config._model import FleetConfig
from lavenderfold.settings import (
    Address,
    SettingsError,
    convert,
    parse_address,
    parse_yaml,
)

FILE_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.yaml")

# Dots are excluded because an API key has the form ORGANISATION.SECRET, and
# slashes because a budget is written as ORGANISATION/BUDGET.
ITEM_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,99}")
EXPECTED_ITEM_NAME = (
    "expected a name of letters, digits, '-' and '_', at most 100 characters"
)

ValuePath = tuple[str, ...]


class _FileMerger:
    """Merges files one by one into a tree of values, and collects the errors.

    Remembers which file set each value last. ``schema`` in its methods is a type
    of the model: a struct, a mapping or the type of a single value.
    """

    def __init__(self):
        self.tree: dict = {}
        self.errors: list[ConfigError] = []
        self._file_by_path: dict[ValuePath, str] = {}

    def add(self, file_name: str, text: str) -> None:
        """Merge one file into the tree."""
        document = _parse_file(file_name, text)
        if document.is_err():
            self.errors.append(document.unwrap_err())
            return
        value = document.unwrap()
        if value is not None:
            self._merge_struct(FleetConfig, self.tree, value, (), file_name)

    def source_file(self, path: ValuePath) -> str:
        """Return the file that last set the value at ``path``.

        If no file set the value, return the one that set its nearest parent.
        """
        while path and path not in self._file_by_path:
            path = path[:-1]
        return self._file_by_path.get(path, "configuration")

    def report(self, path: ValuePath, file_name: str, expected: str) -> None:
        error = ConfigError(name=file_name, key=".".join(path), expected=expected)
        self.errors.append(error)

    def _merge_struct(
        self, schema, merged: dict, value: object, path: ValuePath, file_name: str
    ):
        if not self._is_mapping(value, path, file_name):
            return
        fields = _fields_by_key(schema)
        self._check_item_definition(schema, value, path, file_name)
        for key, item in value.items():
            if key not in fields:
                known_keys = ", ".join(fields)
                self.report(
                    (*path, key),
                    file_name,
                    f"unknown key; expected one of {known_keys}",
                )
                continue
            self._merge_value(
                fields[key].type, merged, key, item, (*path, key), file_name
            )

    def _merge_mapping(
        self, schema, merged: dict, value: object, path: ValuePath, file_name: str
    ):
        if not self._is_mapping(value, path, file_name):
            return
        for key, item in value.items():
            item_path = (*path, key)
            if not ITEM_NAME_PATTERN.fullmatch(key):
                self.report(item_path, file_name, EXPECTED_ITEM_NAME)
            elif _is_leaf(schema) and item_path in self._file_by_path:
                self._report_redefinition(item_path, file_name, "another name")
            else:
                self._merge_value(schema, merged, key, item, item_path, file_name)

    def _merge_value(
        self, schema, merged: dict, key: str, value: object, path: ValuePath, file_name
    ):
        if _is_leaf(schema):
            self._merge_leaf(schema, merged, key, value, path, file_name)
        elif typing.get_origin(schema) is dict:
            item_schema = typing.get_args(schema)[1]
            self._merge_mapping(
                item_schema, merged.setdefault(key, {}), value, path, file_name
            )
        else:
            self._merge_struct(
                schema, merged.setdefault(key, {}), value, path, file_name
            )
        self._file_by_path[path] = file_name

    def _merge_leaf(
        self, schema, merged: dict, key: str, value: object, path: ValuePath, file_name
    ):
        converted = _convert_leaf(value, schema, file_name)
        if converted.is_ok():
            merged[key] = converted.unwrap()
            return
        fault = converted.unwrap_err()
        key_path = ".".join(path) + fault.key
        expected = fault.expected + _describe_choices(schema)
        self.errors.append(ConfigError(name=file_name, key=key_path, expected=expected))

    def _is_mapping(self, value: object, path: ValuePath, file_name: str) -> bool:
        if isinstance(value, dict):
            return True
        self.report(path, file_name, f"expected a mapping, got {_describe_type(value)}")
        return False

    def _check_item_definition(
        self, schema, value: dict, path: ValuePath, file_name: str
    ) -> None:
        fields = _fields_by_key(schema)
        required = [key for key, field in fields.items() if field.required]
        if path not in self._file_by_path:
            for key in required:
                if key not in value:
                    self.report(path, file_name, f"expected the field {key}")
        elif _is_item(schema) and all(key in value for key in required):
            self._report_redefinition(
                path, file_name, "an override of some fields only"
            )

    def _report_redefinition(
        self, path: ValuePath, file_name: str, expected: str
    ) -> None:
        first_file = self.source_file(path)
        self.report(
            path, file_name, f"already defined in {first_file}; expected {expected}"
        )


def _parse_file(file_name: str, text: str) -> Result[object, ConfigError]:
    if not FILE_NAME_PATTERN.fullmatch(file_name):
        expected = (
            "expected a file name of letters, digits and '._-' that ends in .yaml"
        )
        return Err(ConfigError(name=file_name, key="", expected=expected))
    try:
        parsed = parse_yaml(text, path=file_name)
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        # PyYAML raises these instead of its own errors for an impossible date, a
        # wrong explicit tag or deep nesting.
        expected = f"expected YAML, got {type(error).__name__}: {error}"
        return Err(ConfigError(name=file_name, key="", expected=expected))
    return parsed.map_err(
        lambda fault: ConfigError(
            name=file_name, key=fault.key, expected=fault.expected
        )
    )


def _convert_leaf(
    value: object, schema, file_name: str
) -> Result[object, SettingsError]:
    if schema is not Address:
        return convert(value, schema, path=file_name)
    try:
        return Ok(parse_address(value))
    except (ValueError, AttributeError):
        expected = f"expected IP:PORT, got {value!r}"
        return Err(SettingsError(path=file_name, key="", expected=expected))


@cache
def _fields_by_key(schema) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.encode_name: field for field in msgspec.structs.fields(schema)}


@cache
def _is_leaf(schema) -> bool:
    if schema is Address:
        return True
    if typing.get_origin(schema) is dict:
        return False
    return not (isinstance(schema, type) and issubclass(schema, msgspec.Struct))


@cache
def _is_item(schema) -> bool:
    """Return whether a struct defines an item, which only one file may do.

    That is so if it has required fields and all of them hold single values.
    Other structs are containers of mappings, to which each file may add.
    """
    required = [field for field in _fields_by_key(schema).values() if field.required]
    return bool(required) and all(_is_leaf(field.type) for field in required)


def _describe_choices(schema) -> str:
    if isinstance(schema, type) and issubclass(schema, enum.Enum):
        return "; expected one of " + ", ".join(member.value for member in schema)
    return ""


def _describe_type(value: object) -> str:
    return "nothing" if value is None else type(value).__name__


def _build_structs(schema, tree):
    """Convert a merged tree to the structs of the model."""
    if _is_leaf(schema):
        return tree
    if typing.get_origin(schema) is dict:
        item_schema = typing.get_args(schema)[1]
        return {key: _build_structs(item_schema, item) for key, item in tree.items()}
    fields = _fields_by_key(schema)
    return schema(**{key: _build_structs(fields[key].type, tree[key]) for key in tree})


def merge_files(text_by_name: dict[str, str]) -> Result[FleetConfig, list[ConfigError]]:
    """Merge files in the order of their names and check the result.

    Returns the configuration, or all errors that were found. Ranges and
    references between items are checked only if no file has an error by itself.
    """
    merger = _FileMerger()
    for file_name in sorted(text_by_name):
        merger.add(file_name, text_by_name[file_name])
    if merger.errors:
        return Err(merger.errors)
    config = _build_structs(FleetConfig, merger.tree)
    for fault in check_config(config):
        merger.report(fault.path, merger.source_file(fault.path), fault.expected)
    return Err(merger.errors) if merger.errors else Ok(config)
