"""What a failed test adds to its report: waits for a processor and new log lines."""

from __future__ import annotations

import time
from pathlib import Path

from .process_waits import ProcessWaits

MAX_WAITS_SHOWN = 60
# Lines of each log, the last ones.
MAX_LINES_PER_LOG = 40


class FailureEvidence:
    """Describes what happened on the machine and in the fleet during one test.

    Parameters
    ----------
    waits : ProcessWaits
    directory : Path
        Contains the logs of the tests' processes.
    """

    def __init__(self, waits: ProcessWaits, directory: Path) -> None:
        self._waits = waits
        self._directory = directory
        self._started_at = 0.0
        self._size_by_log: dict[Path, int] = {}

    def start(self) -> None:
        """Begin a test."""
        self._started_at = time.time()
        self._size_by_log = {log: log.stat().st_size for log in self._logs()}

    def sections(self) -> list[tuple[str, str]]:
        """Return titles and texts for the report of the test."""
        found = self._waits.between(self._started_at, time.time())
        longest = sorted(found, key=lambda wait: -wait.seconds)[:MAX_WAITS_SHOWN]
        waits = [
            f"{clock_time(wait.ended_at)} {wait.process} {wait.seconds:.2f} s"
            for wait in sorted(longest, key=lambda wait: wait.ended_at)
        ]
        title = f"processes that waited for a processor, {len(found)} times"
        return [(title, "\n".join(waits)), ("log lines of the test", self._new_lines())]

    def _new_lines(self) -> str:
        text = []
        for log in self._logs():
            with log.open("rb") as file:
                file.seek(self._size_by_log.get(log, 0))
                lines = file.read().decode(errors="replace").splitlines()
            text += [f"{log}: {len(lines)} lines"] if lines else []
            text += lines[-MAX_LINES_PER_LOG:]
        return "\n".join(text)

    def _logs(self) -> list[Path]:
        if not self._directory.exists():
            return []
        # A link names the newest directory of each test.
        return sorted({log.resolve() for log in self._directory.glob("*/**/*.log")})


def clock_time(at: float) -> str:
    """Return a wall-clock time in seconds as the logs write it."""
    return time.strftime("%H:%M:%S", time.localtime(at)) + f"{at % 1:.3f}"[1:]
