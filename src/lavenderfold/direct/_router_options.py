"""Options of a router."""

import msgspec

from lavenderfold.settings import Address

# Options that can change while the router runs.
RELOADABLE_OPTIONS = (
    "grace_period_s",
    "retry_share",
    "fleet_retry_reserve",
    "region_by_domain",
)


class RouterOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a router. The prefixes are those of keys in the shared store.

    ``config_key`` is the key of the configuration, ``crashes_key`` that of the crashes
    that all routers share.
    ``watch_wait_s`` is how long a watch without changes stays open.
    ``retry_share`` is the fraction of its requests that a router may retry, and
    ``fleet_retry_reserve`` the number of retries beyond that in a burst, of all
    routers together.
    ``region`` is that of the router, ``region_by_domain`` those of failure domains.
    Failure domains are evacuated by keys under ``evacuations_prefix``, if it is given;
    it and ``config_key`` are then in the same folder.
    All routers together send a cold target its rate times ``warm_up_overshoot`` and
    ``warm_up_tolerance`` requests per second at most. ``balances_by_cost`` chooses
    targets by expected cost. ``memory_limit_bytes`` and ``descriptor_limit`` bound the
    process; None is no bound. ``link_bytes_per_s`` is the capacity of the VM's link in
    each direction, None if it isn't known.
    """

    name: str
    domain: str
    listen: Address
    ready_listen: Address
    metrics_listen: Address
    grace_period_s: float
    retry_share: float
    fleet_retry_reserve: float
    watch_wait_s: float
    config_key: str
    targets_prefix: str
    ledger_prefix: str
    crashes_key: str
    region: str = ""
    region_by_domain: dict[str, str] = {}
    evacuations_prefix: str | None = None
    warm_up_overshoot: float = 1.0
    warm_up_tolerance: float = 0.0
    balances_by_cost: bool = False
    memory_limit_bytes: int | None = None
    descriptor_limit: int | None = None
    link_bytes_per_s: float | None = None

    @property
    def operator_prefix(self) -> str:
        """The prefix of the keys that operators write and the router follows."""
        if self.evacuations_prefix is None:
            return self.config_key
        return self.config_key[: self.config_key.rfind("/") + 1]
