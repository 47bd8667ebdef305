"""Runs a fleet of hosts and the stand-ins that they use on loopback."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from siskinlever._internal.utils.digests import key_digest

from .plans import EnginePlan, FleetPlan
from .processes import (
    Process,
    daemon_command,
    free_addresses,
    owned_processes,
    standin_command,
)
from .standins.record import read_record

OPERATOR_KEY = "operator-key-of-the-testbed"
PEER_KEY = "peer-key-of-the-testbed"
KEY_VALUE = "key-value"
HOST_LIST = "host-list"


@dataclass(slots=True)
class HostEndpoints:
    """Name, availability zone and listening addresses of one host."""

    name: str
    zone: str
    callers: str
    operators: str
    peers: str


@dataclass(slots=True)
class Fleet:
    """A running fleet.

    Parameters
    ----------
    process_by_name : dict
        Processes of hosts, engines, services and platform stand-ins.
    runners_by_pool : dict
        Declared runners by the name of their pool or service.
    """

    plan: FleetPlan
    directory: Path
    session: aiohttp.ClientSession
    process_by_name: dict[str, Process]
    endpoints_by_host: dict[str, HostEndpoints] = field(default_factory=dict)
    runners_by_pool: dict[str, list[dict[str, Any]]] = field(default_factory=dict)

    @property
    def operators(self) -> list[str]:
        return [place.operators for place in self.endpoints_by_host.values()]

    def record(self, name: str) -> list[dict[str, Any]]:
        """Return the record entries of a stand-in."""
        return read_record(self._record_path(name))

    def records(self, pool: str) -> list[dict[str, Any]]:
        """Return the record entries of all stand-ins of a pool or service.

        The name of the stand-in is added to each entry as `runner`.
        """
        return [
            entry | {"runner": runner["name"]}
            for runner in self.runners_by_pool[pool]
            for entry in self.record(runner["name"])
        ]

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Set the faults that a stand-in injects; without any, clear them."""
        url = f"http://{self.process_by_name[name].address}/faults"
        async with self.session.put(url, json=faults) as response:
            response.raise_for_status()

    async def publish_host_list(self, leaving: set[str] | None = None) -> None:
        """Publish the host list with all hosts and runners.

        Those named in `leaving` get the state `leaving`.
        """
        body = [
            _host_list_entry(
                place.name,
                place.zone,
                place.peers,
                leaving,
                peer_address=place.peers,
                callers_address=place.callers,
            )
            for place in self.endpoints_by_host.values()
        ] + [
            _host_list_entry(runner["name"], runner["zone"], runner["address"], leaving)
            for runners in self.runners_by_pool.values()
            for runner in runners
        ]
        url = f"http://{self.process_by_name[HOST_LIST].address}/hosts"
        async with self.session.put(url, json=body) as response:
            response.raise_for_status()

    def declaration(self) -> dict[str, Any]:
        """Return the declaration that matches the plan."""
        return {
            "version": 1,
            "engine_pools": [
                {
                    "name": plan.pool,
                    "kv_bytes_per_token": plan.kv_bytes,
                    "runners": self.runners_by_pool[plan.pool],
                }
                for plan in self.plan.engines
            ],
            "models": list(self.plan.models),
            "services": [
                {
                    "name": plan.name,
                    "idempotent": plan.idempotent,
                    "runners": self.runners_by_pool[plan.name],
                }
                for plan in self.plan.services
            ],
            "workspaces": [
                {
                    "name": name,
                    "key_digests": [key_digest(caller_key(name))],
                    "limits": {
                        "requests_per_s": 10000.0,
                        "burst": 10000,
                        "concurrent": 10000,
                    },
                }
                for name in self.plan.workspaces
            ],
        }

    async def apply(self, declaration: dict[str, Any] | None = None) -> int:
        """Apply a declaration with the CLI and return the exit code."""
        path = self.write_declaration(declaration)
        command = self.cli_command("apply", str(path))
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.DEVNULL
        )
        return await process.wait()

    def write_declaration(
        self, declaration: dict[str, Any] | None = None, name: str = "declaration"
    ) -> Path:
        """Write a declaration to a file and return its path."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(declaration or self.declaration(), indent=2))
        return path

    def cli_command(self, *arguments: str, hosts: list[str] | None = None) -> list[str]:
        """Return a CLI command line with the operator's key."""
        return [
            sys.executable,
            "-m",
            "siskinlever",
            f"--hosts={','.join(hosts or self.operators)}",
            f"--key={OPERATOR_KEY}",
            *arguments,
        ]

    def start_host(self, place: HostEndpoints) -> Process:
        """Start a host with newly written settings.

        A process of the host that still runs is not stopped.
        """
        path = self.directory / f"{place.name}.json"
        path.write_text(json.dumps(self._settings(place), indent=2))
        process = Process(
            place.name, daemon_command(path), self._log_path(place.name), place.callers
        )
        self.process_by_name[place.name] = process
        process.start()
        return process

    def start_standin(
        self, kind: str, name: str, address: str, *arguments: str
    ) -> Process:
        """Start a stand-in process, without waiting until it accepts connections."""
        command = standin_command(kind, f"--address={address}", *arguments)
        process = Process(name, command, self._log_path(name), address)
        self.process_by_name[name] = process
        process.start()
        return process

    def start_engines(self, plan: EnginePlan) -> None:
        """Start the engines of a pool, prefill engines first."""
        roles = ["prefill"] * plan.prefill + ["decode"] * plan.decode
        runners = []
        for number, (role, address) in enumerate(
            zip(roles, free_addresses(len(roles)), strict=True)
        ):
            name = f"{plan.pool}-{number + 1}"
            self.start_standin(
                "engine",
                name,
                address,
                f"--name={name}",
                f"--role={role}",
                f"--slots={plan.slots}",
                f"--prefill-rate={plan.prefill_rate}",
                f"--token-time={plan.token_time_s}",
                f"--retention={plan.retention_s}",
                f"--kv-bytes={plan.kv_bytes}",
                f"--link-rate={plan.link_rate}",
                f"--load-lag={plan.load_lag_s}",
                f"--record={self._record_path(name)}",
                *(["--ignore-fencing"] if plan.ignore_fencing else []),
            )
            runners.append(
                {
                    "name": name,
                    "address": address,
                    "zone": self._zone(number),
                    "role": role,
                    "slots": plan.slots,
                    "prefill_tokens_per_s": plan.prefill_rate,
                    "transfer_bytes_per_s": plan.link_rate,
                    "checks_fencing": not plan.ignore_fencing,
                }
            )
        self.runners_by_pool[plan.pool] = runners

    def start_services(self) -> None:
        """Start the runners of all plain services of the plan."""
        for plan in self.plan.services:
            runners = []
            for number, address in enumerate(free_addresses(plan.runners)):
                name = f"{plan.name}-{number + 1}"
                self.start_standin(
                    "service",
                    name,
                    address,
                    f"--name={name}",
                    f"--record={self._record_path(name)}",
                    f"--delay={plan.delay_s}",
                )
                runners.append(
                    {"name": name, "address": address, "zone": self._zone(number)}
                )
            self.runners_by_pool[plan.name] = runners

    def start_shared_services(self) -> None:
        """Start the key-value service and the host list."""
        key_value, host_list = free_addresses(2)
        self.start_standin(
            "key-value",
            KEY_VALUE,
            key_value,
            f"--record={self._record_path(KEY_VALUE)}",
        )
        self.start_standin(
            "host-list", HOST_LIST, host_list, f"--lag={self.plan.host_list_lag_s}"
        )

    def add_hosts(self) -> None:
        """Assign addresses to all hosts of the plan."""
        for _ in range(self.plan.hosts):
            self.add_host()

    def add_host(self) -> HostEndpoints:
        """Assign addresses to one more host, without starting it."""
        number = len(self.endpoints_by_host)
        callers, operators, peers = free_addresses(3)
        name = f"host-{number + 1}"
        place = HostEndpoints(name, self._zone(number), callers, operators, peers)
        self.endpoints_by_host[name] = place
        return place

    async def status(self, host: str) -> dict[str, Any] | None:
        """Return the status of a host, or None if the call fails or exceeds 1 s."""
        url = f"http://{self.endpoints_by_host[host].operators}/v1/status"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.session.get(
                url, headers=headers, timeout=timeout
            ) as response:
                answer: dict[str, Any] = await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        return answer

    async def command(
        self, *arguments: str, hosts: list[str] | None = None
    ) -> tuple[int, str]:
        """Run the CLI and return its exit code and its combined output."""
        process = await asyncio.create_subprocess_exec(
            *self.cli_command(*arguments, hosts=hosts),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode()

    def _settings(self, place: HostEndpoints) -> dict[str, Any]:
        key_value = self.process_by_name[KEY_VALUE].address
        host_list = self.process_by_name[HOST_LIST].address
        return {
            "host": place.name,
            "zone": place.zone,
            "callers": {"address": place.callers},
            "operators": {
                "address": place.operators,
                "key_digests": [key_digest(OPERATOR_KEY)],
            },
            "peers": {"address": place.peers, "key": PEER_KEY},
            "platform": {
                "key_value": f"http://{key_value}",
                "host_list": f"http://{host_list}/hosts",
            },
            "policy": self.plan.policy,
            **self.plan.extra_settings,
            **self.plan.settings_by_host.get(place.name, {}),
        }

    def _zone(self, number: int) -> str:
        return self.plan.zones[number % len(self.plan.zones)]

    def _log_path(self, name: str) -> Path:
        return self.directory / f"{name}.log"

    def _record_path(self, name: str) -> Path:
        return self.directory / f"{name}.record"


def _host_list_entry(
    name: str, zone: str, target: str, leaving: set[str] | None, **labels: str
) -> dict[str, Any]:
    state = "leaving" if name in (leaving or ()) else "live"
    labels = {"host": name, "zone": zone, "state": state, **labels}
    return {"targets": [target], "labels": labels}


def caller_key(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f"caller-key-of-{workspace}"


@asynccontextmanager
async def running_fleet(plan: FleetPlan, directory: Path) -> AsyncIterator[Fleet]:
    """Run a fleet for the duration of a `with` block, and kill all its processes."""
    directory.mkdir(parents=True, exist_ok=True)
    with owned_processes() as by_name:
        async with aiohttp.ClientSession() as session:
            fleet = Fleet(plan, directory, session, by_name)
            fleet.start_shared_services()
            for engine_plan in plan.engines:
                fleet.start_engines(engine_plan)
            fleet.start_services()
            for process in by_name.values():
                await process.ready()
            fleet.add_hosts()
            await fleet.publish_host_list()
            hosts = [
                fleet.start_host(place) for place in fleet.endpoints_by_host.values()
            ]
            for process in hosts:
                await process.ready()
            yield fleet
