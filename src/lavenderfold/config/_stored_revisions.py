"""The stored form of revisions, and the store calls that read and write it.

The key ``config/head`` holds the number of the current revision,
``config/manifest/N`` the files of revision N by content hash, and
``config/file/HASH`` the text of a file. Manifests and files are never changed
after they were written.
"""

import hashlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from lavenderfold.config._errors import (
    CorruptRevisionError,
    RevisionError,
    RevisionsUnavailableError,
)
from lavenderfold.decoding import decode_json
from lavenderfold.store import AnswerLostError, ConflictError, Store, StoreError

HEAD_KEY = "config/head"

# A call whose response is lost is repeated up to this number of attempts. If the
# response to the last one is lost too, the error is returned.
STORE_CALL_ATTEMPTS = 4

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


class _StoredHead(msgspec.Struct, forbid_unknown_fields=True):
    revision: int
    manifest: str


class StoredRevisions:
    """Reads and writes the keys of revisions.

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

    async def advance_head(self, revision: int) -> Result[Head, RevisionError]:
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

    async def load_manifest(self, revision: int) -> Result[Manifest, RevisionError]:
        """Return a revision's manifest; it is empty for revision 0."""
        if revision == 0:
            return Ok(Manifest())
        key = manifest_key(revision)
        read = await _retry_read(lambda: self._store.get(key))
        if read.is_err():
            return Err(RevisionsUnavailableError(read.unwrap_err()))
        if read.unwrap() is None:
            return Err(CorruptRevisionError(key, "expected a manifest, found nothing"))
        return _decode(key, read.unwrap().value, Manifest)

    async def manifest_exists(self, revision: int) -> Result[bool, RevisionError]:
        """Return whether an apply has written the manifest of a revision."""
        key = manifest_key(revision)
        read = await _retry_read(lambda: self._store.get(key))
        if read.is_err():
            return Err(RevisionsUnavailableError(read.unwrap_err()))
        return Ok(read.unwrap() is not None)

    async def load_texts(
        self, manifest: Manifest
    ) -> Result[dict[str, str], RevisionError]:
        """Return the texts of a manifest's files by file name."""
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
        key = file_key(content_hash)
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

    async def create_key(self, key: str, value: bytes) -> Result[bool, StoreError]:
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


def file_key(hash_of_text: str) -> str:
    """Return the store's key of a file's text."""
    return f"config/file/{hash_of_text}"


def content_hash(text: str | None) -> str | None:
    """Return the hash under which a text is stored; None for a removed file."""
    return None if text is None else hashlib.sha256(text.encode()).hexdigest()


def _decode(key: str, value: bytes, value_type: type[Decoded]):
    try:
        return Ok(decode_json(value, value_type))
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
