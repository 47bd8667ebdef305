"""Shows the declaration in force, and the generation at each host.

Usage:
  siskinlever show

Prints the newest declaration in force at the hosts given, as JSON that
`siskinlever apply` accepts; with --json, the configuration at each host.

Exit codes:
  0  shown
  5  a host was unreachable or refused the call
"""

from __future__ import annotations

import sys
from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import SiskinleverError
from .base import CommandContext, admin_client, print_json


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    async with admin_client(context) as client:
        results = await client.get_all("/v1/configuration")
    if context.json:
        print_json({address: _as_json(result) for address, result in results.items()})
    else:
        _print_newest(results)
    failed = any(isinstance(result, SiskinleverError) for result in results.values())
    return ExitCode.UNREACHABLE if failed else ExitCode.OK


def _as_json(result: dict[str, Any] | SiskinleverError) -> dict[str, Any]:
    return {"error": result.message} if isinstance(result, SiskinleverError) else result


def _print_newest(results: dict[str, dict[str, Any] | SiskinleverError]) -> None:
    """Print the newest declaration, and the generation of each host to stderr."""
    configurations = [s for s in results.values() if isinstance(s, dict)]
    for address, value in results.items():
        line = (
            f"unreachable: {value.message}"
            if isinstance(value, SiskinleverError)
            else f"generation {value['generation']} {value['apply_id']}"
        )
        print(f"{address}  {line}", file=sys.stderr)
    if configurations:
        print_json(
            max(configurations, key=lambda s: int(s["generation"]))["declaration"]
        )
