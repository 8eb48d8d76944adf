"""Settings files: YAML that is validated and converted into typed structs."""

import functools
import ipaddress
from pathlib import Path
from typing import TypeVar

import msgspec
import yaml
from result import Err, Ok, Result

MAX_PORT = 65535
MAX_PORT_DIGITS = 5

SettingsType = TypeVar("SettingsType")


class SettingsError(Exception):
    """A settings file is invalid. The message names the file, the key and the error."""

    def __init__(self, *, path: Path | str, key: str, expected: str):
        super().__init__(f"{path}: {key or 'file'}: {expected}")
        self.path = str(path)
        self.key = key
        self.expected = expected


@functools.total_ordering
class Address:
    """An IP address and a TCP or UDP port, written ``IP:PORT`` in settings files.

    This isn't a msgspec struct, because msgspec would then expect a mapping and never
    call ``decode_hook`` to convert the text.
    """

    __slots__ = ("host", "port")

    def __init__(self, *, host: str, port: int):
        self.host = host
        self.port = port

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Address):
            return NotImplemented
        return (self.host, self.port) == (other.host, other.port)

    def __lt__(self, other: "Address") -> bool:
        return (self.host, self.port) < (other.host, other.port)

    def __hash__(self) -> int:
        return hash((self.host, self.port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    def __repr__(self) -> str:
        return f"Address({str(self)!r})"


# The loader based on libyaml is about six times as fast as the pure Python one.
_SafeLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _UniqueKeyLoader(_SafeLoader):
    """Rejects a mapping with a repeated key, of which PyYAML would keep the last."""

    def construct_mapping(self, node, deep=False):
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} must be text", key_node.start_mark
                )
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} is given twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def parse_address(text: str) -> Address:
    """Parse an address in the form ``IP:PORT``; raises ValueError."""
    host, separator, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not separator or not is_number or int(port) > MAX_PORT:
        raise ValueError(f"expected IP:PORT, got {text!r}")
    ipaddress.ip_address(host)
    return Address(host=host, port=int(port))


def decode_hook(wanted: type, value: object) -> object:
    """Convert a value to a type that msgspec doesn't support itself."""
    if wanted is Address and isinstance(value, str):
        return parse_address(value)
    raise ValueError(f"expected {wanted.__name__}, got {value!r}")


def parse_yaml(text: str, *, path: Path | str) -> Result[object, SettingsError]:
    """Parse YAML text; a repeated key in a mapping is an error."""
    try:
        return Ok(yaml.load(text, Loader=_UniqueKeyLoader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        location = f"line {mark.line + 1}" if mark else ""
        return Err(SettingsError(path=path, key=location, expected=str(error.problem)))
    except yaml.YAMLError as error:
        return Err(SettingsError(path=path, key="", expected=str(error)))


def convert(
    value: object, wanted: type[SettingsType], *, path: Path | str
) -> Result[SettingsType, SettingsError]:
    """Convert a parsed settings file into a struct.

    The error names the first key whose value is missing or invalid.
    """
    try:
        return Ok(msgspec.convert(value, wanted, strict=True, dec_hook=decode_hook))
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(" - at ")
        key = location.strip("`").removeprefix("$").lstrip(".")
        return Err(SettingsError(path=path, key=key, expected=message))


def load(
    path: Path | str, wanted: type[SettingsType]
) -> Result[SettingsType, SettingsError]:
    """Read a YAML settings file into a struct."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsError(path=path, key="", expected=f"can't read: {error}"))
    return parse_yaml(text, path=path).and_then(
        lambda value: convert(value, wanted, path=path)
    )
