"""Stand-in for the platform's list of VMs, which shows changes after a delay.

Run it with ``python -m standins.vm_list --port N [--lag_s S]``.
"""

import enum

import msgspec
import trio
from absl import flags

from lavenderfold.http import HttpRequest, HttpResponse, json_response
from standins.common import Dispatcher, Faults, Seconds, decode_json, define_flags, run


class VmState(enum.StrEnum):
    """State of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmFaults(Faults, kw_only=True):
    """Fault switches of the list.

    ``lag_s``: seconds until changes that are set from now on become visible.
    """

    lag_s: Seconds = 0.0


class _Vm(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    state: VmState


class _VmPage(msgspec.Struct, forbid_unknown_fields=True):
    vms: list[_Vm]


class VmList:
    """Holds the VM states, visible and pending.

    ``handle`` is the handler for ``lavenderfold.http.serve``.
    """

    def __init__(self, *, lag_s: float = 0.0):
        self.faults = VmFaults(lag_s=lag_s)
        self._reads = 0
        self._state_by_name: dict[str, VmState] = {}
        self._pending_changes: list[tuple[float, _Vm]] = []
        dispatcher = Dispatcher(faults=self.faults, stats=self.stats)
        dispatcher.add("GET", "/v1/vms", self._read)
        dispatcher.add("POST", "/v1/vms", self._set)
        self.handle = dispatcher.handle

    def stats(self) -> dict:
        """Return the number of reads and of changes that aren't visible yet."""
        self._apply_due_changes()
        return {"reads": self._reads, "hidden_changes": len(self._pending_changes)}

    async def _read(self, request: HttpRequest, _: str) -> HttpResponse:
        self._reads += 1
        self._apply_due_changes()
        vms = [_Vm(name, state) for name, state in sorted(self._state_by_name.items())]
        return json_response(200, _VmPage(vms))

    async def _set(self, request: HttpRequest, _: str) -> HttpResponse:
        page = decode_json(request.body, _VmPage)
        visible_at = trio.current_time() + self.faults.lag_s
        self._pending_changes += [(visible_at, vm) for vm in page.vms]
        return json_response(200, {"shows_after_s": self.faults.lag_s})

    def _apply_due_changes(self) -> None:
        now = trio.current_time()
        due = [change for change in self._pending_changes if change[0] <= now]
        self._pending_changes = [
            change for change in self._pending_changes if change[0] > now
        ]
        # A change that was set later but with a shorter lag becomes visible earlier.
        for _, vm in sorted(due, key=lambda change: change[0]):
            self._state_by_name[vm.name] = vm.state


if __name__ == "__main__":
    define_flags()
    flags.DEFINE_float("lag_s", 0.0, "Seconds until a change becomes visible.")
    run(lambda: VmList(lag_s=flags.FLAGS.lag_s).handle)
