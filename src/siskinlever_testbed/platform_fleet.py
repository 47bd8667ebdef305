"""Fleet of hosts in separate processes, with stand-ins for the users' platform."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .processes import Process, free_addresses
from .standins.platform.runner import RunnerStandIn, running_runner
from .standins.platform.store import MetadataStoreStandIn, running_store

HOST = "front.example"
PLAIN, ENGINES = "plain", "engines"
# Ports of a host's interfaces. Each host has a separate loopback address.
PORTS = {"frontend": 8144, "readiness": 8140, "registry": 8143, "control_plane": 8146}
REGISTRATION_PERIOD_S = 0.5
# Third part of the addresses of a fleet's hosts. Fleets of different tests need
# different ones, since all hosts listen on the same ports.
NETWORK = 8
DAEMON = (sys.executable, "-m", "siskinlever._internal.cli.daemon")
NODE_FILE = """
node_name = "edge-{number}"
ip = "{ip}"
zone = "zone-a"
region = "region"
seed_nodes = ["{seed}"]
bootstrap = true
[zones]
zone-a = "region"
[listen]
{listen}
[limits]
memory_mb = 150
max_fds = 4100
[bounds]
grace_period_s = 8
lease_ms = 1000
{bounds}
[platform]
address = "{store}"
form = "kv"
"""


def configuration(version: int = 1, **extra: Any) -> dict[str, Any]:
    """Return an operator's configuration with routes of every type."""

    def route(name: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "type": kind,
            "timeout_ms": 3000,
            "target_latency_ms": 900,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        } | overrides

    return {
        "version": version,
        "routes": [
            route("safe", "idempotent", PLAIN),
            route("once", "non_idempotent", PLAIN, max_attempts=1),
            route("short", "non_idempotent", PLAIN, timeout_ms=300, max_attempts=1),
            route("stream", "streaming", ENGINES, max_attempts=1, timeout_ms=14000),
            route("resume", "streaming", ENGINES, resumable=True, timeout_ms=14000),
        ],
        "services": [
            {"name": PLAIN, "health_path": "/healthz", "max_connections": 100},
            {
                "name": ENGINES,
                "max_connections": 300,
                "engine": {
                    "slots": 16,
                    "kv_capacity": 40_000,
                    "kv_ttl_s": 0.5,
                    "stage_switch_s": 0.3,
                    "hold_ms": 2000,
                },
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 2000,
        },
    } | extra


@dataclass
class Answer:
    """What a caller received; `complete` says whether its HTTP framing was complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


async def send_raw(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> Answer:
    """Send a request and read the answer without an HTTP library."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer, which may be truncated.

    The status is 0 if the connection ends before the headers are complete.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, {}, b"", complete=False)
    first, *rest = head.split("\r\n")[:-2]
    headers = {n.lower(): v.strip() for n, _, v in (x.partition(":") for x in rest)}
    status = int(first.split(" ")[1])
    body = bytearray()
    try:
        if "content-length" in headers:
            body += await reader.readexactly(int(headers["content-length"]))
            return Answer(status, headers, bytes(body), complete=True)
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                return Answer(status, headers, bytes(body), complete=True)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        if isinstance(error, asyncio.IncompleteReadError):
            body += error.partial
        return Answer(status, headers, bytes(body), complete=False)


def default_runners(ports: list[int]) -> list[RunnerStandIn]:
    """Return two plain runners, one prefill engine and two decode engines."""
    return [
        RunnerStandIn("p-1", PLAIN, ports[0]),
        RunnerStandIn("p-2", PLAIN, ports[1]),
        RunnerStandIn("e-1", ENGINES, ports[2], stage="prefill"),
        RunnerStandIn("e-2", ENGINES, ports[3], stage="decode"),
        RunnerStandIn("e-3", ENGINES, ports[4], stage="decode"),
    ]


def node_file(number: int, store: str, bounds: str = "", network: int = NETWORK) -> str:
    """Return the content of a host's node file, in the format of the platform."""
    ip = host_ip(number, network)
    listen = "\n".join(f'{name} = "{ip}:{port}"' for name, port in PORTS.items())
    seed = f"{host_ip(0, network)}:{PORTS['control_plane']}"
    return NODE_FILE.format(
        number=number, ip=ip, listen=listen, store=store, seed=seed, bounds=bounds
    )


def host_ip(number: int, network: int = NETWORK) -> str:
    """Return the loopback address of a host by its number, which starts at 0."""
    return f"127.0.{network}.{number + 1}"


@dataclass
class PlatformFleet:
    """Stand-ins in this process, and hosts in processes with logs in `directory`."""

    store: MetadataStoreStandIn
    runners: list[RunnerStandIn]
    hosts: list[Process]
    directory: Path
    # One port of the store for each host.
    store_ports: list[int] = field(default_factory=list)
    network: int = NETWORK

    async def register_runners(self) -> None:
        """Write the registrations of the runners into the store until cancelled."""
        while True:
            for runner in self.runners:
                self.store.put(f"servers/{runner.name}", runner.entry())
            await asyncio.sleep(REGISTRATION_PERIOD_S)

    def address(self, host: int, interface: str = "frontend") -> str:
        """Return the address of an interface of a host."""
        return f"{host_ip(host, self.network)}:{PORTS[interface]}"

    def host_process(self, number: int, source: Path | None = None) -> Process:
        """Return the process of a host, which isn't started.

        Parameters
        ----------
        number : int
        source : Path or None, default=None
            Folder with the sources of another build; None for those of this one.
        """
        variables = {"SISKINLEVER_NODE_FILE": str(self._node_path(number))}
        if source is not None:
            variables["PYTHONPATH"] = str(source)
        return Process(
            f"edge-{number}",
            [*DAEMON, "--platform"],
            self.directory / f"edge-{number}.log",
            self.address(number),
            variables,
        )

    def write_node_file(self, number: int, bounds: str) -> None:
        """Write the node file of a host."""
        store = f"127.0.0.1:{self.store_ports[number]}"
        content = node_file(number, store, bounds, self.network)
        self._node_path(number).write_text(content)

    def _node_path(self, number: int) -> Path:
        return self.directory / f"edge-{number}.toml"

    async def lookup(self, host: int) -> list[str]:
        """Return the addresses of the hosts that a host lists to callers."""
        path = f"/resolve?name={HOST}&region=region&zone=zone-a"
        address = self.address(host, "registry")
        answer = await send_raw(address, "GET", path, {"Host": HOST}, b"")
        return [str(found) for found in answer.json["addresses"]]

    async def is_ready(self, host: int) -> bool:
        """Return whether a host reports that it is ready and knows its peers."""
        address = self.address(host, "readiness")
        try:
            answer = await send_raw(address, "GET", "/readyz", {"Host": HOST}, b"")
        except OSError:
            return False
        return answer.status == 200

    def logs(self) -> str:
        """Return the logs of all hosts, joined."""
        return "".join(path.read_text() for path in self.directory.glob("*.log"))


def _end_all(processes: Iterable[Process]) -> None:
    for process in processes:
        process.end()


@asynccontextmanager
async def platform_fleet(
    directory: Path,
    count: int,
    bounds: str = "",
    network: int = NETWORK,
    source: Path | None = None,
) -> AsyncIterator[PlatformFleet]:
    """Run stand-ins and `count` hosts for the duration of a `with` block.

    The hosts accept connections when the block starts.

    Parameters
    ----------
    directory : Path
    count : int
    bounds : str, default=""
        Further lines of the section ``bounds`` of each node file.
    network : int, default=NETWORK
        Third part of the hosts' addresses.
    source : Path or None, default=None
        As in `PlatformFleet.host_process`, for all hosts.
    """
    addresses = free_addresses(count + 5)
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    store_ports, runner_ports = ports[:count], ports[count:]
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store(store_ports))
        runners = [
            await stack.enter_async_context(running_runner(runner))
            for runner in default_runners(runner_ports)
        ]
        hosts: list[Process] = []
        stack.callback(_end_all, hosts)
        fleet = PlatformFleet(store, runners, hosts, directory, store_ports, network)
        store.put("op/config", json.dumps(configuration()).encode())
        registration_task = asyncio.create_task(fleet.register_runners())
        stack.callback(registration_task.cancel)
        for number in range(count):
            fleet.write_node_file(number, bounds)
            hosts.append(fleet.host_process(number, source))
            hosts[number].start()
        for process in hosts:
            await process.ready()
        yield fleet
