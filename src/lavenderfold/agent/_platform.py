"""What the agent learns from the platform: member record, VM list, probes."""

import logging
from collections.abc import Callable

import msgspec
import trio

from lavenderfold.agent._fencing import MEMBER_KEY, Gate, GateOpener
from lavenderfold.agent._observed_target import CacheEvents, EngineLoad, ObservedTarget
from lavenderfold.agent._settings import AgentSettings, TargetKind
from lavenderfold.http import HttpClient, HttpClientError, HttpRequest
from lavenderfold.logs import log_event
from lavenderfold.settings import Address
from lavenderfold.store import Store

RECORD_RETRY_S = 0.25
FAILURES_PER_LOG_LINE = 40
VM_LIST_PERIOD_S = 1.0
CALL_TIMEOUT_S = 2.0
OK_STATUS = 200
LEAVING = "leaving"

logger = logging.getLogger(__name__)


class _Vm(msgspec.Struct, frozen=True):
    name: str
    state: str


class _VmList(msgspec.Struct, frozen=True):
    vms: list[_Vm]


async def read_gate(store: Store, open_gate: GateOpener) -> Gate:
    """Return the gate of the member record; waits while the store can't be read."""
    failures = 0
    while True:
        answer = await store.get(MEMBER_KEY)
        if answer.is_ok():
            value = answer.unwrap()
            log_event(logger, "member_record_read", version=value and value.version)
            return open_gate(None if value is None else value.value)
        if failures % FAILURES_PER_LOG_LINE == 0:
            cause = str(answer.unwrap_err())
            log_event(logger, "member_record_unread", failures=failures, cause=cause)
        failures += 1
        await trio.sleep(RECORD_RETRY_S)


async def wait_until_leaving(address: Address, vm: str) -> None:
    """Return once the platform lists a VM as leaving."""
    client = HttpClient(address=address)
    while True:
        listed = await _fetch(client, "/v1/vms", _VmList, timeout_s=CALL_TIMEOUT_S)
        vms = listed.vms if listed is not None else []
        if any(entry.name == vm and entry.state == LEAVING for entry in vms):
            return
        await trio.sleep(VM_LIST_PERIOD_S)


async def watch_target(
    settings: AgentSettings, view: ObservedTarget, changed: Callable[[], None]
) -> None:
    """Probe the target until cancelled; ``changed`` hears about its health."""
    limits = settings.limits
    client = HttpClient(
        address=settings.target_address, connect_timeout_s=limits.probe_timeout_s
    )
    while True:
        was_healthy = view.healthy
        if settings.kind is TargetKind.MODEL:
            await _probe_engine(client, view, timeout_s=limits.probe_timeout_s)
        else:
            await _probe_service(
                settings.target_address, view, timeout_s=limits.probe_timeout_s
            )
        if view.healthy != was_healthy:
            log_event(logger, "target_health", healthy=view.healthy)
            changed()
        await trio.sleep(limits.probe_period_s)


async def _probe_engine(
    client: HttpClient, view: ObservedTarget, *, timeout_s: float
) -> None:
    load = await _fetch(client, "/v1/load", EngineLoad, timeout_s=timeout_s)
    if load is None:
        view.probe_failed()
        return
    view.probe_succeeded(load)
    path = f"/v1/cache-events?after={view.last_sequence}"
    events = await _fetch(client, path, CacheEvents, timeout_s=timeout_s)
    if events is not None:
        view.apply_cache_events(events.events)


async def _probe_service(
    address: Address, view: ObservedTarget, *, timeout_s: float
) -> None:
    """Open a connection: a plain service has no path that is safe to call."""
    with trio.move_on_after(timeout_s):
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError:
            view.probe_failed()
            return
        await trio.aclose_forcefully(stream)
        view.probe_succeeded(None)
        return
    view.probe_failed()


async def _fetch(
    client: HttpClient, path: str, wanted: type, *, timeout_s: float
) -> msgspec.Struct | None:
    """Return a JSON answer, or None if it didn't come or isn't understood."""
    with trio.move_on_after(timeout_s):
        try:
            response = await client.request(HttpRequest(method="GET", target=path))
            if response.status == OK_STATUS:
                return msgspec.json.decode(response.body, type=wanted)
        except (HttpClientError, msgspec.MsgspecError):
            return None
    return None
