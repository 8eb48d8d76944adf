"""The configuration that a process currently uses."""

from lavenderfold.config._errors import ConfigError
from lavenderfold.config._merge import merge_files
from lavenderfold.config._model import FleetConfig
from lavenderfold.messages import Snapshot


class ConfigState:
    """The highest revision installed so far, or an empty revision 0.

    ``rejected_revision`` is the latest revision whose files couldn't be merged, and
    ``errors`` says why. This can happen when a newer version of the program wrote
    it.
    """

    __slots__ = ("revision", "config", "text_by_name", "rejected_revision", "errors")

    def __init__(self):
        self.revision = 0
        self.config = FleetConfig()
        self.text_by_name: dict[str, str] = {}
        self.rejected_revision = 0
        self.errors: list[ConfigError] = []

    def install(self, revision: int, text_by_name: dict[str, str]) -> bool:
        """Install a revision that is valid and higher than the installed one.

        Returns whether it was installed.
        """
        if revision <= self.revision:
            return False
        merged = merge_files(text_by_name)
        if merged.is_err():
            self.rejected_revision = revision
            self.errors = merged.unwrap_err()
            return False
        self.revision = revision
        self.config = merged.unwrap()
        self.text_by_name = dict(text_by_name)
        return True

    def snapshot(self) -> Snapshot:
        """Return the installed revision as a message to peers."""
        return Snapshot(self.revision, dict(self.text_by_name))
