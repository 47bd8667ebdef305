"""Shows the state of the hosts.

Usage:
  siskinlever status
"""

from __future__ import annotations

from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import SiskinleverError
from .base import CommandContext, administration, print_json


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    async with administration(context) as hosts:
        found = await hosts.all("/v1/status")
    if context.json:
        print_json({address: _plain(status) for address, status in found.items()})
    else:
        for address, status in found.items():
            print(_line(address, status))
    reached = all(not isinstance(s, SiskinleverError) for s in found.values())
    return ExitCode.OK if reached else ExitCode.UNREACHABLE


def _plain(status: dict[str, Any] | SiskinleverError) -> dict[str, Any]:
    if isinstance(status, SiskinleverError):
        return {"error": status.message}
    return status


def _line(address: str, status: dict[str, Any] | SiskinleverError) -> str:
    if isinstance(status, SiskinleverError):
        return f"{address}  unreachable: {status.message}"
    alive = sum(member["state"] == "alive" for member in status["members"])
    state = "leaving" if status["leaving"] else "live"
    return (
        f"{address}  {status['host']}  {status['zone']}  {state}"
        f"  generation {status['generation']}  {status['requests_running']} running"
        f"  sees {alive} alive"
    )
