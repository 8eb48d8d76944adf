"""Tasks that read the member record, watch the VM list and probe the target."""

import logging
from collections.abc import Callable

import msgspec
import trio

from lavenderfold.agent._fencing import MEMBER_RECORD_KEY, Gate, GateFactory
from lavenderfold.agent._observed_target import CacheEvents, EngineLoad, ObservedTarget
from lavenderfold.agent._settings import AgentSettings, TargetKind
from lavenderfold.decoding import decode_json
from lavenderfold.http import HttpClient, HttpClientError, HttpRequest
from lavenderfold.logs import log_event
from lavenderfold.settings import Address
from lavenderfold.store import Store

RECORD_RETRY_S = 0.25
FAILURES_PER_LOG_LINE = 40
VM_LIST_PERIOD_S = 1.0
CALL_TIMEOUT_S = 2.0
# Longest answer to a probe; cache events of a busy target are the longest.
PROBE_BYTES_LIMIT = 4 * 1024 * 1024
OK_STATUS = 200
LEAVING_STATE = "leaving"

logger = logging.getLogger(__name__)


class _Vm(msgspec.Struct, frozen=True):
    name: str
    state: str


class _VmList(msgspec.Struct, frozen=True):
    vms: list[_Vm]


async def read_gate(store: Store, make_gate: GateFactory) -> Gate:
    """Read the member record, retrying until the store answers; return its gate."""
    failures = 0
    while True:
        result = await store.get(MEMBER_RECORD_KEY)
        if result.is_ok():
            value = result.unwrap()
            log_event(logger, "member_record_read", version=value and value.version)
            return make_gate(None if value is None else value.value)
        if failures % FAILURES_PER_LOG_LINE == 0:
            cause = str(result.unwrap_err())
            log_event(logger, "member_record_unread", failures=failures, cause=cause)
        failures += 1
        await trio.sleep(RECORD_RETRY_S)


async def wait_until_leaving(address: Address, vm: str) -> None:
    """Poll the platform's VM list until it shows a VM as leaving."""
    client = HttpClient(address=address)
    while True:
        vm_list = await _fetch(client, "/v1/vms", _VmList, timeout_s=CALL_TIMEOUT_S)
        vms = vm_list.vms if vm_list is not None else []
        if any(entry.name == vm and entry.state == LEAVING_STATE for entry in vms):
            return
        await trio.sleep(VM_LIST_PERIOD_S)


async def watch_target(
    settings: AgentSettings,
    target: ObservedTarget,
    on_health_change: Callable[[], None],
) -> None:
    """Probe the target until cancelled.

    ``on_health_change`` is called when the target becomes healthy or unhealthy.
    """
    limits = settings.limits
    client = HttpClient(
        address=settings.target_address, connect_timeout_s=limits.probe_timeout_s
    )
    while True:
        was_healthy = target.is_healthy
        if settings.kind is TargetKind.MODEL:
            await _probe_engine(client, target, timeout_s=limits.probe_timeout_s)
        else:
            await _probe_service(
                settings.target_address, target, timeout_s=limits.probe_timeout_s
            )
        if target.is_healthy != was_healthy:
            log_event(logger, "target_health", healthy=target.is_healthy)
            on_health_change()
        await trio.sleep(limits.probe_period_s)


async def _probe_engine(
    client: HttpClient, target: ObservedTarget, *, timeout_s: float
) -> None:
    load = await _fetch(client, "/v1/load", EngineLoad, timeout_s=timeout_s)
    if load is None:
        target.probe_failed()
        return
    target.probe_succeeded(load)
    path = f"/v1/cache-events?after={target.last_sequence}"
    cache_events = await _fetch(client, path, CacheEvents, timeout_s=timeout_s)
    if cache_events is not None:
        target.apply_cache_events(cache_events.events)


async def _probe_service(
    address: Address, target: ObservedTarget, *, timeout_s: float
) -> None:
    """Probe by opening a connection: no path of a plain service is safe to call."""
    with trio.move_on_after(timeout_s):
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError:
            target.probe_failed()
            return
        await trio.aclose_forcefully(stream)
        target.probe_succeeded(None)
        return
    target.probe_failed()


async def _fetch(
    client: HttpClient, path: str, response_type: type, *, timeout_s: float
) -> msgspec.Struct | None:
    """Return the decoded JSON response.

    Return None on an error, a timeout, another status than 200 or invalid JSON.
    """
    with trio.move_on_after(timeout_s):
        try:
            request = HttpRequest(method="GET", target=path)
            response = await client.request(request, limit_bytes=PROBE_BYTES_LIMIT)
            if response.status == OK_STATUS:
                return decode_json(response.body, response_type)
        except (HttpClientError, msgspec.MsgspecError):
            return None
    return None
