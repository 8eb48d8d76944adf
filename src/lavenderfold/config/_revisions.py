"""Revisions of the configuration in the key-value service.

``config/head`` names the current revision, ``config/manifest/N`` the files of
revision N by content hash, ``config/file/HASH`` a file's text. Manifests and
files never change once written.

An apply commits by creating the manifest of the next number, which only one of
several racing operators can do. Whoever finds a manifest above the head moves
the head first, because its writer may have died in between.
"""

import hashlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from lavenderfold.config._changes import Edits, OpenGrantsReader, grant_warnings, rebase
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
from lavenderfold.config._model import FleetConfig
from lavenderfold.store import AnswerLostError, ConflictError, Store, StoreError

HEAD_KEY = "config/head"

# The key-value service's bound for one value.
VALUE_BYTES_LIMIT = 1_000_000

# Repeats of a call whose response was lost; the next loss is reported.
CALL_ATTEMPTS = 4

# Races lost to other operators before an apply gives up.
APPLY_ATTEMPTS = 20

Decoded = TypeVar("Decoded")
Value = TypeVar("Value")


class Head(msgspec.Struct, frozen=True):
    """The current revision; 0 when none was applied yet.

    ``version`` is the store's version of the head's key.
    """

    revision: int = 0
    manifest: str = ""
    version: int = 0


class Manifest(msgspec.Struct, frozen=True):
    """The files of one revision and the token of the apply that wrote it."""

    revision: int = 0
    token: str = ""
    hash_by_name: dict[str, str] = msgspec.field(default_factory=dict)


class Plan(msgspec.Struct, frozen=True):
    """What an apply would do on top of ``head``.

    ``edits`` holds only the edits that still change a file. ``changed_by_others``
    names the files that other operators changed since the base revision.
    """

    head: Head
    edits: Edits
    changed_by_others: list[str]
    text_by_name: dict[str, str]
    old: FleetConfig
    new: FleetConfig
    warnings: list[str]


class Applied(msgspec.Struct, frozen=True):
    """The edits are part of ``revision``."""

    revision: int
    changed: bool = True
    changed_by_others: list[str] = msgspec.field(default_factory=list)
    warnings: list[str] = msgspec.field(default_factory=list)


class _StoredHead(msgspec.Struct, forbid_unknown_fields=True):
    revision: int
    manifest: str


class Revisions:
    """Reads and applies revisions.

    Keeps the texts of the files it read last, because most files are the same
    from one revision to the next.
    """

    def __init__(self, *, store: Store):
        self._store = store
        self._text_by_hash: dict[str, str] = {}

    async def head(self) -> Result[Head, RevisionError]:
        """Return the current revision."""
        read = await _repeated(lambda: self._store.get(HEAD_KEY))
        if read.is_err():
            return Err(RevisionsUnavailableError(read.unwrap_err()))
        return _decode_head(read.unwrap())

    async def watch_head(
        self, *, after: int, timeout_s: float
    ) -> Result[Head | None, RevisionError]:
        """Wait for a head whose key has a version above ``after``.

        Returns None when ``timeout_s`` seconds pass without one.
        """
        seen = await self._store.watch(HEAD_KEY, after=after, timeout_s=timeout_s)
        if seen.is_err():
            return Err(RevisionsUnavailableError(seen.unwrap_err()))
        return Ok(None) if seen.unwrap() is None else _decode_head(seen.unwrap())

    async def load(self, revision: int) -> Result[dict[str, str], RevisionError]:
        """Return the text of each file of a revision by name."""
        manifest = await self._manifest(revision)
        if manifest.is_err():
            return manifest
        return await self._texts(manifest.unwrap())

    async def plan(
        self,
        edits: Edits,
        *,
        base_revision: int,
        read_open_grants: OpenGrantsReader | None = None,
    ) -> Result[Plan, RevisionError]:
        """Return what ``apply`` would do now; writes nothing."""
        head = await self.head()
        if head.is_err():
            return head
        return await self._plan(head.unwrap(), edits, base_revision, read_open_grants)

    async def apply(
        self,
        edits: Edits,
        *,
        base_revision: int,
        token: str,
        read_open_grants: OpenGrantsReader | None = None,
    ) -> Result[Applied, RevisionError]:
        """Apply edits made from ``base_revision`` as the next revision.

        ``edits`` maps a file's name to its new text or None to remove it.
        ``token`` names this apply: a repeat with the same token returns the
        revision that the first one made, also when its response was lost.
        """
        searched = base_revision
        warnings: list[str] = []
        for _ in range(APPLY_ATTEMPTS):
            settled = await self._settled_head()
            if settled.is_err():
                return settled
            head = settled.unwrap()
            earlier = await self._find_token(token, searched, head.revision)
            if earlier.is_err():
                return earlier
            if earlier.unwrap():
                return Ok(Applied(revision=earlier.unwrap(), warnings=warnings))
            searched = max(searched, head.revision)
            planned = await self._plan(head, edits, base_revision, read_open_grants)
            if planned.is_err():
                return planned
            warnings = planned.unwrap().warnings
            committed = await self._commit(planned.unwrap(), token)
            if committed.is_err() or committed.unwrap() is not None:
                return committed
        return Err(RevisionsUnavailableError("other operators apply all the time"))

    async def _plan(
        self, head: Head, edits: Edits, base_revision: int, read_open_grants
    ) -> Result[Plan, RevisionError]:
        if base_revision > head.revision:
            missing = RevisionMissingError(base_revision, head_revision=head.revision)
            return Err(missing)
        base = await self._manifest(base_revision)
        current = await self._manifest(head.revision)
        if base.is_err() or current.is_err():
            return base if base.is_err() else current
        before, now = base.unwrap().hash_by_name, current.unwrap().hash_by_name
        wanted = {name: _hash(text) for name, text in edits.items()}
        rebased = rebase(wanted, before, now)
        if rebased.is_err():
            conflict = EditConflictError(
                names=rebased.unwrap_err(),
                base_revision=base_revision,
                revision=head.revision,
            )
            return Err(conflict)
        texts = await self._texts(current.unwrap())
        if texts.is_err():
            return texts
        names = before.keys() | now.keys()
        changed_by_others = sorted(
            name for name in names if before.get(name) != now.get(name)
        )
        effective = {name: edits[name] for name in rebased.unwrap()}
        return await _check_plan(
            head, effective, changed_by_others, texts.unwrap(), read_open_grants
        )

    async def _commit(
        self, plan: Plan, token: str
    ) -> Result[Applied | None, RevisionError]:
        """Write a plan; None means that another operator was faster."""
        if not plan.edits:
            return Ok(
                Applied(
                    plan.head.revision,
                    changed=False,
                    changed_by_others=plan.changed_by_others,
                )
            )
        hash_by_name = {name: _hash(text) for name, text in plan.text_by_name.items()}
        for name in plan.edits:
            if name in hash_by_name:
                key = f"config/file/{hash_by_name[name]}"
                text = plan.text_by_name[name].encode()
                written = await self._create(key, text)
                if written.is_err():
                    return Err(RevisionsUnavailableError(written.unwrap_err()))
        manifest = Manifest(plan.head.revision + 1, token, hash_by_name)
        created = await self._create_manifest(manifest)
        if created.is_err() or not created.unwrap():
            return created.map(lambda _: None)
        moved = await self._move_head(manifest.revision)
        if moved.is_err():
            return Err(ApplyUncertainError(token=token, cause=moved.unwrap_err()))
        applied = Applied(
            manifest.revision,
            changed_by_others=plan.changed_by_others,
            warnings=plan.warnings,
        )
        return Ok(applied)

    async def _create_manifest(self, manifest: Manifest) -> Result[bool, RevisionError]:
        """Return whether this apply's manifest took its revision number."""
        key = manifest_key(manifest.revision)
        written = await self._create(key, msgspec.json.encode(manifest))
        if written.is_err():
            cause = written.unwrap_err()
            if isinstance(cause, AnswerLostError):
                return Err(ApplyUncertainError(token=manifest.token, cause=cause))
            return Err(RevisionsUnavailableError(cause))
        if written.unwrap():
            return Ok(True)
        # The number is taken, perhaps by a write of this apply whose response
        # was lost. Leaving that to the next round would call an apply refused
        # that took effect if the store goes down in between.
        stored = await self._manifest(manifest.revision)
        if stored.is_err():
            cause = stored.unwrap_err()
            return Err(ApplyUncertainError(token=manifest.token, cause=cause))
        return Ok(stored.unwrap().token == manifest.token)

    async def _settled_head(self) -> Result[Head, RevisionError]:
        """Return the head after moving it to a manifest that waits above it."""
        head = await self.head()
        if head.is_err():
            return head
        waiting = manifest_key(head.unwrap().revision + 1)
        read = await _repeated(lambda: self._store.get(waiting))
        if read.is_err():
            return Err(RevisionsUnavailableError(read.unwrap_err()))
        if read.unwrap() is None:
            return head
        return await self._move_head(head.unwrap().revision + 1)

    async def _move_head(self, revision: int) -> Result[Head, RevisionError]:
        """Move the head up to ``revision`` unless it's there already."""
        stored = _StoredHead(revision, manifest_key(revision))
        value = msgspec.json.encode(stored)
        for _ in range(CALL_ATTEMPTS):
            head = await self.head()
            if head.is_err() or head.unwrap().revision >= revision:
                return head
            version = head.unwrap().version
            put = await self._store.put(HEAD_KEY, value, version=version)
            if put.is_ok():
                return Ok(Head(revision, stored.manifest, put.unwrap()))
            cause = put.unwrap_err()
            if not isinstance(cause, AnswerLostError | ConflictError):
                return Err(RevisionsUnavailableError(cause))
        return Err(RevisionsUnavailableError(cause))

    async def _find_token(
        self, token: str, after: int, last: int
    ) -> Result[int, RevisionError]:
        """Return the revision above ``after`` that a token made, or 0."""
        for revision in range(last, after, -1):
            manifest = await self._manifest(revision)
            if manifest.is_err():
                return manifest
            if manifest.unwrap().token == token:
                return Ok(revision)
        return Ok(0)

    async def _manifest(self, revision: int) -> Result[Manifest, RevisionError]:
        if revision == 0:
            return Ok(Manifest())
        key = manifest_key(revision)
        read = await _repeated(lambda: self._store.get(key))
        if read.is_err():
            return Err(RevisionsUnavailableError(read.unwrap_err()))
        if read.unwrap() is None:
            return Err(CorruptRevisionError(key, "expected a manifest, found nothing"))
        return _decode(key, read.unwrap().value, Manifest)

    async def _texts(self, manifest: Manifest) -> Result[dict[str, str], RevisionError]:
        text_by_hash = {}
        for content in set(manifest.hash_by_name.values()):
            text = self._text_by_hash.get(content)
            if text is None:
                read = await self._file(content)
                if read.is_err():
                    return read
                text = read.unwrap()
            text_by_hash[content] = text
        self._text_by_hash = text_by_hash
        by_name = manifest.hash_by_name.items()
        return Ok({name: text_by_hash[content] for name, content in by_name})

    async def _file(self, content: str) -> Result[str, RevisionError]:
        key = f"config/file/{content}"
        read = await _repeated(lambda: self._store.get(key))
        if read.is_err():
            return Err(RevisionsUnavailableError(read.unwrap_err()))
        value = read.unwrap().value if read.unwrap() else b""
        if hashlib.sha256(value).hexdigest() != content:
            return Err(CorruptRevisionError(key, "expected the text of that hash"))
        return Ok(value.decode("utf-8"))

    async def _create(self, key: str, value: bytes) -> Result[bool, StoreError]:
        """Write a key that never changes; return False if it exists."""
        lost = None
        for _ in range(CALL_ATTEMPTS):
            put = await self._store.put(key, value, version=0)
            if put.is_ok():
                return Ok(True)
            cause = put.unwrap_err()
            if isinstance(cause, ConflictError):
                return Ok(False)
            if not isinstance(cause, AnswerLostError):
                # An earlier write of this call may still take effect.
                return Err(lost or cause)
            lost = cause
        return Err(lost)


def manifest_key(revision: int) -> str:
    """Return the store's key of a revision's manifest."""
    return f"config/manifest/{revision}"


def _hash(text: str | None) -> str | None:
    return None if text is None else hashlib.sha256(text.encode()).hexdigest()


def _decode(key: str, value: bytes, wanted: type[Decoded]):
    try:
        return Ok(msgspec.json.decode(value, type=wanted))
    except msgspec.DecodeError as error:
        return Err(CorruptRevisionError(key, error))


def _decode_head(read) -> Result[Head, RevisionError]:
    if read is None:
        return Ok(Head())
    stored = _decode(HEAD_KEY, read.value, _StoredHead)
    return stored.map(lambda head: Head(head.revision, head.manifest, read.version))


async def _repeated(
    call: Callable[[], Awaitable[Result[Value, StoreError]]],
) -> Result[Value, StoreError]:
    """Repeat a read whose response was lost."""
    for _ in range(CALL_ATTEMPTS):
        read = await call()
        if read.is_ok() or not isinstance(read.unwrap_err(), AnswerLostError):
            break
    return read


async def _check_plan(
    head: Head,
    edits: Edits,
    changed_by_others: list[str],
    texts: dict[str, str],
    read_open_grants,
) -> Result[Plan, RevisionError]:
    changed = {**texts, **edits}
    changed = {name: text for name, text in changed.items() if text is not None}
    large = [
        ConfigError(name=name, key="", expected=f"at most {VALUE_BYTES_LIMIT} bytes")
        for name, text in changed.items()
        if len(text.encode()) > VALUE_BYTES_LIMIT
    ]
    old, new = merge_files(texts), merge_files(changed)
    if large or new.is_err():
        return Err(InvalidConfigError(large or new.unwrap_err()))
    # The current revision may be invalid for this program; mending it is allowed.
    before = old.unwrap_or(FleetConfig())
    warnings = await grant_warnings(before, new.unwrap(), read_open_grants)
    return Ok(
        Plan(head, edits, changed_by_others, changed, before, new.unwrap(), warnings)
    )
