"""Decoding of JSON that other processes wrote."""

from typing import TypeVar

import msgspec

ValueType = TypeVar("ValueType")


def decode_json(data: bytes, wanted: type[ValueType]) -> ValueType:
    """Decode JSON into a type; raises msgspec.DecodeError for any invalid input.

    msgspec itself raises other errors for text that isn't UTF-8 and for values that
    are nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=wanted)
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from error
    except RecursionError as error:
        raise msgspec.DecodeError("the value is nested too deeply") from error
