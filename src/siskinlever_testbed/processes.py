"""Starts, freezes and stops server processes on loopback."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

READY_TIMEOUT_S = 20.0
END_TIMEOUT_S = 5.0
POLL_S = 0.05
PORTS_PER_BLOCK = 100
BLOCK_STARTS = range(12_000, 32_000, PORTS_PER_BLOCK)


class Process:
    """A child process that serves on an address.

    Parameters
    ----------
    name : str
    command : list of str
    log : Path
        Receives the standard output and error of the process.
    address : str
        Address at which the process accepts connections once it is ready.
    variables : dict, default=None
        Environment variables in addition to the inherited ones.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        log: Path,
        address: str,
        variables: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self._command = command
        self._log = log
        self._variables = variables or {}
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        return self._process.poll() if self._process else None

    def start(self) -> None:
        """Start the process and append its output to the log."""
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ | self._variables,
            )

    async def ready(self) -> None:
        """Wait until the process accepts connections.

        Raises
        ------
        RuntimeError
            If the process has ended.
        TimeoutError
            If it does not accept connections within `READY_TIMEOUT_S` seconds.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not _accepts_connections(self.address):
                if self.returncode is not None:
                    raise RuntimeError(f"{self.name} ended: see {self._log}")
                await asyncio.sleep(POLL_S)

    async def ended(self, timeout_s: float) -> int:
        """Wait until the process has ended; return its exit code.

        Raises `TimeoutError` if it has not ended after `timeout_s` seconds.
        """
        async with asyncio.timeout(timeout_s):
            while self.returncode is None:
                await asyncio.sleep(POLL_S)
        return self.returncode

    def kill(self) -> None:
        """Kill the process with SIGKILL, and wait up to `END_TIMEOUT_S` seconds."""
        self._signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(END_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        self._signal(signal.SIGCONT)

    def leave(self) -> None:
        """Request an orderly shutdown with SIGTERM."""
        self._signal(signal.SIGTERM)

    def end(self) -> None:
        """Kill the process if it runs or is frozen."""
        if self.returncode is None and self._process is not None:
            self.thaw()
            self.kill()

    def _signal(self, number: signal.Signals) -> None:
        if self.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.pid, number)


@contextmanager
def owned_processes() -> Iterator[dict[str, Process]]:
    """Yield an empty dict, and kill all processes in it at the end of the block.

    The caller adds processes by name.
    """
    process_by_name: dict[str, Process] = {}
    try:
        yield process_by_name
    finally:
        for process in process_by_name.values():
            process.end()


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that are currently free.

    Ports are taken from blocks that this process reserves, so that fleets started
    in parallel do not collide. They lie below the range from which the system
    assigns ports to outgoing connections.
    """
    return [f"127.0.0.1:{next(_ports)}" for _ in range(count)]


def _reserved_ports() -> Iterator[int]:
    while True:
        first = random.choice(BLOCK_STARTS)
        # Bound for the lifetime of this process, which reserves the block.
        block_socket = socket.socket()
        try:
            block_socket.bind(("127.0.0.1", first))
        except OSError:
            block_socket.close()
            continue
        _block_sockets.append(block_socket)
        yield from filter(_is_free, range(first + 1, first + PORTS_PER_BLOCK))


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_block_sockets: list[socket.socket] = []
_ports = _reserved_ports()


def standin_command(kind: str, *arguments: str) -> list[str]:
    """Return the command that runs a stand-in."""
    return [sys.executable, "-m", "siskinlever_testbed.standins", kind, *arguments]


def daemon_command(settings: Path) -> list[str]:
    """Return the command that runs a host with a settings file."""
    module = "siskinlever._internal.cli.daemon"
    return [sys.executable, "-m", module, f"--settings={settings}"]


def _accepts_connections(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        sock.settimeout(0.2)
        return sock.connect_ex((host, int(port))) == 0
