"""The fleet configuration that operators write.

Merges and checks its YAML files, stores them as numbered revisions and keeps
each process at the highest revision.
"""

from lavenderfold.config._changes import (
    Edits,
    OpenGrantsReader,
    describe_changes,
    diff_files,
    removed_budgets,
)
from lavenderfold.config._checks import find_warnings
from lavenderfold.config._errors import (
    ApplyUncertainError,
    ConfigError,
    CorruptRevisionError,
    EditConflictError,
    InvalidConfigError,
    RevisionError,
    RevisionMissingError,
    RevisionsUnavailableError,
)
from lavenderfold.config._merge import merge_files
from lavenderfold.config._model import (
    ApiKey,
    Budget,
    FailureDomain,
    FleetConfig,
    Organisation,
    RequestClass,
    Route,
    RouteKind,
    Target,
)
from lavenderfold.config._revisions import Applied, Plan, Revisions
from lavenderfold.config._state import ConfigState
from lavenderfold.config._stored_revisions import Head, Manifest
from lavenderfold.config._watcher import ConfigWatcher

__all__ = [
    "ApiKey",
    "Applied",
    "ApplyUncertainError",
    "Budget",
    "ConfigError",
    "ConfigState",
    "ConfigWatcher",
    "CorruptRevisionError",
    "EditConflictError",
    "Edits",
    "FailureDomain",
    "FleetConfig",
    "Head",
    "InvalidConfigError",
    "Manifest",
    "OpenGrantsReader",
    "Organisation",
    "Plan",
    "RequestClass",
    "RevisionError",
    "RevisionMissingError",
    "Revisions",
    "RevisionsUnavailableError",
    "Route",
    "RouteKind",
    "Target",
    "describe_changes",
    "diff_files",
    "find_warnings",
    "merge_files",
    "removed_budgets",
]
