"""The append-only record of what a stand-in really did."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Appends one JSON line for each fact; survives the process.

    Parameters
    ----------
    path : str
        The file, or "" to keep no record.
    """

    def __init__(self, path: str) -> None:
        # Open for the life of the process; each line is written at once.
        self._file = Path(path).open("a", buffering=1) if path else None  # noqa: SIM115

    def add(self, fact: str, **fields: Any) -> None:
        """Append one fact."""
        if self._file is not None:
            line = {"at": time.time(), "fact": fact, **fields}
            self._file.write(json.dumps(line) + "\n")


def read_record(path: Path) -> list[dict[str, Any]]:
    """Read a record; a half-written last line is left out."""
    if not path.exists():
        return []
    facts = []
    for line in path.read_text().splitlines():
        try:
            facts.append(json.loads(line))
        except ValueError:
            continue
    return facts
