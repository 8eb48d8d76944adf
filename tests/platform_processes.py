"""Starts router and relay processes of the platform with settings of a test."""

import base64
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from urllib.parse import parse_qs

import msgspec
import trio

from lavenderfold.http import HttpRequest, HttpResponse, ResponseWriter, json_response
from lavenderfold.settings import Address

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 10.0

SETTINGS = """
node_name = "{role}-1"
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internal_ports = [{internal}, {internal}]
[listen_addrs]
{listen}
[limits]
memory_limit_mb = {memory_mb}
max_open_files = {open_files}
[bounds]
connectivity_ms = 4000
grace_period_s = 2
retry_budget_ratio = 0.2
budget_slack = 54
[platform]
address = "{store}"
"""


class PlatformStoreStandIn:
    """Answers listings, watches without changes, and writes, over HTTP."""

    def __init__(self, value_by_key: dict[str, object]):
        self.revision = 1
        self._rows = {
            key: (msgspec.json.encode(value), 1) for key, value in value_by_key.items()
        }

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        query = {name: each[0] for name, each in parse_qs(request.query).items()}
        if request.path == "/kv-watch":
            await trio.sleep(int(query["wait_ms"]) / 1000)
            body = {"at": self.revision, "events": []}
            await writer.send(json_response(200, body))
        elif request.path == "/kv-range":
            rows = self._listed(query["path_prefix"])
            await writer.send(
                json_response(200, {"at": self.revision, "entries": rows})
            )
        else:
            await writer.send(self._write(msgspec.json.decode(request.body)))

    def _listed(self, prefix: str) -> list[dict]:
        return [
            {"key": key, "revision": at, "payload": base64.b64encode(value).decode()}
            for key, (value, at) in sorted(self._rows.items())
            if key.startswith(prefix)
        ]

    def _write(self, transaction: dict) -> HttpResponse:
        for each in transaction["expected_revision"]:
            if self._rows.get(each["key"], (b"", 0))[1] != each["revision"]:
                return json_response(412, {"entries": self._listed(each["key"])})
        self.revision += 1
        for each in transaction["write"]:
            value = base64.b64decode(each["payload"])
            self._rows[each["key"]] = (value, self.revision)
        return json_response(200, {"revision": self.revision})


class PlatformProcess:
    """A router or a relay, started by ``platform/main.py``."""

    def __init__(
        self,
        *,
        role: str,
        store: Address,
        folder: Path,
        memory_mb: int,
        open_files: int,
    ):
        # A loopback address of its own, as the port for metrics is fixed.
        self.ip = f"127.{60 + os.getpid() % 100}.{os.getpid() // 100 % 250}.7"
        self.listen, self.ready = (self._free_address() for _ in range(2))
        listen = f'public_addr = "{self.listen}"\nready = "{self.ready}"'
        text = SETTINGS.format(
            role=role,
            ip=self.ip,
            internal=self.listen.port,
            listen=listen if role == "router" else "",
            store=store,
            memory_mb=memory_mb,
            open_files=open_files,
        )
        path = folder / f"{role}.toml"
        path.write_text(text)
        self.log_path = folder / f"{role}.log"
        environment = {**os.environ, "LAVENDERFOLD_CONFIG": str(path)}
        with self.log_path.open("wb") as log:
            command = [sys.executable, str(ROOT / "platform/main.py"), role]
            self.child = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )

    def _free_address(self) -> Address:
        with socket.socket() as probe:
            probe.bind((self.ip, 0))
            return Address(host=self.ip, port=probe.getsockname()[1])

    @property
    def is_alive(self) -> bool:
        return self.child.poll() is None

    @property
    def peak_memory_mb(self) -> float:
        """The highest resident memory since the start."""
        return self._status_mb("VmHWM")

    @property
    def memory_mb(self) -> float:
        """The resident memory."""
        return self._status_mb("VmRSS")

    def _status_mb(self, name: str) -> float:
        status = Path(f"/proc/{self.child.pid}/status").read_text()
        (line,) = (each for each in status.splitlines() if each.startswith(name))
        return int(line.split()[1]) / 1024

    @property
    def open_files(self) -> int:
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def end(self) -> None:
        """End the process, by force if it doesn't stop in time."""
        self.child.send_signal(signal.SIGTERM)
        try:
            self.child.wait(timeout=EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
