"""Sources of earlier versions of this project, from its own history."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


class HistoryMissingError(Exception):
    """Raised when the history of the project doesn't contain a commit."""


def extract_sources(commit: str, directory: Path) -> Path:
    """Extract the sources of a commit; return the folder that holds its packages.

    Raises
    ------
    HistoryMissingError
        The project isn't a git repository, or lacks the commit.
    """
    command = ["git", "-C", str(ROOT), "archive", "--format=tar", commit, "src"]
    try:
        archive = subprocess.run(command, capture_output=True, check=True)
    except (OSError, subprocess.CalledProcessError) as error:
        raise HistoryMissingError(f"no sources of {commit}: {error!r}") from error
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(directory, filter="data")
    return directory / "src"
