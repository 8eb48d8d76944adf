"""The frame of a case: its record, its traffic, its exit code."""

import asyncio
import os
import secrets
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.lib2.fleet import APP_PORT, Fleet
from review.lib2.replica import Replica
from review.lib2.store import Store
from review.lib2.wire import Answer, Request, call

HOLDS, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115.0
MODEL, APP = "report-writer", "arcade-ledger"
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
EVENT_TOKENS = 3


def new_config(*, reserved: int, version: int = 7, resumes: bool = False) -> dict:
    """Return a configuration like that of a small deployment."""
    stream = {
        "name": "r-trend",
        "hostname": HOST,
        "path_prefix": "/trend/",
        "route_type": "streaming",
        "timeout_ms": 15000,
        "target_latency_ms": 600,
        "priority": 0,
        "backend": MODEL,
        "max_attempts": 2 if resumes else 1,
        "anonymous": False,
        "session_affinity": True,
        "stream_resumption": resumes,
        "target_itl_ms": 300,
    }
    plain = {
        "hostname": HOST,
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "priority": 2,
        "backend": APP,
        "max_attempts": 2,
        "anonymous": False,
        "session_affinity": False,
        "stream_resumption": False,
    }
    signoff = {"name": "r-signoff", "path_prefix": "/signoff/"}
    read = {"name": "r-read", "path_prefix": "/read/"}
    health = {"health_check_path": "/healthz", "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": [
            stream,
            {**plain, **signoff, "route_type": "non_idempotent", "max_attempts": 1},
            {**plain, **read, "route_type": "idempotent"},
        ],
        "backends": [
            {
                "name": MODEL,
                "max_connections": 230,
                **health,
                "runtime": {
                    "capacity": 32,
                    "kv_capacity_tokens": 210480,
                    "block_size": EVENT_TOKENS,
                    "model_list": [{"name": "m"}],
                },
            },
            {"name": APP, "max_connections": 100, **health},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "reserved": reserved}],
    }


class Case:
    """A fleet with its store, replicas and clients, and the record of the run."""

    def __init__(self, folder: Path):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.fleet = Fleet()
        self.store = Store(self.fleet.store_address)
        self.replicas: list[Replica] = []
        # What is recorded of runs; less in cases with very many requests.
        self.recorded_path = "/"
        self.runs: list[tuple[float, Replica, Request]] = []
        self._record = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began_at

    def write(self, line: str) -> None:
        self._record.write(f"{self.now:8.3f} {line}\n")
        self._record.flush()

    def say(self, line: str) -> None:
        self.write(line)
        sys.stdout.write(line + "\n")

    def add_replica(self, service: str, zone: str = "hobart-a", **options) -> Replica:
        replica = Replica(
            store=self.store,
            service=service,
            address=(self.fleet.new_ip(), APP_PORT),
            zone=zone,
            log=self.write,
            on_run=self._record_run,
            is_model=service == MODEL,
            **options,
        )
        self.replicas.append(replica)
        return replica

    def _record_run(self, replica: Replica, request: Request) -> None:
        if not request.path.startswith(self.recorded_path):
            return
        self.runs.append((self.now, replica, request))
        attempt_id = request.headers.get("attempt-id")
        self.write(f"run {attempt_id} at {replica.id} {request.path}")

    async def start(self, config: dict) -> None:
        await self.store.start()
        self.store.put("op/config", config)
        for replica in self.replicas:
            await replica.start()
        await self.fleet.start()
        self.write("all routers are ready")

    async def send(
        self,
        address: tuple[str, int],
        path: str,
        *,
        method: str = "POST",
        usage: tuple[int, int] | None = None,
        prefix: str = "",
        deadline_s: float = 10.0,
        waits_s: float | None = None,
        label: str = "",
    ) -> Answer:
        """Send one client attempt and record what came back.

        The client leaves after ``waits_s``, or at its deadline.
        The parts of ``prefix`` are part of its prompt; the rest is a part of its own.
        """
        attempt_id = secrets.token_hex(8)
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt_id,
            "Deadline-Ms": str(int(deadline_s * 1000)),
            "Key": KEY,
        }
        if usage is not None:
            sizes = [int(each.partition(":")[2]) for each in prefix.split(",")[:-1]]
            own = f"{secrets.token_hex(4)}:{usage[0] - sum(sizes)}"
            headers |= {
                "Model": "m",
                "Token-Usage": f"{usage[0]},{usage[1]}",
                "Prompt-Prefix": f"{prefix}{own}",
            }
        self.write(f"sent {attempt_id} to {address[0]} {path} {label}")
        timeout_s = waits_s or deadline_s
        answer = await call(address, method, path, headers, timeout_s=timeout_s)
        answer.headers.setdefault("attempt-id", attempt_id)
        text = f"{answer.status or answer.error} after {answer.elapsed_s:.3f} s"
        whole = "whole" if answer.is_complete else f"not whole {answer.error}"
        self.write(f"got {attempt_id} {text}, {answer.events} events, {whole} {label}")
        return answer

    def close(self) -> None:
        self.fleet.end()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()


def run_case(file: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if not run."""
    folder = Path(file).resolve().parent

    async def main() -> int:
        case = Case(folder)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                is_broken = await play(case)
            case.say("the rule was broken" if is_broken else "the rule held")
            return BROKEN if is_broken else HOLDS
        except (Exception, asyncio.CancelledError) as error:
            places = traceback.extract_tb(error.__traceback__)
            # Without the paths of the machine.
            where = " ".join(f"{each.name}:{each.lineno}" for each in places)
            case.say(f"could not run: {error!r} in {where}")
            return NOT_RUN
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for machine in case.fleet.machines:
                    (Path(keep) / f"{machine.name}.log").write_text(machine.log())
            case.close()

    try:
        result = asyncio.run(main())
    except Exception as error:
        # Without this the exit code would be that of a broken rule.
        sys.stdout.write(f"could not run: {error!r}\n")
        result = NOT_RUN
    sys.exit(result)
