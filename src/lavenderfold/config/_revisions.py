"""Revisions of the configuration in the key-value service.

An apply commits by creating the manifest with the next revision number, which
only one of several concurrent applies can do. It then advances the head to that
manifest. An apply that finds a manifest above the head advances the head first,
because the process that wrote the manifest may have died before it did so.
"""

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
    EditConflictError,
    InvalidConfigError,
    RevisionError,
    RevisionMissingError,
    RevisionsUnavailableError,
)
from lavenderfold.config._merge import merge_files
from lavenderfold.config._model import FleetConfig
from lavenderfold.config._stored_revisions import (
    Head,
    Manifest,
    StoredRevisions,
    content_hash,
    file_key,
    manifest_key,
)
from lavenderfold.store import AnswerLostError, Store

# The key-value service accepts values up to this size.
VALUE_BYTES_LIMIT = 1_000_000

# An apply gives up after another operator was first in this number of attempts.
APPLY_ATTEMPTS = 20


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


class Revisions:
    """Reads and applies the revisions in a store."""

    def __init__(self, *, store: Store):
        self._stored = StoredRevisions(store=store)

    async def head(self) -> Result[Head, RevisionError]:
        """Return the current revision."""
        return await self._stored.head()

    async def watch_head(
        self, *, after: int, timeout_s: float
    ) -> Result[Head | None, RevisionError]:
        """Wait for a head whose key has a version above ``after``.

        Returns None when ``timeout_s`` seconds pass without one.
        """
        return await self._stored.watch_head(after=after, timeout_s=timeout_s)

    async def load(self, revision: int) -> Result[dict[str, str], RevisionError]:
        """Return the texts of a revision's files by file name."""
        manifest = await self._stored.load_manifest(revision)
        if manifest.is_err():
            return manifest
        return await self._stored.load_texts(manifest.unwrap())

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
        base = await self._stored.load_manifest(base_revision)
        current = await self._stored.load_manifest(head.revision)
        if base.is_err() or current.is_err():
            return base if base.is_err() else current
        at_base, at_head = base.unwrap().hash_by_name, current.unwrap().hash_by_name
        edited = {name: content_hash(text) for name, text in edits.items()}
        rebased = rebase_edits(edited, at_base, at_head)
        if rebased.is_err():
            conflict = EditConflictError(
                names=rebased.unwrap_err(),
                base_revision=base_revision,
                revision=head.revision,
            )
            return Err(conflict)
        texts = await self._stored.load_texts(current.unwrap())
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
            name: content_hash(text) for name, text in plan.text_by_name.items()
        }
        for name in plan.edits:
            if name in hash_by_name:
                key = file_key(hash_by_name[name])
                text = plan.text_by_name[name].encode()
                written = await self._stored.create_key(key, text)
                if written.is_err():
                    return Err(RevisionsUnavailableError(written.unwrap_err()))
        manifest = Manifest(plan.head.revision + 1, token, hash_by_name)
        created = await self._create_manifest(manifest)
        if created.is_err() or not created.unwrap():
            return created.map(lambda _: None)
        moved = await self._stored.advance_head(manifest.revision)
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
        written = await self._stored.create_key(key, msgspec.json.encode(manifest))
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
        stored = await self._stored.load_manifest(manifest.revision)
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
        next_revision = head.unwrap().revision + 1
        exists = await self._stored.manifest_exists(next_revision)
        if exists.is_err():
            return exists
        if not exists.unwrap():
            return head
        return await self._stored.advance_head(next_revision)

    async def _find_revision_by_token(
        self, token: str, after: int, last: int
    ) -> Result[int, RevisionError]:
        """Return the revision that the apply with ``token`` created, or 0.

        Searches the revisions above ``after`` up to ``last``.
        """
        for revision in range(last, after, -1):
            manifest = await self._stored.load_manifest(revision)
            if manifest.is_err():
                return manifest
            if manifest.unwrap().token == token:
                return Ok(revision)
        return Ok(0)


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
