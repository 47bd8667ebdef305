"""Checks a declaration without sending it.

Usage:
  siskinlever validate <file>
"""

from __future__ import annotations

from typing import Any

from ..cli.exit_codes import ExitCode
from .base import CommandContext, read_declaration


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    read_declaration(arguments["<file>"])
    print(f"{arguments['<file>']}: valid")
    return ExitCode.OK
