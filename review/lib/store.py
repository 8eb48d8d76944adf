"""Small stand-in of the platform's metadata store (PROTOCOL.md), on one loopback port.

It keeps everything in memory, is linearizable and loses nothing. It offers the calls
that the system makes: /kv-key, /kv-range, /kv-watch, /kv-txn.
"""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qsl, urlsplit

from review.lib.wire import read_body, read_head, response


class Store:
    def __init__(self):
        self.revision = 100
        self.item_by_key = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0
        self.calls = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Write a value as the operator or a replica does; return the revision."""
        return self._apply([(key, value)], [])

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        return self._apply([], [key])

    def get(self, key):
        item = self.item_by_key.get(key)
        return None if item is None else base64.b64decode(item["payload"])

    def _apply(self, writes, removals):
        self.revision += 1
        for key, value in writes:
            known = self.item_by_key.get(key)
            item = {
                "key": key,
                "payload": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease_id": 0,
            }
            self.item_by_key[key] = item
            self.history.append(item)
        for key in removals:
            if self.item_by_key.pop(key, None) is not None:
                self.history.append(
                    {"key": key, "revision": self.revision, "deleted": True}
                )
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                self.calls += 1
                status, answer = await self._answer(head, body)
                writer.write(response(status, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, body):
        url = urlsplit(head.target)
        query = dict(parse_qsl(url.query))
        if url.path == "/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.item_by_key if k.startswith(prefix))
            keys = [k for k in keys if k > after]
            page = [self.item_by_key[k] for k in keys[:500]]
            truncated = len(keys) > 500
            answer = {"entries": page, "truncated": truncated, "at": self.revision}
            return 200, answer
        if url.path == "/kv-watch":
            return await self._watch(query)
        if url.path == "/kv-key":
            item = self.item_by_key.get(query.get("key", ""))
            return (404, {}) if item is None else (200, {**item, "at": self.revision})
        if url.path == "/kv-txn":
            return self._transaction(json.loads(body))
        return 404, {}

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        end = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                each
                for each in self.history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transaction(self, call):
        expected = call.get("expected_revision", [])
        current = []
        conflict = False
        for row in expected:
            item = self.item_by_key.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                conflict = True
            current.append(item or {"key": row["key"], "revision": 0})
        if conflict:
            return 412, {"entries": current}
        writes = [
            (each["key"], base64.b64decode(each["payload"]))
            for each in call.get("write", [])
        ]
        return 200, {"revision": self._apply(writes, call.get("remove", []))}
