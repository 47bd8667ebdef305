"""Append-only record of the actions of a stand-in."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Appends record entries to a file, as one JSON line each.

    Each line is written immediately, so that no entry is lost when the process is
    killed.

    Parameters
    ----------
    path : str
        The file, or "" to keep no record.
    """

    def __init__(self, path: str) -> None:
        # Stays open for the lifetime of the process. Line buffering writes each
        # line immediately.
        self._file = Path(path).open("a", buffering=1) if path else None  # noqa: SIM115

    def add(self, fact: str, **fields: Any) -> None:
        """Append an entry of the kind `fact` with the wall-clock time in seconds."""
        if self._file is not None:
            line = {"at": time.time(), "fact": fact, **fields}
            self._file.write(json.dumps(line) + "\n")


def read_record(path: Path) -> list[dict[str, Any]]:
    """Return the entries of a record.

    A line that is not valid JSON is skipped, such as a half-written last line.
    A missing file counts as empty.
    """
    if not path.exists():
        return []
    entries = []
    for line in path.read_text().splitlines():
        try:
            entries.append(json.loads(line))
        except ValueError:
            continue
    return entries
