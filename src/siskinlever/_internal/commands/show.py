"""Shows the declaration in force at each host.

Usage:
  siskinlever show
"""

from __future__ import annotations

from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import SiskinleverError
from .base import CommandContext, administration, print_json


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    async with administration(context) as hosts:
        found = await hosts.all("/v1/configuration")
    print_json(
        {
            address: {"error": shown.message}
            if isinstance(shown, SiskinleverError)
            else shown
            for address, shown in found.items()
        }
    )
    return ExitCode.OK
