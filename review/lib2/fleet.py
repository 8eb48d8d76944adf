"""Starts the project's own programs, as the deploy file says, on loopback addresses."""

import asyncio
import os
import random
import shutil
import signal
import subprocess
import tempfile
import tomllib
from pathlib import Path

from review.lib2.wire import call

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
CHECK_PERIOD_S = 0.05
PUBLIC_PORT, READY_PORT, ADMIN_PORT, RELAY_PORT = 8740, 8749, 8748, 7200
STORE_PORT, APP_PORT = 8742, 8745

SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{machine}"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "hobart"
internal_ports = [{relay_port},{last_port}]
seed_nodes = []
bootstrap = true
in_tolerance = false
discovery = "platform"
ingress = "virtual_ip"
heartbeat_interval_ms = 1200
guarantees = ["base","drain","config","cost","retry","recover","engine","stream",\
"tenants","platform"]
[zones]
hobart-a = "hobart"
hobart-b = "hobart"
[listen_addrs]
{listen}
[limits]
cpu_quota = 0.817
cpu_cores = 1
memory_limit_mb = {memory}
max_open_files = 4096
bandwidth_mbps = 1000.0
disk_limit_mb = 0
[fault_tolerance]
nodes = 1
zones = 0
regions = 0
[bounds]
seed_staleness_s = 3
address_reuse_s = 2
connectivity_ms = 4000
ack_timeout_ms = 5000
sync_timeout_s = 4
drain_timeout_ms = 2500
grace_period_s = 8
loss_slack_ms = 200
config_propagation_ms = 2500
downgrade_slack_ms = 250
outer_ms = 6000
strict_revocation = false
revocation_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 54
recovery_s = 12
delivery_slack_ms = 250
reuse_window_s = 9.6
settle_ms = 1500
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
"""


class Machine:
    """One machine with one process of a role."""

    def __init__(self, fleet: "Fleet", role: str, name: str, ip: str, zone: str):
        self.name = name
        self.role = role
        self.ip = ip
        self._fleet = fleet
        self._settings = fleet.folder / f"{name}.toml"
        self._log = fleet.folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        listen = ""
        if role == "router":
            listen = (
                f'public_addr = "{ip}:{PUBLIC_PORT}"\nready = "{ip}:{READY_PORT}"\n'
                f'admin = "{ip}:{ADMIN_PORT}"'
            )
        is_edge = role == "router"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                machine="edge" if is_edge else "side",
                serves='"edge"' if is_edge else "",
                ip=ip,
                zone=zone,
                relay_port=RELAY_PORT,
                last_port=RELAY_PORT + 15,
                listen=listen,
                memory=300 if is_edge else 232,
                store=f"{fleet.store_address[0]}:{fleet.store_address[1]}",
            )
        )

    @property
    def public(self) -> tuple[str, int]:
        return self.ip, PUBLIC_PORT

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        kept |= {
            "LAVENDERFOLD_CONFIG": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._fleet.command(self.role),
                cwd=ROOT,
                env=kept,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        if self.is_running:
            self._process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> bool:
        """Wait for the process; return whether it has ended."""
        for _ in range(int(timeout_s / 0.02)):
            if not self.is_running:
                return True
            await asyncio.sleep(0.02)
        return False

    def end(self) -> None:
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def log(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    async def is_ready(self) -> bool:
        address = (self.ip, READY_PORT)
        answer = await call(address, "GET", "/readyz", {"Host": self.ip}, timeout_s=1.0)
        return answer.status == 200


class Fleet:
    """The addresses, the machines and the folder of one run."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="lavenderfold-review-"))
        # A range of loopback addresses of its own, as the metrics port is fixed.
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._hosts = iter(range(1, 250))
        self.store_address = (self.new_ip(), STORE_PORT)
        self.machines: list[Machine] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._run_by_role = {
            name: each["run"].split() for name, each in deploy["roles"].items()
        }

    def command(self, role: str) -> list[str]:
        return self._run_by_role[role]

    def new_ip(self) -> str:
        return f"{self._net}.{next(self._hosts)}"

    def add(self, role: str, name: str, zone: str) -> Machine:
        machine = Machine(self, role, name, self.new_ip(), zone)
        self.machines.append(machine)
        return machine

    async def start(self) -> None:
        """Start all machines; raises TimeoutError if the routers don't get ready."""
        for machine in self.machines:
            machine.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        waiting = [each for each in self.machines if each.role == "router"]
        for _ in range(int(START_TIMEOUT_S / CHECK_PERIOD_S)):
            waiting = [each for each in waiting if not await each.is_ready()]
            if not waiting:
                return
            await asyncio.sleep(CHECK_PERIOD_S)
        raise TimeoutError(f"not ready: {[each.name for each in waiting]}")

    def end(self) -> None:
        for machine in self.machines:
            machine.end()
        shutil.rmtree(self.folder, ignore_errors=True)
