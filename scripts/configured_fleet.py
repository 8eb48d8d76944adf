"""Starts the whole fleet that a configuration folder describes.

The folder is checked and applied through ``lavenderfoldctl``. Each target gets
a stand-in and an agent; each region gets its routers.
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


class RouterPlace:
    """A router's name, place and addresses."""

    def __init__(self, *, name: str, region: str, failure_domain: str, fleet: Fleet):
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.listen = fleet.address()
        self.operator_listen = fleet.address()
        self.peer_listen = fleet.address()


class ConfiguredFleet(Fleet):
    """The processes of one configuration folder, started on entry.

    ``engine_options`` are flags of the model engines. With ``link`` everything
    between regions goes through a link relay, member ``link``, with these
    flags; the store is in the first region. ``router_limits`` are those of
    every router's settings.
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
        self._link = link
        self._region_by_address: dict[str, str] = {}
        self._link_by_address: dict[str, str] = {}
        domains = self.config.failure_domains
        self.regions = list(dict.fromkeys(domain.region for domain in domains.values()))
        self.places = [
            RouterPlace(
                name=f"router-{region}-{number + 1}",
                region=region,
                failure_domain=self._domain(region, number),
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
        return [self[place.name] for place in self.places]

    @property
    def stand_in_targets(self) -> list[Member]:
        """Return the engines and services, which count what they ran."""
        return [self[f"{name}-stand-in"] for name in self.config.targets]

    def control(self, command: str, *arguments: str) -> str:
        """Run ``lavenderfoldctl`` and return its output. Raises FleetError."""
        done = self.run("ctl", [command, *arguments])
        if done.returncode != 0:
            fault = (
                f"{command}: exit code {done.returncode}\n{done.stdout}{done.stderr}"
            )
            raise FleetError("lavenderfoldctl", fault)
        return done.stdout

    def apply(self) -> str:
        """Check and apply the folder as the next revision; return the output."""
        folder = str(self.folder)
        checked = self.control("check", folder)
        applied = self.control(
            "apply",
            folder,
            f"--store={self.store.address}",
            f"--base={self.revision}",
        )
        self.revision += 1
        return checked + applied

    def wait_in_effect(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until each router has the last revision and all targets ready."""
        deadline = time.monotonic() + timeout_s
        for place in self.places:
            while fault := self._find_fault(place):
                if time.monotonic() > deadline:
                    tail = self[place.name].log_tail()
                    raise FleetError(place.name, f"{fault} after {timeout_s} s\n{tail}")
                time.sleep(POLL_S)

    def replay_flags(self) -> list[str]:
        """Return the flags that let ``lavenderfold-replay`` use this fleet."""
        return [
            f"--store={self.store.address}",
            *(f"--router={place.region}={place.listen}" for place in self.places),
            *(f"--target={member.address}" for member in self.stand_in_targets),
        ]

    def _start(self) -> None:
        self.add_stand_in("store", "config_store")
        self.add_stand_in("vm-list", "vm_list")
        targets = self.config.targets
        for name, target in targets.items():
            self._add_stand_in_target(name, target)
        self.wait_ready()
        self._write_addresses({name: self.address() for name in targets})
        self.apply()
        self._add_link()
        for name, target in self.config.targets.items():
            self._add_agent(name, target)
        for place in self.places:
            self._add_router(place)
        self.wait_ready()
        self.wait_in_effect()

    def _load(self) -> FleetConfig:
        text_by_name = {
            path.name: path.read_text("utf-8") for path in self.folder.glob("*.yaml")
        }
        merged = merge_files(text_by_name)
        if merged.is_err():
            faults = "\n".join(str(error) for error in merged.unwrap_err())
            raise FleetError(str(self.folder), faults)
        return merged.unwrap()

    def _domain(self, region: str, number: int) -> str:
        """Return the failure domain of a region's router, in turn."""
        names = [
            name
            for name, domain in self.config.failure_domains.items()
            if domain.region == region
        ]
        return names[number % len(names)]

    def _write_addresses(self, address_by_target: Mapping[str, str]) -> None:
        """Override the agents' addresses of the folder with free ones."""
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
        region = self._region(target)
        settings = {
            "target": name,
            "vm": target.vm,
            "kind": target.kind.value,
            "region": region,
            "failure_domain": target.failure_domain,
            "listen": str(target.agent),
            "target_address": self[f"{name}-stand-in"].address,
            "store_address": self._seen_from(region, self.store.address),
            "vm_list_address": self["vm-list"].address,
        }
        if target.kind is RouteKind.MODEL:
            settings["models"] = target.models
            slots = self._engine_options.get("slots", ENGINE_SLOTS)
            settings["limits"] = {"slots": slots}
        self.add_product(
            f"{name}-agent",
            "agent",
            settings,
            address=str(target.agent),
            is_ready=is_listening,
        )

    def _add_router(self, place: RouterPlace) -> None:
        def seen(address: str) -> str:
            return self._seen_from(place.region, address)

        agents = {name: str(each.agent) for name, each in self.config.targets.items()}
        settings = {
            "router": place.name,
            "region": place.region,
            "failure_domain": place.failure_domain,
            "listen": place.listen,
            "operator_listen": place.operator_listen,
            "peer_listen": place.peer_listen,
            "store_address": seen(self.store.address),
            "store_region": self.regions[0],
            "peers": [
                seen(other.peer_listen) for other in self.places if other is not place
            ],
            "agent_address_by_target": {
                name: seen(agent) for name, agent in agents.items()
            },
            "vm_list_address": self["vm-list"].address,
            "limits": self._router_limits,
        }
        self.add_product(
            place.name, "router", settings, address=place.listen, is_ready=is_healthy
        )

    def _add_link(self) -> None:
        """Start the relay that carries what crosses between regions."""
        if self._link is None:
            return
        self._region_by_address = {
            self.store.address: self.regions[0],
            **{place.peer_listen: place.region for place in self.places},
            **{str(each.agent): self._region(each) for each in self._targets},
        }
        self._link_by_address = {far: self.address() for far in self._region_by_address}
        forwards = [f"{near}={far}" for far, near in self._link_by_address.items()]
        self.add_stand_in("link", "link_relay", forward=forwards, **self._link)
        self["link"].wait_ready()

    def _seen_from(self, region: str, address: str) -> str:
        """Return the address under which a region reaches a process."""
        if self._region_by_address.get(address) == region:
            return address
        return self._link_by_address.get(address, address)

    @property
    def _targets(self) -> list[Target]:
        return list(self.config.targets.values())

    def _region(self, target: Target) -> str:
        return self.config.failure_domains[target.failure_domain].region

    def _find_fault(self, place: RouterPlace) -> str:
        try:
            status = call_json(place.operator_listen, "GET", "/v1/status")
        except FleetError as error:
            return str(error)
        if status["revision"] < self.revision:
            return f"has revision {status['revision']}, not {self.revision}"
        ready = {one["target"] for one in status["targets"] if one["ready"]}
        missing = self.config.targets.keys() - ready
        return f"doesn't know as ready: {', '.join(sorted(missing))}" if missing else ""
