"""The settings file of a router."""

import msgspec

from lavenderfold.process_memory import MIB
from lavenderfold.settings import Address


class RouterLimits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits and periods of one router. Names that end in ``_s`` are seconds.

    ``relink_wait_s`` is how long a run waits until its agent's link is reopened;
    ``relink_wait_once_s`` is the same for a run that may not be repeated.
    ``reclaim_sweep_s`` is how often all shards are searched for grants that a
    retired router opened after its other grants had been reclaimed. The router
    keeps links to at most ``targets_per_group`` targets of one model or service.
    ``memory_limit_mb`` and ``max_open_files`` are those of the process; without them
    nothing bounds what it holds for all callers together.
    """

    body_bytes: int = 4 * 1024 * 1024
    answer_bytes: int = 16 * 1024 * 1024
    unread_bytes: int = 1024 * 1024
    queue_length: int = 1000
    attempts: int = 4
    settle_wait_s: float = 0.25
    drain_s: float = 120.0
    request_age_s: float = 600.0
    retention_s: float = 86_400.0
    relink_wait_s: float = 3.0
    relink_wait_once_s: float = 15.0
    hand_back_wait_s: float = 1.0
    link_batch_s: float = 0.005
    ledger_batch_s: float = 0.02
    member_lease_s: float = 15.0
    reclaim_period_s: float = 5.0
    reclaim_sweep_s: float = 600.0
    decisions: int = 5000
    targets_per_group: int = 9
    memory_limit_mb: float | None = None
    max_open_files: int | None = None

    def __post_init__(self) -> None:
        for name in self.__struct_fields__:
            value = getattr(self, name)
            if value is not None and value <= 0:
                raise ValueError(f"{name} must be more than 0")

    @property
    def memory_limit_bytes(self) -> int | None:
        """The memory of the process in bytes, None if it isn't bounded."""
        if self.memory_limit_mb is None:
            return None
        return int(self.memory_limit_mb * MIB)


class RouterSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The whole settings file.

    ``peers`` are the peer addresses of other routers and may include this router's
    own. ``store_region`` is the region of the store, whose routers write the ledger
    for all. ``vm_list_address`` serves the platform's list of VMs, which tells the
    reclaimer which VMs are gone. ``agent_address_by_target`` replaces configured
    agent addresses that this router can't use, for example because the agent is
    behind a tunnel or a relay between regions.
    """

    router: str
    region: str
    failure_domain: str
    listen: Address
    operator_listen: Address
    peer_listen: Address
    store_address: Address
    store_region: str = ""
    peers: list[Address] = msgspec.field(default_factory=list)
    agent_address_by_target: dict[str, Address] = msgspec.field(default_factory=dict)
    statsd_address: Address | None = None
    vm_list_address: Address | None = None
    shard_count: int = 16
    limits: RouterLimits = msgspec.field(default_factory=RouterLimits)

    def __post_init__(self) -> None:
        for name in ("router", "region", "failure_domain"):
            if not getattr(self, name):
                raise ValueError(f"{name} must not be empty")
        if self.shard_count < 1:
            raise ValueError("shard_count must be at least 1")
        if len(set(self.peers)) != len(self.peers):
            raise ValueError("peers must not name one address twice")
