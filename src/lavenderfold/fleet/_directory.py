"""Directory of the targets that are registered in the shared store."""

import msgspec

from lavenderfold.settings import Address

# Registrations may expire while the store is unavailable. Targets that are alive
# register again within this time of the store's return.
REMOVAL_GRACE_S = 2.0


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """One registered target.

    ``domain`` is its failure domain. ``born`` distinguishes incarnations of a target
    with the same id. ``warm_up_s`` is how long the target was still cold when its entry
    was written, None if the entry doesn't say.
    """

    id: str
    service: str
    host: str
    port: int
    domain: str
    slots: int
    is_draining: bool = False
    warm_up_s: float | None = None
    born: int = 0

    @property
    def address(self) -> Address:
        return Address(host=self.host, port=self.port)


class _Entry:
    __slots__ = ("target", "revision", "expires_at")

    def __init__(self, *, target: Target | None, revision: int):
        self.target = target
        self.revision = revision
        self.expires_at: float | None = None


def _is_revived(known: Target | None, target: Target | None) -> bool:
    """Return whether an incarnation that is known to drain seems to be usable."""
    if known is None or target is None or not known.is_draining:
        return False
    # Without ``born`` a restarted target looks like the one that drained.
    return target.born == known.born != 0 and not target.is_draining


class TargetDirectory:
    """Registered targets. Times are seconds of the router's monotonic clock.

    An entry is never replaced by an older revision. A target that drains doesn't become
    usable again in the same incarnation: an entry that says so comes from an older copy
    of the store.
    """

    def __init__(self):
        self._entry_by_key: dict[str, _Entry] = {}
        self._targets_by_service: dict[str, list[Target]] = {}

    def put(self, key: str, target: Target | None, *, revision: int) -> bool:
        """Store an entry; ``target`` is None if it contains no usable target.

        Returns False if the known entry is newer.
        """
        entry = self._entry_by_key.get(key)
        if entry is not None and revision < entry.revision:
            return False
        if entry is not None and _is_revived(entry.target, target):
            target = entry.target
        self._entry_by_key[key] = _Entry(target=target, revision=revision)
        self._rebuild()
        return True

    def remove(self, key: str, *, revision: int) -> bool:
        """Remove an entry at once; return False if it is unknown or newer."""
        entry = self._entry_by_key.get(key)
        if entry is None or revision < entry.revision:
            return False
        del self._entry_by_key[key]
        self._rebuild()
        return True

    def remove_after_grace(self, key: str, *, now: float) -> None:
        """Remove an entry unless it is put again within REMOVAL_GRACE_S."""
        entry = self._entry_by_key.get(key)
        if entry is not None and entry.expires_at is None:
            entry.expires_at = now + REMOVAL_GRACE_S

    def expire(self, *, now: float) -> list[str]:
        """Remove the entries whose grace period has ended and return their keys."""
        expired_keys = [
            key
            for key, entry in self._entry_by_key.items()
            if entry.expires_at is not None and entry.expires_at <= now
        ]
        for key in expired_keys:
            del self._entry_by_key[key]
        if expired_keys:
            self._rebuild()
        return expired_keys

    def keys(self) -> list[str]:
        return list(self._entry_by_key)

    def targets(self) -> list[Target]:
        """Return all targets, including those that drain."""
        entries = self._entry_by_key.values()
        return [entry.target for entry in entries if entry.target is not None]

    def usable(self, service: str) -> list[Target]:
        """Return the targets of a service that may receive new requests."""
        return self._targets_by_service.get(service, [])

    def _rebuild(self) -> None:
        self._targets_by_service = {}
        for entry in self._entry_by_key.values():
            target = entry.target
            if target is None or target.is_draining:
                continue
            self._targets_by_service.setdefault(target.service, []).append(target)
        for targets in self._targets_by_service.values():
            targets.sort(key=lambda each: each.id)
