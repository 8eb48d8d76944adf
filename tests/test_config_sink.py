"""Which items of the store a router takes for its configuration."""

import msgspec

from lavenderfold.direct._sinks import ConfigSink
from lavenderfold.shared import Item
from tests.direct_support import READER, make_config

KEY = "config"


def config_item(key: str, version: int, revision: int) -> Item:
    return Item(key, msgspec.json.encode(make_config(version=version)), revision)


def test_longer_key_is_not_taken_for_the_configuration():
    """A draft beside the configuration, with a higher version, would be in force."""
    sink = ConfigSink(key=KEY, reader=READER, on_installed=lambda _: None)
    sink.put(config_item("config-draft", 9, 3))
    assert sink.table is None
    sink.put(config_item(KEY, 2, 4))
    sink.put(config_item("config/next", 5, 5))
    assert sink.table.version == 2
