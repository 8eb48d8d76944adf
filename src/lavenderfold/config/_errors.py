"""Errors of configuration files and of reading or applying revisions."""


class ConfigError(Exception):
    """A configuration file is invalid.

    ``name`` is the file, ``key`` the dotted path of the value or empty when the
    error concerns the whole file, and ``expected`` says what was expected. The
    error text holds all three.
    """

    def __init__(self, *, name: str, key: str, expected: str):
        super().__init__(f"{name}: {key or 'file'}: {expected}")
        self.name = name
        self.key = key
        self.expected = expected


class RevisionError(Exception):
    """Reading or applying a revision failed."""


class RevisionsUnavailableError(RevisionError):
    """The store is currently unavailable; this call applied nothing."""

    def __init__(self, cause: object):
        super().__init__(f"the configuration store can't be used: {cause}")


class ApplyUncertainError(RevisionError):
    """The apply may or may not have taken effect.

    Repeating it with the same token tells which.
    """

    def __init__(self, *, token: str, cause: object):
        super().__init__(
            f"the changes may have been applied; repeat with token {token} "
            f"to find out: {cause}"
        )
        self.token = token


class EditConflictError(RevisionError):
    """Other operators changed the same files since the base revision."""

    def __init__(self, *, names: list[str], base_revision: int, revision: int):
        super().__init__(
            f"{', '.join(names)}: changed since revision {base_revision} by others "
            f"up to revision {revision}"
        )
        self.names = names
        self.base_revision = base_revision
        self.revision = revision


class InvalidConfigError(RevisionError):
    """The merged configuration has errors; nothing was applied."""

    def __init__(self, errors: list[ConfigError]):
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


class RevisionMissingError(RevisionError):
    """The requested revision is higher than the current one."""

    def __init__(self, revision: int, *, head_revision: int):
        super().__init__(
            f"revision {revision} does not exist; the current one is {head_revision}"
        )
        self.revision = revision
        self.head_revision = head_revision


class CorruptRevisionError(RevisionError):
    """The value of a key in the store is missing, or isn't what this program writes."""

    def __init__(self, key: str, cause: object):
        super().__init__(f"key {key!r}: {cause}")
        self.key = key
