"""Stand-in for the platform's key-value service.

Run it with ``python -m standins.config_store --port N``. Each write or deletion
of a key increments its version, also when the key is created again, so that a
version never stands for two values.
"""

import itertools

import msgspec
import trio

from lavenderfold.http import (
    HttpRequest,
    HttpResponse,
    MalformedRequestError,
    ResponseWriter,
    json_response,
)
from standins.common import (
    DOWN_RESPONSE,
    Count,
    Dispatcher,
    Faults,
    decode_json,
    define_flags,
    query_number,
    query_value,
    run,
)

VALUE_BYTES_LIMIT = 1_000_000
NEVER = float("inf")


class StoreFaults(Faults, kw_only=True):
    """Fault switches for writes; each holds how many more writes it affects.

    ``refuse_writes``: the next N writes are answered with 503 and have no effect.
    ``lose_answers``: the next N writes that take effect get no response; their
    connections are closed.
    """

    lose_answers: Count = 0
    refuse_writes: Count = 0


class _Entry(msgspec.Struct):
    value: bytes
    version: int
    lease: str | None = None


class _Lease(msgspec.Struct):
    ttl_s: float
    expires_at: float
    keys: set[str] = msgspec.field(default_factory=set)


class _LeaseRequest(msgspec.Struct):
    ttl_s: float


class _WriteConflictError(Exception):
    def __init__(self, actual: int):
        super().__init__(f"the actual version is {actual}")
        self.actual = actual


class _LeaseMissingError(Exception):
    pass


class KeyValues:
    """Keys with their values, versions and leases, in memory and without I/O.

    Callers pass the current time in seconds.
    """

    def __init__(self):
        self.entry_by_key: dict[str, _Entry] = {}
        self.lease_by_id: dict[str, _Lease] = {}
        self._last_version_by_key: dict[str, int] = {}
        self._lease_numbers = itertools.count(1)
        self._next_expiry = NEVER

    def version(self, key: str) -> int:
        entry = self.entry_by_key.get(key)
        return entry.version if entry else 0

    def put(self, key: str, value: bytes, *, version: int, lease: str | None) -> int:
        self._check_version(key, version)
        if lease is not None and lease not in self.lease_by_id:
            raise _LeaseMissingError(lease)
        self._detach_from_lease(key)
        if lease is not None:
            self.lease_by_id[lease].keys.add(key)
        new_version = self._last_version_by_key.get(key, 0) + 1
        self._last_version_by_key[key] = new_version
        self.entry_by_key[key] = _Entry(value, new_version, lease)
        return new_version

    def delete(self, key: str, *, version: int) -> int:
        self._check_version(key, version)
        if version == 0:
            return 0
        return self._remove(key)

    def open_lease(self, ttl_s: float, *, now: float) -> str:
        lease = f"lease-{next(self._lease_numbers)}"
        self.lease_by_id[lease] = _Lease(ttl_s, now + ttl_s)
        self._next_expiry = min(self._next_expiry, now + ttl_s)
        return lease

    def renew_lease(self, lease: str, *, now: float) -> bool:
        lease_record = self.lease_by_id.get(lease)
        if lease_record is None:
            return False
        lease_record.expires_at = now + lease_record.ttl_s
        return True

    def expire_leases(self, now: float) -> None:
        """Remove the expired leases and delete their keys."""
        if now < self._next_expiry:
            return
        for lease, lease_record in list(self.lease_by_id.items()):
            if lease_record.expires_at <= now:
                for key in list(lease_record.keys):
                    self._remove(key)
                del self.lease_by_id[lease]
        times = (lease_record.expires_at for lease_record in self.lease_by_id.values())
        self._next_expiry = min(times, default=NEVER)

    def _check_version(self, key: str, version: int) -> None:
        actual = self.version(key)
        if actual != version:
            raise _WriteConflictError(actual)

    def _detach_from_lease(self, key: str) -> None:
        entry = self.entry_by_key.get(key)
        if entry is not None and entry.lease is not None:
            self.lease_by_id[entry.lease].keys.discard(key)

    def _remove(self, key: str) -> int:
        self._detach_from_lease(key)
        del self.entry_by_key[key]
        self._last_version_by_key[key] += 1
        return self._last_version_by_key[key]


class ConfigStore:
    """HTTP interface of the service.

    ``handle`` is the handler for ``lavenderfold.http.serve``.
    """

    def __init__(self):
        self.faults = StoreFaults()
        self.values = KeyValues()
        self.calls_by_kind = dict.fromkeys(
            ("get", "put", "delete", "watch", "list", "open_lease", "renew_lease"), 0
        )
        self._watches_waiting = 0
        self._changed = trio.Event()
        self._dispatcher = Dispatcher(faults=self.faults, stats=self.stats)
        self._dispatcher.add("GET", "/v1/kv/", self._get)
        self._dispatcher.add("PUT", "/v1/kv/", self._put)
        self._dispatcher.add("DELETE", "/v1/kv/", self._delete)
        self._dispatcher.add("GET", "/v1/watch/", self._watch)
        self._dispatcher.add("GET", "/v1/keys", self._list)
        self._dispatcher.add("POST", "/v1/leases", self._open_lease)
        self._dispatcher.add("POST", "/v1/leases/", self._renew_lease)

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        self._count_call(request)
        await self._dispatcher.handle(request, writer)
        if request.path == "/faults":
            # Waiting watches must end when the service was switched off.
            self._wake_watches()

    def stats(self) -> dict:
        """Return the calls by kind, including refused ones, and counts of the data."""
        return {
            "calls_by_kind": self.calls_by_kind,
            "calls": sum(self.calls_by_kind.values()),
            "watches_waiting": self._watches_waiting,
            "keys": len(self.values.entry_by_key),
            "value_bytes": sum(
                len(entry.value) for entry in self.values.entry_by_key.values()
            ),
            "leases": len(self.values.lease_by_id),
        }

    def _count_call(self, request: HttpRequest) -> None:
        kind = _call_kind(request)
        if kind is not None:
            self.calls_by_kind[kind] += 1

    async def _get(self, request: HttpRequest, key: str) -> HttpResponse:
        self._expire_leases()
        return self._value_response(key)

    async def _put(self, request: HttpRequest, key: str) -> HttpResponse | None:
        if len(request.body) > VALUE_BYTES_LIMIT:
            message = f"a value has at most {VALUE_BYTES_LIMIT} bytes"
            return json_response(413, {"error": message})
        version = _query_version(request, "version")
        lease = query_value(request, "lease", "") or None
        return self._write(
            lambda: self.values.put(key, request.body, version=version, lease=lease)
        )

    async def _delete(self, request: HttpRequest, key: str) -> HttpResponse | None:
        version = _query_version(request, "version")
        return self._write(lambda: self.values.delete(key, version=version))

    def _write(self, apply_change) -> HttpResponse | None:
        self._expire_leases()
        if self.faults.refuse_writes > 0:
            self.faults.refuse_writes -= 1
            return DOWN_RESPONSE
        try:
            version = apply_change()
        except _WriteConflictError as error:
            return _versioned_response(409, error.actual)
        except _LeaseMissingError:
            return json_response(404, {"error": "no such lease"})
        self._wake_watches()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return None
        return _versioned_response(200, version)

    async def _watch(self, request: HttpRequest, key: str) -> HttpResponse:
        after = _query_version(request, "after")
        timeout_s = query_number(request, "timeout_s")
        self._watches_waiting += 1
        try:
            with trio.move_on_after(timeout_s):
                while not self.faults.down:
                    self._expire_leases()
                    if self.values.version(key) > after:
                        return self._value_response(key)
                    await self._changed.wait()
        finally:
            self._watches_waiting -= 1
        return DOWN_RESPONSE if self.faults.down else HttpResponse(status=204)

    async def _list(self, request: HttpRequest, _: str) -> HttpResponse:
        self._expire_leases()
        prefix = query_value(request, "prefix", "")
        entries = [
            {"key": key, "version": entry.version}
            for key, entry in sorted(self.values.entry_by_key.items())
            if key.startswith(prefix)
        ]
        return json_response(200, {"entries": entries})

    async def _open_lease(self, request: HttpRequest, _: str) -> HttpResponse:
        lease_request = decode_json(request.body, _LeaseRequest)
        if not 0 < lease_request.ttl_s < NEVER:
            raise MalformedRequestError("ttl_s: expected a number above 0")
        self._expire_leases()
        lease = self.values.open_lease(lease_request.ttl_s, now=trio.current_time())
        return json_response(200, {"id": lease})

    async def _renew_lease(self, request: HttpRequest, subpath: str) -> HttpResponse:
        lease, _, action = subpath.rpartition("/")
        self._expire_leases()
        if action != "renew":
            return json_response(404, {"error": "no such call"})
        if not self.values.renew_lease(lease, now=trio.current_time()):
            return json_response(404, {"error": "no such lease"})
        return json_response(200, {"id": lease})

    def _expire_leases(self) -> None:
        self.values.expire_leases(trio.current_time())

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _value_response(self, key: str) -> HttpResponse:
        entry = self.values.entry_by_key.get(key)
        if entry is None:
            return json_response(404, {"error": "no such key"})
        return _versioned_response(200, entry.version, entry.value)


def _versioned_response(status: int, version: int, body: bytes = b"") -> HttpResponse:
    return HttpResponse(status=status, headers=[("x-version", str(version))], body=body)


def _query_version(request: HttpRequest, name: str) -> int:
    text = query_value(request, name)
    if not (text.isascii() and text.isdecimal()):
        raise MalformedRequestError(f"query parameter {name}: expected a whole number")
    return int(text)


def _call_kind(request: HttpRequest) -> str | None:
    if request.path.startswith("/v1/kv/"):
        return {"GET": "get", "PUT": "put", "DELETE": "delete"}.get(request.method)
    if request.path.startswith("/v1/watch/"):
        return "watch"
    if request.path == "/v1/keys":
        return "list"
    if request.path == "/v1/leases":
        return "open_lease"
    return "renew_lease" if request.path.startswith("/v1/leases/") else None


if __name__ == "__main__":
    define_flags()
    run(lambda: ConfigStore().handle)
