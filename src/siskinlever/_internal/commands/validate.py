"""Checks a declaration without sending it.

Usage:
  siskinlever validate <file>

Exit codes:
  0  the declaration is valid
  2  the file cannot be read
  3  the declaration has faults; all of them are shown
"""

from __future__ import annotations

from typing import Any

from ..cli.exit_codes import ExitCode
from .base import CommandContext, print_json, read_declaration


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    path = arguments["<file>"]
    read_declaration(path)
    if context.json:
        print_json({"file": path, "valid": True})
    else:
        print(f"{path}: valid")
    return ExitCode.OK
