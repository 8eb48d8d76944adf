"""A relay for calls to the shared store.

Entry VMs can lose their connection to the store while they still reach the VMs beside
the targets. A relay there forwards their calls unchanged.
"""

from lavenderfold.relay._relay import RelayOptions, StoreRelay

__all__ = ["RelayOptions", "StoreRelay"]
