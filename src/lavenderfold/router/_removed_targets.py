"""Targets that were removed from the configuration and may still run requests."""

from lavenderfold.config import Target


class _RemovedTarget:
    __slots__ = ("vm", "unaffected_from")

    def __init__(self, *, vm: str):
        self.vm = vm
        # Incarnations from this number on registered after the removal, so that they
        # never had a configuration with the target. None while it isn't known.
        self.unaffected_from: int | None = None


class RemovedTargets:
    """Remembers the targets of earlier configurations that were removed since.

    A target whose VM was replaced counts as a removed target and a new one. A target
    that is added again on the same VM is no longer a removed one.
    """

    def __init__(self):
        self._vm_by_name: dict[str, str] = {}
        self._removed_by_name: dict[str, _RemovedTarget] = {}

    def set_current_targets(self, targets: dict[str, Target]) -> None:
        """Record the targets of the installed configuration."""
        vm_by_name = {
            f"{name}@{target.vm}": target.vm for name, target in targets.items()
        }
        for name in self._vm_by_name.keys() - vm_by_name.keys():
            self._removed_by_name[name] = _RemovedTarget(vm=self._vm_by_name[name])
        for name in vm_by_name:
            self._removed_by_name.pop(name, None)
        self._vm_by_name = vm_by_name

    def set_next_incarnation(self, next_incarnation: int) -> None:
        """Record the incarnation that the next router to register will get."""
        for removed in self._removed_by_name.values():
            if removed.unaffected_from is None:
                removed.unaffected_from = next_incarnation

    def vm_by_target(self, incarnation: int) -> dict[str, str]:
        """Return the VMs of the removed targets that an incarnation may have used."""
        return {
            name: removed.vm
            for name, removed in self._removed_by_name.items()
            if removed.unaffected_from is None or incarnation < removed.unaffected_from
        }
