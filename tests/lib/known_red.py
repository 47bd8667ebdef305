"""Ids of the tests that KNOWN-RED.txt lists as failing because of a known fault.

Each entry of the file starts with a line ``test: <node id>``.
"""

from __future__ import annotations

from pathlib import Path

KNOWN_RED_FILE = Path(__file__).parents[2] / "KNOWN-RED.txt"
ENTRY_PREFIX = "test:"


def known_red_ids() -> set[str]:
    """Return the listed pytest node ids; empty if the file does not exist."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    }
