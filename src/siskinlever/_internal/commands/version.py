"""Shows the version.

Usage:
  siskinlever version
"""

from __future__ import annotations

from typing import Any

from ... import __version__
from ..cli.exit_codes import ExitCode
from .base import CommandContext, print_json


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    if context.json:
        print_json({"version": __version__})
    else:
        print(__version__)
    return ExitCode.OK
