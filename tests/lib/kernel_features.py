"""Reads from ``/proc`` which forbidden features of the kernel a process uses."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

FORBIDDEN = ("io_uring", "memfd", "/dev/shm", "SYSV")


def forbidden_uses(pid: int) -> list[str]:
    """Return the forbidden files and mappings of a process, and its children.

    Descriptors and threads that end while they are read are left out; a process that
    has ended raises `FileNotFoundError`.
    """
    process = Path("/proc") / str(pid)
    names = _read_each(process / "fd", lambda entry: os.readlink(entry))
    mappings = (process / "maps").read_text().splitlines()
    children = _read_each(
        process / "task", lambda entry: (entry / "children").read_text()
    )
    used = [
        name for name in names + mappings if any(part in name for part in FORBIDDEN)
    ]
    return used + [f"child {child}" for child in " ".join(children).split()]


def _read_each(directory: Path, read: Callable[[Path], str]) -> list[str]:
    found = []
    for entry in directory.iterdir():
        try:
            found.append(read(entry))
        except (FileNotFoundError, ProcessLookupError):
            if not directory.exists():
                raise
    return found
