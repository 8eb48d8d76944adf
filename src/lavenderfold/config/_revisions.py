"""Revisions of the configuration in the key-value service.

The key ``config/head`` holds the number of the current revision,
``config/manifest/N`` the files of revision N by content hash, and
``config/file/HASH`` the text of a file. Manifests and files are never changed
after they were written.

An apply commits by creating the manifest with the next revision number, which
only one of several concurrent applies can do. It then advances the head to that
manifest. An apply that finds a manifest above the head advances the head first,
because the process that wrote the manifest may have died before it did so.
"""

import hashlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from lavenderfold.config._changes import (
    Edits,
    OpenGrantsReader,
    find_grant_warnings,
    rebase_edits,
)
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

# The key-value service accepts values up to this size.
VALUE_BYTES_LIMIT = 1_000_000

# A call whose response is lost is repeated up to this number of attempts. If the
# response to the last one is lost too, the error is returned.
STORE_CALL_ATTEMPTS = 4

# An apply gives up after another operator was first in this number of attempts.
APPLY_ATTEMPTS = 20

Decoded = TypeVar("Decoded")
Value = TypeVar("Value")


class Head(msgspec.Struct, frozen=True):
    """The current revision, or 0 when none was applied yet.

    ``manifest`` is the key of its manifest, and ``version`` the version that the
    store gives to the value of ``config/head``.
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
    """The result of an apply: its edits are part of ``revision``.

    ``changed`` is False when that revision held them already, so that none was
    written.
    """

    revision: int
    changed: bool = True
    changed_by_others: list[str] = msgspec.field(default_factory=list)
    warnings: list[str] = msgspec.field(default_factory=list)


class _StoredHead(msgspec.Struct, forbid_unknown_fields=True):
    revision: int
    manifest: str


class Revisions:
    """Reads and applies the revisions in a store.

    Caches the files of the revision that it read last, because most files are
    the same from one revision to the next.
    """

    def __init__(self, *, store: Store):
        self._store = store
        self._text_by_hash: dict[str, str] = {}

    async def head(self) -> Result[Head, RevisionError]:
        """Return the current revision."""
        read = await _retry_read(lambda: self._store.get(HEAD_KEY))
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
        """Return the texts of a revision's files by file name."""
        manifest = await self._load_manifest(revision)
        if manifest.is_err():
            return manifest
        return await self._load_texts(manifest.unwrap())

    async def plan(
        self,
        edits: Edits,
        *,
        base_revision: int,
        read_open_grants: OpenGrantsReader | None = None,
    ) -> Result[Plan, RevisionError]:
        """Return what ``apply`` would do now, without writing to the store."""
        head = await self.head()
        if head.is_err():
            return head
        return await self._plan_on_head(
            head.unwrap(), edits, base_revision, read_open_grants
        )

    async def apply(
        self,
        edits: Edits,
        *,
        base_revision: int,
        token: str,
        read_open_grants: OpenGrantsReader | None = None,
    ) -> Result[Applied, RevisionError]:
        """Apply edits that were made to ``base_revision`` as the next revision.

        ``edits`` maps a file's name to its new text, or to None to remove it.
        ``token`` identifies this apply. Calling it again with the same token
        returns the revision that the first call created, even if the response
        to the first call was lost.
        """
        searched_up_to = base_revision
        warnings: list[str] = []
        for _ in range(APPLY_ATTEMPTS):
            recovered = await self._recover_head()
            if recovered.is_err():
                return recovered
            head = recovered.unwrap()
            earlier = await self._find_revision_by_token(
                token, searched_up_to, head.revision
            )
            if earlier.is_err():
                return earlier
            if earlier.unwrap():
                return Ok(Applied(revision=earlier.unwrap(), warnings=warnings))
            searched_up_to = max(searched_up_to, head.revision)
            planned = await self._plan_on_head(
                head, edits, base_revision, read_open_grants
            )
            if planned.is_err():
                return planned
            warnings = planned.unwrap().warnings
            committed = await self._commit_plan(planned.unwrap(), token)
            if committed.is_err() or committed.unwrap() is not None:
                return committed
        return Err(
            RevisionsUnavailableError(
                "other operators applied a revision first at each attempt"
            )
        )

    async def _plan_on_head(
        self, head: Head, edits: Edits, base_revision: int, read_open_grants
    ) -> Result[Plan, RevisionError]:
        if base_revision > head.revision:
            missing = RevisionMissingError(base_revision, head_revision=head.revision)
            return Err(missing)
        base = await self._load_manifest(base_revision)
        current = await self._load_manifest(head.revision)
        if base.is_err() or current.is_err():
            return base if base.is_err() else current
        at_base, at_head = base.unwrap().hash_by_name, current.unwrap().hash_by_name
        edited = {name: _content_hash(text) for name, text in edits.items()}
        rebased = rebase_edits(edited, at_base, at_head)
        if rebased.is_err():
            conflict = EditConflictError(
                names=rebased.unwrap_err(),
                base_revision=base_revision,
                revision=head.revision,
            )
            return Err(conflict)
        texts = await self._load_texts(current.unwrap())
        if texts.is_err():
            return texts
        names = at_base.keys() | at_head.keys()
        changed_by_others = sorted(
            name for name in names if at_base.get(name) != at_head.get(name)
        )
        effective = {name: edits[name] for name in rebased.unwrap()}
        return await _build_plan(
            head, effective, changed_by_others, texts.unwrap(), read_open_grants
        )

    async def _commit_plan(
        self, plan: Plan, token: str
    ) -> Result[Applied | None, RevisionError]:
        """Write the plan's files and manifest, and advance the head.

        Returns None if another operator took the revision number first.
        """
        if not plan.edits:
            return Ok(
                Applied(
                    plan.head.revision,
                    changed=False,
                    changed_by_others=plan.changed_by_others,
                )
            )
        hash_by_name = {
            name: _content_hash(text) for name, text in plan.text_by_name.items()
        }
        for name in plan.edits:
            if name in hash_by_name:
                key = f"config/file/{hash_by_name[name]}"
                text = plan.text_by_name[name].encode()
                written = await self._create_key(key, text)
                if written.is_err():
                    return Err(RevisionsUnavailableError(written.unwrap_err()))
        manifest = Manifest(plan.head.revision + 1, token, hash_by_name)
        created = await self._create_manifest(manifest)
        if created.is_err() or not created.unwrap():
            return created.map(lambda _: None)
        moved = await self._advance_head(manifest.revision)
        if moved.is_err():
            return Err(ApplyUncertainError(token=token, cause=moved.unwrap_err()))
        applied = Applied(
            manifest.revision,
            changed_by_others=plan.changed_by_others,
            warnings=plan.warnings,
        )
        return Ok(applied)

    async def _create_manifest(self, manifest: Manifest) -> Result[bool, RevisionError]:
        """Create a manifest; return whether it took its revision number.

        It didn't if the manifest of another apply has that number.
        """
        key = manifest_key(manifest.revision)
        written = await self._create_key(key, msgspec.json.encode(manifest))
        if written.is_err():
            cause = written.unwrap_err()
            if isinstance(cause, AnswerLostError):
                return Err(ApplyUncertainError(token=manifest.token, cause=cause))
            return Err(RevisionsUnavailableError(cause))
        if written.unwrap():
            return Ok(True)
        # A manifest with this number exists. An earlier write of this apply, whose
        # response was lost, may have created it, so its token is compared here. If
        # that was left to the next attempt of apply() and the store failed before
        # it, an apply that took effect would be reported as not applied.
        stored = await self._load_manifest(manifest.revision)
        if stored.is_err():
            cause = stored.unwrap_err()
            return Err(ApplyUncertainError(token=manifest.token, cause=cause))
        return Ok(stored.unwrap().token == manifest.token)

    async def _recover_head(self) -> Result[Head, RevisionError]:
        """Return the head, advanced if the next manifest exists already.

        That manifest's writer may have died before it advanced the head.
        """
        head = await self.head()
        if head.is_err():
            return head
        next_key = manifest_key(head.unwrap().revision + 1)
        read = await _retry_read(lambda: self._store.get(next_key))
        if read.is_err():
            return Err(RevisionsUnavailableError(read.unwrap_err()))
        if read.unwrap() is None:
            return head
        return await self._advance_head(head.unwrap().revision + 1)

    async def _advance_head(self, revision: int) -> Result[Head, RevisionError]:
        """Advance the head to ``revision`` unless it's there or above already."""
        stored = _StoredHead(revision, manifest_key(revision))
        value = msgspec.json.encode(stored)
        for _ in range(STORE_CALL_ATTEMPTS):
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

    async def _find_revision_by_token(
        self, token: str, after: int, last: int
    ) -> Result[int, RevisionError]:
        """Return the revision that the apply with ``token`` created, or 0.

        Searches the revisions above ``after`` up to ``last``.
        """
        for revision in range(last, after, -1):
            manifest = await self._load_manifest(revision)
            if manifest.is_err():
                return manifest
            if manifest.unwrap().token == token:
                return Ok(revision)
        return Ok(0)

    async def _load_manifest(self, revision: int) -> Result[Manifest, RevisionError]:
        if revision == 0:
            return Ok(Manifest())
        key = manifest_key(revision)
        read = await _retry_read(lambda: self._store.get(key))
        if read.is_err():
            return Err(RevisionsUnavailableError(read.unwrap_err()))
        if read.unwrap() is None:
            return Err(CorruptRevisionError(key, "expected a manifest, found nothing"))
        return _decode(key, read.unwrap().value, Manifest)

    async def _load_texts(
        self, manifest: Manifest
    ) -> Result[dict[str, str], RevisionError]:
        text_by_hash = {}
        for content_hash in set(manifest.hash_by_name.values()):
            text = self._text_by_hash.get(content_hash)
            if text is None:
                read = await self._load_file(content_hash)
                if read.is_err():
                    return read
                text = read.unwrap()
            text_by_hash[content_hash] = text
        self._text_by_hash = text_by_hash
        by_name = manifest.hash_by_name.items()
        return Ok({name: text_by_hash[content_hash] for name, content_hash in by_name})

    async def _load_file(self, content_hash: str) -> Result[str, RevisionError]:
        key = f"config/file/{content_hash}"
        read = await _retry_read(lambda: self._store.get(key))
        if read.is_err():
            return Err(RevisionsUnavailableError(read.unwrap_err()))
        value = read.unwrap().value if read.unwrap() else b""
        if hashlib.sha256(value).hexdigest() != content_hash:
            return Err(
                CorruptRevisionError(
                    key, "expected a text whose SHA-256 is the hash in the key"
                )
            )
        return Ok(value.decode("utf-8"))

    async def _create_key(self, key: str, value: bytes) -> Result[bool, StoreError]:
        """Create a key whose value never changes; return whether this call did.

        False means that the key existed, possibly because an attempt whose
        response was lost had created it.
        """
        lost = None
        for _ in range(STORE_CALL_ATTEMPTS):
            put = await self._store.put(key, value, version=0)
            if put.is_ok():
                return Ok(True)
            cause = put.unwrap_err()
            if isinstance(cause, ConflictError):
                return Ok(False)
            if not isinstance(cause, AnswerLostError):
                # An earlier attempt may still take effect, so its lost response
                # is the error to return.
                return Err(lost or cause)
            lost = cause
        return Err(lost)


def manifest_key(revision: int) -> str:
    """Return the store's key of a revision's manifest."""
    return f"config/manifest/{revision}"


def _content_hash(text: str | None) -> str | None:
    return None if text is None else hashlib.sha256(text.encode()).hexdigest()


def _decode(key: str, value: bytes, value_type: type[Decoded]):
    try:
        return Ok(msgspec.json.decode(value, type=value_type))
    except msgspec.DecodeError as error:
        return Err(CorruptRevisionError(key, error))


def _decode_head(read) -> Result[Head, RevisionError]:
    if read is None:
        return Ok(Head())
    stored = _decode(HEAD_KEY, read.value, _StoredHead)
    return stored.map(lambda head: Head(head.revision, head.manifest, read.version))


async def _retry_read(
    call: Callable[[], Awaitable[Result[Value, StoreError]]],
) -> Result[Value, StoreError]:
    """Call a read of the store again while its response is lost."""
    for _ in range(STORE_CALL_ATTEMPTS):
        read = await call()
        if read.is_ok() or not isinstance(read.unwrap_err(), AnswerLostError):
            break
    return read


async def _build_plan(
    head: Head,
    edits: Edits,
    changed_by_others: list[str],
    texts: dict[str, str],
    read_open_grants,
) -> Result[Plan, RevisionError]:
    new_texts = {**texts, **edits}
    new_texts = {name: text for name, text in new_texts.items() if text is not None}
    oversized = [
        ConfigError(name=name, key="", expected=f"at most {VALUE_BYTES_LIMIT} bytes")
        for name, text in new_texts.items()
        if len(text.encode()) > VALUE_BYTES_LIMIT
    ]
    old, new = merge_files(texts), merge_files(new_texts)
    if oversized or new.is_err():
        return Err(InvalidConfigError(oversized or new.unwrap_err()))
    # The current revision may be invalid for this version of the program. That must
    # not stop an operator from correcting it.
    old_config = old.unwrap_or(FleetConfig())
    warnings = await find_grant_warnings(old_config, new.unwrap(), read_open_grants)
    return Ok(
        Plan(
            head,
            edits,
            changed_by_others,
            new_texts,
            old_config,
            new.unwrap(),
            warnings,
        )
    )
