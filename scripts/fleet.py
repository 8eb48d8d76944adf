"""Starts and controls a fleet of real processes on the loopback interface.

The demonstration, tests and benchmarks use it. Each process is a named member of the
fleet that can be stopped, paused, killed and restarted. Only child processes that the
fleet started are ended.
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
# Listening ports are below the kernel's usual range for outgoing connections, which
# starts at 32768.
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000
PORTS_PER_FLEET = 400
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02
HTTP_TIMEOUT_S = 10.0
LOG_TAIL_LINES = 15
STAND_INS = "standins"


class FleetError(Exception):
    """Raised when a member, file or call of the fleet fails or can't be used."""

    def __init__(self, member: str, problem: str):
        super().__init__(f"{member}: {problem}")
        self.member = member


class PortRange:
    """Allocates ports that no process is bound to at the time of the call.

    The first port depends on the process id, so that fleets that run at the same time
    rarely try the same ports.
    """

    def __init__(self, *, base: int | None = None):
        count = (HIGHEST_PORT - LOWEST_PORT) // PORTS_PER_FLEET
        first = LOWEST_PORT + os.getpid() % count * PORTS_PER_FLEET
        self._next = first if base is None else base

    def allocate(self) -> int:
        """Return the next free port."""
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
    """One process of the fleet with its command, log file and address.

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
        """Start the process without waiting until it is ready."""
        if self.running:
            raise FleetError(self.name, "is already running")
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
        """Wait until the process is ready. Raises FleetError if it ends or is late."""
        deadline = time.monotonic() + timeout_s
        while not self._is_ready(self):
            if not self.running:
                status = self._process.returncode if self._process else None
                problem = f"ended with status {status}\n{self.log_tail()}"
                raise FleetError(self.name, problem)
            if time.monotonic() > deadline:
                problem = f"not ready after {timeout_s} s\n{self.log_tail()}"
                raise FleetError(self.name, problem)
            time.sleep(POLL_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if not self.running:
            raise FleetError(self.name, f"isn't running\n{self.log_tail()}")
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process without a shutdown, as in a crash, and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self._process.wait()

    def pause(self) -> None:
        """Suspend the process until ``resume`` is called."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a suspended process continue."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down gracefully."""
        self.send_signal(signal.SIGTERM)

    def wait_ended(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit status once the process has ended. Raises FleetError."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            problem = f"still running after {timeout_s} s"
            raise FleetError(self.name, problem) from error

    def request_shutdown(self) -> None:
        """Ask the process to shut down, also if it's suspended; ignore an ended one."""
        if self._process is not None:
            self._process.send_signal(signal.SIGTERM)
            self._process.send_signal(signal.SIGCONT)

    def kill_after(self, deadline: float) -> None:
        """Wait for the end of the process until a monotonic time, then kill it."""
        if self._process is None:
            return
        try:
            self._process.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def restart(self) -> None:
        """Kill the process if it runs, start it again and wait until it is ready."""
        if self.running:
            self.kill()
        self.start()
        self.wait_ready()

    def get(self, path: str) -> dict:
        """Return the JSON response to a GET of ``path``."""
        return call_json(self.address, "GET", path)

    def set_faults(self, **switches: object) -> dict:
        """Set fault switches of a stand-in and leave its other switches unchanged."""
        return call_json(self.address, "POST", "/faults", switches)

    def log_text(self) -> str:
        """Return the output of the process since its first start."""
        return self._log.read_text("utf-8", "replace") if self._log.exists() else ""

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        return "\n".join(self.log_text().splitlines()[-LOG_TAIL_LINES:])


class Fleet:
    """A context manager for processes, by member name.

    Their settings and logs are in a temporary directory. All members that still run
    are ended when the context is left.
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
        """Ask all members to shut down and kill those that take too long.

        Members end in the reverse order of their start and in groups, because
        a process that shuts down still needs the services that it uses.
        """
        members = list(self.member_by_name.values())
        for group in reversed(list(dict.fromkeys(each.group for each in members))):
            ending = [member for member in members if member.group == group]
            for member in ending:
                member.request_shutdown()
            deadline = time.monotonic() + STOP_TIMEOUT_S
            for member in ending:
                member.kill_after(deadline)
        self._temporary.cleanup()

    def allocate_address(self) -> str:
        """Return the loopback address with a free port, as IP:PORT."""
        return f"{HOST}:{self.ports.allocate()}"

    def add_stand_in(self, name: str, module: str, **options: object) -> Member:
        """Start ``standins.MODULE`` with the options as flags.

        Doesn't wait until the process is ready.
        """
        address = self.allocate_address()
        values = {"port": address.rpartition(":")[2], **options}
        flags = [
            f"--{key}={item}"
            for key, value in values.items()
            for item in (value if isinstance(value, list) else [value])
        ]
        command = [sys.executable, "-m", f"standins.{module}", *flags]
        return self._add(name, command, address, _is_announced, group=STAND_INS)

    def add_component(
        self,
        name: str,
        module: str,
        settings: Mapping[str, object],
        *,
        address: str,
        is_ready: Callable[[Member], bool],
    ) -> Member:
        """Write a settings file and start ``lavenderfold.MODULE`` with it.

        Doesn't wait until the process is ready.
        """
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(dict(settings)), encoding="utf-8")
        command = [sys.executable, "-m", f"lavenderfold.{module}"]
        command.append(f"--settings={path}")
        return self._add(name, command, address, is_ready, group=module)

    def wait_ready(self) -> None:
        """Wait until all members are ready. Raises FleetError."""
        for member in self.member_by_name.values():
            member.wait_ready()

    def run(
        self, module: str, arguments: Sequence[str], *, timeout_s: float = 60.0
    ) -> subprocess.CompletedProcess:
        """Run ``lavenderfold.MODULE`` to its end and capture its output as text."""
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
            raise FleetError(name, "a member with this name exists already")
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
    """Make one HTTP request and return status and body. Raises OSError."""
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
    """Send ``value`` as JSON and return the decoded response.

    Raises FleetError if the call fails or the status isn't 200.
    """
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
    """Return whether a GET of ``/healthz`` returns status 200."""
    try:
        return call(member.address, "GET", "/healthz")[0] == 200
    except OSError:
        return False


def _is_announced(member: Member) -> bool:
    # After a restart the log still contains the line of an earlier start, so that the
    # process must also accept a connection.
    return f"listening {member.address}" in member.log_text() and is_listening(member)
