"""Targets that were removed from the configuration and may still run requests."""

from lavenderfold.config import Target


class _Past:
    __slots__ = ("vm", "below")

    def __init__(self, *, vm: str):
        self.vm = vm
        # Later incarnations took a configuration without the target.
        self.below: int | None = None


class RemovedTargets:
    """Remembers the targets that this router saw in earlier configurations.

    A target whose VM was replaced counts as removed and added. A target that
    comes back on the same VM is asked as before.
    """

    def __init__(self):
        self._current: dict[str, str] = {}
        self._past: dict[str, _Past] = {}

    def note(self, targets: dict[str, Target]) -> None:
        """Take in the targets of the installed configuration."""
        current = {f"{name}@{target.vm}": target.vm for name, target in targets.items()}
        for name in self._current.keys() - current.keys():
            self._past[name] = _Past(vm=self._current[name])
        for name in current:
            self._past.pop(name, None)
        self._current = current

    def note_members(self, next_incarnation: int) -> None:
        """Take in the number of the router that registers next."""
        for past in self._past.values():
            if past.below is None:
                past.below = next_incarnation

    def vm_by_target(self, incarnation: int) -> dict[str, str]:
        """Return the removed targets that an incarnation could have used."""
        return {
            name: past.vm
            for name, past in self._past.items()
            if past.below is None or incarnation < past.below
        }
