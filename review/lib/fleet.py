"""Starts the system's own programs with the commands of the deploy file."""

import asyncio
import os
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMANDS = {
    name: role["run"].split()
    for name, role in tomllib.loads((ROOT / "deploy/system.toml").read_text())[
        "roles"
    ].items()
}

SETTINGS = """
node_name = "{name}"
role = "my-{kind}"
machine_class = "{kind}"
serves = {serves}
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internal_ports = [{internal}, {internal_end}]
seed_nodes = []
bootstrap = true
discovery = "platform"
ingress = "virtual_ip"
heartbeat_interval_ms = 1200
[zones]
zone-a = "region-a"
[listen_addrs]
{listen}
[limits]
cpu_quota = 0.817
cpu_cores = 1
memory_limit_mb = 300
max_open_files = 4100
[bounds]
seed_staleness_s = 3
address_reuse_s = 2
connectivity_ms = 4000
ack_timeout_ms = 5000
drain_timeout_ms = 2500
grace_period_s = 8
loss_slack_ms = 200
config_propagation_ms = 2500
downgrade_slack_ms = 250
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 54
recovery_s = 12
{more_bounds}
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
"""


# A loopback network of this run, as a router listens on a fixed port for its metrics.
NETWORK = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"


def machine_ip(number):
    """Return the address of a machine."""
    return f"{NETWORK}.{number}"


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Process:
    """One machine's process: settings in ``folder``, started by the deploy command."""

    def __init__(self, *, role, name, ip, store_port, folder):
        self.role = role
        self.name = name
        self.ip = ip
        self.store_port = store_port
        self.public = free_port(ip)
        self.ready = free_port(ip)
        self.internal = free_port(ip)
        self.path = Path(folder) / f"{name}.toml"
        self.log_path = Path(folder) / f"{name}.log"
        self.child = None
        self.write_settings()

    def write_settings(self, more_bounds=""):
        is_router = self.role == "router"
        listen = ""
        if is_router:
            listen = (
                f'public_addr = "{self.ip}:{self.public}"\n'
                f'ready = "{self.ip}:{self.ready}"'
            )
        text = SETTINGS.format(
            name=self.name,
            kind="edge" if is_router else "side",
            serves='["edge"]' if is_router else "[]",
            ip=self.ip,
            internal=self.internal,
            internal_end=self.internal + 15,
            listen=listen,
            store=self.store_port,
            more_bounds=more_bounds,
        )
        temporary = self.path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.path)

    def start(self):
        kept = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env["LAVENDERFOLD_CONFIG"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self.child = subprocess.Popen(
                COMMANDS[self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()

    def signal(self, number):
        self.child.send_signal(number)

    @property
    def exit_code(self):
        return self.child.poll()

    async def wait_exit(self, timeout_s):
        """Wait until the process has ended, at most for ``timeout_s``."""
        for _ in range(int(timeout_s / 0.02)):
            if self.exit_code is not None:
                return
            await asyncio.sleep(0.02)

    def resident_mb(self):
        for line in Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    async def wait_ready(self, timeout_s=30):
        """Ask /readyz as the platform does, until it answers 200."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200" in line:
                    return True
            except (TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)
        return False
