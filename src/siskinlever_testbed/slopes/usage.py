"""Resource usage of processes, from counters of the kernel and of the hosts."""

from __future__ import annotations

import os
import re
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from ..fleet import OPERATOR_KEY, Fleet
from ..processes import Process

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STORE_CALLS = "siskinlever_store_calls_total"


@dataclass(frozen=True, slots=True)
class Cost:
    """One measured cost.

    Parameters
    ----------
    name : str
    value : float
        Cost in `unit`.
    unit : str
    how : str
        What was counted, and over which requests, hosts or time.
    """

    name: str
    value: float
    unit: str
    how: str


@dataclass(slots=True)
class ResourceUsage:
    """CPU time, and bytes moved through sockets and files, in a `with` block."""

    cpu_s: float = 0.0
    moved_bytes: int = 0


def host_processes(fleet: Fleet) -> list[Process]:
    """Return the processes of a fleet's hosts."""
    return [fleet.process_by_name[name] for name in fleet.endpoints_by_host]


def cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def moved_bytes(pid: int) -> int:
    """Return the bytes of all read and write system calls, including sockets."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    value_by_name = dict(line.split(": ") for line in lines)
    return int(value_by_name["rchar"]) + int(value_by_name["wchar"])


@contextmanager
def measure_usage(processes: list[Process]) -> Iterator[ResourceUsage]:
    """Measure the total usage of processes for the duration of a `with` block.

    The yielded object is filled in on exit.
    """
    total = ResourceUsage()
    cpu = {p.pid: cpu_s(p.pid) for p in processes}
    moved = {p.pid: moved_bytes(p.pid) for p in processes}
    yield total
    total.cpu_s = sum(cpu_s(pid) - before for pid, before in cpu.items())
    total.moved_bytes = sum(moved_bytes(pid) - before for pid, before in moved.items())


async def count_store_calls(fleet: Fleet) -> dict[str, float]:
    """Return the number of key-value service calls by all hosts, by kind."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    calls = {"read": 0.0, "write": 0.0}
    for address in fleet.operators:
        url = f"http://{address}/metrics"
        async with fleet.session.get(url, headers=headers) as response:
            text = await response.text()
        for kind, count in re.findall(STORE_CALLS + r'\{kind="(\w+)"\} (\S+)', text):
            calls[kind] += float(count)
    return calls
