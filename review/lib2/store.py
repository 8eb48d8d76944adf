"""The platform's store: items, watches, conditional writes, and the drill.

In the drill it is away for a moment and comes back from a copy that is some seconds
old. Its revisions go back with the copy, and ``Store-Era`` rises by one.
"""

import asyncio
import base64
import copy
import json

from review.lib2.wire import Request, Server, whole_json

PAGE_ITEMS = 500
FIRST_REVISION = 100


class Store:
    """Answers the calls of PROTOCOL.md that the system makes."""

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self.era = 1
        self.is_away = False
        self._revision = FIRST_REVISION
        self._kept_since = FIRST_REVISION
        self._rows: dict[str, dict] = {}
        self._history: list[dict] = []
        self._changed = asyncio.Event()
        self._server = Server(self._handle)

    async def start(self) -> None:
        await self._server.start(*self.address)

    def stop(self) -> None:
        self._server.stop()

    def put(self, key: str, value: object) -> bool:
        """Write for the operator or a replica; return False while away.

        An entry that says the same as before isn't changed.
        """
        if self.is_away:
            return False
        payload = base64.b64encode(json.dumps(value).encode()).decode()
        known = self._rows.get(key)
        if known is None or known["payload"] != payload:
            self._write([(key, payload)], [])
        return True

    def remove(self, key: str) -> bool:
        """Remove an entry for the platform; return False while away."""
        if not self.is_away and key in self._rows:
            self._write([], [key])
        return not self.is_away

    def value(self, key: str) -> bytes | None:
        row = self._rows.get(key)
        return None if row is None else base64.b64decode(row["payload"])

    def take_copy(self) -> tuple[int, dict[str, dict]]:
        return self._revision, copy.deepcopy(self._rows)

    def go_away(self) -> None:
        """Refuse connections from now on."""
        self.is_away = True
        self._server.stop()

    async def come_back(self, taken: tuple[int, dict[str, dict]] | None = None) -> None:
        """Come back from the copy, or with all items if there is none."""
        if taken is not None:
            self.era += 1
            self._revision, self._rows = taken[0], copy.deepcopy(taken[1])
            self._history, self._kept_since = [], self._revision
        self.is_away = False
        await self.start()

    def _write(self, writes: list[tuple[str, str]], removes: list[str]) -> int:
        self._revision += 1
        for key, payload in writes:
            known = self._rows.get(key)
            created = known["created"] if known else self._revision
            row = {"key": key, "payload": payload, "revision": self._revision}
            self._rows[key] = {**row, "created": created, "lease_id": 0}
            self._history.append(self._rows[key])
        for key in removes:
            if self._rows.pop(key, None) is not None:
                gone = {"key": key, "revision": self._revision, "deleted": True}
                self._history.append(gone)
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.path == "/kv-watch":
            status, body = await self._watch(request.query)
        elif request.path == "/kv-range":
            status, body = self._range(request.query)
        elif request.path == "/kv-txn":
            status, body = self._transact(json.loads(request.body))
        else:
            status, body = 404, {}
        writer.write(whole_json(status, body, {"Store-Era": str(self.era)}))
        await writer.drain()
        return True

    def _range(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self._rows if k.startswith(prefix) and k > after)
        page = [self._rows[key] for key in keys[:PAGE_ITEMS]]
        is_cut = len(keys) > PAGE_ITEMS
        return 200, {"entries": page, "truncated": is_cut, "at": self._revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query["path_prefix"], int(query["after"])
        ends_at = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            if after > self._revision or after < self._kept_since:
                return 410, {}
            events = [
                each
                for each in self._history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left_s = ends_at - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, call: dict) -> tuple[int, dict]:
        expected = call.get("expected_revision", [])
        for each in expected:
            known = self._rows.get(each["key"], {"revision": 0})
            if known["revision"] != each["revision"]:
                names = [row["key"] for row in expected]
                current = [self._rows[key] for key in names if key in self._rows]
                return 412, {"entries": current}
        writes = [(each["key"], each["payload"]) for each in call.get("write", [])]
        keys = [key for key, _ in writes] + call.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        if any(len(payload) * 3 // 4 > 1048576 for _, payload in writes):
            return 413, {}
        return 200, {"revision": self._write(writes, call.get("remove", []))}
