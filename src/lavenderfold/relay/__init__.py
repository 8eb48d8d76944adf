"""A relay of calls to the shared store.

Entry VMs can be cut from the store while they reach the VMs beside the targets.
A relay there passes their calls on unchanged.
"""

from lavenderfold.relay._relay import RelayOptions, StoreRelay

__all__ = ["RelayOptions", "StoreRelay"]
