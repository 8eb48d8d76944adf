"""The agent's settings file."""

import enum

import msgspec

from lavenderfold.settings import Address

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


class TargetKind(enum.StrEnum):
    """The kind of target behind the agent: a model engine or a plain service."""

    MODEL = "model"
    APP = "app"


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits in runs, bytes and seconds.

    At most ``slots`` runs are at the target at a time. ``queue_length`` more may
    wait, with ``queue_bytes`` of prompts and bodies in total. A non-idempotent
    request isn't run again within ``repeat_memory_s`` after its end; that must
    exceed the age at which routers refuse a request id. ``remembered_runs`` limits
    the runs whose records are kept to detect duplicates, ``unsettled_usage`` the
    usage records that no router has confirmed as stored.
    """

    slots: int = 32
    queue_length: int = 256
    queue_bytes: int = 16 * MEBIBYTE
    run_buffer_bytes: int = MEBIBYTE
    buffer_bytes: int = 48 * MEBIBYTE
    buffer_retention_s: float = 600.0
    repeat_memory_s: float = 3600.0
    orphan_timeout_s: float = 600.0
    run_limit_s: float = 600.0
    drain_limit_s: float = 120.0
    report_period_s: float = 0.25
    frame_window_s: float = 0.02
    usage_resend_s: float = 2.0
    probe_period_s: float = 0.5
    probe_timeout_s: float = 1.0
    remembered_runs: int = 20_000
    unsettled_usage: int = 50_000
    engine_resumes: int = 3

    def __post_init__(self) -> None:
        for name in self.__struct_fields__:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be more than 0")
        if self.slots * self.run_buffer_bytes > self.buffer_bytes:
            # Answers of open runs can't be evicted, so all of them must fit.
            raise ValueError("buffer_bytes must hold slots times run_buffer_bytes")
        if self.repeat_memory_s < self.buffer_retention_s:
            raise ValueError("repeat_memory_s must be at least buffer_retention_s")


class AgentSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The settings of one agent, its target and the platform.

    ``listen`` is the address for links from routers. Without
    ``vm_list_address`` the agent drains only on SIGTERM.
    """

    target: str
    vm: str
    kind: TargetKind
    region: str
    failure_domain: str
    listen: Address
    target_address: Address
    store_address: Address
    models: list[str] = msgspec.field(default_factory=list)
    vm_list_address: Address | None = None
    statsd_address: Address | None = None
    log_level: str = "INFO"
    limits: Limits = Limits()

    def __post_init__(self) -> None:
        for name in ("target", "vm", "region", "failure_domain"):
            if not getattr(self, name):
                raise ValueError(f"{name} must not be empty")
        if (self.kind is TargetKind.MODEL) != bool(self.models):
            raise ValueError("models must be given for kind model and no other")
        if len(set(self.models)) != len(self.models):
            raise ValueError("models must not name one model twice")
        if self.log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
            raise ValueError("log_level must be DEBUG, INFO, WARNING or ERROR")
