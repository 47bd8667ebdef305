"""Signals during the start of a process."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from dataclasses import replace
from pathlib import Path

import pytest

from siskinlever_testbed.fleet import running_fleet
from siskinlever_testbed.plans import SMALL_PLAN
from siskinlever_testbed.platform_fleet import platform_fleet
from siskinlever_testbed.processes import Process

pytestmark = pytest.mark.system

NETWORK = 11
HOSTS = 4
MOMENTS = 40
SPREAD_S = 1.0
LIMIT_S = 10.0
# More than the interpreter takes to start on a busy machine.
INTERPRETER_LIMIT_S = 3.0


async def wait_handled(process: Process, number: signal.Signals) -> float:
    """Wait until a process handles a signal; return the seconds since its start.

    Before that, the interpreter has not run any of the project's code.
    """
    began_at = time.monotonic()
    while time.monotonic() < began_at + INTERPRETER_LIMIT_S:
        status = Path(f"/proc/{process.pid}/status").read_text()
        caught = next(line for line in status.splitlines() if line[:6] == "SigCgt")
        if int(caught.split()[1], 16) >> (number - 1) & 1:
            return time.monotonic() - began_at
        await asyncio.sleep(0)
    raise AssertionError("the process doesn't handle the signal")


async def start_and_signal(process: Process, moment: int, number) -> float:
    """Start a process and signal it at one of the moments; as `wait_handled`."""
    process.start()
    waited_s = await wait_handled(process, number)
    await asyncio.sleep(moment * SPREAD_S / MOMENTS)
    os.kill(process.pid, number)
    return waited_s


def reloads(log: Path) -> int:
    """Return how often the host has read its settings again."""
    return log.read_text().count('"process.reload"')


def start_again(fleet, host: int) -> Process:
    """Replace the process of a host by one that isn't started yet."""
    fleet.hosts[host].kill()
    fleet.hosts[host] = fleet.host_process(host)
    return fleet.hosts[host]


async def on_each_host(signal_host) -> None:
    """Run a function of a host's number and moments for all hosts at once."""
    await asyncio.gather(
        *(signal_host(host, range(host, MOMENTS, HOSTS)) for host in range(HOSTS))
    )


async def test_reload_while_the_platform_s_host_starts_is_served_when_it_is_up(
    tmp_path,
):
    waits_s = []
    async with platform_fleet(tmp_path, HOSTS, network=NETWORK) as fleet:

        async def reload_host(host: int, moments: range) -> None:
            log = tmp_path / f"edge-{host}.log"
            for moment in moments:
                process = start_again(fleet, host)
                before = reloads(log)
                waits_s.append(await start_and_signal(process, moment, signal.SIGHUP))
                await process.ready()
                async with asyncio.timeout(LIMIT_S):
                    while reloads(log) == before:
                        await asyncio.sleep(0.02)
                assert process.returncode is None

        await on_each_host(reload_host)
    print(f"until the first handler: {sorted(waits_s)[MOMENTS // 2] * 1000:.0f} ms")


async def test_stop_while_the_platform_s_host_starts_ends_it_as_any_stop(tmp_path):
    async with platform_fleet(tmp_path, HOSTS, network=NETWORK) as fleet:

        async def stop_host(host: int, moments: range) -> None:
            for moment in moments:
                process = start_again(fleet, host)
                await start_and_signal(process, moment, signal.SIGTERM)
                assert await process.ended(LIMIT_S) == 0

        await on_each_host(stop_host)


async def test_reload_while_a_standalone_host_starts_doesn_t_end_it(tmp_path):
    plan = replace(SMALL_PLAN, hosts=1)
    async with running_fleet(plan, tmp_path / "fleet") as fleet:
        process = fleet.process_by_name["host-1"]
        for moment in range(0, MOMENTS, 4):
            process.kill()
            await start_and_signal(process, moment, signal.SIGHUP)
            await process.ready()
            await asyncio.sleep(0.1)
            assert process.returncode is None
