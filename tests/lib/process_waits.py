"""Measures how long processes wait for a processor, as evidence for failed tests.

On a machine with more work than cores, a process of a fleet may not run for a second.
It then looks to the others as if it were frozen, and answers as after a freeze. The
kernel counts the time that each process was ready to run and did not.
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

SAMPLE_PERIOD_S = 0.1
# The shortest time limit between hosts is 0.15 s, so shorter waits explain no failure.
MIN_WAIT_S = 0.1
MAX_WAITS = 10_000
NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class Wait:
    """Time for which a process was ready to run and did not.

    Parameters
    ----------
    process : str
        Name of the host or stand-in, or its process id.
    ended_at : float
        Wall-clock time in seconds, at most one sample late.
    seconds : float
        Waiting time since the sample before.
    """

    process: str
    ended_at: float
    seconds: float


class ProcessWaits:
    """Samples this process and its children until stopped."""

    def __init__(self) -> None:
        self._waits: list[Wait] = []
        self._waited_ns_by_pid: dict[int, int] = {}
        self._stopped = threading.Event()

    def run(self) -> None:
        """Sample until `stop` is called."""
        while not self._stopped.wait(SAMPLE_PERIOD_S):
            self._sample()

    def stop(self) -> None:
        """End `run`."""
        self._stopped.set()

    def between(self, began_at: float, ended_at: float) -> list[Wait]:
        """Return the waits that overlap a span of the wall clock, in order."""
        return [
            wait
            for wait in list(self._waits)
            if wait.ended_at >= began_at and wait.ended_at - wait.seconds <= ended_at
        ]

    def _sample(self) -> None:
        waited_ns_by_pid = {}
        for pid in (os.getpid(), *_children()):
            with suppress(OSError, IndexError, ValueError):
                waited_ns_by_pid[pid] = _waited_ns(pid)
        now = time.time()
        for pid, waited_ns in waited_ns_by_pid.items():
            seconds = (
                waited_ns - self._waited_ns_by_pid.get(pid, waited_ns)
            ) / NS_PER_S
            if seconds >= MIN_WAIT_S:
                self._waits.append(Wait(_name(pid), now, round(seconds, 3)))
        del self._waits[:-MAX_WAITS]
        self._waited_ns_by_pid = waited_ns_by_pid


@contextmanager
def measured_waits() -> Iterator[ProcessWaits]:
    """Measure waits in a thread for the duration of the block."""
    waits = ProcessWaits()
    thread = threading.Thread(target=waits.run, name="process-waits", daemon=True)
    thread.start()
    try:
        yield waits
    finally:
        waits.stop()
        thread.join()


def _waited_ns(pid: int) -> int:
    # The second figure of the main thread, which runs the event loop.
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])


def _children() -> list[int]:
    found = []
    for task in Path("/proc/self/task").iterdir():
        with suppress(OSError):
            found += map(int, (task / "children").read_text().split())
    return found


def _name(pid: int) -> str:
    """Return the name in a command line such as ``--name=p-1`` or ``host-1.json``."""
    try:
        command = Path(f"/proc/{pid}/cmdline").read_bytes().decode().split("\0")
    except OSError:
        return str(pid)
    if pid == os.getpid():
        return "test"
    for option in command:
        name, _, value = option.partition("=")
        if name in ("--name", "--settings"):
            return Path(value).stem
    return next(
        (word for word in command if word in ("key-value", "host-list")), str(pid)
    )
