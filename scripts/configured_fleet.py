"""Starts the whole fleet that a configuration folder describes.

``lavenderfoldctl`` checks the folder and applies it. A stand-in and an agent are
started for each target, and ``routers_per_region`` routers in each region.
"""

import shutil
import time
from collections.abc import Mapping
from pathlib import Path

import yaml

from lavenderfold.config import FleetConfig, RouteKind, Target, merge_files
from scripts.fleet import (
    POLL_S,
    READY_TIMEOUT_S,
    Fleet,
    FleetError,
    Member,
    call_json,
    is_healthy,
    is_listening,
)

ADDRESSES_FILE = "99-fleet-addresses.yaml"
ENGINE_SLOTS = 8


class RouterSpec:
    """A router's name, region, failure domain and addresses."""

    def __init__(self, *, name: str, region: str, failure_domain: str, fleet: Fleet):
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.listen = fleet.allocate_address()
        self.operator_listen = fleet.allocate_address()
        self.peer_listen = fleet.allocate_address()


class ConfiguredFleet(Fleet):
    """The fleet of one configuration folder, started when the context is entered.

    ``engine_options`` are the flags of the model engine stand-ins. If ``link`` is
    given, connections to routers, agents and the store of another region go through
    a link relay with these flags, which is the member ``link``. The store is in the
    first region. ``router_limits`` are the ``limits`` in the settings of all routers.
    """

    def __init__(
        self,
        *,
        folder: Path,
        routers_per_region: int = 2,
        engine_options: Mapping[str, object] | None = None,
        link: Mapping[str, object] | None = None,
        router_limits: Mapping[str, object] | None = None,
        port_base: int | None = None,
    ):
        super().__init__(port_base=port_base)
        self._router_limits = dict(router_limits or {})
        self.folder = self.directory / "configuration"
        shutil.copytree(folder, self.folder)
        self.config = self._load()
        self.revision = 0
        self._engine_options = dict(engine_options or {})
        self._link_options = link
        self._region_by_address: dict[str, str] = {}
        self._relay_address_by_address: dict[str, str] = {}
        domains = self.config.failure_domains
        self.regions = list(dict.fromkeys(domain.region for domain in domains.values()))
        self.router_specs = [
            RouterSpec(
                name=f"router-{region}-{number + 1}",
                region=region,
                failure_domain=self._failure_domain(region, number),
                fleet=self,
            )
            for region in self.regions
            for number in range(routers_per_region)
        ]

    def __enter__(self) -> "ConfiguredFleet":
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    @property
    def store(self) -> Member:
        return self["store"]

    @property
    def routers(self) -> list[Member]:
        return [self[spec.name] for spec in self.router_specs]

    @property
    def stand_in_targets(self) -> list[Member]:
        """The stand-ins for engines and services, which count the requests they ran."""
        return [self[f"{name}-stand-in"] for name in self.config.targets]

    def run_ctl(self, command: str, *arguments: str) -> str:
        """Run ``lavenderfoldctl`` and return its output. Raises FleetError."""
        completed = self.run("ctl", [command, *arguments])
        if completed.returncode != 0:
            problem = (
                f"{command}: exit code {completed.returncode}\n"
                f"{completed.stdout}{completed.stderr}"
            )
            raise FleetError("lavenderfoldctl", problem)
        return completed.stdout

    def apply(self) -> str:
        """Check the folder and apply it as the next revision; return the output."""
        folder = str(self.folder)
        checked = self.run_ctl("check", folder)
        applied = self.run_ctl(
            "apply",
            folder,
            f"--store={self.store.address}",
            f"--base={self.revision}",
        )
        self.revision += 1
        return checked + applied

    def wait_in_effect(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until all routers have the last revision and list all targets as ready.

        Raises FleetError after ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        for spec in self.router_specs:
            while problem := self._find_problem(spec):
                if time.monotonic() > deadline:
                    tail = self[spec.name].log_tail()
                    raise FleetError(
                        spec.name, f"{problem} after {timeout_s} s\n{tail}"
                    )
                time.sleep(POLL_S)

    def replay_flags(self) -> list[str]:
        """Return the address flags of ``lavenderfold-replay`` for this fleet."""
        return [
            f"--store={self.store.address}",
            *(f"--router={spec.region}={spec.listen}" for spec in self.router_specs),
            *(f"--target={member.address}" for member in self.stand_in_targets),
        ]

    def _start(self) -> None:
        self.add_stand_in("store", "config_store")
        self.add_stand_in("vm-list", "vm_list")
        targets = self.config.targets
        for name, target in targets.items():
            self._add_stand_in_target(name, target)
        self.wait_ready()
        self._write_addresses({name: self.allocate_address() for name in targets})
        self.apply()
        self._add_link()
        for name, target in self.config.targets.items():
            self._add_agent(name, target)
        for spec in self.router_specs:
            self._add_router(spec)
        self.wait_ready()
        self.wait_in_effect()

    def _load(self) -> FleetConfig:
        text_by_name = {
            path.name: path.read_text("utf-8") for path in self.folder.glob("*.yaml")
        }
        merged = merge_files(text_by_name)
        if merged.is_err():
            errors = "\n".join(str(error) for error in merged.unwrap_err())
            raise FleetError(str(self.folder), errors)
        return merged.unwrap()

    def _failure_domain(self, region: str, number: int) -> str:
        """Return the failure domain of a region's router, chosen round-robin."""
        names = [
            name
            for name, domain in self.config.failure_domains.items()
            if domain.region == region
        ]
        return names[number % len(names)]

    def _write_addresses(self, address_by_target: Mapping[str, str]) -> None:
        """Override the agent addresses of the folder in an additional file."""
        override = {
            "targets": {
                name: {"agent": address} for name, address in address_by_target.items()
            }
        }
        path = self.folder / ADDRESSES_FILE
        path.write_text(yaml.safe_dump(override), encoding="utf-8")
        self.config = self._load()

    def _add_stand_in_target(self, name: str, target: Target) -> None:
        if target.kind is RouteKind.APP:
            self.add_stand_in(f"{name}-stand-in", "plain_service")
            return
        options = {
            "models": ",".join(target.models),
            "slots": ENGINE_SLOTS,
            **self._engine_options,
        }
        self.add_stand_in(f"{name}-stand-in", "model_engine", **options)

    def _add_agent(self, name: str, target: Target) -> None:
        region = self._region_of(target)
        settings = {
            "target": name,
            "vm": target.vm,
            "kind": target.kind.value,
            "region": region,
            "failure_domain": target.failure_domain,
            "listen": str(target.agent),
            "target_address": self[f"{name}-stand-in"].address,
            "store_address": self._reachable_address(region, self.store.address),
            "vm_list_address": self["vm-list"].address,
        }
        if target.kind is RouteKind.MODEL:
            settings["models"] = target.models
            slots = self._engine_options.get("slots", ENGINE_SLOTS)
            settings["limits"] = {"slots": slots}
        self.add_component(
            f"{name}-agent",
            "agent",
            settings,
            address=str(target.agent),
            is_ready=is_listening,
        )

    def _add_router(self, spec: RouterSpec) -> None:
        def reachable(address: str) -> str:
            return self._reachable_address(spec.region, address)

        agents = {name: str(each.agent) for name, each in self.config.targets.items()}
        settings = {
            "router": spec.name,
            "region": spec.region,
            "failure_domain": spec.failure_domain,
            "listen": spec.listen,
            "operator_listen": spec.operator_listen,
            "peer_listen": spec.peer_listen,
            "store_address": reachable(self.store.address),
            "store_region": self.regions[0],
            "peers": [
                reachable(other.peer_listen)
                for other in self.router_specs
                if other is not spec
            ],
            "agent_address_by_target": {
                name: reachable(agent) for name, agent in agents.items()
            },
            "vm_list_address": self["vm-list"].address,
            "limits": self._router_limits,
        }
        self.add_component(
            spec.name, "router", settings, address=spec.listen, is_ready=is_healthy
        )

    def _add_link(self) -> None:
        """Start the relay for connections between regions if there are flags for it."""
        if self._link_options is None:
            return
        self._region_by_address = {
            self.store.address: self.regions[0],
            **{spec.peer_listen: spec.region for spec in self.router_specs},
            **{str(each.agent): self._region_of(each) for each in self._targets},
        }
        self._relay_address_by_address = {
            address: self.allocate_address() for address in self._region_by_address
        }
        forwards = [
            f"{relay_address}={address}"
            for address, relay_address in self._relay_address_by_address.items()
        ]
        self.add_stand_in("link", "link_relay", forward=forwards, **self._link_options)
        self["link"].wait_ready()

    def _reachable_address(self, region: str, address: str) -> str:
        """Return the address that a process in ``region`` uses to reach ``address``."""
        if self._region_by_address.get(address) == region:
            return address
        return self._relay_address_by_address.get(address, address)

    @property
    def _targets(self) -> list[Target]:
        return list(self.config.targets.values())

    def _region_of(self, target: Target) -> str:
        return self.config.failure_domains[target.failure_domain].region

    def _find_problem(self, spec: RouterSpec) -> str:
        try:
            status = call_json(spec.operator_listen, "GET", "/v1/status")
        except FleetError as error:
            return str(error)
        if status["revision"] < self.revision:
            return f"has revision {status['revision']}, not {self.revision}"
        ready = {entry["target"] for entry in status["targets"] if entry["ready"]}
        missing = self.config.targets.keys() - ready
        return f"targets not ready: {', '.join(sorted(missing))}" if missing else ""
