"""Starts and steers a fleet of real processes on loopback.

For the demonstration, tests and benchmarks. Each process is a named member
that can be stopped, paused, killed and restarted; only own children are ended.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

import yaml

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# Below the kernel's usual range of ports for outgoing connections (32768 on).
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000
PORTS_PER_LAUNCHER = 400
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02
HTTP_TIMEOUT_S = 10.0
LOG_TAIL_LINES = 15
STAND_INS = "standins"


class FleetError(Exception):
    """Member ``member`` isn't as the launcher needs it."""

    def __init__(self, member: str, fault: str):
        super().__init__(f"{member}: {fault}")
        self.member = member


class PortRange:
    """Hands out ports that are free now, each once.

    Launchers that run side by side start at different ports, by process id.
    """

    def __init__(self, *, base: int | None = None):
        count = (HIGHEST_PORT - LOWEST_PORT) // PORTS_PER_LAUNCHER
        own = LOWEST_PORT + os.getpid() % count * PORTS_PER_LAUNCHER
        self._next = own if base is None else base

    def take(self) -> int:
        """Return a free port."""
        while True:
            port = self._next
            self._next += 1
            if self._next >= HIGHEST_PORT:
                self._next = LOWEST_PORT
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return port


class Member:
    """One process of the fleet with its command, log and control address.

    Members of one ``group``, such as all agents, are ended together.
    """

    def __init__(
        self,
        *,
        name: str,
        command: Sequence[str],
        log: Path,
        environment: Mapping[str, str],
        is_ready: Callable[["Member"], bool],
        address: str,
        group: str,
    ):
        self.name = name
        self.address = address
        self.group = group
        self._command = command
        self._log = log
        self._environment = environment
        self._is_ready = is_ready
        self._process: subprocess.Popen | None = None

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self) -> int:
        """Return the id of the process, 0 before its first start."""
        return self._process.pid if self._process else 0

    def start(self) -> None:
        """Start the process; ``wait_ready`` tells when it serves."""
        if self.running:
            raise FleetError(self.name, "runs already")
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=REPOSITORY,
                env=self._environment,
            )

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the process serves. Raises FleetError."""
        deadline = time.monotonic() + timeout_s
        while not self._is_ready(self):
            if not self.running:
                status = self._process.returncode if self._process else None
                fault = f"ended with status {status}\n{self.log_tail()}"
                raise FleetError(self.name, fault)
            if time.monotonic() > deadline:
                fault = f"not ready after {timeout_s} s\n{self.log_tail()}"
                raise FleetError(self.name, fault)
            time.sleep(POLL_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if not self.running:
            raise FleetError(self.name, f"isn't running\n{self.log_tail()}")
        self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once, as a crash does."""
        self.send_signal(signal.SIGKILL)
        self._process.wait()

    def pause(self) -> None:
        """Stop the process from running until ``resume``."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run on."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down gracefully."""
        self.send_signal(signal.SIGTERM)

    def wait_ended(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit status once the process has ended. Raises FleetError."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            fault = f"still running after {timeout_s} s"
            raise FleetError(self.name, fault) from error

    def ask_to_end(self) -> None:
        """Ask the process to shut down, even if it's paused or has ended."""
        if self._process is not None:
            self._process.send_signal(signal.SIGTERM)
            self._process.send_signal(signal.SIGCONT)

    def end_by(self, deadline: float) -> None:
        """Wait for the end until a monotonic time, then end it by force."""
        if self._process is None:
            return
        try:
            self._process.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def restart(self) -> None:
        """Kill the process if it runs, start it again and wait until it serves."""
        if self.running:
            self.kill()
        self.start()
        self.wait_ready()

    def get(self, path: str) -> dict:
        """Return the JSON answer of a GET at the control address."""
        return call_json(self.address, "GET", path)

    def set_faults(self, **switches: object) -> dict:
        """Set fault switches of a stand-in; the others stay."""
        return call_json(self.address, "POST", "/faults", switches)

    def log_text(self) -> str:
        """Return what the process has written, over all its starts."""
        return self._log.read_text("utf-8", "replace") if self._log.exists() else ""

    def log_tail(self) -> str:
        """Return the end of the log."""
        return "\n".join(self.log_text().splitlines()[-LOG_TAIL_LINES:])


class Fleet:
    """Members by name in a temporary directory; a context manager.

    Leaving the context ends every member that still runs.
    """

    def __init__(self, *, port_base: int | None = None):
        self.ports = PortRange(base=port_base)
        self.member_by_name: dict[str, Member] = {}
        self._temporary = tempfile.TemporaryDirectory(prefix="lavenderfold-")
        self.directory = Path(self._temporary.name)
        paths = [str(REPOSITORY / "src"), str(REPOSITORY)]
        self.environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(paths),
            "PYTHONUNBUFFERED": "1",
        }

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def __getitem__(self, name: str) -> Member:
        return self.member_by_name[name]

    def stop(self) -> None:
        """End every member: gracefully if it follows in time, else by force.

        Members end in the reverse order of their start and in groups, because
        a process that shuts down still needs the services that it uses.
        """
        members = list(self.member_by_name.values())
        for group in reversed(list(dict.fromkeys(each.group for each in members))):
            ending = [member for member in members if member.group == group]
            for member in ending:
                member.ask_to_end()
            deadline = time.monotonic() + STOP_TIMEOUT_S
            for member in ending:
                member.end_by(deadline)
        self._temporary.cleanup()

    def address(self) -> str:
        """Return IP:PORT with a free port."""
        return f"{HOST}:{self.ports.take()}"

    def add_stand_in(self, name: str, module: str, **options: object) -> Member:
        """Start ``standins.MODULE``; options become flags. Not waited for."""
        address = self.address()
        values = {"port": address.rpartition(":")[2], **options}
        flags = [
            f"--{key}={item}"
            for key, value in values.items()
            for item in (value if isinstance(value, list) else [value])
        ]
        command = [sys.executable, "-m", f"standins.{module}", *flags]
        return self._add(name, command, address, _is_announced, group=STAND_INS)

    def add_product(
        self,
        name: str,
        module: str,
        settings: Mapping[str, object],
        *,
        address: str,
        is_ready: Callable[[Member], bool],
    ) -> Member:
        """Write a settings file and start ``lavenderfold.MODULE`` with it."""
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(dict(settings)), encoding="utf-8")
        command = [sys.executable, "-m", f"lavenderfold.{module}"]
        command.append(f"--settings={path}")
        return self._add(name, command, address, is_ready, group=module)

    def wait_ready(self) -> None:
        """Wait until every member serves. Raises FleetError."""
        for member in self.member_by_name.values():
            member.wait_ready()

    def run(
        self, module: str, arguments: Sequence[str], *, timeout_s: float = 60.0
    ) -> subprocess.CompletedProcess:
        """Run a command line of the product to its end; its output is text."""
        command = [sys.executable, "-m", f"lavenderfold.{module}", *arguments]
        try:
            return subprocess.run(
                command,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                cwd=REPOSITORY,
                env=self.environment,
                timeout=timeout_s,
                check=False,
            )
        except subprocess.TimeoutExpired as error:
            raise FleetError(module, f"still running after {timeout_s} s") from error

    def _add(
        self,
        name: str,
        command: Sequence[str],
        address: str,
        is_ready: Callable[[Member], bool],
        *,
        group: str,
    ) -> Member:
        if name in self.member_by_name:
            raise FleetError(name, "is given twice")
        member = Member(
            name=name,
            command=command,
            log=self.directory / f"{name}.log",
            environment=self.environment,
            is_ready=is_ready,
            address=address,
            group=group,
        )
        self.member_by_name[name] = member
        member.start()
        return member


def call(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = HTTP_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Make one HTTP call and return its status and body. Raises OSError."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=dict(headers or {}))
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as error:
        raise OSError(f"{address}: {error!r}") from error
    finally:
        connection.close()


def call_json(address: str, method: str, path: str, value: object = None) -> dict:
    """Make a call with JSON both ways. Raises FleetError for any failure."""
    body = b"" if value is None else json.dumps(value).encode()
    try:
        status, answer = call(address, method, path, body=body)
    except OSError as error:
        raise FleetError(address, str(error)) from error
    if status != 200:
        raise FleetError(address, f"{method} {path}: status {status} {answer!r}")
    return json.loads(answer)


def is_listening(member: Member) -> bool:
    """Return whether the member accepts connections at its address."""
    host, _, port = member.address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=HTTP_TIMEOUT_S):
            return True
    except OSError:
        return False


def is_healthy(member: Member) -> bool:
    """Return whether the member's health page answers with 200."""
    try:
        return call(member.address, "GET", "/healthz")[0] == 200
    except OSError:
        return False


def _is_announced(member: Member) -> bool:
    # The line of an earlier start doesn't count: a restart needs a connection too.
    return f"listening {member.address}" in member.log_text() and is_listening(member)
